package router

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// bufferedAnswer is an answer that was completely read.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relay relays an answer to the caller.
func (x *exchange) relay(ctx context.Context, a assignment, resp *http.Response) *failure {
	if x.route.Kind == catalog.Streaming && resp.StatusCode == http.StatusOK {
		return x.relayStream(ctx, a, resp)
	}
	if x.answerBegun {
		// A stream cannot be continued with an answer that is not a stream.
		return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: errOrStatus(nil, resp)}
	}
	return x.relayBuffered(ctx, a, resp)
}

// relayBuffered reads the complete answer before it delivers any of it, so that the caller
// never takes a truncated answer for a complete one.
func (x *exchange) relayBuffered(ctx context.Context, a assignment, resp *http.Response) *failure {
	x.received.Start(resp, false)
	body, whole, err := x.intake.ReadAnswer(&x.received, maxBufferedAnswer)
	if err == nil && !whole {
		return x.relayUnbuffered(ctx, a, resp, body)
	}
	if fail := x.endAnswer(ctx, a); fail != nil {
		return fail
	}
	x.deliver(&bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body})
	return nil
}

// deliver writes an answer that was completely read.
func (x *exchange) deliver(a *bufferedAnswer) {
	x.beginAnswer(a.status, a.header)
	if x.req.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	_ = x.write(a.body) // flushAnswer handles the error
	x.flushAnswer()
}

func (x *exchange) beginAnswer(status int, header http.Header) {
	x.answerBegun = true
	x.summary.status = status
	x.router.dialect.EncodeReplyHeader(x.w.Header(), header)
	x.maybeSendConnectionClose()
}

// beginStream writes the header of the stream, unless an earlier target's was written.
func (x *exchange) beginStream(resp *http.Response) {
	if x.answerBegun {
		return
	}
	x.beginAnswer(resp.StatusCode, resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) relayUnbuffered(ctx context.Context, a assignment, resp *http.Response, head []byte) *failure {
	x.beginAnswer(resp.StatusCode, resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	if err := x.write(head); err != nil {
		return x.callerWriteFailed(err)
	}
	return x.copyRest(ctx, a, resp)
}

// buffers holds the read buffers of streams.
var buffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// streamBuffer is large enough for several events; a larger buffer would only use more memory.
const streamBuffer = 4 << 10

// relayStream relays a stream. Its header is written with the first bytes of the body, which
// targets send up to 0.6 s after the header in a load surge. Until then, a request that fails
// gets a refusal or another target's stream instead of a closed connection.
func (x *exchange) relayStream(ctx context.Context, a assignment, resp *http.Response) *failure {
	events := completion.IsEventStream(resp, true)
	x.received.Start(resp, events)
	if events {
		return x.relayEvents(ctx, a, resp)
	}
	return x.copyRest(ctx, a, resp)
}

// copyRest relays bytes as they arrive.
func (x *exchange) copyRest(ctx context.Context, a assignment, resp *http.Response) *failure {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := x.received.Read(*buf)
		if n > 0 {
			x.attempts.Receive()
			x.beginStream(resp)
			if werr := x.writeAndFlush((*buf)[:n]); werr != nil {
				return x.callerWriteFailed(werr)
			}
		}
		if err != nil {
			fail := x.endStream(ctx, a, resp)
			if fail != nil && x.answerBegun {
				fail.progress = retry.Delivered // bytes without events can't be continued
			}
			return fail
		}
	}
}

// endStream handles the end of the body of an answer that is delivered as it arrives.
func (x *exchange) endStream(ctx context.Context, a assignment, resp *http.Response) *failure {
	if fail := x.endAnswer(ctx, a); fail != nil {
		return fail
	}
	x.beginStream(resp)
	return nil
}

var errGap = errors.New("the stream paused for too long")

// answerBroken handles an answer whose transfer from the target failed.
func (x *exchange) answerBroken(ctx context.Context, a assignment, err error) *failure {
	f := &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: err}
	switch {
	case ctx.Err() != nil:
	case isTimeout(err):
		x.router.pool.connectionTimedOut(a.member)
	default:
		x.router.pool.observe(a.member, health.Failed)
		if x.received.EndsConnection() {
			x.closedByTarget(a, f)
		}
	}
	return f
}

// callerWriteFailed handles a failed write to the caller.
func (x *exchange) callerWriteFailed(err error) *failure {
	x.writeFailed = isTimeout(err)
	return &failure{progress: retry.Delivered, reason: problem.CallerGone, cause: err}
}
