package dispatch

import (
	"time"

	"github.com/knapweedgw/knapweedgw/worktime"
)

const (
	// holdTime is the time for which an owner holds the first call of a request that waits, so that a node soon finds
	// out that an owner is silent. Each further call is held for twice as long, since its owner has just answered,
	// up to maxHoldTime, an interval of heartbeats, and at most 1/spareDivisor of the time that the caller has beyond
	// the work: that is what a silent owner may cost. Calls that all end after holdTime are most of an owner's work
	// when some hundred requests wait.
	holdTime     = 10 * time.Millisecond
	maxHoldTime  = 200 * time.Millisecond
	spareDivisor = 10
	// minHold keeps a request that has hardly any time from asking without a pause.
	minHold = 5 * time.Millisecond
	// minRoundTrip and maxRoundTrip bound the time in which an answer is expected. The former is several round trips
	// between failure domains, and the time after which a process on a VM with part of a core is scheduled. From an
	// owner that takes longer than the latter, callers hear later than their node could decide by its own counts.
	minRoundTrip = 10 * time.Millisecond
	maxRoundTrip = 30 * time.Millisecond
	// firstRoundTrip is expected before any was measured.
	firstRoundTrip = 20 * time.Millisecond
)

// roundTrips measures, for each owner, the time until it answers calls that it doesn't hold. It isn't safe for
// concurrent use.
type roundTrips struct {
	owners map[string]*worktime.Estimate
}

func newRoundTrips() *roundTrips { return &roundTrips{owners: make(map[string]*worktime.Estimate)} }

// observe records that an owner answered after d.
func (r *roundTrips) observe(owner string, d time.Duration) {
	e := r.owners[owner]
	if e == nil {
		if len(r.owners) >= maxCells {
			clear(r.owners)
		}
		first := worktime.NewEstimate(worktime.RFC6298)
		e = &first
		r.owners[owner] = e
	}
	e.Observe(d)
}

// backOff records that an owner is suspected since it was silent. It may only have become slower, so it is expected to
// take twice as long when it is tried again: otherwise only answers in time would be measured.
func (r *roundTrips) backOff(owner string) { r.observe(owner, 2*r.bound(owner)) }

// bound returns the time in which an answer of an owner is expected.
func (r *roundTrips) bound(owner string) time.Duration {
	e := r.owners[owner]
	if e == nil {
		return firstRoundTrip
	}
	return min(max(e.Bound(), minRoundTrip), maxRoundTrip)
}

// patienceFor returns how long a request waits for an answer of an owner, and how long the owner may hold the call. A
// silent owner must not use up the time that the work needs: remaining is the time that the caller has, 0 for no
// limit, and work that of the request's work. held is the number of calls in a row that the owner has held.
func patienceFor(remaining, work, roundTrip time.Duration, held int) (patience, hold time.Duration) {
	hold = min(holdTime<<min(held, 8), maxHoldTime)
	if remaining != 0 {
		spare := remaining - work
		hold = min(hold, max(spare/spareDivisor, holdTime), max(spare-roundTrip, minHold))
	}
	return hold + roundTrip, hold
}
