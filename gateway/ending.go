package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// endResponse decides whether the response whose body was read to its end, or until an error, is
// complete, and returns an error if it isn't.
func (g *Gateway) endResponse(ctx context.Context, c *call, t targets.Target, body *completion.Body) *attemptError {
	ending := body.Ending()
	verdict, reason := completion.Decide(ending)
	if verdict == completion.ProbeTarget {
		ending.Target = g.afterConnectionEnd(ctx, t)
		verdict, reason = completion.Decide(ending)
	}
	if ending.Framing == completion.ByClose {
		g.metrics.unframed.WithLabelValues(string(reason)).Inc()
		c.log().Info("unframed response ended", append(body.LogFields(), "target", t.ID, "ending", reason)...)
	}
	if verdict != completion.Truncated {
		return nil
	}
	cause := body.Err()
	if reason != completion.ReadFailed {
		cause = errors.Newf("the response was broken off: %s", reason)
	}
	return &attemptError{progress: retry.Sent, reason: problem.TargetFailed, cause: cause}
}

// afterConnectionEnd returns what has become of a target that ended the connection of a response.
func (g *Gateway) afterConnectionEnd(ctx context.Context, t targets.Target) completion.Target {
	if g.notices.isLeaving(t) || t.Leaving {
		return completion.TargetLeaves
	}
	if now, ok := g.currentRun(t); ok {
		switch {
		case now.Incarnation != t.Incarnation:
			return completion.TargetTerminated
		case now.Leaving:
			return completion.TargetLeaves
		}
	}
	return g.probeTarget(ctx, t.Addr)
}

// currentRun returns the target with the ID of t, if the registry has one.
func (g *Gateway) currentRun(t targets.Target) (now targets.Target, ok bool) {
	if g.targets == nil {
		return now, false
	}
	for _, pool := range g.targets.Snapshot().Pools {
		for _, other := range pool {
			if other.ID == t.ID {
				return other, true
			}
		}
	}
	return now, false
}

// probeTarget finds out whether a target accepts connections, over any path that requests use.
func (g *Gateway) probeTarget(ctx context.Context, addr string) completion.Target {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := g.dial(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close() // only shows that the target is still running
		return completion.TargetAccepts
	case upstream.IsRefused(err):
		return completion.TargetTerminated
	}
	return completion.TargetUnclear
}

// abortTruncated ends the response to the caller so that the caller can tell that it is truncated.
func (g *Gateway) abortTruncated(c *call, t targets.Target, fail *attemptError) {
	g.metrics.refusals.WithLabelValues(string(problem.TargetFailed)).Inc()
	c.log().Warn("response truncated by target", "target", t.ID, "err", fail.cause)
	c.guarded.recordDisconnect()
	socket.AbortResponse(c.w, c.req)
}
