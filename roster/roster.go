// Package roster keeps the targets described by the entries in the platform's store. Its Registry
// does no I/O and reads no clock: callers pass changes and the time, and it decides which
// targets may get work.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Target is one run of an engine, or of a server of a plain service (one without model
// engines). Its ID and its start time identify it. What nodes learn about a run ends with it: a
// later run under the same ID is a new target, which inherits no state or counters. The address
// of a run that ended may be reused by another target.
type Target struct {
	ID string
	// Started is when the run began, zero if its entry doesn't have that. It alone
	// distinguishes runs under one ID.
	Started       time.Time
	Addr          string
	FailureDomain string
	Service       string
	// Version is the version of the target's software.
	Version  Version
	Slots    int
	Draining bool
	// Fallback means that the target's entry vanished a moment ago. It is used only if its
	// service has no other target left.
	Fallback bool
	// Withdrawn means that the target's entry is unusable now. Requests in progress there may
	// finish; it gets no new ones.
	Withdrawn bool
	// Evacuated means that the operator has evacuated the target's failure domain. It gets no
	// new requests, even if no other target is left; requests in progress may finish.
	Evacuated bool
	// ColdFor is how much longer the target is cold, according to its entry. The Registry
	// converts it to ColdUntil, which is zero for a target that isn't cold. An entry may be
	// read long after it was written, so a target may count as cold for too long rather than
	// too briefly.
	ColdFor   time.Duration
	ColdUntil time.Time
	// EvacuationEnded is when the last evacuation of its failure domain ended, zero for never.
	// The target may be cold then, although its entry doesn't have that yet.
	EvacuationEnded time.Time
	// Hash is the hash of the target's ID, used for placement. A later run has the same hash,
	// so that nodes which don't have its entry yet rank the targets alike.
	Hash uint64
	// Sequence is the number of the entry among those that this run has written, 0 if its entry doesn't have
	// that. The Registry doesn't keep it.
	Sequence uint64
	// Joined is when this node first saw the target, zero if the target was there when the node
	// started.
	Joined time.Time
}

// RunHash identifies the run among the nodes: in their reports, in the records of which prompt
// parts are cached where, and in the note about these. If an outdated node reports about an
// earlier run, its hash matches no current target. A target whose start time is not known has
// the hash of its ID.
func (t *Target) RunHash() uint64 {
	if t.Started.IsZero() {
		return t.Hash
	}
	return routing.Rank(uint64(t.Started.UnixMilli()), t.Hash)
}

// FallbackGrace is how long a target whose entry vanished stays as a fallback: during an outage
// of the store that this node did not notice, all entries may have expired. It is half of the
// shortest time for which targets that leave continue to serve in known deployments.
const FallbackGrace = time.Second

// OutageGrace is how long an entry that vanished around an outage of the store is treated as
// expired and not as removed: the platform lets live targets write their entries again within
// about two seconds after the store is back.
const OutageGrace = 2 * time.Second

// Registry holds the current targets. It is not safe for concurrent use.
type Registry struct {
	targets map[string]*Target
	// missing holds, for each target whose entry vanished, the time at which the target is
	// removed.
	missing map[string]time.Time
	// evacuated are the failure domains that the operator has evacuated.
	evacuated map[string]bool
	// outageUntil is the end of the period in which a vanished entry may have expired because
	// of an outage.
	outageUntil time.Time
	// baseline holds the targets that changed since the last call of TakeChanges as they were then;
	// nil for those that did not exist.
	baseline map[string]*Target
	// withdrawn is the number of withdrawn targets.
	withdrawn int
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{
		targets: make(map[string]*Target), missing: make(map[string]time.Time), baseline: make(map[string]*Target),
	}
}

// set replaces the target with the given ID; a nil target removes it.
func (k *Registry) set(id string, t *Target) {
	old := k.targets[id]
	if _, recorded := k.baseline[id]; !recorded {
		k.baseline[id] = old
	}
	if old != nil && old.Withdrawn {
		k.withdrawn--
	}
	if t == nil {
		delete(k.targets, id)
		return
	}
	if t.Withdrawn {
		k.withdrawn++
	}
	k.targets[id] = t
}

// Count returns the number of targets without the withdrawn ones.
func (k *Registry) Count() int { return len(k.targets) - k.withdrawn }

// Pool returns the targets of a service ordered by ID, including draining and without withdrawn
// ones. It scans all targets.
func (k *Registry) Pool(service string) []*Target {
	var out []*Target
	for _, t := range k.targets {
		if t.Service == service && !t.Withdrawn {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// MarkOutage records that the store was unreachable at now, so that entries may expire although
// their targets still run.
func (k *Registry) MarkOutage(now time.Time) {
	k.outageUntil = now.Add(OutageGrace)
	for id := range k.missing {
		if !k.targets[id].Fallback {
			k.missing[id] = k.outageUntil
		}
	}
}

// IsSuperseded reports whether a later run under the target's ID is known. The target's entry
// is outdated then: it was written late, or read from a copy that is behind.
func (k *Registry) IsSuperseded(t Target) bool {
	known, ok := k.targets[t.ID]
	return ok && t.Started.Before(known.Started)
}

// IsExpected reports whether a target with the given ID is there, and not only as a fallback.
func (k *Registry) IsExpected(id string) bool {
	t, ok := k.targets[id]
	return ok && !t.Fallback
}

// AsWithdrawn returns the target with the given ID marked as withdrawn, for an entry that has
// become unusable; ok is false if there is no such target.
func (k *Registry) AsWithdrawn(id string) (t Target, ok bool) {
	known, ok := k.targets[id]
	if !ok {
		return Target{}, false
	}
	t = *known
	t.Withdrawn = true
	return t, true
}

// Put adds or changes a target and returns true if that changes the targets. A superseded run
// changes nothing.
func (k *Registry) Put(t Target, now time.Time) bool {
	if k.IsSuperseded(t) {
		return false
	}
	_, wasMissing := k.missing[t.ID]
	delete(k.missing, t.ID)
	t.Evacuated = k.evacuated[t.FailureDomain]
	if t.ColdFor > 0 {
		t.ColdUntil = now.Add(t.ColdFor)
		t.ColdFor = 0
	}
	t.Sequence = 0
	old, known := k.targets[t.ID]
	if known && old.Started.Equal(t.Started) {
		t.Joined, t.EvacuationEnded = old.Joined, old.EvacuationEnded
	} else if len(k.targets) > 0 {
		t.Joined = now
	}
	if known && *old == t {
		return wasMissing
	}
	k.set(t.ID, &t)
	return true
}

// Remove removes a target's entry and returns true if that changes the targets. Right after an
// outage of the store the target stays unchanged until OutageGrace has passed, unless it is
// draining; otherwise it is a fallback for FallbackGrace. A withdrawn target is removed at
// once.
func (k *Registry) Remove(id string, now time.Time) bool {
	t, known := k.targets[id]
	if _, already := k.missing[id]; !known || already {
		return false
	}
	if t.Withdrawn {
		k.set(id, nil)
		return true
	}
	if now.Before(k.outageUntil) && !t.Draining {
		k.missing[id] = k.outageUntil
		return false
	}
	k.missing[id] = now.Add(FallbackGrace)
	fallback := *t
	fallback.Fallback = true
	k.set(id, &fallback)
	return true
}

// Forget removes a target at once that is known to be gone, and returns true if it was there.
func (k *Registry) Forget(id string) bool {
	if _, known := k.targets[id]; !known {
		return false
	}
	delete(k.missing, id)
	k.set(id, nil)
	return true
}

// Reset replaces all entries by a complete list and returns true if that changes the targets.
func (k *Registry) Reset(list []Target, now time.Time) bool {
	changed := false
	present := make(map[string]bool, len(list))
	initial := len(k.targets) == 0
	for _, t := range list {
		present[t.ID] = true
		changed = k.Put(t, now) || changed
	}
	if initial {
		for _, t := range k.targets { // the targets were there when the node started
			t.Joined = time.Time{}
		}
	}
	for id := range k.targets {
		if !present[id] {
			changed = k.Remove(id, now) || changed
		}
	}
	return changed
}

// Expire removes the targets whose grace period has ended and returns true if there were any.
func (k *Registry) Expire(now time.Time) bool {
	changed := false
	for id, end := range k.missing {
		if !now.Before(end) {
			k.set(id, nil)
			delete(k.missing, id)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns the time of the next removal by Expire; ok is false if no entry is
// missing.
func (k *Registry) NextExpiry() (at time.Time, ok bool) {
	for _, end := range k.missing {
		if !ok || end.Before(at) {
			at, ok = end, true
		}
	}
	return at, ok
}
