package holds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

var start = time.Unix(1000, 0)

func newOwner() *holds.Owner {
	o := holds.NewOwner(config)
	o.SetTargets([]cell.Target{{ID: "a", Capacity: 1}})
	return o
}

func acquire(node string, incarnation int64, seq uint64) holds.Acquire {
	return holds.Acquire{From: holds.From{Node: node, Incarnation: incarnation}, CellKey: key, Seq: seq}
}

func TestTakeoverEnds(t *testing.T) {
	holders := []cell.Holder{{Node: "x", Incarnation: 1}, {Node: "y", Incarnation: 1}}
	tests := []struct {
		name    string
		then    func(o *holds.Owner)
		waiting int
	}{
		{"no report", func(*holds.Owner) {}, 2},
		{"one report", func(o *holds.Owner) { o.Resync(start, resyncOf("x")) }, 1},
		{"an ask is not a report", func(o *holds.Owner) { o.Acquire(start, acquire("x", 1, 1)) }, 2},
		{"all reports", func(o *holds.Owner) {
			o.Resync(start, resyncOf("x"))
			o.Resync(start, resyncOf("y"))
		}, 0},
		{"ended", func(o *holds.Owner) { o.EndTakeover() }, 0},
		{"dead", func(o *holds.Owner) { o.Expire(start, func(cell.Holder) bool { return true }) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwner()
			o.Takeover(holders)
			tt.then(o)
			is.Equal(len(o.Waiting()), tt.waiting)
		})
	}
}

func resyncOf(node string) holds.Resync {
	return holds.Resync{From: holds.From{Node: node, Incarnation: 1}, CellKey: key, At: 9}
}

func TestHolderExpires(t *testing.T) {
	none := func(cell.Holder) bool { return false }
	tests := []struct {
		name string
		then func(o *holds.Owner)
		want int
	}{
		{"recent message", func(o *holds.Owner) { o.Expire(start, none) }, 1},
		{"no recent message", func(o *holds.Owner) { o.Expire(start.Add(1), none) }, 0},
		{"dead", func(o *holds.Owner) { o.Expire(start, func(h cell.Holder) bool { return h.Node == "x" }) }, 0},
		{"restarted", func(o *holds.Owner) { o.Acquire(start, acquire("x", 2, 1)) }, 1},
		{"late message of an older run", func(o *holds.Owner) { o.Resync(start, holds.Resync{From: holds.From{Node: "x"}, At: 99}) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwner()
			is.Equal(o.Acquire(start, acquire("x", 1, 1)).Code, holds.Granted)
			tt.then(o)
			is.Equal(o.Places(), tt.want)
			is.Equal(o.Totals().InFlight, tt.want)
		})
	}
}

func TestTableDue(t *testing.T) {
	is := is.New(t)
	x, y := cell.Holder{Node: "x", Incarnation: 1}, cell.Holder{Node: "y", Incarnation: 1}
	owner := x
	ownerOf := func(holds.CellKey) (cell.Holder, bool) { return owner, true }
	table := holds.NewTable(holds.From{Node: "n", Incarnation: 1}, timing)
	q := table.Begin(start, key, x)
	table.Grant(start, key, x, holds.Place{Seq: q, Target: "a"})
	is.Equal(len(table.DueResyncs(start, ownerOf)), 0) // the owner has recorded it

	table.AddUngranted(start, key, x, holds.Place{Target: "a"})
	is.Equal(len(table.DueResyncs(start.Add(timing.Report), ownerOf)), 1) // a place that no owner granted
	m := table.BuildResync(key, x)
	is.Equal(len(m.Held), 1)
	is.Equal(len(m.Details), 1)
	is.Equal(len(table.DueResyncs(start.Add(timing.Interval), ownerOf)), 0) // already being sent
	table.ResyncAnswered(start, x, m, holds.ResyncReply{})
	is.Equal(len(table.DueResyncs(start, ownerOf)), 0)

	owner = y
	due := table.DueResyncs(start, ownerOf)
	is.Equal(len(due), 1) // at once after a change of owner
	is.True(due[0].Changed)
	is.Equal(len(table.BuildResync(key, y).Details), 2)
	table.ResyncFailed(start, key)
	is.Equal(len(table.DueResyncs(start, ownerOf)), 0)
	is.Equal(len(table.DueResyncs(start.Add(timing.Retry), ownerOf)), 1)
}

func TestRekeyMovesPlaces(t *testing.T) {
	is := is.New(t)
	owner := cell.Holder{Node: "x", Incarnation: 1}
	moved := holds.CellKey{Pool: "pool", Region: "region", Cell: 1, Of: 2}
	table := holds.NewTable(holds.From{Node: "n", Incarnation: 1}, timing)
	q := table.Begin(start, key, owner)
	table.Grant(start, key, owner, holds.Place{Seq: q, Target: "a"})
	table.Rekey(start, func(k holds.CellKey) bool { return k.Of != 2 }, func(holds.CellKey, string) holds.CellKey { return moved })
	is.Equal(len(table.BuildResync(key, owner).Held), 0)
	is.Equal(len(table.BuildResync(moved, owner).Details), 1) // the new owner hasn't recorded it
	is.Equal(table.Release(key, q), moved)
	is.Equal(table.Len(), 0)
}

// A node that gives up, dies or restarts while its ask waits must not get the place: nobody would
// release it until the next resync.
func TestWaitingAskIsCanceled(t *testing.T) {
	x := cell.Holder{Node: "x", Incarnation: 1}
	tests := []struct {
		name string
		then func(o *holds.Owner)
		want int // replies after a place is free
	}{
		{"waits", func(*holds.Owner) {}, 1},
		{"repeated", func(o *holds.Owner) { o.Acquire(start, acquire("x", 1, 1)) }, 1},
		{"pending in a resync", func(o *holds.Owner) {
			o.Resync(start, holds.Resync{From: holds.From(x), CellKey: key, At: 9, Pending: holds.Seqs{1}})
		}, 1},
		{"released", func(o *holds.Owner) { o.Release(start, x, holds.Seqs{1}) }, 0},
		{"not in a resync", func(o *holds.Owner) { o.Resync(start, resyncOf("x")) }, 0},
		{"dead", func(o *holds.Owner) { o.Expire(start, func(h cell.Holder) bool { return h == x }) }, 0},
		{"silent", func(o *holds.Owner) {
			o.Resync(start.Add(2), resyncOf("y"))
			o.Expire(start.Add(1), func(cell.Holder) bool { return false })
		}, 0},
		{"restarted", func(o *holds.Owner) {
			o.Resync(start, holds.Resync{From: holds.From{Node: "x", Incarnation: 2}, CellKey: key, At: 1})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := newQueuedOwner(is)
			tt.then(o)
			// The place of "y" ends with the ask of another node, which is asked last.
			m := acquire("y", 1, 99)
			m.Ended = []holds.EndedPlaces{{CellKey: key, Seqs: holds.Seqs{1}}}
			code := o.Acquire(start, m).Code
			settled := o.Settle(start)
			is.Equal(len(settled), tt.want)
			is.Equal(code == holds.Granted, tt.want == 0)
			is.Equal(o.Places(), 1)
		})
	}
}

// newQueuedOwner returns an owner of one place, which "y" holds and "x" waits for.
func newQueuedOwner(is *is.I) *holds.Owner {
	o := holds.NewOwner(cell.Config{MaxInFlight: 1, Queue: &cell.QueueConfig{}})
	o.SetTargets([]cell.Target{{ID: "a", Capacity: 1}})
	is.Equal(o.Acquire(start, acquire("y", 1, 1)).Code, holds.Granted)
	is.Equal(o.Acquire(start, acquire("x", 1, 1)).Code, holds.Waiting)
	return o
}

// A node that got the place from an earlier owner, and reports it while a copy of its ask waits, must
// not be counted twice.
func TestReportedPlaceEndsTheWait(t *testing.T) {
	is := is.New(t)
	o := newQueuedOwner(is)
	o.Resync(start, holds.Resync{From: holds.From{Node: "x", Incarnation: 1}, CellKey: key, At: 9, Pending: holds.Seqs{1}, Details: []holds.Place{{Seq: 1, Target: "a"}}})
	is.Equal(o.QueueLength(), 0)
	is.Equal(o.Places(), 2)
	is.Equal(o.Totals().InFlight, 2)
}

// A node that asks again without its granted target, which is gone, must not keep the place there.
func TestAskWithoutTheGrantedTargetEndsThePlace(t *testing.T) {
	is := is.New(t)
	o := newQueuedOwner(is)
	m := acquire("y", 1, 1)
	m.Exclude = []string{"a"}
	is.Equal(o.Acquire(start, m).Reason, cell.ReasonNoTarget)
	is.Equal(len(o.Settle(start)), 1) // the ask of "x" is granted
	is.Equal(o.Places(), 1)
	is.Equal(o.Totals().InFlight, 1)
}
