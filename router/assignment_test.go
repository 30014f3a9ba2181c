package router

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/roster"
)

// Another attempt needs a target that was not tried yet, accepts requests and is reachable.
func TestTargetForAnotherAttempt(t *testing.T) {
	for _, tt := range []struct {
		name        string
		drains      bool
		unreachable bool
		tried       []string
		want        bool
	}{
		{"free", false, false, []string{"a"}, true},
		{"leaving", true, false, []string{"a"}, false},
		{"unreachable", false, true, []string{"a"}, false},
		{"all tried", false, false, []string{"a", "b"}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool(
				roster.Target{ID: "a", Service: service, Addr: "10.0.0.1:80", Hash: 1},
				roster.Target{ID: "b", Service: service, Addr: "10.0.0.2:80", Hash: 2, Draining: tt.drains},
			)
			p.dial = func(string) error { return nil }
			if tt.unreachable {
				p.observe(p.members["b"], health.Unreachable)
			}
			is.New(t).Equal(p.hasOther(criteria{service: service, tried: tt.tried}), tt.want)
		})
	}
}
