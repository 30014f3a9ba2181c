package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
)

var testID = core.NewKeyID(testKey.Team, testKey.Workspace, testKey.Idempotency)

// successors returns the IDs of the nodes that inherit the answer for testKey from a node.
func (f *fleet) successors(of string) []string {
	var ids []string
	for _, n := range newRanking(f.View(), membership.Suspect).successors(answerGroup(testID), of) {
		ids = append(ids, n.ID)
	}
	return ids
}

// TestPlannedStopKeepsAnswers guards against losing the answers of a node that is stopped
// as planned. Node a runs a request and stops, with faults before and after; then the key
// is repeated at every node that is up, and must get the answer unless lost is set.
func TestPlannedStopKeepsAnswers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before and after run before and after the stop of a; stops returns the nodes
		// that stop together, by default only a. successors are those of a, in order.
		before func(t *testing.T, f *fleet, successors []string)
		stops  func(successors []string) []string
		after  func(t *testing.T, f *fleet, successors []string)
		lost   bool
	}{
		{name: "and the view still has the node"},
		{name: "and the node is dead in the view", after: func(_ *testing.T, f *fleet, _ []string) {
			f.replaceNode(membership.Node{ID: "a", PeerAddr: "a", Incarnation: 1, State: membership.Dead})
		}},
		{name: "and the node restarts", after: func(t *testing.T, f *fleet, _ []string) { f.restart(t, "a") }},
		{name: "and restarts, but the view has the old incarnation", after: func(t *testing.T, f *fleet, _ []string) {
			shown, _ := f.View().Node("a")
			f.restart(t, "a")
			f.replaceNode(shown)
		}},
		{name: "while the successor is unreachable", before: linkFirstSuccessor(linkDown), after: linkFirstSuccessor(linkUp)},
		{name: "while the successor is frozen", before: linkFirstSuccessor(linkDropsCalls), after: linkFirstSuccessor(linkUp)},
		{name: "while the successor's replies are lost", before: linkFirstSuccessor(linkDropsReplies), after: linkFirstSuccessor(linkUp)},
		{name: "while every other node is unreachable for a short time", before: func(_ *testing.T, f *fleet, successors []string) {
			f.failCalls(len(successors))
		}},
		{name: "together with the successor", stops: func(successors []string) []string { return []string{"a", successors[0]} }},
		{name: "together with three successors", stops: func(successors []string) []string { return append([]string{"a"}, successors[:3]...) }},
		{name: "and the successors stop one after the other", after: func(t *testing.T, f *fleet, successors []string) {
			for _, id := range successors[:len(successors)-1] {
				f.stop(t, id)
			}
		}},
		{name: "and the successor drains", after: func(t *testing.T, f *fleet, successors []string) {
			is.New(t).NoErr(f.nodes[successors[0]].Drain(t.Context()))
			f.markLeaving(successors[0])
		}},
		{name: "and a new node ranks first",
			before: func(_ *testing.T, f *fleet, successors []string) { f.markLeaving(successors[0]) },
			after: func(_ *testing.T, f *fleet, successors []string) {
				f.replaceNode(membership.Node{ID: successors[0], PeerAddr: successors[0]})
			}},
		{name: "and the successor crashes", after: linkFirstSuccessor(linkDown), lost: true},
		{name: "and no node can inherit", before: func(_ *testing.T, f *fleet, successors []string) {
			for _, id := range successors {
				f.link(id, linkDown)
			}
		}, after: func(_ *testing.T, f *fleet, successors []string) {
			for _, id := range successors {
				f.link(id, linkUp)
			}
		}, lost: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fastSettings(), "a", "b", "c", "d", "e", "f")
			v := claim(t, f.nodes["a"], testKey, testFingerprint)
			is.Equal(v.State, Granted)
			v.Ticket.Finish(Ran, &Answer{Status: 200, Body: []byte("sent")})
			f.flush(t, "a")
			successors := f.successors("a")
			stops := []string{"a"}
			if tc.stops != nil {
				stops = tc.stops(successors)
			}
			if tc.before != nil {
				tc.before(t, f, successors)
			}
			f.stop(t, stops...)
			if tc.after != nil {
				tc.after(t, f, successors)
			}
			asked := 0
			for id, s := range f.nodes {
				if f.isUp(id) {
					asked++
					v := claim(t, s, testKey, testFingerprint)
					is.Equal(v.State, Done)
					is.Equal(v.Answer == nil, tc.lost)
				}
			}
			is.True(asked > 0)
		})
	}
}

func linkFirstSuccessor(l link) func(*testing.T, *fleet, []string) {
	return func(_ *testing.T, f *fleet, successors []string) { f.link(successors[0], l) }
}

// flush waits until a node's outcomes are recorded.
func (f *fleet) flush(t *testing.T, id string) {
	t.Helper()
	for f.nodes[id].pending() > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// restart replaces a node by a new service with the next incarnation and empty memory.
func (f *fleet) restart(t *testing.T, id string) {
	f.addNode(fastSettings(), id, 2)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := f.nodes[id].Start(ctx); err != nil {
		t.Fatal(err)
	}
	f.replaceNode(membership.Node{ID: id, PeerAddr: id, Incarnation: 2})
	f.link(id, linkUp)
}

// TestHandoverCountsEveryAnswer checks the metrics of a handover of more answers than the
// successor may inherit; the successor has one of them already.
func TestHandoverCountsEveryAnswer(t *testing.T) {
	is := is.New(t)
	const n = 300
	set := fastSettings()
	set.Answers.InheritedBytes = 200 * testAnswerSize
	f := newFleet(t, set, "a", "b")
	for i := range n {
		f.nodes["a"].answers.put(0, core.NewKeyID("", "", fmt.Sprint(i)), testFingerprint, &Answer{Body: make([]byte, 100)})
	}
	f.nodes["b"].answers.put(0, core.NewKeyID("", "", "0"), testFingerprint, &Answer{})
	f.stop(t, "a")
	value := testutil.ToFloat64
	is.Equal(value(f.nodes["a"].metrics.handed.WithLabelValues(resultHandedOver)), float64(n))
	m := f.nodes["b"].metrics
	is.Equal(value(m.inherited.WithLabelValues(string(putKept))), float64(n-1))
	is.Equal(value(m.inherited.WithLabelValues(string(putDuplicate))), 1.0)
	is.Equal(value(m.evicted.WithLabelValues(originInherited)), float64(n-1-200))
	is.Equal(len(f.nodes["b"].answers.byKey), 201)

	f.stop(t, "b") // the last node, so that there is no successor
	is.Equal(value(m.handed.WithLabelValues(resultNoSuccessor)), 201.0)
}

func TestHandoverStopsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b")
	f.nodes["a"].answers.put(0, testID, testFingerprint, &Answer{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(f.nodes["a"].Stop(ctx))
	is.Equal(testutil.ToFloat64(f.nodes["a"].metrics.handed.WithLabelValues(resultTimeOver)), 1.0)
}

func TestHandoverBatchesAreBounded(t *testing.T) {
	is := is.New(t)
	var held []heldAnswer
	for i := range 200 {
		held = append(held, heldAnswer{
			key: core.NewKeyID("", "", fmt.Sprint(i)), answer: &Answer{Body: make([]byte, 64<<10)}, expiresAt: time.Duration(i+1) * time.Second,
		})
	}
	seen := 0
	for _, b := range splitIntoBatches(0, held) {
		size, last := 0, time.Duration(1<<62)
		for _, h := range b.answers {
			is.Equal(answerGroup(h.Key), b.group)
			is.True(h.keep() < last) // the answers that expire last come first
			last = h.keep()
			size += entryOverhead + len(h.Answer.Body)
			seen++
		}
		is.True(size <= batchBytes)
	}
	is.Equal(seen, len(held))
}
