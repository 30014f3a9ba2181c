package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/problem"
)

// callerStall is how long a write may wait for its caller to read: as long as callers
// wait at least for the next event of a stream before they leave. It begins with the
// write and not with the request's deadline: a node that is late for want of its
// processor has an answer to give all the same.
const callerStall = 2 * time.Second

// Causes of a connection closed without an answer, besides the reasons of refusals.
const (
	// causeStopped: the grace time of a stop was over.
	causeStopped = "stopped"
	// causeWrite: the answer could not be written in time.
	causeWrite = "write_failed"
	// causePanic: the program has a fault.
	causePanic = "panic"
)

// limitWrite bounds the write that follows: a caller that doesn't read must not hold
// the node's buffers. Until the request's deadline it may take its time.
func (x *exchange) limitWrite() {
	end := x.router.now().Add(callerStall)
	if x.deadline.After(end) {
		end = x.deadline
	}
	// A writer without deadlines only waits for the caller's own end.
	_ = http.NewResponseController(x.w).SetWriteDeadline(end)
}

// write hands a part of the answer to the server's buffer.
func (x *exchange) write(p []byte) error {
	x.limitWrite()
	n, err := x.w.Write(p)
	x.unflushed += n
	return err
}

// writeNow hands a part of the answer to the caller's connection.
func (x *exchange) writeNow(p []byte) error {
	if err := x.write(p); err != nil {
		return err
	}
	return x.flush()
}

// flush hands what was written to the caller's connection.
func (x *exchange) flush() error {
	x.limitWrite()
	if err := http.NewResponseController(x.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if x.unflushed > 0 && x.done.delivered == 0 {
		x.done.firstEvent = x.router.now().Sub(x.start)
	}
	x.done.delivered += x.unflushed
	x.unflushed = 0
	return nil
}

// flushLast flushes an answer that is whole, so that a failure to write it is seen.
func (x *exchange) flushLast() {
	err := x.flush()
	if err == nil {
		return
	}
	x.router.log.Warn("answer not written", "request", x.call.ID, "err", err)
	x.writeFailed = isTimeout(err)
	x.noteUnanswered(problem.CallerGone)
}

// callerGone says whether the caller's connection has ended.
func (x *exchange) callerGone() bool {
	ctx := x.req.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopping)
}

// limitConnection asks the caller to close its connection after this answer where
// the node stops or has too many. It goes by the moment at which the header is
// written, so that a stop also reaches connections whose requests it found waiting.
func (x *exchange) limitConnection() {
	if x.router.draining.Load() || x.router.conns.crowded() {
		x.w.Header().Set("Connection", "close")
	}
}

// abort closes the caller's connection, which shows the caller that its answer
// is not whole.
func (x *exchange) abort(reason problem.Reason) {
	x.noteUnanswered(reason)
	panic(http.ErrAbortHandler)
}

// noteUnanswered counts a request that was read whole and whose connection ends
// without a byte of an answer.
func (x *exchange) noteUnanswered(reason problem.Reason) {
	if !x.read || x.done.delivered > 0 {
		return
	}
	cause := string(reason)
	switch {
	case x.writeFailed:
		cause = causeWrite
	case reason == problem.CallerGone && x.router.stopped.Load():
		// The node's last Close looks like a caller that leaves.
		cause = causeStopped
	}
	x.countUnanswered(cause)
}

func (x *exchange) countUnanswered(cause string) {
	x.router.metrics.unanswered.WithLabelValues(cause).Inc()
	x.router.log.Warn("connection closed without an answer", "request", x.call.ID, "cause", cause,
		"runs", x.runs, "begun", x.begun, "ms", x.router.now().Sub(x.start).Milliseconds())
}
