// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
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

// Client is a Source over HTTP GET. It sends conditional requests (RFC 9110,
// If-None-Match), so that a list which hasn't changed isn't sent again, and
// accepts gzip. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client

	mu   sync.Mutex
	etag string
	last List
}

// NewClient returns a Source that reads url, allowing each read the timeout.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Fetch implements Source. The VMs of a list that hasn't changed are those
// returned before; the caller must not change them.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list")
	}
	etag, last := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list")
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && etag != "":
		return last, nil
	case resp.StatusCode != http.StatusOK:
		return List{}, errors.Newf("vm list: status %d", resp.StatusCode)
	}
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return List{}, errors.Wrap(err, "vm list")
	}
	c.keep(resp.Header.Get("ETag"), l)
	return l, nil
}

func (c *Client) cached() (string, List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

func (c *Client) keep(etag string, l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = etag, l
}
