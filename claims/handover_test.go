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

// heirs returns the nodes that inherit testKey's answer of a node.
func (f *fleet) heirs(of string) []string {
	var ids []string
	for _, n := range newRanking(f.View(), membership.Suspect).heirs(answerGroup(testID), of) {
		ids = append(ids, n.ID)
	}
	return ids
}

// TestPlannedStopKeepsAnswers lets node a run a request and stop, under
// faults; then the key is repeated at every node that is up.
func TestPlannedStopKeepsAnswers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before, during and after the stop of a; heirs are its ranked heirs
		before func(t *testing.T, f *fleet, heirs []string)
		stops  func(heirs []string) []string
		after  func(t *testing.T, f *fleet, heirs []string)
		lost   bool
	}{
		{name: "and the view still shows the node"},
		{name: "and the view shows the node as dead", after: func(_ *testing.T, f *fleet, _ []string) {
			f.show(membership.Node{ID: "a", PeerAddr: "a", Incarnation: 1, State: membership.Dead})
		}},
		{name: "and the node runs again", after: func(t *testing.T, f *fleet, _ []string) { f.restart(t, "a") }},
		{name: "and runs again, unknown to the view", after: func(t *testing.T, f *fleet, _ []string) {
			shown, _ := f.View().Node("a")
			f.restart(t, "a")
			f.show(shown)
		}},
		{name: "while the heir is unreachable", before: linkHeirs(linkDown), after: linkHeirs(linkUp)},
		{name: "while the heir is frozen", before: linkHeirs(linkSilent), after: linkHeirs(linkUp)},
		{name: "while the heir's replies are lost", before: linkHeirs(linkMuffled), after: linkHeirs(linkUp)},
		{name: "while every other node is unreachable for a moment", before: func(_ *testing.T, f *fleet, heirs []string) {
			f.failFirst(len(heirs))
		}},
		{name: "with the heir at once", stops: func(heirs []string) []string { return []string{"a", heirs[0]} }},
		{name: "with three heirs at once", stops: func(heirs []string) []string { return append([]string{"a"}, heirs[:3]...) }},
		{name: "and each heir stops after it", after: func(t *testing.T, f *fleet, heirs []string) {
			for _, id := range heirs[:len(heirs)-1] {
				f.stop(t, id)
			}
		}},
		{name: "and the heir drains after it", after: func(t *testing.T, f *fleet, heirs []string) {
			is.New(t).NoErr(f.nodes[heirs[0]].Drain(t.Context()))
			f.hide(heirs[0])
		}},
		{name: "and a newcomer ranks first",
			before: func(_ *testing.T, f *fleet, heirs []string) { f.hide(heirs[0]) },
			after: func(_ *testing.T, f *fleet, heirs []string) {
				f.show(membership.Node{ID: heirs[0], PeerAddr: heirs[0]})
			}},
		{name: "and the heir dies", after: linkHeirs(linkDown), lost: true},
		{name: "and nobody can inherit", before: func(_ *testing.T, f *fleet, heirs []string) {
			for _, id := range heirs {
				f.link(id, linkDown)
			}
		}, after: func(_ *testing.T, f *fleet, heirs []string) {
			for _, id := range heirs {
				f.link(id, linkUp)
			}
		}, lost: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, quick(), "a", "b", "c", "d", "e", "f")
			v := claim(t, f.nodes["a"], testKey, testBody)
			is.Equal(v.State, Granted)
			v.Ticket.Finish(Ran, &Answer{Status: 200, Body: []byte("sent")})
			f.flush(t, "a")
			heirs := f.heirs("a")
			stops := []string{"a"}
			if tc.stops != nil {
				stops = tc.stops(heirs)
			}
			if tc.before != nil {
				tc.before(t, f, heirs)
			}
			f.stop(t, stops...)
			if tc.after != nil {
				tc.after(t, f, heirs)
			}
			asked := 0
			for id, s := range f.nodes {
				if f.up(id) {
					asked++
					v := claim(t, s, testKey, testBody)
					is.Equal(v.State, Done)
					is.Equal(v.Answer == nil, tc.lost)
				}
			}
			is.True(asked > 0)
		})
	}
}

func linkHeirs(l link) func(*testing.T, *fleet, []string) {
	return func(_ *testing.T, f *fleet, heirs []string) { f.link(heirs[0], l) }
}

// flush waits until a node's outcomes are recorded.
func (f *fleet) flush(t *testing.T, id string) {
	t.Helper()
	for f.nodes[id].pending() > 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// restart runs a node again, which knows nothing.
func (f *fleet) restart(t *testing.T, id string) {
	f.build(quick(), id, 2)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := f.nodes[id].Start(ctx); err != nil {
		t.Fatal(err)
	}
	f.show(membership.Node{ID: id, PeerAddr: id, Incarnation: 2})
	f.link(id, linkUp)
}

// TestEveryAnswerIsAccountedFor checks the counters of a handover of more
// answers than an heir may keep, one of them known there already.
func TestEveryAnswerIsAccountedFor(t *testing.T) {
	is := is.New(t)
	const n = 300
	set := quick()
	set.Answers.InheritedBytes = 200 * room
	f := newFleet(t, set, "a", "b")
	for i := range n {
		f.nodes["a"].answers.put(0, core.NewKeyID("", "", fmt.Sprint(i)), testBody, &Answer{Body: make([]byte, 100)})
	}
	f.nodes["b"].answers.put(0, core.NewKeyID("", "", "0"), testBody, &Answer{})
	f.stop(t, "a")
	value := testutil.ToFloat64
	is.Equal(value(f.nodes["a"].metrics.handed.WithLabelValues(handedOver)), float64(n))
	m := f.nodes["b"].metrics
	is.Equal(value(m.inherited.WithLabelValues(string(intakeKept))), float64(n-1))
	is.Equal(value(m.inherited.WithLabelValues(string(intakeDuplicate))), 1.0)
	is.Equal(value(m.evicted.WithLabelValues(originInherited)), float64(n-1-200))
	is.Equal(len(f.nodes["b"].answers.held), 201)

	f.stop(t, "b") // the last one
	is.Equal(value(m.handed.WithLabelValues(handedNoHeir)), 201.0)
}

func TestHandoverEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b")
	f.nodes["a"].answers.put(0, testID, testBody, &Answer{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(f.nodes["a"].Stop(ctx))
	is.Equal(testutil.ToFloat64(f.nodes["a"].metrics.handed.WithLabelValues(handedLate)), 1.0)
}

func TestBatchesAreBounded(t *testing.T) {
	is := is.New(t)
	var held []heldAnswer
	for i := range 200 {
		held = append(held, heldAnswer{
			key: core.NewKeyID("", "", fmt.Sprint(i)), answer: &Answer{Body: make([]byte, 64<<10)}, until: time.Duration(i+1) * time.Second,
		})
	}
	seen := 0
	for _, b := range batches(0, held) {
		size, last := 0, time.Duration(1<<62)
		for _, h := range b.answers {
			is.Equal(answerGroup(h.Key), b.group)
			is.True(h.keep() < last) // the most time left first
			last = h.keep()
			size += entryOverhead + len(h.Answer.Body)
			seen++
		}
		is.True(size <= batchBytes)
	}
	is.Equal(seen, len(held))
}
