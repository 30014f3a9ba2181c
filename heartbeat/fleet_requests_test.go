package heartbeat

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/quarantine"
)

const (
	// knownWithin is how soon each node must know a request that is quarantined, also
	// after it was cut off or has begun.
	knownWithin = 3 * time.Second
	// endingRun is how long a run lasts that ends its target.
	endingRun = 100 * time.Millisecond
	settling  = 5 * time.Second
)

// requestFleet is a fleet whose nodes tell each other of requests under which targets
// ended.
type requestFleet struct {
	*fleet
	tables map[*fleetNode]*quarantine.Table
	target uint32
}

func newRequestFleet(n int, seed uint64) *requestFleet {
	f := &requestFleet{fleet: newFleet(n, seed), tables: make(map[*fleetNode]*quarantine.Table)}
	for _, node := range f.nodes {
		f.tables[node] = quarantine.NewTable(quarantine.DefaultConfig())
	}
	f.fill = func(n *fleetNode, r *Report) { r.Requests = f.tables[n].Tell(f.now) }
	f.hear = func(n *fleetNode, r Report) { f.tables[n].Hear(r.Requests, f.now) }
	f.run(settling)
	return f
}

func fingerprint(n int) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

var harmful = fingerprint(1)

// strike has a node see a target end under a request, and announce it.
func (f *requestFleet) strike(n *fleetNode, request quarantine.Fingerprint) {
	f.target++
	f.tables[n].Ended(request, f.target, f.now.Add(-endingRun), f.now, f.now)
	out, err := n.Brief(f.own(n), n.view.LiveAddresses(f.now, DefaultConfig().Announced), f.now)
	if err != nil {
		panic(err)
	}
	f.send(n, out)
}

// strikes has three nodes see a target end, one after the other.
func (f *requestFleet) strikes() {
	for i := range 3 {
		f.run(time.Second)
		f.strike(f.nodes[(i*len(f.nodes)/3+1)%len(f.nodes)], harmful)
	}
}

// unaware returns how many live nodes don't know that the request is quarantined.
func (f *requestFleet) unaware() int {
	n := 0
	for _, node := range f.nodes {
		if node.alive && !node.frozen && !f.tables[node].Quarantined(harmful) {
			n++
		}
	}
	return n
}

// knownAfter returns when all nodes know of the quarantine, from now on.
func (f *requestFleet) knownAfter(t *testing.T) time.Duration {
	t.Helper()
	begun := f.now
	for f.unaware() > 0 {
		if f.now.Sub(begun) > 10*knownWithin {
			t.Fatalf("%d of %d nodes never learn of the quarantine", f.unaware(), len(f.nodes))
		}
		f.run(tick)
	}
	return f.now.Sub(begun)
}

// Copies of a request come to any nodes, so that each of three saw one target end. All
// nodes have to know, whatever happens to some of them meanwhile.
func TestQuarantineIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		sizes   []int
		loss    float64
		before  func(f *requestFleet)
		after   func(f *requestFleet)
		aboutTo func(f *requestFleet) // ends what before began
	}{
		{name: "calm", sizes: []int{7, 66, 295, 370}},
		{name: "a tenth of the messages is lost", sizes: []int{7, 66, 370}, loss: 0.1},
		{
			name: "a node begins", sizes: []int{7, 66}, after: func(f *requestFleet) {
				n := f.nodes[len(f.nodes)-1]
				f.tables[n] = quarantine.NewTable(quarantine.DefaultConfig())
				f.boot(n)
			},
		},
		{
			name: "a node was frozen", sizes: []int{7, 66},
			before:  func(f *requestFleet) { f.nodes[0].frozen = true },
			aboutTo: func(f *requestFleet) { f.nodes[0].frozen = false },
		},
		{
			name: "a failure domain was cut off", sizes: []int{7, 66, 295},
			before: func(f *requestFleet) {
				f.cut = func(a, b *fleetNode) bool { return (a.domain == 0) != (b.domain == 0) }
			},
			aboutTo: func(f *requestFleet) { f.cut = func(_, _ *fleetNode) bool { return false } },
		},
		{
			name: "half of the nodes end", sizes: []int{7, 66, 295}, after: func(f *requestFleet) {
				for i, n := range f.nodes {
					n.alive = i%2 == 0
				}
			},
		},
	} {
		for _, size := range tt.sizes {
			t.Run(fmt.Sprint(tt.name, "/", size), func(t *testing.T) {
				t.Parallel()
				f := newRequestFleet(size, 5)
				f.loss = tt.loss
				if tt.before != nil {
					tt.before(f)
				}
				f.strikes()
				if tt.aboutTo != nil {
					f.run(settling)
					tt.aboutTo(f)
				}
				if tt.after != nil {
					tt.after(f)
				}
				took := f.knownAfter(t)
				t.Logf("%d nodes: known everywhere after %v", size, took)
				is.New(t).True(took <= knownWithin)
			})
		}
	}
}

// A failure domain that loses 800 targets leaves 13,000 suspects in a second. The harmful
// request among them is known everywhere as soon as ever.
func TestHarmfulRequestAmongManySuspects(t *testing.T) {
	t.Parallel()
	const suspects = 13_000
	f := newRequestFleet(370, 6)
	for i := range suspects {
		if i%(suspects/100) == 0 {
			f.run(tick)
		}
		f.target++
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		f.tables[n].Ended(fingerprint(i+10), f.target, f.now.Add(-endingRun), f.now, f.now)
	}
	f.reset()
	f.strikes()
	took := f.knownAfter(t)
	perNode := 0
	for _, bytes := range f.bytes {
		perNode += bytes / len(f.nodes)
	}
	t.Logf("known everywhere after %v; %d bytes at the average node in about 3 s", took, perNode)
	is.New(t).True(took <= knownWithin)
}

// What is told of requests adds no byte to a message while there is nothing to tell.
func TestNothingIsToldOnACalmDay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report := Report{Node: nodeName(0), Targets: []TargetReport{{Target: 1, Running: 2}}}
	bare, err := cbor.Marshal(report)
	is.NoErr(err)
	told, err := marshal(report, quarantine.NewTable(quarantine.DefaultConfig()).Tell(start))
	is.NoErr(err)
	is.Equal(told, bare)
}

// Each kind of message brings what is told of requests.
func TestMessagesBringRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tab := quarantine.NewTable(quarantine.DefaultConfig())
	tab.Ended(harmful, 7, start, start.Add(endingRun), start.Add(endingRun))
	own := Report{Requests: tab.Tell(start.Add(time.Second / 2))}
	is.Equal(len(own.Requests), 1)
	from := NewMachine(DefaultConfig(), nodeName(0), 1, nil)
	for _, c := range []content{ownReport, sumOnly, sumWithMembers} {
		raw, err := from.encode(c, from.header(own), own, start)
		is.NoErr(err)
		to := NewMachine(DefaultConfig(), nodeName(1), 1, nil)
		a, err := to.Receive(raw, start)
		is.NoErr(err)
		is.True(a.News)
		is.Equal(a.Report.Requests, own.Requests)
	}
	brief, err := from.Brief(own, []string{nodeName(1)}, start)
	is.NoErr(err)
	a, err := NewMachine(DefaultConfig(), nodeName(1), 1, nil).Receive(brief[0].Body, start)
	is.NoErr(err)
	is.Equal(a.Report.Requests, own.Requests)
}

// A message whose end can't be read is not taken.
func TestGarbledRequestsAreNotTaken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	from := NewMachine(DefaultConfig(), nodeName(0), 1, nil)
	raw, err := from.encode(ownReport, from.header(Report{}), Report{}, start)
	is.NoErr(err)
	_, err = NewMachine(DefaultConfig(), nodeName(1), 1, nil).Receive(append(raw, 0x81, 0xff), start)
	is.True(err != nil)
}
