package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the retries of a whole fleet to one service: within any Window to Share
// of the requests + Slack.
type WindowConfig struct {
	Share  float64
	Slack  float64
	Window time.Duration
	// Reserve is the part of the bound that is left unused, for nodes that lose their counts in
	// a restart and for nodes whose views of the fleet differ.
	Reserve float64
	// MinNodes is the minimum number of nodes that a node assumes until it has run for a whole
	// Window, since it may not have received heartbeats from all nodes yet.
	MinNodes int
}

// windowBuckets is the number of parts of a window.
const windowBuckets = 10

// Window limits this node to its part of the fleet's bound without communication: each of its
// own requests is credited with Share, and of Slack it gets an equal part for each live node.
// It limits retries in bursts of failures, such as those of engines that crash under load and
// refuse or reset all connections at once. It is safe for concurrent use.
type Window struct {
	cfg     WindowConfig
	started time.Time

	mu       sync.Mutex
	slot     int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
	nodes    [windowBuckets]int // maximum number of live nodes
}

// NewWindow returns an unused window.
func NewWindow(cfg WindowConfig, now time.Time) *Window { return &Window{cfg: cfg, started: now} }

// Request counts a caller's request to the service.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(now)
	w.requests[w.slot%windowBuckets]++
}

// BudgetDecision is the decision on one retry, with what it rests on.
type BudgetDecision struct {
	Allowed bool
	// Charged is the number of retries charged before this one, in the window that decides.
	Charged int
	// Earned is what the requests of that window have credited, Slack this node's part of the
	// fleet's slack, dealt out among Nodes; both in retries.
	Earned, Slack float64
	Nodes         int
}

// Left returns how many retries remain after the decision.
func (d BudgetDecision) Left() float64 {
	left := d.Earned + d.Slack - float64(d.Charged)
	if d.Allowed {
		left--
	}
	return max(left, 0)
}

// Take uses one retry if there is one. nodes is the number of live nodes, this one included.
func (w *Window) Take(now time.Time, nodes int) BudgetDecision {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(now)
	if now.Sub(w.started) < w.cfg.Window {
		nodes = max(nodes, w.cfg.MinNodes)
	}
	at := w.slot % windowBuckets
	w.nodes[at] = max(w.nodes[at], nodes)
	requests, retries, maxNodes := 0, 0, 1
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
		maxNodes = max(maxNodes, w.nodes[i])
	}
	d := BudgetDecision{
		Charged: retries, Nodes: maxNodes,
		Earned: w.cfg.Share * float64(requests) * (1 - w.cfg.Reserve),
		Slack:  w.cfg.Slack / float64(maxNodes) * (1 - w.cfg.Reserve),
	}
	if d.Allowed = float64(retries+1) <= d.Earned+d.Slack; d.Allowed {
		w.retries[at]++
	}
	return d
}

func (w *Window) roll(now time.Time) {
	slot := now.UnixNano() / int64(w.cfg.Window/windowBuckets)
	if slot-w.slot >= windowBuckets {
		w.requests, w.retries, w.nodes = [windowBuckets]int{}, [windowBuckets]int{}, [windowBuckets]int{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		at := w.slot % windowBuckets
		w.requests[at], w.retries[at], w.nodes[at] = 0, 0, 0
	}
}
