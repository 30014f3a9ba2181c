package cell

import (
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// A target is suspended after maxFailures failed requests in a row, for a pause that doubles
// from suspendMin to suspendMax, reduced by a jitter of up to half.
const (
	maxFailures = 3
	suspendMin  = time.Second
	suspendMax  = 30 * time.Second
	// Doubling suspendMin maxDoublings times reaches at least suspendMax.
	maxDoublings = 5
	// pauseResetAfter is how long a target must have been usable until its next pause starts at
	// suspendMin again.
	pauseResetAfter = time.Minute
	// maxSuspended is the largest share of the cell's capacity that may be suspended. If more
	// targets fail, sending requests to failing targets is better than refusing them.
	maxSuspended = 0.5
	// A target with at most idleShare of the mean in flight, or at most idleCount requests (both
	// per unit of capacity), isn't overloaded by this pool's requests: its refusal for overload
	// counts as a failure.
	idleShare = 0.5
	idleCount = 4
)

// Result is how a request ended on its target.
type Result int

// Results of a request.
const (
	// Answered means that the target answered completely.
	Answered Result = iota
	// Failed means that the target couldn't be reached, closed the connection or reported a
	// failure.
	Failed
	// Unknown gives no information about the target: the caller went away, or the request wasn't
	// sent for a reason on the node's side.
	Unknown
	// Overloaded means that the target refused the request because of overload. It counts as
	// Failed if the target has far less in flight than the mean.
	Overloaded
)

// Suspension is the start of a pause in which a target gets no requests.
type Suspension struct {
	Target string
	Pause  time.Duration
}

// health is the record of a target that failed recently. After its pause a suspended target
// gets trial requests, one at a time, until one is answered.
type health struct {
	incarnation int64
	failures    int    // since the last answer; consecutive failures of one chat count once
	chat        uint64 // of the last failure
	pauses      int    // number of pauses since the last reset; see pauseResetAfter
	suspended   bool
	until       time.Time // end of the pause
	resumedAt   time.Time // end of the last suspension
	trial       uint64    // number of the trial request in flight, or 0
}

// fail counts a failure and reports whether there are enough to suspend the target.
func (t *health) fail(chat uint64) bool {
	if t.failures == 0 || t.chat != chat {
		t.failures++
	}
	t.chat = chat
	return t.failures >= maxFailures
}

// suspend begins a pause and returns its length.
func (t *health) suspend(now time.Time, key uint64) time.Duration {
	if !t.suspended && now.Sub(t.resumedAt) > pauseResetAfter {
		t.pauses = 0
	}
	longest := min(suspendMin<<min(t.pauses, maxDoublings), suspendMax)
	t.pauses++
	jitter := routing.Rank(uint64(now.UnixNano()), key) % uint64(longest/2)
	pause := longest - time.Duration(jitter)
	t.suspended, t.until, t.trial = true, now.Add(pause), 0
	return pause
}

// trialDue reports whether a trial request may be sent.
func (t *health) trialDue(now time.Time) bool {
	return t.suspended && t.trial == 0 && !now.Before(t.until)
}

// succeed ends a suspension. It reports whether the record must be kept to compute the
// length of the next pause.
func (t *health) succeed(now time.Time) bool {
	if t.suspended {
		t.resumedAt = now
	}
	t.suspended, t.failures = false, 0
	return t.pauses > 0 && now.Sub(t.resumedAt) <= pauseResetAfter
}

// Report records the result of a place that is about to be released, and returns the
// suspension that it caused, if any. A failure counts only if this cell granted the place
// and the target's incarnation is still the same.
func (c *Cell) Report(now time.Time, h Holder, request string, r Result) (Suspension, bool) {
	place, ok := c.places[h][request]
	if ok && c.queue != nil && !place.grantedAt.IsZero() {
		c.queue.hold.Observe(now.Sub(place.grantedAt))
	}
	if !ok || r == Unknown {
		return Suspension{}, false
	}
	i := c.index[place.Target]
	if r == Overloaded && !c.idle(i) {
		return Suspension{}, false
	}
	if r == Answered {
		c.succeed(now, i)
		return Suspension{}, false
	}
	if !c.slots[i].listed || !place.granted || place.incarnation != c.slots[i].incarnation {
		return Suspension{}, false
	}
	return c.fail(now, i, place)
}

func (c *Cell) fail(now time.Time, i int, place Place) (Suspension, bool) {
	s := &c.slots[i]
	t := c.health[s.id]
	if t == nil {
		t = &health{incarnation: s.incarnation}
		c.health[s.id] = t
	}
	chat := place.Chat
	if c.queue != nil { // a request without a chat is a caller of its own
		c.failures++
		chat = c.failures
	}
	enough := t.fail(chat)
	if t.suspended && t.trial != 0 && t.trial == place.trial {
		return Suspension{s.id, t.suspend(now, s.key)}, true
	}
	if t.suspended || !enough || !c.maySuspend(s.capacity) {
		return Suspension{}, false
	}
	c.setUsable(i, false)
	return Suspension{s.id, t.suspend(now, s.key)}, true
}

// idle reports whether a target has far less in flight than the mean. The place that is
// being released still counts.
func (c *Cell) idle(i int) bool {
	all := addTotals(c.own, c.others)
	s := c.slots[i]
	mean := float64(all.InFlight) / float64(max(all.Capacity, 1))
	return float64(s.count) <= max(idleShare*mean, idleCount)*float64(s.capacity)
}

func (c *Cell) succeed(now time.Time, i int) {
	s := &c.slots[i]
	t := c.health[s.id]
	if t == nil {
		return
	}
	if !t.succeed(now) {
		delete(c.health, s.id)
	}
	if s.listed && !s.usable {
		c.setUsable(i, true)
	}
}

// maySuspend reports whether that much more capacity may be suspended.
func (c *Cell) maySuspend(capacity int) bool {
	all := float64(c.own.Capacity + c.suspended)
	return float64(c.suspended+capacity) <= maxSuspended*all
}

// setUsable adds a listed target to the targets that the mean is computed over, or removes
// it.
func (c *Cell) setUsable(i int, usable bool) {
	s := &c.slots[i]
	sign := 1
	if !usable {
		sign = -1
	}
	s.usable = usable
	c.own.Capacity += sign * s.capacity
	c.own.InFlight += sign * s.count
	c.suspended -= sign * s.capacity
	if c.queue != nil {
		c.queue.recheck = true
	}
}

// restoreHealth applies the known failures and suspensions to a new list of targets, in
// which all listed targets start as usable. A new incarnation, and a target that is gone or
// leaving, starts without failures.
func (c *Cell) restoreHealth() {
	c.suspended = 0
	known := c.health
	c.health = make(map[string]*health)
	for i := range c.slots {
		s := &c.slots[i]
		t := known[s.id]
		if t == nil || !s.listed || t.incarnation != s.incarnation {
			continue
		}
		if t.suspended && !c.maySuspend(s.capacity) {
			continue
		}
		c.health[s.id] = t
		if t.suspended {
			c.setUsable(i, false)
		}
	}
}

// trialAllowed reports whether a suspended target may get a trial request.
func (c *Cell) trialAllowed(now time.Time, i int) bool {
	s := &c.slots[i]
	return s.listed && !s.usable && c.health[s.id].trialDue(now)
}

func (c *Cell) beginTrial(target string) uint64 {
	c.trials++
	c.health[target].trial = c.trials
	return c.trials
}

func (c *Cell) endTrial(place Place) {
	if t := c.health[place.Target]; t != nil && t.trial == place.trial {
		t.trial = 0
	}
}

// SuspendedTargets returns the number of suspended targets.
func (c *Cell) SuspendedTargets() int {
	n := 0
	for _, t := range c.health {
		if t.suspended {
			n++
		}
	}
	return n
}
