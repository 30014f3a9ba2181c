// Package etcd is the store adapter that speaks etcd v3's JSON-over-HTTP
// mapping (/v3/kv/range, /v3/kv/txn, /v3/lease/*, /v3/watch).
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// DefaultTimeout bounds one call to the service, watches excepted.
const DefaultTimeout = 2 * time.Second

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	timeout   time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client that tries the endpoints ("http://ip:port") in order.
func New(endpoints []string, timeout time.Duration) *Client {
	return &Client{
		endpoints: endpoints,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		timeout:   timeout,
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
func (c *Client) List(ctx context.Context, prefix string) (store.Page, error) {
	return c.list(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

func (c *Client) list(ctx context.Context, req rangeRequest) (store.Page, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", req, &resp); err != nil {
		return store.Page{}, err
	}
	page := store.Page{Revision: int64(resp.Header.Revision)}
	for _, kv := range resp.KVs {
		page.KVs = append(page.KVs, fromWire(kv))
	}
	return page, nil
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	var req txnRequest
	for _, cmp := range t.Compares {
		req.Compare = append(req.Compare, compare{
			Key: []byte(cmp.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64String(cmp.ModRevision),
		})
	}
	for _, op := range t.Ops {
		req.Success = append(req.Success, toWire(op))
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
	return store.LeaseID(resp.ID), err
}

// Renew implements store.Store.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	var resp keepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64String(id)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return store.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var resp leaseResponse
	return c.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64String(id)}, &resp)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Batch, error) {
	req := watchRequest{CreateRequest: watchCreateRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64String(from),
	}}
	resp, err := c.post(ctx, "/v3/watch", req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(store.ErrUnavailable, "watch: status %d", resp.StatusCode)
	}
	out := make(chan store.Batch)
	go readWatch(ctx, resp.Body, out)
	return out, nil
}

func readWatch(ctx context.Context, body io.ReadCloser, out chan<- store.Batch) {
	defer close(out)
	defer func() { _ = body.Close() }()
	dec := json.NewDecoder(body)
	for {
		b := nextBatch(dec)
		select {
		case out <- b:
		case <-ctx.Done():
			return
		}
		if b.Err != nil {
			return
		}
	}
}

func nextBatch(dec *json.Decoder) store.Batch {
	var resp watchResponse
	if err := dec.Decode(&resp); err != nil {
		return store.Batch{Err: errors.Wrapf(store.ErrUnavailable, "watch ended: %v", err)}
	}
	r := resp.Result
	if r.Canceled {
		return store.Batch{Err: errors.Wrapf(store.ErrCompacted, "compacted at %d", r.CompactRevision)}
	}
	b := store.Batch{Revision: int64(r.Header.Revision)}
	for _, e := range r.Events {
		b.Events = append(b.Events, store.Event{KV: fromWire(e.KV), Deleted: e.Type == "DELETE"})
	}
	return b
}

// call posts a request to the first endpoint that accepts a connection. A
// failure to connect is ErrUnavailable; any later failure is ErrUncertain,
// for the service may have acted.
func (c *Client) call(ctx context.Context, path string, req, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return errors.Wrapf(store.ErrUnavailable, "%s: status %d", path, resp.StatusCode)
	case resp.StatusCode == http.StatusNotFound:
		return errors.Wrapf(store.ErrLeaseNotFound, "%s", path)
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(store.ErrUncertain, "%s: status %d", path, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrapf(store.ErrUncertain, "%s: %v", path, err)
	}
	return nil
}

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

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func toWire(op store.Op) requestOp {
	if !op.Delete {
		return requestOp{RequestPut: &putRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64String(op.Lease)}}
	}
	del := &deleteRangeRequest{Key: []byte(op.Key)}
	if op.Prefix {
		del.RangeEnd = prefixEnd(op.Key)
	}
	return requestOp{RequestDeleteRange: del}
}

func fromWire(kv keyValue) store.KV {
	return store.KV{
		Key: string(kv.Key), Value: kv.Value,
		ModRevision: int64(kv.ModRevision), Lease: store.LeaseID(kv.Lease),
	}
}

// prefixEnd returns the end of the key range that holds every key with the
// prefix, as etcd's clientv3.GetPrefixRangeEnd documents.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
