package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the retries of a whole fleet to one service: in any time as long as Window to Share of its
// requests + Slack. The requests are counted in that time or in as long a time before it, whichever has more.
type WindowConfig struct {
	Share  float64 // retries per request
	Slack  float64 // retries
	Window time.Duration
	// Reserve is the part of the bound that is left unused, for the time that requests take to this node and
	// retries to a target.
	Reserve float64
}

const (
	// slotsPerWindow is the number of slots in which a window is counted.
	slotsPerWindow = 100
	// historySlots is how many slots are kept: the windows that end now begin up to slotsPerWindow slots ago,
	// and requests up to a window before that are credited to them.
	historySlots = 2*slotsPerWindow + 2
	// earnedBefore is the part of Share that a request credits to the windows which begin within Window after
	// it, which allows bursts of failures. The rest is credited to the windows that contain it, which allows
	// retries to a process that has just started. Since all processes of a fleet use the same two parts, which
	// make up Share, their sum stays within the bound, however often nodes start and requests change nodes.
	earnedBefore = 2.0 / 3
)

// Window limits this node to its part of the fleet's bound without communication: each of its own requests is
// credited with Share, and of Slack it gets an equal part for each node. A process gets its part of Slack only
// when it has run for a whole Window, since an earlier process of the node may have used it. It is safe for
// concurrent use.
type Window struct {
	cfg WindowConfig

	mu      sync.Mutex
	started time.Time
	// slot is the newest slot; requests and retries hold slot s at s modulo historySlots.
	slot     int64
	requests [historySlots]int32
	retries  [historySlots]int32
}

// Charge is a retry that was charged to a window.
type Charge struct{ slot int64 }

// BudgetDecision is the decision on one retry, with what it rests on.
type BudgetDecision struct {
	Allowed bool
	// Charged is the number of retries charged before this one, in the window that decides.
	Charged int
	// Earned is what requests have credited to that window, Slack this node's part of the fleet's slack,
	// which is divided among Nodes; both in retries. Nodes is 0 while the node gets no part.
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

// NewWindow returns an unused window of a process that started at the given time.
func NewWindow(cfg WindowConfig, started time.Time) *Window {
	return &Window{cfg: cfg, started: started}
}

func (w *Window) setStarted(started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = started
}

// Request counts a caller's request to the service.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[index(w.slot)]++
}

// Take charges a retry if there is one left. nodes is the number of nodes among which the slack is divided,
// 0 if this one gets none of it.
func (w *Window) Take(now time.Time, nodes int) (Charge, BudgetDecision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.take(now, nodes)
}

// Renew moves a charge to the time at which its retry is sent. If none is left then, the charge is taken back.
func (w *Window) Renew(c Charge, now time.Time, nodes int) BudgetDecision {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.takeBack(c)
	_, d := w.take(now, nodes)
	return d
}

// Cancel takes back the charge of a retry that was not sent.
func (w *Window) Cancel(c Charge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeBack(c)
}

func (w *Window) takeBack(c Charge) {
	if w.slot-c.slot < historySlots {
		w.retries[index(c.slot)]--
	}
}

func (w *Window) take(now time.Time, nodes int) (Charge, BudgetDecision) {
	if now.Sub(w.started) < w.cfg.Window {
		nodes = 0
	}
	d := w.tightest(nodes)
	if d.Allowed = float64(d.Charged+1) <= d.Earned+d.Slack; d.Allowed {
		w.retries[index(w.slot)]++
	}
	return Charge{slot: w.slot}, d
}

// tightest returns the state of the window that has the least left, of all windows that contain the newest
// slot. A window that begins within a slot is taken to have all retries of its first and last slots, and of the
// requests only those that it has wherever in its first slot it begins.
func (w *Window) tightest(nodes int) BudgetDecision {
	usable := 1 - w.cfg.Reserve
	slack := 0.0
	if nodes > 0 {
		slack = w.cfg.Slack / float64(nodes) * usable
	}
	within, charged, before := 0, 0, 0
	for s := w.slot - slotsPerWindow + 1; s < w.slot; s++ {
		before += int(w.requests[index(s)])
	}
	var least BudgetDecision
	oldest := w.slot - slotsPerWindow
	for first := w.slot; first >= oldest; first-- {
		if first == oldest {
			within -= int(w.requests[index(w.slot)]) // the window may end before them
		}
		charged += int(w.retries[index(first)])
		earned := w.cfg.Share * (earnedBefore*float64(before) + (1-earnedBefore)*float64(within)) * usable
		if first == w.slot || earned-float64(charged) < least.Earned-float64(least.Charged) {
			least = BudgetDecision{Charged: charged, Earned: earned, Slack: slack, Nodes: nodes}
		}
		within += int(w.requests[index(first)])
		before += int(w.requests[index(first-slotsPerWindow)]) - int(w.requests[index(first-1)])
	}
	return least
}

// index returns the place of a slot, which is negative before 1970.
func index(slot int64) int { return int((slot%historySlots + historySlots) % historySlots) }

// advance clears the slots that have begun since the last call.
func (w *Window) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.cfg.Window/slotsPerWindow)
	if slot-w.slot >= historySlots {
		w.requests, w.retries = [historySlots]int32{}, [historySlots]int32{}
		w.slot = slot
	}
	for w.slot < slot {
		w.slot++
		w.requests[index(w.slot)], w.retries[index(w.slot)] = 0, 0
	}
}
