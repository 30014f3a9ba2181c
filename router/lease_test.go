package router

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

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

// Another attempt has room only at a target that was not tried and would not refuse
// it for its load.
func TestRoomForAnotherAttempt(t *testing.T) {
	const slots = 4
	for _, tt := range []struct {
		name    string
		running int
		drains  bool
		tried   []string
		want    bool
	}{
		{"free", 0, false, []string{"a"}, true},
		{"a few wait", roomFactor*slots - 1, false, []string{"a"}, true},
		{"many wait", roomFactor * slots, false, []string{"a"}, false},
		{"leaving", 0, true, []string{"a"}, false},
		{"all tried", 0, false, []string{"a", "b"}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool(
				roster.Target{ID: "a", Service: "s", Addr: "10.0.0.1:80", Slots: slots, Hash: 1},
				roster.Target{ID: "b", Service: "s", Addr: "10.0.0.2:80", Slots: slots, Hash: 2, Draining: tt.drains},
			)
			p.members["b"].running = tt.running
			is.New(t).Equal(p.hasRoom("s", tt.tried), tt.want)
		})
	}
}
