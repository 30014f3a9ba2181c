package standin

import (
	"fmt"
	"slices"
	"time"
)

// RetryBudget is the users' bound on retries: in each Window a service gets at most Slack + Share times
// the requests for it that go beyond the first arrival of their request. The requests are those sent in
// that window, in the one before it or in the one half a window before it, whichever has most.
type RetryBudget struct {
	Share, Slack float64
	Window       time.Duration
}

// Exceeded returns the first window that has too many repeats as a text, empty if there is none. requests are
// the times at which callers sent, repeats those of the arrivals beyond the first of their request.
func (b RetryBudget) Exceeded(requests, repeats []time.Time) string {
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(repeats, time.Time.Compare)
	for _, from := range repeats {
		used := countTimes(repeats, from, b.Window)
		earned := 0
		for _, shift := range []time.Duration{0, b.Window / 2, b.Window} {
			earned = max(earned, countTimes(requests, from.Add(-shift), b.Window))
		}
		if allowed := b.Share*float64(earned) + b.Slack; float64(used) > allowed {
			return fmt.Sprintf("%d repeats in the %v from %v with %d requests, %.1f allowed", used, b.Window, from, earned, allowed)
		}
	}
	return ""
}

// countTimes counts the times within d after from, in ascending times.
func countTimes(times []time.Time, from time.Time, d time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(d+1), time.Time.Compare)
	return last - first
}

// Repeats returns the times of the arrivals beyond the first of their request, of the requests for which
// include returns true.
func (j *Journal) Repeats(include func(request string) bool) []time.Time {
	seen := make(map[string]bool)
	var out []time.Time
	for _, a := range j.Arrivals() {
		if !include(a.Request) {
			continue
		}
		if seen[a.Request] {
			out = append(out, a.At)
		}
		seen[a.Request] = true
	}
	return out
}
