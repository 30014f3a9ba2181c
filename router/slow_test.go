package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/quarantine"
)

// slowCaller accepts no byte of an answer until it is released.
type slowCaller struct {
	header   http.Header
	released chan struct{}
}

func (c *slowCaller) Header() http.Header { return c.header }
func (*slowCaller) WriteHeader(int)       {}
func (c *slowCaller) Write(p []byte) (int, error) {
	<-c.released
	return 0, http.ErrHandlerTimeout
}

// endlessBody counts the bytes that are read from a target.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}
func (*endlessBody) Close() error { return nil }

// plainDialect passes answers on unchanged.
type plainDialect struct{ Dialect }

func (plainDialect) EncodeReplyHeader(http.Header, http.Header) {}

// What a node holds for callers that read slowly counts toward its memory: if it read ahead, a few
// hundred long answers would end it.
func TestSlowCallerStopsTheReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(run("a", 10))
		r := &Router{pool: p.pool, now: clock.Monotonic, dialect: plainDialect{}, conns: intake.NewTracker(intake.Limits{}, newMetrics(prometheus.NewRegistry()).intake, nil, clock.Monotonic)}
		w := &slowCaller{header: make(http.Header), released: make(chan struct{})}
		x := &exchange{router: r, w: w, rc: http.NewResponseController(w), req: &http.Request{}, attempts: p.guard.NewAttempts("r", func() quarantine.Keys { return quarantine.Keys{} })}
		body := &endlessBody{}
		resp := &http.Response{StatusCode: http.StatusOK, Body: body}
		x.received.Start(resp, false)
		done := make(chan *failure)
		go func() {
			done <- x.copyRest(context.Background(), p.take(t), resp)
		}()
		synctest.Wait()
		is.Equal(body.read.Load(), int64(streamBuffer))
		close(w.released)
		is.True(<-done != nil) // the caller is gone
		is.Equal(body.read.Load(), int64(streamBuffer))
	})
}
