package router

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/quarantine"
)

// Guards against bodies that are kept until long streams end, and against a request that is sent again without its body.
func TestBodyIsDroppedOnceItCannotBeSentAgain(t *testing.T) {
	const large = minDroppedBody
	tests := map[string]struct {
		route      catalog.Route
		size       int
		executions int
		sending    bool // the transport is still sending the body
		dropped    bool
	}{
		"a stream":                     {catalog.Route{Kind: catalog.Streaming, MaxAttempts: 1}, large, 1, false, true},
		"more attempts, not allowed":   {catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 3}, large, 1, false, true},
		"may go on elsewhere":          {catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, large, 1, false, false},
		"idempotent":                   {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, large, 1, false, false},
		"idempotent, the last attempt": {catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, large, 2, false, true},
		"small":                        {catalog.Route{Kind: catalog.Streaming, MaxAttempts: 1}, large - 1, 1, false, false},
		"still being sent":             {catalog.Route{Kind: catalog.Streaming, MaxAttempts: 1}, large, 1, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := make([]byte, tt.size)
			guard := quarantine.NewGuard(quarantine.DefaultConfig(), clock.Monotonic, log.New(io.Discard), prometheus.NewRegistry())
			var identified []byte
			x := &exchange{route: &tt.route, body: body, executions: tt.executions, sent: newSentBody(body)}
			x.attempts = guard.NewAttempts("id", func() quarantine.Keys {
				identified = x.body
				return quarantine.Keys{}
			})
			if !tt.sending {
				is.NoErr(x.sent.Close())
			}
			x.dropBody()
			is.Equal(x.body == nil, tt.dropped)
			is.Equal(x.bodyDropped, tt.dropped)
			if tt.dropped { // the quarantine knows the request by its body
				is.Equal(len(identified), tt.size)
			}
		})
	}
}
