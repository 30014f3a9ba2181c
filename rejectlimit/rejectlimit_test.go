package rejectlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// The quotas of all nodes are the target's slots, none twice.
func TestQuotasAreTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, nodes := rapid.IntRange(0, 64).Draw(t, "slots"), rapid.IntRange(1, 400).Draw(t, "nodes")
		sum := 0
		for position := range nodes {
			sum += Quota(slots, nodes, position)
		}
		if sum != slots {
			t.Fatalf("%d of %d slots", sum, slots)
		}
	})
}

func TestAnnouncementHoldsForAWhile(t *testing.T) {
	is := is.New(t)
	var a Announcement
	_, ok := a.Limit(start)
	is.True(!ok)
	a.Record(7, start)
	a.Record(9, start.Add(time.Second))
	limit, ok := a.Limit(start.Add(2 * time.Second))
	is.True(ok)
	is.Equal(limit, 7) // the lowest of those in force
	_, ok = a.Limit(start.Add(3 * time.Second))
	is.True(!ok)
	a.Record(9, start.Add(4*time.Second))
	limit, _ = a.Limit(start.Add(4 * time.Second))
	is.Equal(limit, 9)
}

// All nodes together cause at most half of the limit in a second, if each causes one rejection per hold.
func TestHoldAfterARejection(t *testing.T) {
	for _, tt := range []struct {
		limit, nodes int
		hold         time.Duration
	}{{4, 8, 4 * time.Second}, {100, 8, time.Second}, {0, 8, maxHold}, {4, 295, maxHold}} {
		is := is.New(t)
		var s Share
		is.True(s.Allow(0, 1, start))
		is.True(!s.Allow(1, 1, start))
		s.Rejected(tt.limit, tt.nodes, start)
		is.True(!s.Allow(0, 1, start.Add(tt.hold-1)))
		is.True(s.Allow(0, 1, start.Add(tt.hold)))
	}
}
