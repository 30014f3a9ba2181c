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

// Bounds of the opening events that are held back, besides --stream-hold.
const (
	maxHeldEvents = 8
	maxHeldBytes  = 8 << 10
)

// Bounds of the resumption of an interrupted stream: how long its engine may be unreachable, and
// how many consecutive connections may bring no new event.
const (
	resumeTimeout = 5 * time.Second
	maxEmptyConns = 5
)

var errMissingEvent = errors.New("the engine skipped an event")

// streamEnd is how a connection to an engine ended.
type streamEnd int

const (
	endComplete      streamEnd = iota // after the end marker
	endFailed                         // by an error event
	endOverload                       // by a refusal for overload, before anything was delivered
	endInterrupted                    // the connection broke, or an event is missing or too large
	endCallerStalled                  // a write to the caller failed or timed out
)

// stream relays the events of one generation over one or more connections to its engine.
type stream struct {
	g      *Gateway
	c      *call
	f      forwardRequest
	target targets.Target
	gen    generation
	rc     *http.ResponseController
	last   int // the engine's ID of the last event read, or noID

	mu         sync.Mutex // guards the fields below against the hold timer
	held       []byte
	heldEvents int
	released   bool
}

func (g *Gateway) newStream(c *call, f forwardRequest, t targets.Target, gen generation) *stream {
	return &stream{g: g, c: c, f: f, target: t, gen: gen, last: noID, rc: http.NewResponseController(c.w)}
}

func (g *Gateway) relayStream(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation, resp *http.Response,
) *attemptError {
	return g.newStream(c, f, t, gen).run(ctx, resp)
}

// run relays events until the stream ends. The progress of its error shows whether anything was
// delivered: if so, finish ends the stream with an error event.
func (s *stream) run(ctx context.Context, resp *http.Response) *attemptError {
	copyHeader(s.c.w, s.target, resp)
	timer := s.startHold()
	defer timer.Stop()
	emptyConns := 0
	for {
		last := s.last
		end, err := s.copy(resp.Body, last)
		_ = resp.Body.Close()
		switch end {
		case endComplete:
			return nil
		case endCallerStalled:
			s.g.cancelGeneration(s.c, s.target, s.gen)
			return s.fail(retry.Sent, problem.CallerGone, err)
		case endOverload:
			return s.fail(retry.Refused, problem.TargetRefused, err)
		case endFailed:
			return s.fail(retry.Sent, problem.TargetFailed, err)
		}
		if emptyConns++; s.last > last {
			emptyConns = 0
		}
		if resp, err = s.resume(ctx, emptyConns, err); err != nil {
			s.g.cancelIfGone(ctx, s.c, s.f, s.target, s.gen, retry.Sent)
			return s.fail(retry.Sent, problem.TargetFailed, err)
		}
	}
}

// resume continues an interrupted stream at its engine. It retries while the engine is
// unreachable, for as long as the engine was asked to hold the stream but at most resumeTimeout.
// If nothing was delivered, a repeatable request isn't resumed but retried on another target.
func (s *stream) resume(ctx context.Context, emptyConns int, cause error) (*http.Response, error) {
	elsewhere := s.f.repeatable && !s.isReleased()
	if elsewhere || s.last == noID || emptyConns >= maxEmptyConns || errors.Is(cause, errMissingEvent) {
		return nil, cause
	}
	s.c.log().Info("resume stream", "target", s.target.ID, "last", s.last, "cause", cause)
	end := time.Now().Add(min(s.g.resumeHold(s.c), resumeTimeout))
	for number := 1; ctx.Err() == nil; number++ {
		s.g.pause(ctx, number)
		pause.Sleep(ctx, min(s.g.notices.cooldownFor(s.target, time.Now()), time.Until(end)))
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

// copy relays the events of one connection. after is the event ID from which the connection was
// resumed, or noID. After a resumption, repeated events are dropped and the first new ID must be
// after+1.
func (s *stream) copy(body io.Reader, after int) (streamEnd, error) {
	events := newEventReader(body, s.gen.eventPrefix())
	for {
		ev, err := events.next()
		if err != nil {
			return endInterrupted, err
		}
		s.c.guarded.receive()
		if ev.kind == eventError {
			return s.classifyErrorEvent(ev)
		}
		if after != noID && ev.id != noID {
			if ev.id <= after {
				continue
			}
			if ev.id != after+1 {
				return endInterrupted, errMissingEvent
			}
			after = noID
		}
		s.last = max(s.last, ev.id)
		if err := s.emit(ev, events.buffered()); err != nil && s.f.repeatable {
			return endCallerStalled, err
		}
		if ev.kind == eventDone {
			s.c.captured.end()
			return endComplete, nil
		}
	}
}

func (s *stream) classifyErrorEvent(ev event) (streamEnd, error) {
	cause := errors.Newf("the engine said: %s", ev.data)
	if isOverload(ev) && !s.isReleased() {
		return endOverload, cause
	}
	return endFailed, cause
}

// fail returns the attempt error of a failed stream. If nothing was delivered, the request may
// be retried on another target; otherwise an error event will mark the stream as incomplete.
func (s *stream) fail(p retry.Progress, reason problem.Reason, cause error) *attemptError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause == nil || errors.Is(cause, io.EOF) {
		cause = errors.New("the engine ended the stream early")
	}
	if !s.released {
		s.released = true // makes the hold timer's release do nothing
		return &attemptError{progress: p, reason: reason, cause: cause}
	}
	return &attemptError{progress: retry.Delivered, reason: reason, cause: cause}
}

// startHold starts to hold back opening events for at most --stream-hold, so that a request that
// fails before its first output can be retried. Without a hold, the response header is sent at
// once.
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

// emit delivers an event, or holds it back if it is an opening event. more means that another
// event can be read without blocking, so that flushing can wait for it. emit fails if a write to
// the caller fails or blocks for longer than the write timeout.
func (s *stream) emit(ev event, more bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.released {
		s.held = append(s.held, ev.raw...)
		s.heldEvents++
		if isOpening(ev) && s.heldEvents < maxHeldEvents && len(s.held) < maxHeldBytes {
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

// write writes to the server's buffer, which goes to the connection when it is full.
func (s *stream) write(p []byte) {
	s.c.captured.add(p)
	_, _ = s.c.w.Write(p)
}

// flush sends the buffered data. It returns the error of a failed write, which write ignores.
func (s *stream) flush() error {
	s.c.w.setDeadline()
	return s.rc.Flush()
}
