package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/peer"
)

// TestErrorsOfTheHub: a failure that is taken for another kind suspects a working node, or asks a
// node of the previous release again and again.
func TestErrorsOfTheHub(t *testing.T) {
	is := is.New(t)
	hub := func(handlers map[string]peer.Handler) *peer.Hub {
		h := peer.NewHub("127.0.0.1:0", log.New(io.Discard), prometheus.NewRegistry())
		for method, f := range handlers {
			h.Handle(method, f)
			h.LimitConcurrency(method, 0)
		}
		is.NoErr(h.Start(t.Context()))
		t.Cleanup(func() { _ = h.Stop(context.Background()) })
		return h
	}
	asking, old := hub(nil), hub(nil)
	busy := hub(map[string]peer.Handler{methodPull: func(context.Context, json.RawMessage) (any, error) { return nil, nil }})
	bytes := wire.Bytes{CounterVec: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bytes"}, []string{"direction", "method"})}
	call := func(addr string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return wire.Call(ctx, asking, bytes, addr, methodPull, holds.Pull{}, &holds.Resync{})
	}
	is.True(methodMissing(call(old.Addr())))
	reason, unanswered := failureReason(call(busy.Addr()))
	is.Equal(reason, reasonBusy)
	is.True(!unanswered)
	reason, unanswered = failureReason(call("127.0.0.1:1"))
	is.Equal(reason, reasonUnreachable)
	is.True(unanswered)
}
