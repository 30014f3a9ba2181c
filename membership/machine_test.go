package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/membership/membershiptest"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

func newFleet(n int, seed uint64) *membershiptest.Fleet {
	return membershiptest.New(n, membership.DefaultConfig(), seed)
}

// converged returns whether the views of all running nodes show the actual state of every
// node.
func converged(f *membershiptest.Fleet) bool { return disagreement(f) == "" }

// disagreement describes a node whose state a running node shows wrongly; empty if there
// is none.
func disagreement(f *membershiptest.Fleet) string {
	for _, n := range f.Nodes {
		if n.Down {
			continue
		}
		for _, other := range f.Nodes {
			want := other.Self().State
			if other.Down {
				want = membership.Dead
			}
			if got, ok := n.View().Node(other.ID); !ok || got.State != want {
				return fmt.Sprintf("%s shows %s as %v, but it is %v", n.ID, other.ID, got.State, want)
			}
		}
	}
	return ""
}

// shownAs returns whether all other running nodes show node i in state s.
func shownAs(f *membershiptest.Fleet, i int, s membership.State) bool {
	for j, n := range f.Nodes {
		if got, _ := n.View().Node(f.Nodes[i].ID); j != i && !n.Down && got.State != s {
			return false
		}
	}
	return true
}

// TestConvergesAfterSingleFault checks how soon the views are right after each kind of
// fault.
func TestConvergesAfterSingleFault(t *testing.T) {
	const nodes = 53
	cases := []struct {
		name  string
		fault func(f *membershiptest.Fleet)
		want  func(f *membershiptest.Fleet) bool
		limit time.Duration
	}{
		{"a node is killed", func(f *membershiptest.Fleet) {
			f.Nodes[0].Down = true
		}, converged, 20 * time.Second},
		{"a node leaves", func(f *membershiptest.Fleet) {
			f.Nodes[0].Leave()
		}, converged, 3 * time.Second},
		{"a node leaves while a tenth of the messages are lost", func(f *membershiptest.Fleet) {
			f.Loss = 0.1
			f.Nodes[0].Leave()
		}, func(f *membershiptest.Fleet) bool { return shownAs(f, 0, membership.Leaving) }, 3 * time.Second},
		{"a node leaves and is killed", func(f *membershiptest.Fleet) {
			f.Nodes[0].Leave()
			f.Run(3 * time.Second)
			f.Nodes[0].Down = true
		}, converged, 90 * time.Second},
		{"a node restarts at once", func(f *membershiptest.Fleet) {
			f.Boot(0, f.Now.UnixNano())
		}, converged, 5 * time.Second},
		{"an ID restarts on a VM whose clock is behind", func(f *membershiptest.Fleet) {
			f.Nodes[0].Down = true
			f.Run(20 * time.Second)
			f.Boot(0, f.Now.Add(-time.Hour).UnixNano())
		}, converged, 10 * time.Second},
		{"a node is paused for 10 s", func(f *membershiptest.Fleet) {
			f.Nodes[0].Down = true
			f.Run(10 * time.Second)
			f.Nodes[0].Down = false
		}, converged, 20 * time.Second},
		{"a failure domain is lost", func(f *membershiptest.Fleet) {
			for i := range 18 {
				f.Nodes[3*i%nodes].Down = true
			}
		}, converged, 60 * time.Second},
		{"half of the nodes restart with a list of three nodes", func(f *membershiptest.Fleet) {
			for i := range nodes / 2 {
				f.Boot(i, f.Now.UnixNano())
				f.ApplyList(f.VMs(3), i)
			}
		}, converged, 30 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(nodes, 1)
			f.Run(5 * time.Second)
			is.Equal(disagreement(f), "") // before the fault
			tc.fault(f)
			if !f.RunUntil(tc.limit, func() bool { return tc.want(f) }) {
				t.Fatalf("not within %v: %s", tc.limit, disagreement(f))
			}
		})
	}
}

func TestPartitionOfAnHourHeals(t *testing.T) {
	is := is.New(t)
	f := newFleet(12, 1)
	for _, n := range f.Nodes[:5] {
		n.Partition = 1
	}
	f.Run(time.Hour)
	is.Equal(len(f.Nodes[0].View().Eligible("r")), 5) // each part shows only its own nodes as alive
	is.Equal(len(f.Nodes[11].View().Eligible("r")), 7)
	for _, n := range f.Nodes {
		n.Partition = 0
	}
	is.True(f.RunUntil(30*time.Second, func() bool { return converged(f) }))
}

// TestConvergesAfterRandomFaults applies random faults to a small fleet. Once they end, the
// views of all running nodes must show the actual states.
func TestConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "nodes")
		cfg := membership.DefaultConfig()
		cfg.Damping.Threshold = 1000 // no node is held down; other tests check holds
		f := membershiptest.New(n, cfg, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				f.Nodes[i].Down = true
			case 1:
				f.Boot(i, f.Now.UnixNano())
			case 2:
				f.Nodes[i].Down = false // as after a pause
			case 3:
				f.Nodes[i].Partition = 1 - f.Nodes[i].Partition
			case 4:
				f.Nodes[i].Leave()
			default:
				f.Loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
			}
			f.Run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
		}
		f.Loss = 0
		for _, node := range f.Nodes {
			node.Partition = 0
			if node.MaxSentPerEvent > 8 {
				t.Fatalf("%d messages for one event", node.MaxSentPerEvent)
			}
		}
		f.Run(90 * time.Second)
		if d := disagreement(f); d != "" {
			t.Fatal(d)
		}
	})
}

// TestOldRecordNeverSupersedesNewer passes random records of nodes to a machine. The record
// that its view shows of a node may only be replaced by one that supersedes it, and the
// node must always show itself as alive.
func TestOldRecordNeverSupersedesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := membership.NewMachine(membership.Node{ID: "self", Incarnation: 5}, membership.DefaultConfig(), rand.New(rand.NewPCG(1, 1)), now)
		shown := make(map[string]membership.Node)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			n := membership.Node{
				ID:          rapid.SampledFrom([]string{"a", "b", "self"}).Draw(t, "id"),
				Incarnation: rapid.Int64Range(1, 9).Draw(t, "incarnation"),
				Refutations: rapid.Int64Range(0, 2).Draw(t, "refutations"),
				State:       membership.State(rapid.IntRange(0, 3).Draw(t, "state")),
			}
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				m.Receive(membership.Message{Kind: membership.Gossip, From: membership.Node{ID: "c", Incarnation: 1}, Members: []membership.Node{n}}, now)
			case 1:
				m.Receive(membership.Message{Kind: membership.Ping, From: n}, now)
			default:
				m.Tick(now)
			}
			v := m.View(now)
			if v == nil {
				continue
			}
			for _, n := range v.Nodes {
				if old, ok := shown[n.ID]; ok && old.Supersedes(n) {
					t.Fatalf("view shows %+v after %+v", n, old)
				}
				shown[n.ID] = n
			}
			if self, _ := v.Node("self"); self.State != membership.Alive {
				t.Fatalf("it adopted a record of itself from others: %+v", self)
			}
		}
	})
}

func TestLeavingReportReachesEveryNode(t *testing.T) {
	for _, nodes := range []int{8, 53} {
		for _, loss := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("%d nodes, loss %v", nodes, loss), func(t *testing.T) {
				f := newFleet(nodes, 1)
				f.Loss = loss
				f.Run(time.Second)
				f.ReportLeaving(0, targets.Report{Target: "engine-1", Incarnation: 7, Leaving: true})
				heard := func() bool {
					for _, n := range f.Nodes {
						if len(n.LeavingReportedAt) == 0 {
							return false
						}
					}
					return true
				}
				if !f.RunUntil(3*time.Second, heard) {
					t.Fatal("not within 3 s")
				}
			})
		}
	}
}

// TestLeavingReportsOfAFailureDomain checks that all nodes receive the reports in time when
// all engines of a failure domain leave at once, in a fleet of the planned size.
func TestLeavingReportsOfAFailureDomain(t *testing.T) {
	is := is.New(t)
	const nodes, engines = 53, 275
	f := newFleet(nodes, 1)
	f.Run(time.Minute)
	for i := range engines {
		f.ReportLeaving(i%nodes, targets.Report{Target: fmt.Sprint("engine-", i), Incarnation: 7, Leaving: true})
	}
	is.True(f.RunUntil(3*time.Second, func() bool {
		for _, n := range f.Nodes {
			if len(n.LeavingReportedAt) < engines {
				return false
			}
		}
		return true
	}))
}

// TestPausedNodeSuspectsNobody pauses a node right after it sent a message, so that it
// misses the answer to a probe. It must not suspect the probed node for that.
func TestPausedNodeSuspectsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	f.Run(10 * time.Second)
	n := f.Nodes[0]
	for range 20 {
		sent := n.Messages
		is.True(f.RunUntil(time.Minute, func() bool { return n.Messages > sent }))
		n.Down = true
		f.Run(10 * time.Second)
		n.Down = false
		f.Run(2 * time.Second)
	}
	is.Equal(n.Counts().Suspicions, int64(0))
	is.Equal(n.Counts().Deaths, int64(0))
	is.True(n.Counts().Refutations > 0) // others had declared it dead
}

// TestRefutationKeepsIncarnation lets a node refute that it is dead. Its incarnation must
// not change, since others would discard what they keep for it, for example its claims.
func TestRefutationKeepsIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	f.Run(time.Second)
	before, _ := f.Nodes[1].View().Node(f.Nodes[0].ID)
	f.Nodes[0].Down = true
	f.Run(10 * time.Second)
	f.Nodes[0].Down = false
	is.True(f.RunUntil(time.Minute, func() bool { return converged(f) }))
	after, _ := f.Nodes[1].View().Node(f.Nodes[0].ID)
	is.True(after.Refutations > before.Refutations)
	is.Equal(after.Incarnation, before.Incarnation)
}

// TestReportLostInGossipIsRepeated disconnects the only node that has a leaving report
// until it has sent the report as often as gossip does. Probes must repeat it.
func TestReportLostInGossipIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	f.Run(10 * time.Second)
	f.Nodes[0].Partition = 1
	f.ReportLeaving(0, targets.Report{Target: "engine-1", Incarnation: 7, Leaving: true})
	f.Run(2 * time.Second)
	f.Nodes[0].Partition = 0
	is.True(f.RunUntil(10*time.Second, func() bool {
		for _, n := range f.Nodes {
			if len(n.LeavingReportedAt) == 0 {
				return false
			}
		}
		return true
	}))
}

// TestDeadNodeStaysInTheView checks that a dead node is still shown as dead, and thus
// differs from an unknown one, after the VM list has dropped it.
func TestDeadNodeStaysInTheView(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 1)
	f.Run(time.Second)
	f.Nodes[3].Down = true
	is.True(f.RunUntil(time.Minute, func() bool { return converged(f) }))
	f.ApplyList(f.VMs(3))
	f.Run(time.Hour)
	is.Equal(disagreement(f), "")
}

func TestFlappingNodeIsHeldDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	for range 4 {
		f.Nodes[0].Leave()
		f.Run(2 * time.Second)
		f.Boot(0, f.Now.UnixNano())
		f.Run(2 * time.Second)
	}
	is.True(shownAs(f, 0, membership.Leaving)) // held down
	f.Run(30 * time.Second)
	is.Equal(disagreement(f), "") // the hold has ended
}

// TestDuplicateNodeIDDoesNotCauseARefutationLoop passes a superseding record of the node
// itself every 10 ms, as a second node with the same ID causes. It may refute once a
// probe interval.
func TestDuplicateNodeIDDoesNotCauseARefutationLoop(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	node := membership.Node{ID: "a", Incarnation: 1}
	m := membership.NewMachine(node, membership.DefaultConfig(), rand.New(rand.NewPCG(1, 1)), now)
	for i := range 1000 {
		rival := membership.Node{ID: "a", Incarnation: m.Self().Incarnation + 1}
		m.Receive(membership.Message{From: membership.Node{ID: "b", Incarnation: 1}, Members: []membership.Node{rival}}, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	is.True(m.Counts().Refutations <= 11) // the records cover 10 s
}

func TestNodesOfOtherRegionsAreTakenFromTheList(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := membership.NewMachine(membership.Node{ID: "a", Region: "r"}, membership.DefaultConfig(), rand.New(rand.NewPCG(1, 1)), now)
	vm := func(id, region string, s vmlist.State) vmlist.VM {
		return vmlist.VM{ID: id, Role: vmlist.RoleNode, Region: region, State: s, Incarnation: 1, PeerAddr: id}
	}
	m.ApplyList(vmlist.List{Version: 1, VMs: []vmlist.VM{
		vm("a", "r", vmlist.StateLive), vm("b", "r", vmlist.StateLive),
		vm("c", "other", vmlist.StateLive), vm("d", "other", vmlist.StateLeaving),
		{ID: "e", Role: vmlist.RoleEngine, Region: "r"},
		{ID: "f", Role: vmlist.RoleNode, Region: "r"}, // without an address
	}}, now)
	v := m.View(now)
	is.Equal(len(v.Nodes), 4)
	is.Equal(len(v.Eligible("r")), 2)
	is.Equal(len(v.Eligible("other")), 1)
	m.ApplyList(vmlist.List{Version: 2}, now) // b was known only from the list
	is.Equal(len(m.View(now).Nodes), 1)
}
