package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/completion"
)

// endAnswer decides whether the answer whose body was read to its end, or until an error, is complete,
// and returns a failure if it isn't.
func (x *exchange) endAnswer(ctx context.Context, a assignment) *failure {
	ending := x.received.Ending()
	// A caller may have all events already. A stream that this node itself continues broke off, so that
	// an end without events shows nothing.
	ending.Resumed = x.call.LastEventID != "" && x.lastEvent == ""
	verdict, reason := completion.Decide(ending)
	if verdict == completion.ProbeTarget {
		x.releasePlace(nil) // the target is free
		ending.Target = x.probeTarget(ctx, a)
		verdict, reason = completion.Decide(ending)
	}
	x.summary.ending = reason
	if ending.Framing == completion.ByClose {
		x.router.metrics.unframed.WithLabelValues(string(reason)).Inc()
	}
	if verdict == completion.Truncated {
		return x.answerBroken(ctx, a, x.truncationError(reason))
	}
	// An answer that only the end of its connection delimits may have been truncated by the target's
	// termination, and doesn't count for the quarantine.
	x.completed = ending.Framing != completion.ByClose
	// The target is free, although the caller may read the answer slowly.
	x.releasePlace(nil)
	return nil
}

func (x *exchange) truncationError(reason completion.Reason) error {
	if reason == completion.ReadFailed {
		return x.received.Err()
	}
	return errors.Newf("the answer was broken off: %s", reason)
}

// probeTarget finds out what has become of a target that ended the connection of an answer.
func (x *exchange) probeTarget(ctx context.Context, a assignment) completion.Target {
	state, probe := x.router.pool.afterConnectionEnd(a.member)
	if probe == nil {
		return state
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := x.router.now()
	select {
	case <-ctx.Done():
		state = completion.TargetUnclear
	case <-probe.done:
		state = probe.result
	}
	x.summary.probed = x.router.now().Sub(began)
	return state
}

// transferFields returns the log fields of an answer that only the end of its connection delimits, or
// that isn't complete.
func (x *exchange) transferFields() []any {
	if x.summary.ending == "" || x.summary.ending == completion.Framed {
		return nil
	}
	fields := append(x.received.LogFields(), "ending", x.summary.ending)
	if x.summary.probed > 0 {
		fields = append(fields, "probe_us", x.summary.probed/time.Microsecond)
	}
	if c := x.summary.conn; c != nil && c.WriteError() != nil {
		fields = append(fields, "write_error", c.WriteError())
	}
	return fields
}
