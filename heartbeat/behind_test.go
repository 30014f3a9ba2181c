package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The first node with a configuration must tell all nodes that lack it, those that it hasn't heard
// from as well, and those that wait for it first; nodes that have it by now need no datagram.
func TestNodesThatLackVersionsAreFound(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	now := start.Add(time.Minute)
	lost := report("lost", 1)
	v.Receive(lost, start)
	v.AddNodes(now, "unheard")
	has, older, without := report("has", 1), report("older", 1), report("without", 1)
	has.Catalog, has.Revision = 3, 100
	older.Catalog, older.Revision = 3, 99
	for _, r := range []Report{has, older, without} {
		v.Receive(r, now)
	}
	skip := make(map[string]bool)
	var order []string
	for {
		next := v.Behind(3, 100, 1, skip, now)
		if len(next) == 0 {
			break
		}
		is.Equal(len(next), 1)
		skip[next[0]] = true
		order = append(order, next[0])
	}
	is.Equal(len(order), 4)
	is.True(!skip["has"])
	is.True(skip["older"] && skip["without"] && skip["lost"] && skip["unheard"])
	live := map[string]bool{order[0]: true, order[1]: true}
	is.True(live["older"] && live["without"])
}

// Nodes take turns at a silent store by their ranks. If the ranks depended on liveness or on the
// reports, turns would coincide or be left out whenever a report is late.
func TestKnownRanksDifferAndDontChange(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	ranks := make(map[int]bool)
	for _, self := range names {
		v := NewView(DefaultConfig(), self)
		v.AddNodes(start, names...)
		before, known, heard := v.KnownRank()
		is.Equal(known, len(names)-1)
		is.Equal(heard, 0)
		ranks[before] = true
		for _, other := range names {
			r := report(other, 1)
			r.StoreUnreachable = other == "b"
			v.Receive(r, start)
		}
		after, _, heard := v.KnownRank()
		is.Equal(after, before)
		is.Equal(heard, len(names)-1)
	}
	is.Equal(len(ranks), len(names))
}
