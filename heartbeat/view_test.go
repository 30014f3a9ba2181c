package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/health"
)

var start = time.Unix(1000, 0)

func report(node string, seq uint64, targets ...TargetReport) Report {
	return Report{Node: node, Incarnation: 1, Sequence: seq, Targets: targets}
}

func TestCountsOfAllNodesAddUp(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	is.True(v.Receive(report("a", 1, TargetReport{Target: 7, Running: 3, Answered: 2}), start))
	is.True(v.Receive(report("b", 1, TargetReport{Target: 7, Running: 1, Failed: 1, Unreachable: true}), start))
	is.Equal(v.Target(7), Sum{Running: 4, Counts: health.Counts{Answered: 2, Failed: 1}, Unreachable: 1})
	is.True(v.Receive(report("a", 2), start))
	is.Equal(v.Target(7).Running, 1)
	is.Equal(v.LiveNodes(start), 3)
}

func TestOldAndOwnReportsAreIgnored(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	is.True(v.Receive(report("a", 5), start))
	is.True(!v.Receive(report("a", 5), start))
	is.True(!v.Receive(report("a", 4), start))
	is.True(!v.Receive(report("self", 1), start))
	restarted := report("a", 1)
	restarted.Incarnation = 2
	is.True(v.Receive(restarted, start))
}

// The counts of a silent node are dropped first, since its connections are gone or will be;
// later it counts as lost, and at last its address is dropped.
func TestSilentNodeExpires(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	v := NewView(cfg, "self")
	v.Receive(report("a", 1, TargetReport{Target: 7, Running: 3}), start)
	v.Expire(start.Add(4 * cfg.Interval))
	is.Equal(v.Target(7).Running, 3)
	v.Expire(start.Add(5 * cfg.Interval))
	is.Equal(v.Target(7), Sum{})
	is.Equal(v.LiveNodes(start.Add(9*cfg.Interval)), 1)
	is.Equal(v.Addresses(), []string{"a"})
	v.Expire(start.Add(cfg.AddressTTL + 1))
	is.Equal(v.Addresses(), []string{})
}

func TestReportsListOtherNodes(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	r := report("a", 1)
	r.Nodes = []string{"b", "self"}
	v.Receive(r, start)
	is.Equal(len(v.Addresses()), 2)
	is.Equal(v.LiveNodes(start), 2)
}

func TestAheadNamesTheNewest(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	old, newer := report("a", 1), report("b", 1)
	old.Catalog, old.Revision = 2, 50
	newer.Catalog, newer.Revision = 3, 40
	v.Receive(old, start)
	v.Receive(newer, start)
	node, ok := v.Ahead(2, 40, start, rng())
	is.True(ok)
	is.Equal(node, "b")
	_, ok = v.Ahead(3, 50, start, rng())
	is.True(!ok)
	_, ok = v.Ahead(0, 0, start.Add(time.Hour), rng())
	is.True(!ok)
}

func TestIntervalBoundsInboundReports(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	is.Equal(cfg.IntervalFor(8), cfg.Interval)
	for _, n := range []int{30, 73, 370, 1000} {
		is.True(inboundPerInterval(n)/cfg.IntervalFor(n).Seconds() <= cfg.MaxInbound+0.001)
	}
}

func FuzzReport(f *testing.F) {
	raw, _ := cbor.Marshal(report("a", 1, TargetReport{Target: 7, Running: 3}))
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r Report
		if cbor.Unmarshal(raw, &r) != nil {
			return
		}
		v := NewView(DefaultConfig(), "self")
		v.Receive(r, start)
		v.Expire(start.Add(time.Hour))
	})
}

// A brief report updates versions and leaves the counts unchanged.
func TestBriefReportKeepsCounts(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	v.Receive(report("a", 1, TargetReport{Target: 7, Running: 3}), start)
	brief := report("a", 2)
	brief.Brief, brief.Revision = true, 9
	is.True(v.Receive(brief, start))
	is.Equal(v.Target(7).Running, 3)
	_, ok := v.Ahead(0, 8, start, rng())
	is.True(ok)
}

// A brief report of a restarted process drops the counts of the earlier process.
func TestBriefReportOfANewIncarnation(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	v.Receive(report("a", 7, TargetReport{Target: 7, Running: 3}), start)
	brief := report("a", 1)
	brief.Brief, brief.Incarnation = true, 2
	is.True(v.Receive(brief, start))
	is.Equal(v.Target(7), Sum{})
	is.True(!v.Receive(report("a", 8, TargetReport{Target: 7, Running: 3}), start))
	is.Equal(v.Target(7), Sum{})
}

// Invalid proposals for the number of groups are ignored.
func TestInvalidGroupCountsAreIgnored(t *testing.T) {
	is := is.New(t)
	for groups, want := range map[int]int{0: 1, -4: 1, 3: 1, 2 * maxGroups: 1, 1: 1, 8: 8} {
		m := NewMachine(DefaultConfig(), "self", 1, rand.New(rand.NewPCG(1, 1)))
		m.receiveProposal(groups, start)
		m.regroup(start)
		is.Equal(m.view.groups, want)
	}
}

// All nodes agree on the order of watchers. Nodes that can't reach the store or are leaving
// come last.
func TestAllNodesAgreeOnRank(t *testing.T) {
	is := is.New(t)
	nodes := []string{"a", "b", "c", "d"}
	ranks := func(lost string) map[string]int {
		out := make(map[string]int)
		for _, self := range nodes {
			v := NewView(DefaultConfig(), self)
			for _, n := range nodes {
				r := report(n, 1)
				r.StoreUnreachable = n == lost
				v.Receive(r, start)
			}
			rank, heard := v.WatcherRank(self == lost, false, start)
			is.Equal(heard, 3)
			out[self] = rank
		}
		return out
	}
	before := ranks("")
	seen := make(map[int]bool)
	for _, n := range nodes {
		seen[before[n]] = true
	}
	is.Equal(len(seen), len(nodes))
	for _, lost := range nodes {
		is.Equal(ranks(lost)[lost], 3)
	}
}

func TestConfirmedMatchesRevision(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	r := report("a", 1)
	r.Revision, r.ConfirmedAge = 5, 300
	v.Receive(r, start)
	is.Equal(v.ConfirmedAt(5), start.Add(-300*time.Millisecond))
	is.True(v.ConfirmedAt(4).IsZero())
}

// Each node is sent one message per interval at any fleet size, and at most one batch is sent
// at a time.
func TestReportsAreSpreadOverTheInterval(t *testing.T) {
	for _, n := range []int{1, 7, 8, 9, 15} {
		is, cfg := is.New(t), DefaultConfig()
		m := NewMachine(cfg, "self", 1, rand.New(rand.NewPCG(1, 1)))
		addresses := make([]string, n)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("10.0.0.%d:1", i)
		}
		slices.Sort(addresses)
		m.view.AddNodes(start, addresses...)
		interval, passed := cfg.IntervalFor(n+1), time.Duration(0)
		got := make(map[string]int)
		for passed < 100*interval {
			batch, remaining := m.nextBatch(addresses, start.Add(passed))
			is.True(len(batch) <= cfg.Batch)
			for _, a := range batch {
				got[a]++
			}
			passed += m.pace(len(batch), len(batch)+remaining)
		}
		is.Equal(len(got), n)
		for _, times := range got {
			is.True(times >= 99 && times <= 102)
		}
	}
}
