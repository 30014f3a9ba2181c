// Package returns chooses the Retry-After of refused callers, so that they come back when a
// service has room for them. It is pure: the clock and the random source are passed in. A
// Schedule is not safe for concurrent use.
//
// It is designed for up to some thousand refusals a second at a node, by callers that have
// seconds to half a minute left.
package returns

import (
	"math"
	"math/rand/v2"
	"time"
)

// Config sets the bounds of return times.
type Config struct {
	// Min is the shortest return time, and MaxFraction the longest as a fraction of the caller's
	// remaining time: callers honour no longer one.
	Min         time.Duration
	MaxFraction float64
	// Horizon is the longest return time of all, also that of callers without a deadline.
	Horizon time.Duration
}

// DefaultConfig returns the bounds for callers that honour Retry-After up to a third of the time
// that they have left. The horizon keeps the schedule small: shortages that last for longer are
// told in steps.
func DefaultConfig() Config {
	return Config{Min: 75 * time.Millisecond, MaxFraction: 1.0 / 3, Horizon: 10 * time.Second}
}

const (
	// interval is the unit in which return times are booked. It is shorter than Min and than the
	// 0.1 to 0.2 s that a request holds a slot, so the spread within it needs no further order.
	interval = 50 * time.Millisecond
	// ranks is the number of urgencies that are told apart; the last one includes all beyond.
	ranks = 5
	// rateDecay is the time constant of the rate at which each urgency books.
	rateDecay = time.Second
	// maxReserved is the largest fraction of an interval that is kept for more urgent callers.
	maxReserved = 0.75
	// reserve is the part of the more urgent callers' rate that is kept for them. Above 1 their
	// bookings don't fall behind when several come at once.
	reserve = 1.25
)

// booked holds the bookings of an interval by urgency. The index is that of the interval since
// the epoch.
type booked struct {
	index  int64
	counts [ranks]uint32
}

// Schedule hands out return times. It holds a ring of the intervals up to the horizon, so its
// size is fixed and a call takes at most one pass over them.
type Schedule struct {
	cfg  Config
	rng  *rand.Rand
	ring []booked
	// rates are the decaying numbers of calls by urgency, as of ratesAt.
	rates   [ranks]float64
	ratesAt time.Time
}

// New returns an empty schedule. A Horizon of 0 stands for the default.
func New(cfg Config, rng *rand.Rand) *Schedule {
	if cfg.Horizon <= 0 {
		cfg.Horizon = DefaultConfig().Horizon
	}
	cfg.Horizon = max(cfg.Horizon, cfg.Min)
	return &Schedule{cfg: cfg, rng: rng, ring: make([]booked, cfg.Horizon/interval+2)}
}

// Next returns the return time of a caller of the given urgency that is refused at now. perSecond is
// the expected number of returning callers that can be served a second; remaining is the caller's
// time left, 0 for no limit.
//
// The caller gets the first interval with room, and a random time within it. Room for more
// urgent callers is left at the rate at which they were refused in the last second, so that they
// return earlier. Without an interval with room the return time is in the last third of the
// bound.
func (s *Schedule) Next(now time.Time, urgency int, perSecond float64, remaining time.Duration) time.Duration {
	bound := s.cfg.Horizon
	if remaining > 0 {
		bound = min(bound, time.Duration(s.cfg.MaxFraction*float64(remaining)))
	}
	rank := min(max(urgency, 0), ranks-1)
	s.countCall(rank, now)
	if bound <= s.cfg.Min {
		return s.cfg.Min
	}
	if perSecond > 0 {
		if after, ok := s.book(now, rank, perSecond, bound); ok {
			return after
		}
	}
	return max(bound-time.Duration(s.rng.Float64()/3*float64(bound)), s.cfg.Min)
}

// book takes a place in the first interval with room whose start is within the bound.
func (s *Schedule) book(now time.Time, rank int, perSecond float64, bound time.Duration) (time.Duration, bool) {
	all := perSecond * interval.Seconds()
	own := perSecond - min(reserve*s.moreUrgent(rank), maxReserved*perSecond)
	own *= interval.Seconds()
	from, to := now.Add(s.cfg.Min), now.Add(bound)
	for index := from.UnixNano() / int64(interval); index <= to.UnixNano()/int64(interval); index++ {
		b := s.at(index)
		total, notMoreUrgent := uint32(0), uint32(0)
		for r, n := range b.counts {
			total += n
			if r >= rank {
				notMoreUrgent += n
			}
		}
		if float64(total) >= places(index, all) || float64(notMoreUrgent) >= places(index, own) {
			continue
		}
		b.counts[rank]++
		start := time.Unix(0, index*int64(interval))
		earliest := max(start.Sub(now), s.cfg.Min)
		latest := min(start.Sub(now)+interval, bound)
		return earliest + time.Duration(s.rng.Float64()*float64(max(latest-earliest, 0))), true
	}
	return 0, false
}

// places returns the whole number of places in an interval if each has perInterval of them on
// average. The parts that are left accumulate over the intervals.
func places(index int64, perInterval float64) float64 {
	// The remainder keeps the product exact enough for the fraction.
	i := float64(index % (1 << 20))
	return math.Floor((i+1)*perInterval) - math.Floor(i*perInterval)
}

// at returns the bookings of an interval. What the ring held of an interval of the past is
// dropped.
func (s *Schedule) at(index int64) *booked {
	b := &s.ring[index%int64(len(s.ring))]
	if b.index != index {
		*b = booked{index: index}
	}
	return b
}

// countCall adds a call to the rate of its urgency.
func (s *Schedule) countCall(rank int, now time.Time) {
	if since := now.Sub(s.ratesAt); since > 0 {
		left := math.Exp(-since.Seconds() / rateDecay.Seconds())
		for r := range s.rates {
			s.rates[r] *= left
		}
		s.ratesAt = now
	}
	s.rates[rank]++
}

// moreUrgent returns the number of calls a second by callers more urgent than rank.
func (s *Schedule) moreUrgent(rank int) float64 {
	sum := 0.0
	for _, n := range s.rates[:rank] {
		sum += n
	}
	return sum / rateDecay.Seconds()
}
