package cell

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// tier orders the candidates for a place. The target on which the chat last ran comes before
// all of them, if it is under its bound. A higher tier is always preferred; within
// tierUnderSoft the target with the highest rendezvous rank is, and within tierOverSoft the
// one with the largest free share.
type tier int

const (
	tierNone      tier = iota // not a candidate: at or over the bound
	tierOverSoft              // over the soft limit, under the bound: largest free share first, then rank
	tierUnderSoft             // under the soft limit: highest rendezvous rank first
)

// limits holds how many requests may be in flight on a target of capacity 1 before another
// one is placed on it.
type limits struct {
	bound   float64 // c × mean, before rounding
	soft    float64 // NewFactor × mean, before rounding
	hard    int     // MaxInFlight
	rounded roundedLimits
	// estimated means that the counts are estimates, so that a safety margin is added to them.
	estimated bool
}

// roundedLimits caches the limits in whole requests for the last capacity asked for, since
// most targets of a pool have the same.
type roundedLimits struct{ capacity, bound, soft int }

func (l *limits) round(capacity int) {
	if l.rounded.capacity != capacity {
		l.rounded = roundedLimits{capacity: capacity, bound: l.roundUp(l.bound, capacity), soft: l.roundUp(l.soft, capacity)}
	}
}

// limits returns the limits for a request. The mean is that of the whole pool and includes the
// request to be placed.
func (c *Cell) limits(returning, last bool) limits {
	own := c.Totals()
	mean := meanWithOneMore(addTotals(own, c.others))
	factor := c.cfg.LoadFactor
	if last {
		mean = max(mean, meanWithOneMore(own))
	} else {
		factor = max(factor*c.trend.forecast(), min(factor, minLoadFactor))
	}
	l := limits{bound: factor * mean, hard: c.cfg.MaxInFlight, estimated: c.recovery.estimating()}
	l.soft = min(c.cfg.NewFactor, factor) * mean
	if returning {
		l.soft = l.bound
	}
	return l
}

// minLoadFactor is the lowest load factor that a forecast may lead to: at 1 or less the pool
// would have no capacity for the requests that it already holds.
const minLoadFactor = 1.05

// meanWithOneMore is the mean load per unit of capacity, with one more request.
func meanWithOneMore(t Totals) float64 { return float64(t.InFlight+1) / float64(max(t.Capacity, 1)) }

func addTotals(a, b Totals) Totals {
	return Totals{InFlight: a.InFlight + b.InFlight, Capacity: a.Capacity + b.Capacity}
}

// roundUp rounds a limit up to whole requests for a target of that capacity.
func (l *limits) roundUp(limit float64, capacity int) int {
	return min(int(math.Ceil(limit*float64(capacity))), l.hard*capacity)
}

// candidate is the score of a target for a request.
type candidate struct {
	slot int
	tier tier
	free float64 // free share of the bound, used within tierOverSoft
	rank uint64  // rendezvous score
}

func (a *candidate) better(b *candidate) bool {
	if a.tier != b.tier {
		return a.tier > b.tier
	}
	if a.tier == tierOverSoft && a.free != b.free {
		return a.free > b.free
	}
	return a.rank > b.rank
}

// place returns the slot index of the best target for a request, or -1 if none is under its
// bound.
func (c *Cell) place(now time.Time, a AcquireRequest) int {
	last, known := c.lastTargets.Get(a.Chat)
	// A returning chat whose last target is unknown may have its prefix cached on the target
	// that ranks first for it, which is then worth a load up to the bound. A chat whose last
	// target is known but can't be used has lost its prefix, and is placed like a new one.
	l := c.limits(a.Returning && !known, a.Last)
	if i, ok := c.index[last]; ok && c.eligible(now, i, a.Exclude) && c.score(i, a.Chat, &l).tier > tierNone {
		return i
	}
	best := candidate{slot: -1}
	for i := range c.slots {
		if !c.slots[i].listed {
			continue
		}
		if s := c.score(i, a.Chat, &l); s.better(&best) && c.eligible(now, i, a.Exclude) {
			best = s
		}
	}
	return best.slot
}

// eligible reports whether a target may get the request, regardless of its load.
func (c *Cell) eligible(now time.Time, i int, exclude []string) bool {
	return (c.slots[i].usable || c.trialAllowed(now, i)) && !slices.Contains(exclude, c.slots[i].id)
}

// score rates one target by its load and rendezvous rank.
func (c *Cell) score(i int, chat uint64, l *limits) candidate {
	s := &c.slots[i]
	count := s.count
	if l.estimated {
		count = c.recovery.upperEstimate(count)
	}
	l.round(s.capacity)
	if count >= l.rounded.bound {
		return candidate{slot: i}
	}
	out := candidate{slot: i, tier: tierUnderSoft, rank: routing.Rank(chat, s.key)}
	if count >= l.rounded.soft {
		out.tier = tierOverSoft
		out.free = float64(l.rounded.bound-count) / float64(s.capacity)
	}
	return out
}
