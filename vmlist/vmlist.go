// Package vmlist reads the platform's list of live and leaving VMs, which may lag
// behind the actual state.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Role is the kind of program that runs on a VM.
type Role string

// The roles of VMs in the list.
const (
	RoleNode    Role = "node"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is whether a VM may receive new requests.
type State string

// The states of VMs in the list. A leaving VM gets no new requests.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Addr is the VM's HTTP address, "ip:port".
	Addr string `json:"addr"`
	// PeerAddr is the address at which other nodes connect to a node, "ip:port".
	PeerAddr string `json:"peer_addr,omitempty"`
	// Pool is the model pool or service that a target serves.
	Pool          string `json:"pool,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
	// Incarnation is greater each time the VM restarts.
	Incarnation int64 `json:"incarnation"`
	// Capacity is the VM's capacity relative to others of its pool; 0 means 1.
	Capacity int `json:"capacity,omitempty"`
}

// List is one version of the VM list. Versions only grow.
type List struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}

// Source reads the VM list.
type Source interface {
	// Fetch returns the platform's list, which may lag behind the actual state.
	Fetch(ctx context.Context) (List, error)
}

// Client is a Source over HTTP GET. It sends conditional requests (RFC 9110,
// If-None-Match), so that a list which hasn't changed isn't sent again, and
// accepts gzip responses. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client

	mu   sync.Mutex
	etag string
	last List
}

// NewClient returns a Client that reads url; timeout limits each read.
func NewClient(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Fetch implements Source. If the list hasn't changed, the returned VMs share memory
// with those returned before; the caller must not modify them.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list: create request")
	}
	etag, last := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, errors.Wrap(err, "vm list: fetch")
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && etag != "":
		return last, nil
	case resp.StatusCode != http.StatusOK:
		return List{}, errors.Newf("vm list: unexpected status %d", resp.StatusCode)
	}
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return List{}, errors.Wrap(err, "vm list: decode response")
	}
	c.store(resp.Header.Get("ETag"), l)
	return l, nil
}

// cached returns the last list and its entity tag; the tag is empty if there is none.
func (c *Client) cached() (string, List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

// store caches a list and its entity tag for conditional requests.
func (c *Client) store(etag string, l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = etag, l
}
