package router

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/roster"
)

// silentFleet is a fleet of which nothing is heard.
type silentFleet struct{}

func (silentFleet) Targets([]uint64, func(int, heartbeat.Sum)) {}
func (silentFleet) Lives() int                                 { return 1 }
func (silentFleet) Interval() time.Duration                    { return 100 * time.Millisecond }

func newTestPool(targets ...roster.Target) *pool {
	k := roster.NewKeeper()
	k.Reset(targets, time.Unix(1000, 0))
	p := newPool(silentFleet{}, "zone-0", log.New(io.Discard))
	p.update(k.Snapshot())
	return p
}

// Another attempt needs a target that was not tried and may get work.
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
				roster.Target{ID: "a", Service: "s", Addr: "10.0.0.1:80", Hash: 1},
				roster.Target{ID: "b", Service: "s", Addr: "10.0.0.2:80", Hash: 2, Draining: tt.drains},
			)
			p.try = func(string) error { return nil }
			if tt.unreachable {
				p.observe(p.members["b"], health.Unreachable)
			}
			is.New(t).Equal(p.hasOther("s", tt.tried), tt.want)
		})
	}
}
