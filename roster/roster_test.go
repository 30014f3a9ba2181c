package roster

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func ids(k *Registry) []string {
	out := []string{}
	for _, t := range k.Pool("s") {
		out = append(out, t.ID)
	}
	return out
}

func engine(id string) Target { return Target{ID: id, Service: "s", Addr: "10.0.0.1:80"} }

// A removed target is a fallback for a moment and then gone, even if an outage follows.
func TestRemovedEntryIsFallbackAndThenGone(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a"), engine("b")}, start)
	is.True(k.Remove("a", start))
	is.True(k.Pool("s")[0].Fallback)
	is.True(!k.Pool("s")[1].Fallback)
	k.MarkOutage(start)
	is.True(k.Expire(start.Add(FallbackGrace)))
	is.Equal(ids(k), []string{"b"})
}

// Entries that expire during an outage of the store don't count as removed; targets whose
// entries are still missing after the grace period are gone.
func TestLapsedEntryIsKeptDuringGrace(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a"), engine("b")}, start)
	k.MarkOutage(start)
	k.Reset([]Target{engine("b")}, start.Add(time.Second))
	is.Equal(ids(k), []string{"a", "b"})
	end, ok := k.NextExpiry()
	is.True(ok)
	is.Equal(end, start.Add(OutageGrace))
	is.True(!k.Expire(end.Add(-1)))
	is.True(k.Expire(end))
	is.Equal(ids(k), []string{"b"})
}

func TestReturningEntryEndsTheGrace(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a")}, start)
	k.MarkOutage(start)
	k.Remove("a", start)
	is.True(k.Put(engine("a"), start.Add(time.Second)))
	is.True(!k.Expire(start.Add(time.Hour)))
	is.Equal(ids(k), []string{"a"})
}

func TestLongOutageExtendsGrace(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a")}, start)
	k.MarkOutage(start)
	k.Remove("a", start)
	k.MarkOutage(start.Add(5 * time.Second))
	is.True(!k.Expire(start.Add(6 * time.Second)))
	is.True(k.Expire(start.Add(7 * time.Second)))
}

// A draining target was leaving before the outage.
func TestDrainingTargetHasNoGrace(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	leaving := engine("a")
	leaving.Draining = true
	k.Reset([]Target{leaving}, start)
	k.MarkOutage(start)
	is.True(k.Remove("a", start))
	is.True(k.Expire(start.Add(FallbackGrace)))
	is.Equal(ids(k), []string{})
}

func TestJoinedMarksOnlyLaterTargets(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a"), engine("b")}, start)
	k.Put(engine("c"), start.Add(time.Second))
	pool := k.Pool("s")
	is.True(pool[0].Joined.IsZero())
	is.True(pool[1].Joined.IsZero())
	is.Equal(pool[2].Joined, start.Add(time.Second))
}

func TestSameEntryChangesNothing(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	is.True(k.Put(engine("a"), start))
	is.True(!k.Put(engine("a"), start))
	drained := engine("a")
	drained.Draining = true
	is.True(k.Put(drained, start))
	is.True(k.Pool("s")[0].Draining)
}

func TestChangesReportEachKind(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a"), engine("b"), engine("c"), engine("d")}, start)
	k.TakeChanges()
	drained := engine("a")
	drained.Draining = true
	k.Put(drained, start)
	k.Remove("b", start)
	k.Put(engine("e"), start)
	moved := engine("d")
	moved.Slots = 9
	k.Put(moved, start)
	got := make(map[string]Change)
	for _, d := range k.TakeChanges() {
		got[d.Target.ID] = d.Change
	}
	is.Equal(got, map[string]Change{"a": Drains, "b": Lapses, "d": Modified, "e": Joined})
	k.Expire(start.Add(FallbackGrace))
	changed := k.TakeChanges()
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Target.ID, "b")
	is.Equal(changed[0].Change, Gone)
	is.Equal(len(k.TakeChanges()), 0)
}

func run(id string, second int64) Target {
	t := engine(id)
	t.Started = time.Unix(second, 0)
	return t
}

// A later run under the same ID inherits nothing from the earlier one, neither its draining
// state nor the grace period of its entry.
func TestLaterRunInheritsNothing(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	leaving := run("a", 10)
	leaving.Draining = true
	k.Reset([]Target{leaving, run("b", 10)}, start)
	k.Remove("a", start)
	k.TakeChanges()
	later := start.Add(time.Millisecond)
	is.True(k.Put(run("a", 11), later))
	got := k.Pool("s")[0]
	is.True(!got.Draining && !got.Fallback)
	is.Equal(got.Joined, later)
	is.True(!k.Expire(start.Add(time.Hour)))
	changed := k.TakeChanges()
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Change, Restarted)
}

// Data about a run earlier than the known one is outdated and changes nothing: neither a late
// write, nor a list, nor an entry without a start time.
func TestEarlierRunChangesNothing(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{run("a", 10)}, start)
	earlier := run("a", 9)
	earlier.Draining, earlier.Addr = true, "10.0.0.9:80"
	is.True(!k.Put(earlier, start))
	is.True(!k.Reset([]Target{earlier}, start))
	is.True(!k.Put(engine("a"), start))
	is.Equal(*k.Pool("s")[0], run("a", 10))
	k.Remove("a", start)
	is.True(!k.Put(earlier, start)) // nor does it end the later run's grace period
	is.True(k.Expire(start.Add(FallbackGrace)))
	is.Equal(ids(k), []string{})
}

// A target whose start time becomes known is a new run, which inherits nothing.
func TestKnownStartIsANewRun(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{engine("a")}, start)
	is.True(k.Put(run("a", 10), start))
	is.Equal(k.Pool("s")[0].Started, time.Unix(10, 0))
}

func TestRunHashDiffersPerRun(t *testing.T) {
	is := is.New(t)
	plain, first, second := engine("a"), run("a", 10), run("a", 11)
	plain.Hash, first.Hash, second.Hash = 7, 7, 7
	is.Equal(plain.RunHash(), uint64(7)) // as nodes that don't have the start time compute it
	is.True(uint32(first.RunHash()) != uint32(second.RunHash()))
	is.True(uint32(first.RunHash()) != 7)
}

// A target whose entry is unusable is in no pool, has no grace period and comes back unchanged.
func TestWithdrawnTarget(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{run("a", 10), run("b", 10)}, start)
	k.TakeChanges()
	withdrawn, ok := k.AsWithdrawn("a")
	is.True(ok)
	is.True(k.Put(withdrawn, start))
	is.True(!k.Put(withdrawn, start))
	is.Equal(ids(k), []string{"b"})
	is.Equal(k.TakeChanges()[0].Change, Withdrawn)
	is.True(k.Put(run("a", 10), start))
	is.Equal(ids(k), []string{"a", "b"})
	is.True(k.Put(withdrawn, start))
	k.MarkOutage(start)
	is.True(k.Remove("a", start))
	is.Equal(ids(k), []string{"b"})
	_, ok = k.AsWithdrawn("a")
	is.True(!ok)
}

// Changes that cancel each other out between two calls of TakeChanges are not returned; if one run
// ends and another begins under the same ID, the later one is returned.
func TestChangesThatCancelOut(t *testing.T) {
	is, k := is.New(t), NewRegistry()
	k.Reset([]Target{run("a", 10), run("b", 10)}, start)
	k.TakeChanges()
	drained := run("a", 10)
	drained.Draining = true
	is.True(k.Put(drained, start))
	is.True(k.Put(run("a", 10), start))
	is.Equal(len(k.TakeChanges()), 0)
	k.Remove("b", start)
	k.Expire(start.Add(FallbackGrace))
	is.True(k.Put(run("b", 11), start.Add(FallbackGrace)))
	is.True(k.Put(run("c", 10), start))
	k.Remove("c", start)
	k.Expire(start.Add(FallbackGrace))
	changed := k.TakeChanges()
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Change, Restarted)
}

// The cost of a change doesn't depend on the number of targets.
func TestChangeCostIsIndependentOfTargetCount(t *testing.T) {
	cost := func(targets int) float64 {
		k := NewRegistry()
		list := make([]Target, targets)
		for i := range list {
			list[i] = engine(strconv.Itoa(i))
		}
		k.Reset(list, start)
		k.TakeChanges()
		at := 0
		return testing.AllocsPerRun(100, func() {
			at++
			changed := engine("7")
			changed.Slots = at
			k.Put(changed, start)
			if len(k.TakeChanges()) != 1 {
				t.Fatal("not one change")
			}
		})
	}
	is := is.New(t)
	is.True(cost(20_000) <= cost(12))
}
