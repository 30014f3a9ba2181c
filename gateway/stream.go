package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

// Bounds of the opening events held back, besides the node's --stream-hold.
const (
	maxHeldEvents = 8
	maxHeldBytes  = 8 << 10
)

// Bounds of the resumption of a cut stream: how long its engine may be out of
// reach, and how often the stream may be cut again without a new event.
const (
	resumePatience = 5 * time.Second
	maxBarren      = 5
)

var errGap = errors.New("the engine skipped an event")

// streamEnd says how a connection to an engine ended.
type streamEnd int

const (
	endWhole streamEnd = iota
	endFailed
	endOverload
	endCut
	endStalled // the caller takes no more
)

// stream relays the events of one generation, over as many connections to its
// engine as it takes.
type stream struct {
	g      *Gateway
	c      *call
	f      forwardRequest
	target targets.Target
	gen    generation
	rc     *http.ResponseController
	last   int // the engine's ID of the last event taken, or noID

	mu       sync.Mutex // held, released: the hold's timer works beside run
	held     []byte
	heldN    int
	released bool
}

func (g *Gateway) newStream(c *call, f forwardRequest, t targets.Target, gen generation) *stream {
	return &stream{g: g, c: c, f: f, target: t, gen: gen, last: noID, rc: http.NewResponseController(c.w)}
}

func (g *Gateway) relayStream(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation, resp *http.Response,
) *attemptError {
	return g.newStream(c, f, t, gen).run(ctx, resp)
}

// run relays to the end of the stream. Its error says whether anything was
// delivered: if so, finish ends the stream with an error event.
func (s *stream) run(ctx context.Context, resp *http.Response) *attemptError {
	copyHeader(s.c.w, s.target, resp)
	timer := s.startHold()
	defer timer.Stop()
	barren := 0
	for {
		last := s.last
		end, err := s.copy(resp.Body, last)
		_ = resp.Body.Close()
		switch end {
		case endWhole:
			return nil
		case endStalled:
			s.g.cancelGeneration(s.c, s.target, s.gen)
			return s.fail(retry.Sent, problem.CallerGone, err)
		case endOverload:
			return s.fail(retry.Refused, problem.TargetRefused, err)
		case endFailed:
			return s.fail(retry.Sent, problem.TargetFailed, err)
		}
		if barren++; s.last > last {
			barren = 0
		}
		if resp, err = s.resume(ctx, barren, err); err != nil {
			s.g.cancelIfGone(ctx, s.c, s.f, s.target, s.gen, retry.Sent)
			return s.fail(retry.Sent, problem.TargetFailed, err)
		}
	}
}

// resume continues a cut stream at its engine. It tries again while the
// engine can't be reached, as long as the engine was asked to hold the stream.
// A request that may be repeated, and of which nothing was delivered, is
// better tried elsewhere.
func (s *stream) resume(ctx context.Context, barren int, cause error) (*http.Response, error) {
	elsewhere := s.f.repeatable && !s.isReleased()
	if elsewhere || s.last == noID || barren >= maxBarren || errors.Is(cause, errGap) {
		return nil, cause
	}
	s.c.log().Info("resume stream", "target", s.target.ID, "last", s.last, "cause", cause)
	end := time.Now().Add(min(s.g.resumeHold(s.c), resumePatience))
	for number := 1; ctx.Err() == nil; number++ {
		s.g.pause(ctx, number)
		pause.Sleep(ctx, min(s.g.notices.restFor(s.target, time.Now()), time.Until(end)))
		resp, err := s.g.resume(ctx, s.c, s.f, s.target, s.gen, s.last)
		if err == nil {
			s.g.metrics.resumes.WithLabelValues(resumedByNode).Inc()
			return resp, nil
		}
		s.g.metrics.resumes.WithLabelValues(resumeFailed).Inc()
		if errors.Is(err, errNotHeld) || time.Now().After(end) {
			return nil, errors.CombineErrors(cause, err)
		}
	}
	return nil, cause
}

// copy relays one connection's events. after is the ID from which the
// connection was resumed, or noID: then repeated events are dropped, and the
// first new one must be the next.
func (s *stream) copy(body io.Reader, after int) (streamEnd, error) {
	events := newEventReader(body, s.gen.eventPrefix())
	for {
		ev, err := events.next()
		if err != nil {
			return endCut, err
		}
		if ev.kind == eventError {
			return s.failedBy(ev)
		}
		if after != noID && ev.id != noID {
			if ev.id <= after {
				continue
			}
			if ev.id != after+1 {
				return endCut, errGap
			}
			after = noID
		}
		s.last = max(s.last, ev.id)
		if err := s.emit(ev, events.buffered()); err != nil && s.f.repeatable {
			return endStalled, err
		}
		if ev.kind == eventDone {
			s.c.captured.end()
			return endWhole, nil
		}
	}
}

func (s *stream) failedBy(ev event) (streamEnd, error) {
	cause := errors.Newf("the engine said: %s", ev.data)
	if isOverload(ev) && !s.isReleased() {
		return endOverload, cause
	}
	return endFailed, cause
}

// fail ends a stream. If nothing was delivered the caller's request may be
// tried elsewhere; else an error event says that the stream is not whole.
func (s *stream) fail(p retry.Progress, reason problem.Reason, cause error) *attemptError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause == nil || errors.Is(cause, io.EOF) {
		cause = errors.New("the engine ended the stream early")
	}
	if !s.released {
		s.released = true // the timer comes too late
		return &attemptError{progress: p, reason: reason, cause: cause}
	}
	return &attemptError{progress: retry.Delivered, reason: reason, cause: cause}
}

// startHold begins to hold back opening events. Without a hold, the answer's
// header goes out at once.
func (s *stream) startHold() *time.Timer {
	hold := s.g.cfg.StreamHold
	if hold == 0 {
		s.release()
	}
	return time.AfterFunc(hold, s.release)
}

func (s *stream) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

func (s *stream) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *stream) releaseLocked() {
	if s.released {
		return
	}
	s.released = true
	s.c.w.streaming = true
	s.c.w.WriteHeader(http.StatusOK)
	s.c.captured.begin(http.StatusOK, eventStream)
	s.write(s.held)
	s.held = nil
	_ = s.flush()
}

// emit delivers an event, or holds it if it is an opening event. more says
// that another follows at once, so that flushing can wait for it. It fails if
// the caller takes nothing for the gateway's stall time.
func (s *stream) emit(ev event, more bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.released {
		s.held = append(s.held, ev.raw...)
		s.heldN++
		if isOpening(ev) && s.heldN < maxHeldEvents && len(s.held) < maxHeldBytes {
			return nil
		}
		s.releaseLocked()
		return nil
	}
	s.write(ev.raw)
	if more {
		return nil
	}
	return s.flush()
}

// write may already reach the connection, when the server's buffer is full.
func (s *stream) write(p []byte) {
	s.c.captured.add(p)
	s.g.limitWrite(s.c)
	_, _ = s.c.w.Write(p)
}

// flush sends what was written. A failed write shows here.
func (s *stream) flush() error {
	s.g.limitWrite(s.c)
	return s.rc.Flush()
}

// limitWrite bounds the write that follows. The limit of the one before may be over:
// a stream may pause for longer, and would then lose its next burst of events, or
// the event that says why it ends. net/http lifts the limit before the connection's
// next request.
func (g *Gateway) limitWrite(c *call) {
	// A writer without deadlines only waits for the caller's own end.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(g.stall))
}
