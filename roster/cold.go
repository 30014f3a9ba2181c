package roster

import "time"

// IsCold says whether the target may be cold at now. warmUp is how long targets of its
// service are after a start.
func (t *Target) IsCold(warmUp time.Duration, now time.Time) bool {
	return now.Before(t.ColdUntil) || !t.TakenBack.IsZero() && now.Sub(t.TakenBack) < warmUp
}
