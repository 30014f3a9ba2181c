package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/socket"
)

// callerWriteTimeout is how long a write may wait for the caller to read: the minimum time that
// callers wait for the next event of a stream before they disconnect. It starts with the write
// and not at the request's deadline, because a node that is late since it is short of CPU still
// has an answer to deliver.
const callerWriteTimeout = 2 * time.Second

// Causes of a connection closed without an answer, in addition to the reasons of refusals.
const (
	// causeStopped: the grace period of a shutdown ended.
	causeStopped = "stopped"
	// causeWriteFailed: the answer could not be written in time.
	causeWriteFailed = "write_failed"
	// causePanic: the request's handler panicked.
	causePanic = "panic"
)

// setWriteDeadline limits the duration of the next write, so that a caller that does not read
// cannot hold the node's buffers. The limit is never before the request's deadline.
func (x *exchange) setWriteDeadline() {
	end := x.router.now().Add(callerWriteTimeout)
	if x.deadline.After(end) {
		end = x.deadline
	}
	// A ResponseWriter without deadline support blocks only until the caller disconnects.
	_ = x.rc.SetWriteDeadline(end)
}

// write writes a part of the answer to the server's buffer.
func (x *exchange) write(p []byte) error {
	x.setWriteDeadline()
	n, err := x.w.Write(p)
	x.unflushed += n
	return err
}

// writeAndFlush writes a part of the answer to the caller's connection.
func (x *exchange) writeAndFlush(p []byte) error {
	if err := x.write(p); err != nil {
		return err
	}
	return x.flush()
}

// flush writes the buffered data to the caller's connection.
func (x *exchange) flush() error {
	x.setWriteDeadline()
	if err := x.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if x.unflushed > 0 && x.summary.delivered == 0 {
		x.summary.firstEvent = x.router.now().Sub(x.start)
	}
	x.summary.delivered += x.unflushed
	x.unflushed = 0
	return nil
}

// flushAnswer flushes a complete answer and logs and counts a failed write.
func (x *exchange) flushAnswer() {
	err := x.flush()
	if err == nil {
		return
	}
	x.router.log.Warn("answer not written", "request", x.call.ID, "err", err)
	x.writeFailed = isTimeout(err)
	x.recordUnanswered(problem.CallerGone)
}

// callerGone reports whether the caller's connection has ended.
func (x *exchange) callerGone() bool {
	ctx := x.req.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopping)
}

// maybeSendConnectionClose asks the caller to close its connection after this answer if the
// node is draining or has too many connections. It is evaluated when the header is written, so
// that draining also covers connections whose requests were already in progress when it began.
func (x *exchange) maybeSendConnectionClose() {
	if x.router.draining.Load() || x.router.conns.NearLimit() {
		x.w.Header().Set("Connection", "close")
	}
}

// abort closes the caller's connection, which signals that the answer is incomplete.
func (x *exchange) abort(reason problem.Reason) {
	x.recordUnanswered(reason)
	socket.AbortResponse(x.w, x.req)
}

// recordUnanswered counts a request that was completely read and whose connection ends before a
// byte of its answer was delivered.
func (x *exchange) recordUnanswered(reason problem.Reason) {
	if !x.read || x.summary.delivered > 0 {
		return
	}
	cause := string(reason)
	switch {
	case x.writeFailed:
		cause = causeWriteFailed
	case reason == problem.CallerGone && x.router.stopped.Load():
		// The final Close of the server cancels the request's context as a disconnect does.
		cause = causeStopped
	}
	x.countUnanswered(cause)
}

func (x *exchange) countUnanswered(cause string) {
	x.router.metrics.unanswered.WithLabelValues(cause).Inc()
	if cause == string(problem.CallerGone) {
		return // the log line "refused" has all details, and many callers disconnect in a load surge
	}
	x.router.log.Warn("connection closed without an answer", "request", x.call.ID, "cause", cause,
		"runs", x.executions, "begun", x.answerBegun, "ms", x.router.now().Sub(x.start).Milliseconds())
}
