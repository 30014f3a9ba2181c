// Package etcd implements a client and a server of etcd v3's JSON-over-HTTP API
// (/v3/kv/range, /v3/kv/txn, /v3/lease/*, /v3/watch).
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/store"
)

// DefaultTimeout bounds one call to the service; of a watch, only the time until the
// service has confirmed it.
const DefaultTimeout = 2 * time.Second

const (
	idleConns = 16
)

// Client is a store.Store backed by an etcd service. It is safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	timeout   time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client that uses the first of the endpoints
// ("http://ip:port") that accepts a connection. It never sends a call twice.
func New(endpoints []string, timeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: timeout / time.Duration(max(1, len(endpoints)))}
	return &Client{
		endpoints: endpoints,
		timeout:   timeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, MaxResponseHeaderBytes: socket.MaxResponseHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KV, bool, error) {
	page, err := c.list(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(page.KVs) == 0 {
		return store.KV{}, false, err
	}
	return page.KVs[0], true, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (store.ListResult, error) {
	return c.list(ctx, rangeRequest{Key: rangeKey(prefix), RangeEnd: prefixEnd(prefix)})
}

func (c *Client) list(ctx context.Context, req rangeRequest) (store.ListResult, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", req, &resp); err != nil {
		return store.ListResult{}, readError(err)
	}
	page := store.ListResult{Revision: int64(resp.Header.Revision)}
	for _, kv := range resp.KVs {
		page.KVs = append(page.KVs, kvFromWire(kv))
	}
	return page, nil
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	if err := t.Validate(); err != nil {
		return 0, false, err
	}
	var req txnRequest
	for _, cmp := range t.Compares {
		req.Compare = append(req.Compare, compare{
			Key: []byte(cmp.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64String(cmp.ModRevision),
		})
	}
	for _, op := range t.Ops {
		req.Success = append(req.Success, opToWire(op))
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return 0, false, err
	}
	return int64(resp.Header.Revision), resp.Succeeded, nil
}

// Grant implements store.Store. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	var resp leaseResponse
	err := c.call(ctx, "/v3/lease/grant", leaseGrantRequest{TTL: int64String(seconds)}, &resp)
	if err == nil && resp.ID == 0 {
		err = errors.Wrap(store.ErrUncertain, "lease grant: response without an ID")
	}
	return store.LeaseID(resp.ID), err
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	var resp keepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64String(id)}, &resp); err != nil {
		return err
	}
	switch {
	case resp.Result.ID != int64String(id):
		return errors.Wrap(store.ErrUncertain, "lease keepalive: response for another lease")
	case resp.Result.TTL <= 0:
		return store.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var resp leaseResponse
	return c.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64String(id)}, &resp)
}

// call posts a request and decodes the response within the client's timeout.
func (c *Client) call(ctx context.Context, path string, req, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer socket.Drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return statusError(path, resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrapf(store.ErrUncertain, "%s: %v", path, err)
	}
	return nil
}

// post sends a request to the first endpoint that accepts a connection. A failure to
// connect is ErrUnavailable; any later failure is ErrUncertain, because the service
// may have executed the request.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "store: encode")
	}
	last := errors.Wrap(store.ErrUnavailable, "no endpoint")
	for _, ep := range c.endpoints {
		resp, err := c.postOne(ctx, ep+path, raw)
		if err == nil {
			return resp, nil
		}
		if !isDialError(err) {
			return nil, errors.Wrapf(store.ErrUncertain, "%s: %v", path, err)
		}
		last = errors.Wrapf(store.ErrUnavailable, "%s: %v", path, err)
	}
	return nil, last
}

func (c *Client) postOne(ctx context.Context, url string, raw []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}
