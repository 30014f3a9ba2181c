package roster

// Change is what happened to a target between two snapshots.
type Change string

// The changes.
const (
	Joined    Change = "joined"
	Restarted Change = "restarted" // a later run under the same ID
	Drains    Change = "drains"
	Evacuates Change = "evacuates"  // its failure domain is evacuated
	TakenBack Change = "taken_back" // its failure domain is taken back
	Cold      Change = "cold"       // it bears few requests for a while
	Warm      Change = "warm"
	Lapses    Change = "lapses"    // its entry is gone; it is a last resort
	Withdrawn Change = "withdrawn" // its entry is unusable
	Gone      Change = "gone"
	Modified  Change = "modified"
)

// Difference is one target's change.
type Difference struct {
	Target *Target
	Change Change
}

// Diff returns what changed from a to b.
func Diff(a, b *Snapshot) []Difference {
	before := make(map[string]*Target, a.Count())
	for t := range a.All() {
		before[t.ID] = t
	}
	var out []Difference
	for t := range b.All() {
		old, ok := before[t.ID]
		delete(before, t.ID)
		if !ok {
			out = append(out, Difference{t, Joined})
		} else if *old != *t {
			out = append(out, Difference{t, changeBetween(old, t)})
		}
	}
	for _, t := range before {
		out = append(out, Difference{t, Gone})
	}
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
