package heartbeat

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// large has the faults played in large fleets too, which takes minutes.
var large = flag.Bool("large", false, "play faults also in fleets of 295 nodes")

// faultSizes are the sizes of fleets in which faults are played: of one group and of
// several, and with large those given.
func faultSizes(more ...int) []int {
	sizes := []int{7, 17, 66}
	if *large {
		return append(sizes, largeFleet)
	}
	return append(sizes, more...)
}

const largeFleet = 295

// settled is a fleet after its start, with the usual loss.
func settled(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	f.loss = usualLoss
	f.run(warmUp)
	return f
}

// gaps follows for how long live nodes are left out somewhere.
type gaps struct {
	since   map[[2]int]time.Time
	longest time.Duration
}

// watch runs the fleet for d and notes how long any node is left out at any other, of
// those that look says count.
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

// counted returns for how many pairs a live node counts something of a node that is
// none.
func (f *fleet) counted(t *testing.T, of func(n *fleetNode) bool) int {
	t.Helper()
	pairs := 0
	f.all(func(at, n *fleetNode) {
		if _, known := f.age(t, at, n); known && of(n) {
			pairs++
		}
	})
	return pairs
}

// Half of the nodes die at once. Nobody counts them after that, and nobody who lives
// is left out for longer.
func TestHalfOfTheNodesDie(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes(largeFleet) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 2)
			for _, node := range f.nodes[:n/2] {
				node.alive = false
			}
			g := f.watch(t, goneWithin, everyPair)
			is.Equal(f.counted(t, func(n *fleetNode) bool { return !n.alive }), 0)
			t.Logf("%d nodes: a live node is left out for %v at most", n, g.longest)
			is.True(g.longest <= goneWithin)
			f.run(warmUp)
			for _, node := range f.nodes[n/2:] {
				is.Equal(node.view.Lives(f.now), n-n/2)
			}
		})
	}
}

// All nodes start at once and know three of them. Each counts each other within three
// seconds, and goes on to.
func TestAllNodesStart(t *testing.T) {
	t.Parallel()
	const within = 3 * time.Second
	for _, n := range faultSizes(largeFleet) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), newFleet(n, 3)
			f.loss = usualLoss
			g := f.watch(t, within+goneWithin, everyPair)
			t.Logf("%d nodes: left out for %v at most from the start on", n, g.longest)
			is.True(g.longest <= within)
		})
	}
}

// A node that comes back after it was frozen brings no counts back, and is counted
// again.
func TestFrozenNodeComesBack(t *testing.T) {
	t.Parallel()
	const frozen = 5 * time.Second
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 4)
			node := f.nodes[n/3]
			node.frozen = true
			f.run(goneWithin)
			is.Equal(f.counted(t, func(n *fleetNode) bool { return n == node }), 0)
			f.run(frozen - goneWithin)
			node.frozen = false
			oldest := time.Duration(0)
			for range 25 {
				f.run(goneWithin / 25)
				f.all(func(at, of *fleetNode) {
					if age, known := f.age(t, at, of); known && at != node {
						oldest = max(oldest, age)
					}
				})
			}
			t.Logf("%d nodes: counts are %v old at most at the others", n, oldest)
			is.True(oldest <= goneWithin)
			is.Equal(f.counted(t, func(n *fleetNode) bool { return n == node }), n-1)
		})
	}
}

// A node hears others, but a third of the nodes don't hear it, some in its own group.
// The others of its group tell of it.
func TestNodeThatSomeDoNotHear(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 5)
			node := f.nodes[n/2]
			deaf := func(to *fleetNode) bool { return to.index%3 == 0 }
			f.cut = func(from, to *fleetNode) bool { return from == node && deaf(to) }
			groupMate := func(at *fleetNode) bool { return at.view.inOwnGroup(&peer{key: node.view.key}) }
			g := f.watch(t, 8*goneWithin, func(at, of *fleetNode) bool {
				return of != node || !deaf(at) || !groupMate(at)
			})
			t.Logf("%d nodes: left out for %v at most", n, g.longest)
			is.True(g.longest <= goneWithin)
		})
	}
}

// A relay that sends nothing to other groups, though it hears all, is left for another.
func TestMuteRelayIsLeft(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 10)
			node := f.nodes[n/2]
			f.cut = func(from, _ *fleetNode) bool { return from == node }
			g := f.watch(t, 4*goneWithin, func(at, of *fleetNode) bool { return at != node && of != node })
			is.Equal(f.counted(t, func(n *fleetNode) bool { return n == node }), 0)
			t.Logf("%d nodes: left out for %v at most", n, g.longest)
			is.True(g.longest <= goneWithin)
		})
	}
}

// A node sends and hears nothing, so that as a relay it would tell of itself alone.
func TestDeafNodeRelaysNothing(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 6)
			node := f.nodes[n/2]
			f.cut = func(_, to *fleetNode) bool { return to == node }
			g := f.watch(t, 4*goneWithin, func(at, _ *fleetNode) bool { return at != node })
			t.Logf("%d nodes: left out for %v at most", n, g.longest)
			is.True(g.longest <= goneWithin)
		})
	}
}

// A failure domain is cut off. Both sides count their own and not the other's, and
// all again when the cut ends.
func TestFailureDomainIsCutOff(t *testing.T) {
	t.Parallel()
	const cut = 10 * time.Second
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 7)
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
			t.Logf("%d nodes: left out on the own side for %v at most", n, g.longest)
			is.True(g.longest <= goneWithin)
			f.cut = func(_, _ *fleetNode) bool { return false }
			g = f.watch(t, goneWithin+warmUp, everyPair)
			t.Logf("%d nodes: left out for %v at most after the cut", n, g.longest)
			is.True(g.longest <= goneWithin)
		})
	}
}

// A node starts again under its address. A datagram of its earlier process that comes
// late brings nothing back.
func TestEarlierIncarnationStaysGone(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 8)
			node := f.nodes[n/2]
			own, sums, err := f.late(node)
			is.NoErr(err)
			node.alive = false
			f.run(goneWithin)
			f.boot(node)
			f.run(goneWithin)
			for _, at := range f.nodes {
				if at == node {
					continue
				}
				before, _ := f.age(t, at, node)
				for _, body := range [][]byte{own, sums} {
					a, err := at.Receive(body, f.now)
					is.NoErr(err)
					// Who never heard the new process itself doesn't count by its word.
					is.True(!a.News || !at.view.inOwnGroup(&peer{key: node.view.key}))
				}
				after, known := f.age(t, at, node)
				is.True(known)
				is.Equal(before, after)
			}
		})
	}
}

// late returns a report and a sum as the node sends them now.
func (f *fleet) late(n *fleetNode) (own, sum []byte, err error) {
	header := n.header(f.own(n))
	if own, err = n.encode(ownReport, header, f.own(n), f.now); err != nil {
		return nil, nil, err
	}
	sum, err = n.encode(sumWithMembers, header, f.own(n), f.now)
	return own, sum, err
}

// What one node knows of the store's revision is known everywhere in a second.
func TestConfirmationReachesAll(t *testing.T) {
	t.Parallel()
	for _, n := range faultSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is, f := is.New(t), settled(n, 9)
			for range 10 {
				f.run(time.Second)
				at := f.now
				f.nodes[f.rng.IntN(n)].confirmed = at
				f.run(confirmedIn)
				late := 0
				for _, node := range f.nodes {
					known := node.confirmed
					if other := node.view.Confirmed(0); other.After(known) {
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
