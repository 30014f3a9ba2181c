package soak

import (
	"sync"
	"time"
)

// timeline holds when something happened to a part of the run.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// span is a time, without an end while it lasts.
type span struct{ from, to time.Time }

// mark notes a moment.
func (t *timeline) mark() { t.begin()() }

// begin notes the beginning of a time, which lasts until end is called.
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

// add notes a time that has ended.
func (t *timeline) add(from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, &span{from: from, to: to})
}

// total is how long the times noted lasted together.
func (t *timeline) total() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	for _, s := range t.spans {
		sum += s.to.Sub(s.from)
	}
	return sum
}

// touches says whether any time noted has a moment from from to to.
func (t *timeline) touches(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

// last returns the beginning of the last time that began before at.
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
