package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// heldAnswer is an answer that was read whole.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relay passes an answer on to the caller.
func (x *exchange) relay(ctx context.Context, l lease, resp *http.Response) *failure {
	if x.route.Kind == catalog.Streaming && resp.StatusCode == http.StatusOK {
		return x.relayStream(ctx, l, resp)
	}
	if x.begun {
		// A stream can't go on with an answer that is none.
		return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: orStatus(nil, resp)}
	}
	return x.relayWhole(ctx, l, resp)
}

// relayWhole reads the whole answer before it delivers any of it, so that an
// answer that is cut short is never taken for a whole one.
func (x *exchange) relayWhole(ctx context.Context, l lease, resp *http.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswer+1))
	if err != nil {
		return x.broken(ctx, l, err)
	}
	if len(body) > maxHeldAnswer {
		return x.relayLarge(ctx, l, resp, body)
	}
	x.noteWhole(resp)
	x.deliver(&heldAnswer{status: resp.StatusCode, header: resp.Header, body: body})
	return nil
}

// noteWhole notes that the answer was read to its end. One that only ends with its
// connection may as well have been cut by the end of its target.
func (x *exchange) noteWhole(resp *http.Response) {
	x.completed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// deliver writes an answer that was read whole.
func (x *exchange) deliver(a *heldAnswer) {
	x.begin(a.status, a.header)
	if x.req.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	_ = x.write(a.body) // the flush sees the failure
	x.flushLast()
}

func (x *exchange) begin(status int, header http.Header) {
	x.begun = true
	x.done.status = status
	x.router.dialect.EncodeAnswer(x.w.Header(), header)
	x.limitConnection()
}

// beginStream writes the header of a stream's first target.
func (x *exchange) beginStream(resp *http.Response) {
	if x.begun {
		return
	}
	x.begin(resp.StatusCode, resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) relayLarge(ctx context.Context, l lease, resp *http.Response, head []byte) *failure {
	x.begin(resp.StatusCode, resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	if err := x.write(head); err != nil {
		return x.callerLost(err)
	}
	return x.copyRest(ctx, l, resp)
}

// buffers hold what is read of a stream at a time.
var buffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// streamBuffer holds several events; a larger one only costs memory.
const streamBuffer = 4 << 10

// relayStream passes a stream on. Its header waits for the first bytes of the body,
// which targets send up to 0.6 s later in a surge: until then a request that fails
// gets a refusal, or another target's stream, and not a closed connection.
func (x *exchange) relayStream(ctx context.Context, l lease, resp *http.Response) *failure {
	if x.route.Resumable {
		return x.copyEvents(ctx, l, resp)
	}
	return x.copyRest(ctx, l, resp)
}

// copyRest passes bytes on as they come.
func (x *exchange) copyRest(ctx context.Context, l lease, resp *http.Response) *failure {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			x.beginStream(resp)
			if werr := x.writeNow((*buf)[:n]); werr != nil {
				return x.callerLost(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			x.noteWhole(resp)
			x.beginStream(resp)
			return nil
		}
		if err != nil {
			return x.broken(ctx, l, err)
		}
	}
}

// copyEvents passes whole events on, so that a stream that breaks in the
// middle of one can go on after the last.
func (x *exchange) copyEvents(ctx context.Context, l lease, resp *http.Response) *failure {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	gaps := x.watchGaps(l)
	defer gaps.stop()
	var pending []byte
	for {
		n, err := resp.Body.Read(*buf)
		gaps.event()
		pending = append(pending, (*buf)[:n]...)
		if end := wholeEvents(pending); end > 0 {
			x.beginStream(resp)
			if werr := x.writeNow(pending[:end]); werr != nil {
				return x.callerLost(werr)
			}
			if id := lastEventID(pending[:end]); id != "" {
				x.lastEvent = id
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if errors.Is(err, io.EOF) {
			return x.endEvents(l, resp, pending)
		}
		if gaps.ended() {
			return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: errGap, overdue: true}
		}
		if err != nil {
			return x.broken(ctx, l, err)
		}
	}
}

var errGap = errors.New("the stream paused for too long")

var errCutEvent = errors.New("the stream ended within an event")

func (x *exchange) endEvents(l lease, resp *http.Response, pending []byte) *failure {
	if len(pending) == 0 {
		x.noteWhole(resp)
		x.beginStream(resp)
		return nil
	}
	x.router.pool.observe(l.member, health.Failed)
	return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: errCutEvent}
}

var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the whole events that b begins with.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

var fieldID = []byte("id:")

// lastEventID returns the last ID among whole events, empty if there is none.
func lastEventID(events []byte) string {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		if line := events[start:end]; bytes.HasPrefix(line, fieldID) {
			return string(bytes.TrimSpace(line[len(fieldID):]))
		}
		end = start
	}
	return ""
}

// broken is for an answer that broke off on its way from the target.
func (x *exchange) broken(ctx context.Context, l lease, err error) *failure {
	f := &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: err}
	switch {
	case ctx.Err() != nil:
	case isTimeout(err):
		x.router.pool.observe(l.member, health.Unreachable)
	default:
		x.router.pool.observe(l.member, health.Failed)
		x.closedByTarget(l, f)
	}
	return f
}

// callerLost is for a caller that takes no more of its answer.
func (x *exchange) callerLost(err error) *failure {
	x.writeFailed = isTimeout(err)
	return &failure{progress: retry.Delivered, reason: problem.CallerGone, cause: err}
}
