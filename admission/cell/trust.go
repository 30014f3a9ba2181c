package cell

import (
	"math"
	"time"
)

// minHeard is the share of the holders that must have been heard before an
// owner that took over grants anything.
const minHeard = 0.5

// trust says how far the counts can be relied on. An owner that took over, or
// was paused, waits for its holders; the requests of those it hasn't heard are
// estimated from those it has, since callers spread evenly over the nodes.
type trust struct {
	waiting  map[Holder]bool
	heard    int
	lastTick time.Time
}

// Takeover begins a wait for the places of the holders, which the caller asks
// to Resync even if they have none. Until half of them are heard the cell
// grants nothing.
func (c *Cell) Takeover(holders []Holder) {
	c.trust.waiting = make(map[Holder]bool, len(holders))
	c.trust.heard = 0
	for _, h := range holders {
		c.trust.waiting[h] = true
	}
}

// Recovering says that too few holders have been heard since the Takeover, so
// that the cell grants nothing and its Totals mean nothing.
func (c *Cell) Recovering() bool { return c.trust.recovering() }

// EndTakeover stops waiting: holders that haven't answered are taken to have
// nothing in flight.
func (c *Cell) EndTakeover() { c.trust.waiting = nil }

// Excuse stops waiting for a holder, for example of a node that seems dead, and
// keeps the places that it is known to have.
func (c *Cell) Excuse(h Holder) { c.trust.drop(h) }

// Waiting returns the holders that haven't been heard since the Takeover.
func (c *Cell) Waiting() []Holder {
	out := make([]Holder, 0, len(c.trust.waiting))
	for h := range c.trust.waiting {
		out = append(out, h)
	}
	return out
}

// Tick tells the cell that its process runs; call it several times within
// MaxPause. After a longer gap other owners may have granted places, so the
// cell begins a takeover from the holders it knows; Waiting names them. An
// owner that never calls Tick is taken to run.
func (c *Cell) Tick(now time.Time) {
	c.checkPause(now)
	c.trust.lastTick = now
}

func (c *Cell) checkPause(now time.Time) {
	last := c.trust.lastTick
	if last.IsZero() || now.Sub(last) <= c.cfg.MaxPause {
		return
	}
	c.trust.lastTick = now
	c.Takeover(c.Holders())
}

func (t *trust) hear(h Holder) {
	if t.waiting[h] {
		delete(t.waiting, h)
		t.heard++
	}
}

func (t *trust) drop(h Holder) { delete(t.waiting, h) }

// recovering says whether too few holders have been heard to grant anything.
func (t *trust) recovering() bool {
	all := t.heard + len(t.waiting)
	return len(t.waiting) > 0 && float64(t.heard) < minHeard*float64(all)
}

// estimating says whether counts stand for holders that haven't been heard.
func (t *trust) estimating() bool { return len(t.waiting) > 0 && !t.recovering() }

// scale estimates a count from the holders that have been heard, rounded up.
func (t *trust) scale(count int) int {
	if !t.estimating() {
		return count
	}
	return (count*(t.heard+len(t.waiting)) + t.heard - 1) / t.heard
}

// cautious is scale with one standard deviation of the requests that haven't
// been heard of, taken as Poisson.
func (t *trust) cautious(count int) int {
	if !t.estimating() {
		return count
	}
	ratio := float64(len(t.waiting)) / float64(t.heard)
	unheard := float64(count) * ratio
	return int(math.Ceil(float64(count) + unheard + math.Sqrt(unheard*(1+ratio))))
}
