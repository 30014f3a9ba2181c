package roster

import "time"

// IsCold reports whether the target may be cold at now. warmUp is how long targets of its
// service are cold after a start.
func (t *Target) IsCold(warmUp time.Duration, now time.Time) bool {
	return now.Before(t.ColdUntil) || !t.EvacuationEnded.IsZero() && now.Sub(t.EvacuationEnded) < warmUp
}
