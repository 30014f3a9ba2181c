package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var fleetBound = WindowConfig{Share: 0.2, Slack: 54, Window: 10 * time.Second, Reserve: 0.05}

// For any order of requests and retries on each node, the retries of all nodes within any window
// stay within the fleet's bound, with the requests counted in that window and in the one before
// it.
func TestWindowsOfAllNodesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		start := time.Unix(1000, 0)
		windows := make([]*Window, nodes)
		for i := range windows {
			windows[i] = NewWindow(fleetBound, start)
		}
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			w := windows[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				w.Request(start.Add(at))
				requests = append(requests, at)
			}
			if _, d := w.Take(start.Add(at), nodes); d.Allowed {
				retries = append(retries, at)
			}
		}
		for _, end := range retries {
			used := within(retries, end-fleetBound.Window, end)
			earned := within(requests, end-2*fleetBound.Window, end)
			if float64(used) > fleetBound.Share*float64(earned)+fleetBound.Slack {
				t.Fatalf("%d retries by %v with %d requests", used, end, earned)
			}
		}
	})
}

func within(times []time.Duration, after, until time.Duration) int {
	n := 0
	for _, t := range times {
		if t > after && t <= until {
			n++
		}
	}
	return n
}

// grants takes retries until none is left and returns their number.
func grants(w *Window, now time.Time, nodes int) int {
	granted := 0
	for {
		if _, d := w.Take(now, nodes); !d.Allowed {
			return granted
		}
		granted++
	}
}

// Guards against a part of the slack that is used again after each start: an earlier process of the node
// may have used it within the same window.
func TestNewProcessHasNoSlack(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := NewWindow(fleetBound, start)
	is.Equal(grants(w, start.Add(fleetBound.Window-1), 1), 0)
	is.Equal(grants(w, start.Add(fleetBound.Window), 0), 0)
	is.Equal(grants(w, start.Add(fleetBound.Window), 8), 6) // 0.95 * 54 / 8
}

// Retries that were charged and not sent don't use the budget up.
func TestCanceledChargeIsTakenBack(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := NewWindow(fleetBound, start)
	now := start.Add(2 * fleetBound.Window)
	for range 100 {
		c, d := w.Take(now, 8)
		is.True(d.Allowed)
		w.Cancel(c)
		now = now.Add(fleetBound.Window / 7)
	}
	c, _ := w.Take(now, 8)
	now = now.Add(10 * fleetBound.Window)
	w.Request(now)
	w.Cancel(c) // forgotten meanwhile
	is.Equal(grants(w, now, 8), 6)
}
