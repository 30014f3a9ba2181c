package cell

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/worktime"
)

// A cell with a queue limits each target to an exact number of places instead of the bound that
// follows from the mean load.

// isCold reports whether the target is limited to coldPerSecond.
func (s *slot) isCold(now time.Time) bool { return s.coldPerSecond > 0 && now.Before(s.coldUntil) }

// coldInterval is the minimum time between two grants of a cold target. Even spacing keeps any second
// within the limit, also if the owner changes and the next one doesn't know the last grants.
func (s *slot) coldInterval(share float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / (s.coldPerSecond * share)))
}

// limit is the number of places that the cell may grant on a target.
func (c *Cell) limit(s *slot) int {
	return int(math.Ceil(c.queue.share * float64(c.cfg.MaxInFlight*s.capacity)))
}

// hasFree reports whether a target has a place that may be granted now.
func (c *Cell) hasFree(now time.Time, i int) bool {
	s := &c.slots[i]
	if s.isCold(now) && now.Before(s.nextGrant) {
		return false
	}
	// Requests that no holder has reported may be counted by the estimate, too.
	used := max(s.count+s.outside, c.recovery.upperEstimate(s.count))
	return s.count < c.limit(s) && used < c.cfg.MaxInFlight*s.capacity && (s.usable || c.trialAllowed(now, i))
}

// freeTarget returns the index of the target for a request, or -1 if no target has a free place for
// it: the one with the lowest load per slot, then one in the request's failure domain, then by hash.
func (c *Cell) freeTarget(now time.Time, a *AcquireRequest) int {
	best := -1
	for i := range c.slots {
		if !c.hasFree(now, i) || slices.Contains(a.Exclude, c.slots[i].id) {
			continue
		}
		if best < 0 || c.slots[i].preferredTo(&c.slots[best], a) {
			best = i
		}
	}
	return best
}

func (s *slot) preferredTo(t *slot, a *AcquireRequest) bool {
	load, other := (s.count+s.outside)*t.capacity, (t.count+t.outside)*s.capacity
	if load != other {
		return load < other
	}
	if near := s.domain == a.Domain; near != (t.domain == a.Domain) {
		return near
	}
	key := routing.Hash(a.Request) ^ routing.Hash(a.Holder.Node)
	return routing.Rank(key, s.key) > routing.Rank(key, t.key)
}

// hasUsable reports whether a target is usable and not excluded.
func (c *Cell) hasUsable(exclude []string) bool {
	for i := range c.slots {
		if c.slots[i].usable && !slices.Contains(exclude, c.slots[i].id) {
			return true
		}
	}
	return false
}

// grantable returns the number of places that the cell may grant on all usable targets.
func (c *Cell) grantable() int {
	n := 0
	for i := range c.slots {
		if c.slots[i].usable {
			n += c.openPlaces(&c.slots[i])
		}
	}
	return n
}

// openPlaces is the number of a target's places that the cell can expect to grant. Requests from
// outside take places from it for as long as there are others like them, but their places are freed,
// too, so one remains.
func (c *Cell) openPlaces(s *slot) int {
	return max(min(c.limit(s), c.cfg.MaxInFlight*s.capacity-s.outside), 1)
}

// estimate predicts when waiting requests start.
type estimate struct {
	c         *Cell
	now       time.Time
	perSecond float64 // places that are freed in a second
	interval  float64 // between two of them, in seconds
}

func (c *Cell) newEstimate(now time.Time) estimate {
	e := estimate{c: c, now: now}
	e.perSecond = e.rate(nil)
	e.interval = 1 / e.perSecond
	return e
}

// rate returns how many places of the usable targets that aren't excluded are freed in a second. It is
// infinite while the hold time isn't known.
func (e *estimate) rate(exclude []string) float64 {
	rate := 0.0
	for i := range e.c.slots {
		s := &e.c.slots[i]
		if !s.usable || slices.Contains(exclude, s.id) {
			continue
		}
		r := float64(e.c.openPlaces(s)) / e.c.queue.hold.Mean().Seconds()
		if s.isCold(e.now) {
			r = min(r, s.coldPerSecond*e.c.queue.share)
		}
		rate += r
	}
	return rate
}

// startIn returns the expected delay until a request at the given position starts.
func (e *estimate) startIn(position int, exclude []string) time.Duration {
	seconds := float64(position+1) * e.interval
	if len(exclude) > 0 {
		seconds = float64(position)*e.interval + 1/e.rate(exclude)
	}
	return time.Duration(min(seconds, worktime.NoLimit.Seconds()) * float64(time.Second))
}

// spread returns by how much the start at a position may come later than expected, as the times for which places are
// held differ. A request waits only if it would start in time even then, so that it isn't refused after it has waited.
func (e *estimate) spread(position int) time.Duration {
	hold := &e.c.queue.hold
	if !hold.Known() {
		return 0
	}
	relative := float64(hold.Bound()-hold.Mean()) / float64(hold.Mean())
	return time.Duration(min(relative*math.Sqrt(float64(position+1))*e.interval, worktime.NoLimit.Seconds()) * float64(time.Second))
}

// nextGrantAt returns when a target may be granted again that is cold or suspended; the zero time if
// it is neither.
func (c *Cell) nextGrantAt(i int) time.Time {
	s := &c.slots[i]
	switch {
	case !s.listed:
		return time.Time{}
	case !s.usable:
		return c.health[s.id].until
	case s.coldPerSecond > 0 && s.coldUntil.Before(s.nextGrant):
		return s.coldUntil
	case s.coldPerSecond > 0:
		return s.nextGrant
	}
	return time.Time{}
}
