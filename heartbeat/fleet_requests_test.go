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
	// knownWithin is the time within which each node must have a quarantine, also after it was
	// cut off or has started.
	knownWithin = 3 * time.Second
	// endingRun is the duration of a request that ends its target.
	endingRun = 100 * time.Millisecond
	settling  = 5 * time.Second
)

// requestFleet is a fleet whose nodes exchange records of requests during which targets ended.
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
	f.fill = func(n *fleetNode, r *Report) { r.Requests = f.tables[n].PendingRecords(f.now) }
	f.onReceive = func(n *fleetNode, r Report) { f.tables[n].MergeRecords(r.Requests, f.now) }
	f.run(settling)
	return f
}

func fingerprint(n int) quarantine.Fingerprint {
	var f quarantine.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

var harmful = fingerprint(1)

// strike simulates that a target ends during a request from the node, and announces it.
func (f *requestFleet) strike(n *fleetNode, request quarantine.Fingerprint) {
	f.target++
	f.tables[n].RecordTermination(request, f.target, f.now.Add(-endingRun), f.now, f.now)
	out, err := n.Brief(f.own(n), n.view.LiveAddresses(f.now, DefaultConfig().AnnounceFanout), f.now)
	if err != nil {
		panic(err)
	}
	f.send(n, out)
}

// quarantineHarmful simulates that three nodes see a target end during the harmful request, one
// after the other.
func (f *requestFleet) quarantineHarmful() {
	for i := range 3 {
		f.run(time.Second)
		f.strike(f.nodes[(i*len(f.nodes)/3+1)%len(f.nodes)], harmful)
	}
}

// unaware returns the number of live nodes on which the harmful request is not quarantined.
func (f *requestFleet) unaware() int {
	n := 0
	for _, node := range f.nodes {
		if node.alive && !node.frozen && !f.tables[node].Quarantined(harmful) {
			n++
		}
	}
	return n
}

// knownAfter runs the fleet until the harmful request is quarantined on all nodes and returns
// the time it took.
func (f *requestFleet) knownAfter(t *testing.T) time.Duration {
	t.Helper()
	started := f.now
	for f.unaware() > 0 {
		if f.now.Sub(started) > 10*knownWithin {
			t.Fatalf("%d of %d nodes never learn of the quarantine", f.unaware(), len(f.nodes))
		}
		f.run(tick)
	}
	return f.now.Sub(started)
}

// Copies of a request arrive at different nodes, so that three of them see one target end each.
// All nodes must get the quarantine, whatever fails meanwhile.
func TestQuarantineIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		sizes  []int
		loss   float64
		before func(f *requestFleet)
		after  func(f *requestFleet)
		undo   func(f *requestFleet) // reverts before
	}{
		{name: "no fault", sizes: []int{7, 66, 295, 370}},
		{name: "a tenth of the messages are lost", sizes: []int{7, 66, 370}, loss: 0.1},
		{
			name: "a node starts", sizes: []int{7, 66}, after: func(f *requestFleet) {
				n := f.nodes[len(f.nodes)-1]
				f.tables[n] = quarantine.NewTable(quarantine.DefaultConfig())
				f.boot(n)
			},
		},
		{
			name: "a node was frozen", sizes: []int{7, 66},
			before: func(f *requestFleet) { f.nodes[0].frozen = true },
			undo:   func(f *requestFleet) { f.nodes[0].frozen = false },
		},
		{
			name: "a failure domain was cut off", sizes: []int{7, 66, 295},
			before: func(f *requestFleet) {
				f.cut = func(a, b *fleetNode) bool { return (a.domain == 0) != (b.domain == 0) }
			},
			undo: func(f *requestFleet) { f.cut = func(_, _ *fleetNode) bool { return false } },
		},
		{
			name: "half of the nodes die", sizes: []int{7, 66, 295}, after: func(f *requestFleet) {
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
				f.quarantineHarmful()
				if tt.undo != nil {
					f.run(settling)
					tt.undo(f)
				}
				if tt.after != nil {
					tt.after(f)
				}
				took := f.knownAfter(t)
				t.Logf("%d nodes: known to all nodes after %v", size, took)
				is.New(t).True(took <= knownWithin)
			})
		}
	}
}

// A failure domain that loses 800 targets causes 13,000 suspect requests in a second. A harmful
// request among them must reach all nodes as quickly as at other times.
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
		f.tables[n].RecordTermination(fingerprint(i+10), f.target, f.now.Add(-endingRun), f.now, f.now)
	}
	f.reset()
	f.quarantineHarmful()
	took := f.knownAfter(t)
	perNode := 0
	for _, bytes := range f.bytes {
		perNode += bytes / len(f.nodes)
	}
	t.Logf("known to all nodes after %v; %d bytes at the average node in about 3 s", took, perNode)
	is.New(t).True(took <= knownWithin)
}

// Without quarantine records a message is not a byte longer.
func TestMessageWithoutRequestsIsNotLonger(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report := Report{Node: nodeName(0), Targets: []TargetReport{{Target: 1, Running: 2}}}
	bare, err := cbor.Marshal(report)
	is.NoErr(err)
	withRequests, err := marshal(report, tail{requests: quarantine.NewTable(quarantine.DefaultConfig()).PendingRecords(start)})
	is.NoErr(err)
	is.Equal(withRequests, bare)
}

// Each kind of message carries quarantine records.
func TestMessagesCarryRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tab := quarantine.NewTable(quarantine.DefaultConfig())
	tab.RecordTermination(harmful, 7, start, start.Add(endingRun), start.Add(endingRun))
	own := Report{Requests: tab.PendingRecords(start.Add(time.Second / 2))}
	is.Equal(len(own.Requests), 1)
	from := NewMachine(DefaultConfig(), nodeName(0), 1, nil)
	for _, c := range []content{ownReport, sumOnly, sumWithMembers} {
		raw, err := from.encode(c, from.header(own), own, start)
		is.NoErr(err)
		to := NewMachine(DefaultConfig(), nodeName(1), 1, nil)
		a, err := to.Receive(raw, start)
		is.NoErr(err)
		is.True(a.IsNew)
		is.Equal(a.Report.Requests, own.Requests)
	}
	brief, err := from.Brief(own, []string{nodeName(1)}, start)
	is.NoErr(err)
	a, err := NewMachine(DefaultConfig(), nodeName(1), 1, nil).Receive(brief[0].Body, start)
	is.NoErr(err)
	is.Equal(a.Report.Requests, own.Requests)
}

// A message with malformed quarantine records is rejected.
func TestMalformedRequestsAreRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	from := NewMachine(DefaultConfig(), nodeName(0), 1, nil)
	raw, err := from.encode(ownReport, from.header(Report{}), Report{}, start)
	is.NoErr(err)
	_, err = NewMachine(DefaultConfig(), nodeName(1), 1, nil).Receive(append(raw, 0x81, 0xff), start)
	is.True(err != nil)
}
