package cell

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// tier orders the candidates for a place after the target that ran the chat
// last: a target of a higher tier is always preferred, and within a tier the
// one with the higher score.
type tier int

const (
	tierNone tier = iota // not a candidate
	tierRoom             // under the bound: prefer room, then rank
	tierHome             // under the soft limit: prefer the rendezvous rank
)

// limits is what may be in flight on a target of capacity 1 before a request
// is placed on it.
type limits struct {
	bound float64 // c × mean, before rounding
	soft  float64 // new factor × mean, before rounding
	hard  int     // MaxInFlight
	whole whole
	// estimate says that counts are to be taken with caution.
	estimate bool
}

// whole caches the limits in whole requests for the last capacity asked for,
// since most targets of a pool have the same.
type whole struct{ capacity, bound, soft int }

func (l *limits) round(capacity int) {
	if l.whole.capacity != capacity {
		l.whole = whole{capacity: capacity, bound: l.of(l.bound, capacity), soft: l.of(l.soft, capacity)}
	}
}

// limits returns the limits for an Ask. The mean is that of the whole pool
// and includes the request to be placed.
func (c *Cell) limits(returning, last bool) limits {
	own := c.Totals()
	mean := meanWith(plus(own, c.others))
	factor := c.cfg.LoadFactor
	if last {
		mean = max(mean, meanWith(own))
	} else {
		factor = max(factor*c.trend.forecast(), min(factor, leastFactor))
	}
	l := limits{bound: factor * mean, hard: c.cfg.MaxInFlight, estimate: c.trust.estimating()}
	l.soft = min(c.cfg.NewFactor, factor) * mean
	if returning {
		l.soft = l.bound
	}
	return l
}

// leastFactor is how far a forecast may lower the load factor: at 1 or less
// there would be no room in the pool for what it holds.
const leastFactor = 1.05

// meanWith is the mean with one more request.
func meanWith(t Totals) float64 { return float64(t.InFlight+1) / float64(max(t.Capacity, 1)) }

func plus(a, b Totals) Totals {
	return Totals{InFlight: a.InFlight + b.InFlight, Capacity: a.Capacity + b.Capacity}
}

// of rounds a limit up to whole requests for a target of that capacity.
func (l *limits) of(limit float64, capacity int) int {
	return min(int(math.Ceil(limit*float64(capacity))), l.hard*capacity)
}

// candidate is the score of a target for an Ask.
type candidate struct {
	slot int
	tier tier
	room float64 // free share of the bound, used within tierRoom
	rank uint64  // rendezvous score
}

func (a *candidate) better(b *candidate) bool {
	if a.tier != b.tier {
		return a.tier > b.tier
	}
	if a.tier == tierRoom && a.room != b.room {
		return a.room > b.room
	}
	return a.rank > b.rank
}

// place picks the best target for an Ask, or -1 if none is under its bound.
func (c *Cell) place(now time.Time, a Ask) int {
	last, known := c.memory.Get(a.Chat)
	// Where the prefix is lost anyway, a chat is placed as if new; where it may
	// be at home, home is worth more load.
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

// eligible filters out what must not get the request, whatever its load.
func (c *Cell) eligible(now time.Time, i int, exclude []string) bool {
	return (c.slots[i].usable || c.onTrial(now, i)) && !slices.Contains(exclude, c.slots[i].id)
}

// score ranks one target by its load and rendezvous rank.
func (c *Cell) score(i int, chat uint64, l *limits) candidate {
	s := &c.slots[i]
	count := s.count
	if l.estimate {
		count = c.trust.cautious(count)
	}
	l.round(s.capacity)
	if count >= l.whole.bound {
		return candidate{slot: i}
	}
	out := candidate{slot: i, tier: tierHome, rank: routing.Rank(chat, s.key)}
	if count >= l.whole.soft {
		out.tier = tierRoom
		out.room = float64(l.whole.bound-count) / float64(s.capacity)
	}
	return out
}
