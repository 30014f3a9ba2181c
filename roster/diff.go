package roster

import (
	"slices"
	"strings"
)

// Change is the kind of change of a target.
type Change string

// The kinds of changes.
const (
	Joined    Change = "joined"
	Restarted Change = "restarted" // a later run under the same ID started
	Drains    Change = "drains"
	Evacuates Change = "evacuates"  // its failure domain is evacuated
	TakenBack Change = "taken_back" // the evacuation of its failure domain ended
	Cold      Change = "cold"       // it accepts few requests for a while
	Warm      Change = "warm"
	Lapses    Change = "lapses"    // its entry is gone; it is a fallback
	Withdrawn Change = "withdrawn" // its entry is unusable
	Gone      Change = "gone"
	Modified  Change = "modified"
)

// TargetChange is the change of one target.
type TargetChange struct {
	// Target is the current state of the target, or its last one if Change is Gone.
	Target *Target
	Change Change
}

// TakeChanges returns what changed since its last call, ordered by ID. Its cost depends on the
// number of changes and not on the number of targets.
func (k *Registry) TakeChanges() []TargetChange {
	out := make([]TargetChange, 0, len(k.baseline))
	for id, old := range k.baseline {
		now, exists := k.targets[id]
		switch {
		case !exists && old != nil:
			out = append(out, TargetChange{old, Gone})
		case exists && old == nil:
			out = append(out, TargetChange{now, Joined})
		case exists && *old != *now:
			out = append(out, TargetChange{now, changeBetween(old, now)})
		}
	}
	clear(k.baseline)
	slices.SortFunc(out, func(a, b TargetChange) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return out
}

func changeBetween(old, now *Target) Change {
	switch {
	case !now.Started.Equal(old.Started):
		return Restarted
	case now.Withdrawn && !old.Withdrawn:
		return Withdrawn
	case now.Fallback && !old.Fallback:
		return Lapses
	case now.Draining && !old.Draining:
		return Drains
	case now.Evacuated && !old.Evacuated:
		return Evacuates
	case old.Evacuated && !now.Evacuated:
		return TakenBack
	case now.ColdUntil.After(old.ColdUntil):
		return Cold
	case now.ColdUntil.Before(old.ColdUntil):
		return Warm
	}
	return Modified
}
