package heartbeat

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/health"
)

func TestPackedSumsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 20), rapid.IntRange(0, maxCount))
		want := make(sums)
		for range rapid.IntRange(0, 50).Draw(t, "targets") {
			s := Sum{
				Running: count.Draw(t, "running"), Unreachable: count.Draw(t, "unreachable"),
				Counts: health.Counts{Answered: count.Draw(t, "answered"), Failed: count.Draw(t, "failed")},
			}
			if s != (Sum{}) {
				want[rapid.Uint32().Draw(t, "target")] = s
			}
		}
		got, err := unpack(want.pack())
		if err != nil {
			t.Fatal(err)
		}
		read := make(sums)
		read.addCounts(got, 1)
		if len(read) != len(want) {
			t.Fatalf("%d targets, want %d", len(read), len(want))
		}
		for target, s := range want {
			if read[target] != s {
				t.Fatalf("%v, want %v", read[target], s)
			}
		}
	})
}

// If there are more targets than fit into a message, those with the most requests are included.
func TestTooManySums(t *testing.T) {
	is, m := is.New(t), make(sums)
	for i := range 2 * maxSums {
		m[uint32(i)] = Sum{Running: i + 1}
	}
	got, err := unpack(m.pack())
	is.NoErr(err)
	is.Equal(len(got), maxSums)
	for _, s := range got {
		is.True(s.Running > maxSums)
	}
}

func TestTruncatedPackedSums(t *testing.T) {
	is := is.New(t)
	whole := sums{7: {Running: 20, Unreachable: 3}}.pack()
	for n := 1; n < len(whole); n++ {
		_, err := unpack(whole[:n])
		is.True(err != nil)
	}
}

func TestAddressesArePacked(t *testing.T) {
	is := is.New(t)
	for _, node := range []string{"10.1.0.40:7340", "[2001:db8::1]:7340", "a", "node-1", "host.example:80", ""} {
		is.Equal(unpackAddress(packAddress(node)), node)
	}
	is.Equal(len(packAddress("10.1.0.40:7340")), 6)
}

// Every node is in exactly one group for any number of groups, and with fewer groups each group
// is a union of smaller ones.
func TestGroupsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		for groups := 1; groups <= maxGroups; groups *= 2 {
			g := groupOf(key, groups)
			if g < 0 || g >= groups || groupOf(key, 2*groups)/2 != g {
				t.Fatalf("group %d of %d, %d of %d", g, groups, groupOf(key, 2*groups), 2*groups)
			}
		}
	})
}

// The number of groups doesn't change when a single node leaves and returns.
func TestGroupCountHasHysteresis(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 2000; n++ {
		groups := nextGroups(n, 1)
		is.Equal(groups, groupsFor(n))
		is.Equal(nextGroups(n-1, groups), groups)
		is.True(groups <= maxGroups)
	}
	is.Equal(nextGroups(7, 16), 1)
	is.True(nextGroups(math.MaxInt32, 1) > maxGroups)
}

func FuzzDatagram(f *testing.F) {
	m := NewMachine(DefaultConfig(), "10.0.0.1:1", 1, nil)
	own := Report{Targets: []TargetReport{{Target: 7, Running: 3}}}
	header := m.header(own)
	for c := range contentKinds {
		if raw, err := m.encode(c, header, own, start); err == nil {
			f.Add(raw)
		}
	}
	if raw, err := encode(kindSubscription, Subscription{From: header}, tail{}); err == nil {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := NewMachine(DefaultConfig(), "10.0.0.2:1", 1, nil)
		_, _ = m.Receive(raw, start) // invalid datagrams must not cause a panic
		m.view.Expire(start.Add(DefaultConfig().AddressTTL))
	})
}

// A report of a node whose release sends only reports, and these to all nodes, is counted by
// its own group only; the other groups get it in the group's sum.
func TestReportOfAnEarlierRelease(t *testing.T) {
	is, f := is.New(t), settledFleet(66, 11)
	node := f.nodes[40]
	node.alive = false
	f.run(convergenceTime)
	own := f.own(node)
	own.Node, own.Incarnation, own.Sequence = nodeName(node.index), 2, 1
	raw, err := cbor.Marshal(own)
	is.NoErr(err)
	for _, at := range f.nodes {
		if at != node {
			f.receive(at, raw)
			_, known := f.age(t, at, node)
			is.Equal(known, at.view.group == node.view.group)
		}
	}
	f.run(2 * DefaultConfig().IntervalFor(66))
	countedPairs := f.countedPairs(t, func(n *fleetNode) bool { return n == node })
	is.True(countedPairs > 60)
}
