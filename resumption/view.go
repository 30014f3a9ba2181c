package resumption

import (
	"sync"
	"time"
)

// Targets is the node's copy of the list of targets.
type Targets interface {
	// ConfirmedAge returns how long ago the list was last confirmed to be the newest; ok is false if it
	// never was.
	ConfirmedAge(now time.Time) (age time.Duration, ok bool)
	// OtherNodeAhead reports whether another node is known to have a newer one.
	OtherNodeAhead() bool
	// Ready reports whether the list is whole.
	Ready() bool
	// WritesNote reports whether this node is the one that writes the notes.
	WritesNote() bool
}

// minSuspension is the shortest suspension of the machine that counts: shorter ones are the error of reading
// two clocks.
const minSuspension = 100 * time.Millisecond

// view is how recent the node's list of targets is.
type view struct {
	targets   Targets
	now       func() time.Time
	suspended func() time.Duration

	mu sync.Mutex
	// lastSuspended is the total time of suspensions when the last one was noticed, at wokeAt: what was
	// confirmed before that is of unknown age.
	lastSuspended time.Duration
	wokeAt        time.Time
}

// confirmed returns when the list was last confirmed, zero if that isn't known.
func (v *view) confirmed() time.Time {
	now := v.now()
	age, ok := v.targets.ConfirmedAge(now)
	at := now.Add(-age)
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.suspended(); s-v.lastSuspended > minSuspension {
		v.lastSuspended, v.wokeAt = s, now
	}
	if !ok || !at.After(v.wokeAt) {
		return time.Time{}
	}
	return at
}

// isCurrent reports whether the list is current, see Past.
func (v *view) isCurrent() bool {
	return v.now().Sub(v.confirmed()) <= MaxViewAge && v.targets.Ready() && !v.targets.OtherNodeAhead()
}
