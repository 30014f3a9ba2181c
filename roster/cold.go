package roster

import "time"

// ColdEnd returns the time from which the target is warm; see IsCold.
func (t *Target) ColdEnd(warmUp time.Duration) time.Time {
	if t.EvacuationEnded.IsZero() || t.ColdUntil.After(t.EvacuationEnded.Add(warmUp)) {
		return t.ColdUntil
	}
	return t.EvacuationEnded.Add(warmUp)
}

// IsCold reports whether the target may be cold at now. warmUp is how long targets of its
// service are cold after a start.
func (t *Target) IsCold(warmUp time.Duration, now time.Time) bool {
	return now.Before(t.ColdUntil) || !t.EvacuationEnded.IsZero() && now.Sub(t.EvacuationEnded) < warmUp
}
