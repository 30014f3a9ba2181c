package dispatch

import (
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

const (
	// takeoverTimeout ends a takeover although nodes haven't answered: a heartbeat's interval, after
	// which their resyncs and counts follow.
	takeoverTimeout = 200 * time.Millisecond
	// gatherTimeout ends a takeover in which not even half of the nodes have answered. Most of the
	// nodes in the view are then gone, and no longer live after that time.
	gatherTimeout = time.Second
	// pullInterval is the time after which a node that hasn't answered is asked again.
	pullInterval = 60 * time.Millisecond
	// minAnswered is the fraction of the nodes that must have answered before places are granted.
	minAnswered = 0.5
)

// takeover collects the places of all nodes for a new owner. Until half have answered it keeps the
// answers, since the incarnations of the other nodes, by which admission/cell waits for them, are
// not known before.
type takeover struct {
	began    time.Time
	pending  map[string]time.Time // nodes that haven't answered, and when to ask them again
	answered map[string]bool
	kept     []holds.Resync // until granting begins
	// pushed are resyncs that nodes sent by themselves meanwhile. They may have places that began
	// after the node answered the pull; holds.Owner ignores those that are older than the answer.
	pushed   []holds.Resync
	granting bool
}

func newTakeover(now time.Time, nodes []string) *takeover {
	t := &takeover{began: now, pending: make(map[string]time.Time, len(nodes)), answered: make(map[string]bool)}
	for _, n := range nodes {
		t.pending[n] = now
	}
	return t
}

// add begins to wait for a node that has come into view during the takeover.
func (t *takeover) add(node string, now time.Time) {
	if _, ok := t.pending[node]; !ok && !t.answered[node] {
		t.pending[node] = now
	}
}

// due returns the nodes to ask now.
func (t *takeover) due(now time.Time) []string {
	var out []string
	for n, at := range t.pending {
		if !now.Before(at) {
			t.pending[n] = now.Add(pullInterval)
			out = append(out, n)
		}
	}
	return out
}

// receive records the places of a node. It returns the resyncs that the owner's record must apply
// now.
func (t *takeover) receive(m holds.Resync) []holds.Resync {
	delete(t.pending, m.Node)
	t.answered[m.Node] = true
	if t.granting {
		return []holds.Resync{m}
	}
	t.kept = append(t.kept, m)
	return nil
}

// begin reports whether granting may begin now: half of the nodes have answered, or too few do for
// too long. It returns true once, with the holders to wait for and the places that they reported.
func (t *takeover) begin(now time.Time) (ok bool, holders []cell.Holder, kept []holds.Resync) {
	all := len(t.pending) + len(t.answered)
	half := float64(len(t.answered)) >= minAnswered*float64(all)
	if t.granting || !half && now.Sub(t.began) < gatherTimeout {
		return false, nil, nil
	}
	t.granting = true
	kept, t.kept = t.kept, nil
	pushed := t.pushed
	t.pushed = nil
	newest := make(map[string]cell.Holder)
	for _, m := range kept {
		if h := m.Holder(); h.Incarnation >= newest[h.Node].Incarnation {
			newest[h.Node] = h
		}
	}
	for _, h := range newest {
		holders = append(holders, h)
	}
	for node := range t.pending {
		holders = append(holders, unknownRun(node))
	}
	return true, holders, append(kept, pushed...)
}

// ended reports whether the takeover is complete.
func (t *takeover) ended(now time.Time) bool {
	return t.granting && (len(t.pending) == 0 || now.Sub(t.began) >= takeoverTimeout)
}

// unknownRun is the holder of a node whose incarnation isn't known.
func unknownRun(node string) cell.Holder { return cell.Holder{Node: node} }

const (
	// checkInterval is the time between two checks of the nodes before a successor.
	checkInterval = 500 * time.Millisecond
	// successionTTL is how long a successor stays the owner without being asked by a node that
	// suspects all nodes before it.
	successionTTL = time.Second
)

// succession is the state of a cell at a node that is asked for it because all nodes before it in
// the order are suspected.
type succession struct {
	checking  bool
	checkedAt time.Time
	alive     string // the node before this one that answered the last check, "" for none
	askedAt   time.Time
	patience  time.Duration // longest wait for an answer to the check
}

// ask records such a request and reports whether to check the nodes before this one now.
func (s *succession) ask(now time.Time, patience time.Duration) (check bool) {
	s.askedAt, s.patience = now, patience
	return s.checkDue(now)
}

// checkDue reports whether to check now, and if so records that a check is in progress.
func (s *succession) checkDue(now time.Time) bool {
	if s.checking || !s.checkedAt.IsZero() && now.Sub(s.checkedAt) < checkInterval {
		return false
	}
	s.checking = true
	return true
}

// checked records the result of a check: the node that answered, "" for none.
func (s *succession) checked(now time.Time, alive string) {
	s.checking, s.checkedAt, s.alive = false, now, alive
}

// owns reports whether this node acts as the owner: the nodes before it were silent at the last
// check, and a node still needs it. A check of an earlier succession doesn't count: while this node is
// the owner, it checks every checkInterval.
func (s *succession) owns(now time.Time) bool {
	recent := !s.checkedAt.IsZero() && now.Sub(s.checkedAt) < successionTTL+s.patience
	return recent && s.alive == "" && now.Sub(s.askedAt) < successionTTL
}
