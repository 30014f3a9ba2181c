// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Role says what runs on a VM.
type Role string

// The roles of VMs in the list.
const (
	RoleNode    Role = "node"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State says whether a VM is to receive new work.
type State string

// The states of VMs in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Addr is the HTTP address, "ip:port".
	Addr string `json:"addr"`
	// PeerAddr is a node's address for other nodes, "ip:port".
	PeerAddr string `json:"peer_addr,omitempty"`
	// Pool is the model pool or service that a target serves.
	Pool          string `json:"pool,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Incarnation grows each time the VM starts anew.
	Incarnation int64 `json:"incarnation"`
	// Capacity is the VM's share relative to others of its pool; 0 means 1.
	Capacity int `json:"capacity,omitempty"`
}

// List is the VM list at a version, which only grows.
type List struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}

// Source reads the list.
type Source interface {
	// Fetch returns the platform's list; it may lag behind the truth.
	Fetch(ctx context.Context) (List, error)
}

// Client is a Source over HTTP GET.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a Source that reads url, allowing each read the timeout.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Fetch implements Source.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return List{}, errors.Newf("vm list: status %d", resp.StatusCode)
	}
	var l List
	err = json.NewDecoder(resp.Body).Decode(&l)
	return l, errors.Wrap(err, "vm list")
}
