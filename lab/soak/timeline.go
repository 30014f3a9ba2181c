package soak

import (
	"sync"
	"time"
)

// timeline records when something happened, as spans of time. The zero value is empty.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// span is a time span; to is zero while it lasts.
type span struct{ from, to time.Time }

// mark records the current time as a span without length.
func (t *timeline) mark() { t.begin()() }

// begin records the start of a span, which lasts until end is called.
func (t *timeline) begin() (end func()) {
	s := &span{from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.to = time.Now()
	}
}

// add records a span that has ended.
func (t *timeline) add(from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, &span{from: from, to: to})
}

// total returns the summed length of all spans.
func (t *timeline) total() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	for _, s := range t.spans {
		sum += s.to.Sub(s.from)
	}
	return sum
}

// overlaps reports whether any span overlaps the closed interval from from to to.
func (t *timeline) overlaps(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

// covers reports whether one span covers the closed interval from from to to.
func (t *timeline) covers(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if !s.from.After(from) && (s.to.IsZero() || !s.to.Before(to)) {
			return true
		}
	}
	return false
}

// last returns the start of the latest span that started no later than at. ok is false if there is
// none.
func (t *timeline) last(at time.Time) (from time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if !s.from.After(at) && s.from.After(from) {
			from, ok = s.from, true
		}
	}
	return from, ok
}
