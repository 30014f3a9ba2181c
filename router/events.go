package router

import (
	"context"
	"net/http"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// maxHeldEvent is the largest part of an event, in bytes, that is held back until the event is complete.
// Each stream in progress may hold one. A larger event is passed on as it arrives.
const maxHeldEvent = 64 << 10

// heldEvents holds back the part of an event that has arrived until the event is complete, so that the
// caller gets only complete events and a stream that breaks can be continued after the last one.
type heldEvents struct {
	buf []byte
	// held is the number of bytes at the start of buf that wait for the end of their event.
	held int
	// passing means that a part of the event in progress was passed on, since it is too large.
	passing bool
}

// space returns the part of the buffer into which the next bytes are read.
func (h *heldEvents) space() []byte { return h.buf[h.held:] }

// take adds the next n bytes, of which outside end outside of events, and returns those to pass on. They
// are valid until next is called with their number.
func (h *heldEvents) take(n, outside int) []byte {
	end := 0
	switch {
	case outside > 0:
		end = h.held + outside
	case h.passing:
		end = h.held + n
	}
	h.passing = h.passing && outside == 0
	h.held += n
	if end == 0 && h.held >= maxHeldEvent {
		h.passing = true
		end = h.held
	}
	return h.buf[:end]
}

// next removes the first n bytes, which were passed on, and makes room for a read.
func (h *heldEvents) next(n int) {
	copy(h.buf, h.buf[n:h.held])
	h.held -= n
	if h.held == len(h.buf) {
		h.buf = append(h.buf, make([]byte, len(h.buf))...)
	}
}

// relayEvents relays complete events.
func (x *exchange) relayEvents(ctx context.Context, a assignment, resp *http.Response) *failure {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	gaps := x.watchGaps(a)
	defer gaps.stop()
	events := heldEvents{buf: *buf}
	if fail := x.passEvents(ctx, a, resp, &events, gaps); fail != nil {
		return x.streamBroken(fail, events.passing)
	}
	return nil
}

// streamBroken records where a stream that failed can be continued.
func (x *exchange) streamBroken(fail *failure, insideEvent bool) *failure {
	if id := x.received.LastEventID(); id != "" {
		x.lastEvent = id
	}
	if insideEvent || x.lastEvent == "" && x.received.Events() > 0 {
		fail.progress = retry.Delivered
	}
	return fail
}

// passEvents passes events on until the stream ends.
func (x *exchange) passEvents(ctx context.Context, a assignment, resp *http.Response, events *heldEvents, gaps *overdueWatch) *failure {
	for {
		n, err := x.received.Read(events.space())
		gaps.event()
		if n > 0 {
			x.attempts.Receive()
		}
		out := events.take(n, x.received.Outside())
		if len(out) > 0 {
			x.beginStream(resp)
			x.recordOrigin(a)
			if werr := x.writeAndFlush(out); werr != nil {
				return x.callerWriteFailed(werr)
			}
		}
		events.next(len(out))
		switch {
		case err == nil:
		case gaps.ended() && x.received.Ending().Failed:
			return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: errGap, overdue: true}
		default:
			return x.endStream(ctx, a, resp)
		}
	}
}
