package returns

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func newSchedule(seed uint64) *Schedule { return New(DefaultConfig(), rand.New(rand.NewPCG(seed, 1))) }

// Every return time is at least Min and at most the part of the remaining time that callers
// wait for; otherwise callers come back before or at a time that nobody planned for.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, cfg, now := newSchedule(rapid.Uint64().Draw(t, "seed")), DefaultConfig(), start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			rate := rapid.SampledFrom([]float64{0, 0.3, 7, 500, 1e9, -1, math.NaN(), math.Inf(1)}).Draw(t, "rate")
			left := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "left")) * time.Millisecond
			got := s.Next(now, rapid.IntRange(-1, 9).Draw(t, "urgency"), rate, left)
			most := cfg.Horizon
			if left > 0 {
				most = min(most, time.Duration(cfg.MaxFraction*float64(left)))
			}
			if got < cfg.Min || got > max(most, cfg.Min) {
				t.Fatalf("%v, not within %v and %v", got, cfg.Min, most)
			}
		}
	})
}

// No more callers than perSecond allows are told to come back in an interval. More of them would
// be refused a second time. Callers who find no room get the last third of the bound.
func TestRatePerInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSchedule(rapid.Uint64().Draw(t, "seed")), start
		rate := rapid.Float64Range(0.5, 400).Draw(t, "rate")
		counts := map[int64]int{}
		for range rapid.IntRange(1, 2000).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "ms")) * time.Millisecond)
			got := s.Next(now, rapid.IntRange(0, 4).Draw(t, "urgency"), rate, 9*time.Second)
			if got < 2*time.Second {
				counts[now.Add(got).UnixNano()/int64(interval)]++
			}
		}
		allowed := int(math.Ceil(rate * interval.Seconds()))
		for at, n := range counts {
			if n > allowed {
				t.Fatalf("%d return in interval %d, %d allowed", n, at, allowed)
			}
		}
	})
}

// The room is used: as many callers as perSecond allows come back before the last third of the
// bound, also at less than one place an interval.
func TestRoomIsUsed(t *testing.T) {
	for _, rate := range []float64{2, 30, 333} {
		s, n := newSchedule(1), 0
		for range int(rate * 10) {
			if s.Next(start, 1, rate, 9*time.Second) < 2*time.Second {
				n++
			}
		}
		room := rate * 1.925
		t.Logf("rate %v: %d callers for %.1f places", rate, n, room)
		// An interval that begins before Min is counted as a whole.
		is.New(t).True(math.Abs(float64(n)-room) <= 1+rate*interval.Seconds())
	}
}

// In a shortage of three urgencies the more urgent callers return earlier; without more urgent
// ones the least urgent callers use all of the room.
func TestMoreUrgentReturnEarlier(t *testing.T) {
	is, s := is.New(t), newSchedule(2)
	var sums [3]time.Duration
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		sums[i%3] += s.Next(now, i%3, 180, 9*time.Second)
	}
	t.Logf("mean return times %v, %v, %v", sums[0]/1000, sums[1]/1000, sums[2]/1000)
	is.True(sums[0] < sums[1] && sums[1] < sums[2])

	s = newSchedule(3)
	for range 100 {
		is.True(s.Next(start, 4, 100, 9*time.Second) < 1200*time.Millisecond)
	}
}

// Without any room the return times are spread over the last third of the bound; at one time all
// callers would come back together.
func TestNoRoom(t *testing.T) {
	is, s := is.New(t), newSchedule(4)
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		got := s.Next(start, 0, 0, 9*time.Second)
		low, high = min(low, got), max(high, got)
	}
	is.True(low >= 2*time.Second && low < 2100*time.Millisecond)
	is.True(high <= 3*time.Second && high > 2900*time.Millisecond)
}

// A clock that is set back, and a pause of days, must not leave old bookings in the way.
func TestClockJumps(t *testing.T) {
	is, s := is.New(t), newSchedule(5)
	for _, now := range []time.Time{start, start.Add(72 * time.Hour), start} {
		for range 100 {
			is.True(s.Next(now, 0, 1000, 9*time.Second) < 300*time.Millisecond)
		}
	}
}

// BenchmarkNext measures a schedule in a shortage, in which most intervals are full.
func BenchmarkNext(b *testing.B) {
	s, now := newSchedule(6), start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		s.Next(now, i%3, 300, 9*time.Second)
	}
}
