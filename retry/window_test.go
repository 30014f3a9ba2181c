package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var fleetBound = WindowConfig{Share: 0.2, Slack: 54, Window: 10 * time.Second, Reserve: 0.2, MinNodes: 8}

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
			if w.Take(start.Add(at), nodes).Allowed {
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

// A node that has just started takes no more of the slack than its part in a fleet of MinNodes,
// since it has not received heartbeats from the other nodes yet.
func TestNewNodeAssumesMinNodes(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	w := NewWindow(fleetBound, start)
	granted := 0
	for w.Take(start, 1).Allowed {
		granted++
	}
	is.Equal(granted, 5) // 0.8 * 54 / 8
}
