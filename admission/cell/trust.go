package cell

import (
	"math"
	"time"
)

// minReported is the share of the holders that must have reported their places before an
// owner that took over grants anything.
const minReported = 0.5

// recovery tracks how complete the counts are. An owner that took over, or was paused, waits
// for its holders to report their places. Callers spread evenly over the nodes, so the
// requests of holders that haven't reported are estimated from those that have.
type recovery struct {
	waiting  map[Holder]bool
	reported int
	lastTick time.Time
}

// Takeover begins to wait for the places of the holders. The caller must ask each of them to
// Resync, even if it has none. The cell grants nothing until half of them have reported.
func (c *Cell) Takeover(holders []Holder) {
	c.recovery.waiting = make(map[Holder]bool, len(holders))
	c.recovery.reported = 0
	for _, h := range holders {
		c.recovery.waiting[h] = true
	}
}

// Recovering reports whether too few holders have reported since the Takeover, so that the
// cell grants nothing and its Totals can't be used.
func (c *Cell) Recovering() bool { return c.recovery.recovering() }

// EndTakeover stops waiting. Holders that haven't reported are assumed to have nothing in
// flight.
func (c *Cell) EndTakeover() { c.recovery.waiting = nil }

// StopWaiting stops waiting for a holder, for example of a node that seems dead, and keeps the
// places already counted for it.
func (c *Cell) StopWaiting(h Holder) { c.recovery.stopWaiting(h) }

// Waiting returns the holders that haven't reported since the Takeover.
func (c *Cell) Waiting() []Holder {
	out := make([]Holder, 0, len(c.recovery.waiting))
	for h := range c.recovery.waiting {
		out = append(out, h)
	}
	return out
}

// Tick records that the owner's process is running; call it several times within MaxPause.
// After a longer gap other owners may have granted places, so the cell begins a takeover
// from its present holders, which Waiting returns. An owner that never calls Tick is assumed
// to run without pauses.
func (c *Cell) Tick(now time.Time) {
	c.checkPause(now)
	c.recovery.lastTick = now
}

func (c *Cell) checkPause(now time.Time) {
	last := c.recovery.lastTick
	if last.IsZero() || now.Sub(last) <= c.cfg.MaxPause {
		return
	}
	c.recovery.lastTick = now
	c.Takeover(c.Holders())
}

func (t *recovery) markReported(h Holder) {
	if t.waiting[h] {
		delete(t.waiting, h)
		t.reported++
	}
}

func (t *recovery) stopWaiting(h Holder) { delete(t.waiting, h) }

// recovering reports whether too few holders have reported to grant anything.
func (t *recovery) recovering() bool {
	all := t.reported + len(t.waiting)
	return len(t.waiting) > 0 && float64(t.reported) < minReported*float64(all)
}

// estimating reports whether the counts are extrapolated to holders that haven't reported.
func (t *recovery) estimating() bool { return len(t.waiting) > 0 && !t.recovering() }

// extrapolate estimates a total from the count of the holders that have reported, rounded
// up.
func (t *recovery) extrapolate(count int) int {
	if !t.estimating() {
		return count
	}
	return (count*(t.reported+len(t.waiting)) + t.reported - 1) / t.reported
}

// upperEstimate is extrapolate plus one standard deviation of the requests of holders that
// haven't reported, taken as Poisson.
func (t *recovery) upperEstimate(count int) int {
	if !t.estimating() {
		return count
	}
	ratio := float64(len(t.waiting)) / float64(t.reported)
	missing := float64(count) * ratio
	return int(math.Ceil(float64(count) + missing + math.Sqrt(missing*(1+ratio))))
}
