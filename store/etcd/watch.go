package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Watch implements store.Store. It returns once the service has confirmed the watch,
// or with an error if that takes longer than the client's timeout.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	req := watchRequest{CreateRequest: watchCreateRequest{
		Key: rangeKey(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64String(from),
	}}
	streamCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.timeout, cancel)
	w, err := c.openWatch(streamCtx, req)
	if err != nil {
		cancel()
		return nil, readError(err)
	}
	if !timer.Stop() {
		w.close()
		cancel()
		return nil, errors.Wrap(store.ErrUnavailable, "watch: not confirmed in time")
	}
	out := make(chan store.WatchBatch)
	go func() {
		defer cancel()
		w.run(ctx, out)
	}()
	return out, nil
}

// watchStream reads the responses of one watch.
type watchStream struct {
	body io.ReadCloser
	dec  *json.Decoder
}

func (c *Client) openWatch(ctx context.Context, req watchRequest) (*watchStream, error) {
	resp, err := c.post(ctx, "/v3/watch", req)
	if err != nil {
		return nil, err
	}
	w := &watchStream{body: resp.Body, dec: json.NewDecoder(resp.Body)}
	if resp.StatusCode != http.StatusOK {
		defer w.close()
		return nil, statusError("/v3/watch", resp)
	}
	var first watchResponse
	if err := w.dec.Decode(&first); err != nil || !first.Result.Created {
		w.close()
		return nil, errors.Wrapf(store.ErrUnavailable, "watch: not confirmed: %v", err)
	}
	return w, nil
}

func (w *watchStream) close() { _ = w.body.Close() }

func (w *watchStream) run(ctx context.Context, out chan<- store.WatchBatch) {
	defer close(out)
	defer w.close()
	for {
		b := w.next()
		if len(b.Events) == 0 && b.Err == nil {
			continue
		}
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

func (w *watchStream) next() store.WatchBatch {
	var resp watchResponse
	if err := w.dec.Decode(&resp); err != nil {
		return store.WatchBatch{Err: errors.Wrapf(store.ErrUnavailable, "watch ended: %v", err)}
	}
	return batchFromWire(resp)
}

// batchFromWire converts one response. The revision in the header is the store's and
// may be ahead of events that follow in later responses, so the batch gets the
// revision of its last event.
func batchFromWire(resp watchResponse) store.WatchBatch {
	r := resp.Result
	switch {
	case resp.Error != nil:
		return store.WatchBatch{Err: errors.Wrapf(store.ErrUnavailable, "watch: %s", resp.Error.Message)}
	case r.Canceled && r.CompactRevision > 0:
		return store.WatchBatch{Err: store.ErrCompacted, Revision: int64(r.CompactRevision)}
	case r.Canceled:
		return store.WatchBatch{Err: errors.Wrapf(store.ErrUnavailable, "watch canceled: %s", r.CancelReason)}
	}
	var b store.WatchBatch
	for _, e := range r.Events {
		b.Events = append(b.Events, store.Event{KV: kvFromWire(e.KV), Deleted: e.Type == eventDelete})
		b.Revision = int64(e.KV.ModRevision)
	}
	return b
}

// batchToWire is the reverse of batchFromWire.
func batchToWire(b store.WatchBatch) watchResponse {
	r := watchResult{Header: header{int64String(b.Revision)}}
	switch {
	case errors.Is(b.Err, store.ErrCompacted):
		r.Canceled, r.CompactRevision = true, int64String(b.Revision)
	case b.Err != nil:
		r.Canceled, r.CancelReason = true, b.Err.Error()
	}
	for _, e := range b.Events {
		we := watchEvent{Type: eventPut, KV: kvToWire(e.KV)}
		if e.Deleted {
			we.Type = eventDelete
		}
		r.Events = append(r.Events, we)
	}
	return watchResponse{Result: r}
}
