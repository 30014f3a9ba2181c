package dispatch

import (
	"time"

	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// Limits of the choice of an owner.
const (
	// maxUnanswered is the number of unanswered calls after which a node is suspected. Calls that
	// fail within minFailureGap of each other count as one, so that one stall isn't counted once
	// for each request that it delays.
	maxUnanswered = 2
	minFailureGap = 20 * time.Millisecond
	// A suspicion ends with a heartbeat that arrives at least minSuspicion after it began, since an
	// earlier one may have been sent before the fault, and after maxSuspicion in any case.
	minSuspicion = 200 * time.Millisecond
	maxSuspicion = 2 * time.Second
	// incapableFor is how long a node of a release without this package is left out.
	incapableFor = 5 * time.Second
	// leavingFor bridges the time until heartbeats say that a node is leaving.
	leavingFor = 2 * time.Second
)

// nodeStates has what this node found out about others as owners. It isn't safe for concurrent use.
type nodeStates struct {
	nodes map[string]*nodeState
}

type nodeState struct {
	unanswered  int // calls in a row
	failedAt    time.Time
	suspectedAt time.Time // zero if the node isn't suspected
	// trialUntil is set while one request tries whether a node answers again after a suspicion.
	trialUntil   time.Time
	leavingUntil time.Time
	// toldUntil is leavingUntil if the node said itself that it leaves. Only that is passed on to
	// other nodes, since what they pass on in turn would never expire.
	toldUntil      time.Time
	incapableUntil time.Time
}

func newNodeStates() *nodeStates { return &nodeStates{nodes: make(map[string]*nodeState)} }

func (p *nodeStates) of(node string) *nodeState {
	st := p.nodes[node]
	if st == nil {
		st = &nodeState{}
		p.nodes[node] = st
	}
	return st
}

// recordUnanswered records a call without an answer and reports whether the node is suspected from
// now on, and whether it wasn't before.
func (p *nodeStates) recordUnanswered(node string, now time.Time) (suspected, begins bool) {
	st := p.of(node)
	if st.unanswered > 0 && now.Sub(st.failedAt) < minFailureGap {
		return false, false
	}
	st.unanswered++
	st.failedAt = now
	if st.unanswered < maxUnanswered || st.suspectedAt.After(now.Add(-minSuspicion)) {
		return false, false
	}
	begins = st.suspectedAt.IsZero()
	st.suspectedAt, st.trialUntil = now, time.Time{}
	return true, begins
}

func (p *nodeStates) recordAnswer(node string) {
	if st, ok := p.nodes[node]; ok {
		st.unanswered, st.suspectedAt, st.trialUntil = 0, time.Time{}, time.Time{}
	}
}

// recordLeaving records that a node leaves; told means that it said so itself.
func (p *nodeStates) recordLeaving(node string, now time.Time, told bool) {
	st := p.of(node)
	st.leavingUntil = now.Add(leavingFor)
	if told {
		st.toldUntil = st.leavingUntil
	}
}

// recordOwning records that a node claims a cell: it has started again since it said that it leaves.
func (p *nodeStates) recordOwning(node string) {
	if st := p.nodes[node]; st != nil {
		st.leavingUntil, st.toldUntil = time.Time{}, time.Time{}
	}
}

func (p *nodeStates) recordIncapable(node string, now time.Time) {
	st := p.of(node)
	st.incapableUntil = now.Add(incapableFor)
	st.unanswered, st.suspectedAt = 0, time.Time{}
}

// excluded reports whether a node can't own cells now although it answers.
func (p *nodeStates) excluded(node string, now time.Time) bool {
	st := p.nodes[node]
	return st != nil && (now.Before(st.leavingUntil) || now.Before(st.incapableUntil))
}

// leaving returns the nodes that told this one that they leave.
func (p *nodeStates) leaving(now time.Time) []holds.From {
	var out []holds.From
	for node, st := range p.nodes {
		if now.Before(st.toldUntil) {
			out = append(out, holds.From{Node: node})
		}
	}
	return out
}

// choose returns the first node of the order that may be asked, and the nodes before it that are
// suspected or don't have this package; "" if there is none. After a suspicion one request at a
// time, for the duration trial, asks the node again; with trial 0 the node stays suspected until it
// has answered.
func (p *nodeStates) choose(order []string, now time.Time, heardAt func(string) time.Time, trial time.Duration) (owner string, passed []string) {
	for _, node := range order {
		st := p.nodes[node]
		switch {
		case st == nil:
			return node, passed
		case now.Before(st.leavingUntil):
		case now.Before(st.incapableUntil):
			passed = append(passed, node)
		case st.mayBeAsked(now, heardAt(node), trial):
			return node, passed
		default:
			passed = append(passed, node)
		}
	}
	return "", passed
}

func (st *nodeState) mayBeAsked(now, heard time.Time, trial time.Duration) bool {
	if st.suspectedAt.IsZero() {
		return true
	}
	over := now.Sub(st.suspectedAt) >= maxSuspicion || heard.Sub(st.suspectedAt) >= minSuspicion
	if !over || trial <= 0 || now.Before(st.trialUntil) {
		return false
	}
	st.trialUntil = now.Add(trial)
	return true
}

// expire removes records that no longer matter.
func (p *nodeStates) expire(now time.Time) {
	for node, st := range p.nodes {
		if now.Sub(st.failedAt) > incapableFor && now.After(st.leavingUntil) && now.After(st.incapableUntil) {
			delete(p.nodes, node)
		}
	}
}
