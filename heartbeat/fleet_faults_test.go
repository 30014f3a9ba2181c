package heartbeat

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// large enables the fault tests in large fleets, which take minutes.
var large = flag.Bool("large", false, "play faults also in fleets of 295 nodes")

// faultSizes returns the fleet sizes for the fault tests: one group, several groups, and either
// largeFleet with -large or the additional sizes given.
func faultSizes(more ...int) []int {
	sizes := []int{7, 17, 66}
	if *large {
		return append(sizes, largeFleet)
	}
	return append(sizes, more...)
}

const largeFleet = 295

// settledFleet returns a fleet that has run for warmUp with the usual loss.
func settledFleet(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	f.loss = usualLoss
	f.run(warmUp)
	return f
}

// gaps tracks how long live nodes are missing from the counts of other nodes.
type gaps struct {
	since   map[[2]int]time.Time
	longest time.Duration
}

// watch runs the fleet for d and measures how long any node is missing at any other, of the
// pairs for which counts returns true.
func (f *fleet) watch(t *testing.T, d time.Duration, counts func(at, of *fleetNode) bool) *gaps {
	t.Helper()
	const every = 100 * time.Millisecond
	g := &gaps{since: make(map[[2]int]time.Time)}
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(every)
		f.all(func(at, of *fleetNode) {
			pair := [2]int{at.index, of.index}
			_, known := f.age(t, at, of)
			if known || !of.alive || !counts(at, of) {
				delete(g.since, pair)
				return
			}
			if _, ok := g.since[pair]; !ok {
				g.since[pair] = f.now
			}
			g.longest = max(g.longest, f.now.Sub(g.since[pair]))
		})
	}
	return g
}

func everyPair(_, _ *fleetNode) bool { return true }

// countedPairs returns the number of pairs in which a live node has counts of a node for which
// of returns true.
func (f *fleet) countedPairs(t *testing.T, of func(n *fleetNode) bool) int {
	t.Helper()
	pairs := 0
	f.all(func(at, n *fleetNode) {
		if _, known := f.age(t, at, n); known && of(n) {
			pairs++
		}
	})
	return pairs
}

// Half of the nodes die at once. After convergenceTime no node counts them, and no live node is
// missing for longer than that.
func TestHalfOfTheNodesDie(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes(largeFleet) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 2)
			for _, node := range f.nodes[:n/2] {
				node.alive = false
			}
			g := f.watch(t, convergenceTime, everyPair)
			is.Equal(f.countedPairs(t, func(n *fleetNode) bool { return !n.alive }), 0)
			t.Logf("%d nodes: a live node is missing for %v at most", n, g.longest)
			is.True(g.longest <= convergenceTime)
			f.run(warmUp)
			for _, node := range f.nodes[n/2:] {
				is.Equal(node.view.LiveNodes(f.now), n-n/2)
			}
		})
	}
}

// All nodes start at once with three of them as seeds. Within three seconds each counts each
// other, and it keeps doing so.
func TestAllNodesStart(t *testing.T) {
	t.Parallel()
	const within = 3 * time.Second
	for _, n := range faultSizes(largeFleet) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), newFleet(n, 3)
			f.loss = usualLoss
			g := f.watch(t, within+convergenceTime, everyPair)
			t.Logf("%d nodes: missing for %v at most after the start", n, g.longest)
			is.True(g.longest <= within)
		})
	}
}

// A node that was frozen resumes. Old messages in its queue don't bring outdated counts back,
// and it is counted again.
func TestFrozenNodeResumes(t *testing.T) {
	t.Parallel()
	const frozen = 5 * time.Second
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 4)
			node := f.nodes[n/3]
			node.frozen = true
			f.run(convergenceTime)
			is.Equal(f.countedPairs(t, func(n *fleetNode) bool { return n == node }), 0)
			f.run(frozen - convergenceTime)
			node.frozen = false
			oldest := time.Duration(0)
			for range 25 {
				f.run(convergenceTime / 25)
				f.all(func(at, of *fleetNode) {
					if age, known := f.age(t, at, of); known && at != node {
						oldest = max(oldest, age)
					}
				})
			}
			t.Logf("%d nodes: counts are %v old at most at the others", n, oldest)
			is.True(oldest <= convergenceTime)
			is.Equal(f.countedPairs(t, func(n *fleetNode) bool { return n == node }), n-1)
		})
	}
}

// A third of the nodes don't receive the messages of one node that itself receives all; some of
// them are in its group. Nodes of other groups get its counts from the rest of its group.
func TestNodeUnreachableForSome(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 5)
			node := f.nodes[n/2]
			unreachable := func(to *fleetNode) bool { return to.index%3 == 0 }
			f.cut = func(from, to *fleetNode) bool { return from == node && unreachable(to) }
			groupMate := func(at *fleetNode) bool { return at.view.inOwnGroup(&peer{key: node.view.key}) }
			g := f.watch(t, 8*convergenceTime, func(at, of *fleetNode) bool {
				return of != node || !unreachable(at) || !groupMate(at)
			})
			t.Logf("%d nodes: missing for %v at most", n, g.longest)
			is.True(g.longest <= convergenceTime)
		})
	}
}

// A relay that receives all messages but whose own are all lost is replaced.
func TestRelayThatCannotSendIsReplaced(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 10)
			node := f.nodes[n/2]
			f.cut = func(from, _ *fleetNode) bool { return from == node }
			g := f.watch(t, 4*convergenceTime, func(at, of *fleetNode) bool { return at != node && of != node })
			is.Equal(f.countedPairs(t, func(n *fleetNode) bool { return n == node }), 0)
			t.Logf("%d nodes: missing for %v at most", n, g.longest)
			is.True(g.longest <= convergenceTime)
		})
	}
}

// A node sends messages but receives none. As a relay it would send a sum of its own counts
// only, so it must not be used as one.
func TestNodeThatCannotReceiveIsNoRelay(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 6)
			node := f.nodes[n/2]
			f.cut = func(_, to *fleetNode) bool { return to == node }
			g := f.watch(t, 4*convergenceTime, func(at, _ *fleetNode) bool { return at != node })
			t.Logf("%d nodes: missing for %v at most", n, g.longest)
			is.True(g.longest <= convergenceTime)
		})
	}
}

// A failure domain is cut off. Each side counts its own nodes and not the other's, and all
// nodes again after the cut ends.
func TestFailureDomainIsCutOff(t *testing.T) {
	t.Parallel()
	const cut = 10 * time.Second
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 7)
			apart := func(a, b *fleetNode) bool { return (a.domain == 0) != (b.domain == 0) }
			f.cut = apart
			g := f.watch(t, cut, func(at, of *fleetNode) bool { return !apart(at, of) })
			over := 0
			f.all(func(at, of *fleetNode) {
				if _, known := f.age(t, at, of); known && apart(at, of) {
					over++
				}
			})
			is.Equal(over, 0)
			t.Logf("%d nodes: missing on its own side for %v at most", n, g.longest)
			is.True(g.longest <= convergenceTime)
			f.cut = func(_, _ *fleetNode) bool { return false }
			g = f.watch(t, convergenceTime+warmUp, everyPair)
			t.Logf("%d nodes: missing for %v at most after the cut", n, g.longest)
			is.True(g.longest <= convergenceTime)
		})
	}
}

// A node restarts with the same address. Late datagrams of its previous process must not change
// any counts.
func TestDatagramsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 8)
			node := f.nodes[n/2]
			own, sums, err := f.lateDatagrams(node)
			is.NoErr(err)
			node.alive = false
			f.run(convergenceTime)
			f.boot(node)
			f.run(convergenceTime)
			for _, at := range f.nodes {
				if at == node {
					continue
				}
				before, _ := f.age(t, at, node)
				for _, body := range [][]byte{own, sums} {
					a, err := at.Receive(body, f.now)
					is.NoErr(err)
					// A node outside the sender's group that has not heard the new process
					// directly may accept the header, but its counts come from the group's sum.
					is.True(!a.IsNew || !at.view.inOwnGroup(&peer{key: node.view.key}))
				}
				after, known := f.age(t, at, node)
				is.True(known)
				is.Equal(before, after)
			}
		})
	}
}

// lateDatagrams returns a report and a sum as the node would send them now.
func (f *fleet) lateDatagrams(n *fleetNode) (own, sum []byte, err error) {
	header := n.header(f.own(n))
	if own, err = n.encode(ownReport, header, f.own(n), f.now); err != nil {
		return nil, nil, err
	}
	sum, err = n.encode(sumWithMembers, header, f.own(n), f.now)
	return own, sum, err
}

// A confirmation of the store's revision by one node reaches all nodes within a second.
func TestConfirmationReachesAll(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settledFleet(n, 9)
			for range 10 {
				f.run(time.Second)
				at := f.now
				f.nodes[f.rng.IntN(n)].confirmed = at
				f.run(confirmationTime)
				late := 0
				for _, node := range f.nodes {
					known := node.confirmed
					if other := node.view.ConfirmedAt(0); other.After(known) {
						known = other
					}
					if at.Sub(known) > time.Millisecond*10 {
						late++
					}
				}
				is.Equal(late, 0)
			}
		})
	}
}
