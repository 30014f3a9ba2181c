package router

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/roster"
)

var start = time.Unix(1000, 0)

const service = "s"

// fakeFleet provides the reports of other nodes that a test creates.
type fakeFleet struct {
	view *heartbeat.View
	seq  uint64
	size int // other nodes of the fleet
}

func (f *fakeFleet) Targets(hashes []uint64, g func(i int, s heartbeat.Sum)) {
	for i, h := range hashes {
		g(i, f.view.Target(h))
	}
}
func (f *fakeFleet) LiveNodes() int                      { return 2 }
func (*fakeFleet) KnownNodes() int                       { return 2 }
func (*fakeFleet) LimitShares() int                      { return 2 }
func (*fakeFleet) Interval() time.Duration               { return 200 * time.Millisecond }
func (*fakeFleet) CountAge() time.Duration               { return 200 * time.Millisecond }
func (f *fakeFleet) FleetSize() int                      { return 2 + f.size }
func (*fakeFleet) Position(uint64) (position, nodes int) { return 0, 2 }

// report receives a report from another node.
func (f *fakeFleet) report(p *pool, t heartbeat.TargetReport, uses ...affinity.Use) {
	f.seq++
	r := heartbeat.Report{Node: "other", Sequence: f.seq, Targets: []heartbeat.TargetReport{t}, Uses: uses}
	f.view.Receive(r, p.now())
	p.receiveReport(r)
}

// testPool is a pool with the given targets on virtual time.
type testPool struct {
	*pool
	fleet    *fakeFleet
	registry *roster.Registry
	clock    time.Time
}

func newTestPool(targets ...roster.Target) *testPool {
	p := &testPool{fleet: &fakeFleet{view: heartbeat.NewView(heartbeat.DefaultConfig(), "self")}, clock: start}
	now := func() time.Time { return p.clock }
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), now, log.New(io.Discard), prometheus.NewRegistry())
	p.pool = newPool(p.fleet, guard, "z", log.New(io.Discard))
	p.now = now
	p.registry = roster.NewRegistry()
	p.registry.Reset(targets, p.clock)
	p.update(p.registry.TakeChanges())
	return p
}

// put adds or changes a target.
func (p *testPool) put(t roster.Target) {
	p.registry.Put(t, p.clock)
	p.update(p.registry.TakeChanges())
}

// run returns a target that started at the given second, 0 for an unknown start time.
func run(id string, second int64) roster.Target {
	t := roster.Target{ID: id, Service: service, Addr: "10.0.0.1:80", Slots: 8, Hash: uint64(id[0])}
	if second > 0 {
		t.Started = time.Unix(second, 0)
	}
	return t
}

var prompt = []affinity.Part{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 400}}

// take sends the prompt to a target of the service, except those tried.
func (p *testPool) take(t *testing.T, tried ...string) assignment {
	t.Helper()
	l, _, ok := p.acquire(criteria{service: service, parts: prompt, tried: tried})
	if !ok {
		t.Fatal("no target")
	}
	return l
}

// settle advances the time until the targets have read what they were sent.
func (p *testPool) settle() { p.clock = p.clock.Add(affinity.DefaultConfig().PrefillTime) }

// candidateOf returns the values that placement would use for a target.
func (p *testPool) candidateOf(id string) (kept, running int, suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.evaluateAll(criteria{service: service, parts: prompt}, p.now()).All() {
		if c.ID == id {
			return c.CachedTokens, c.Running, c.Suspended
		}
	}
	return 0, 0, false
}

func TestLaterRunStartsWithoutState(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	l := p.take(t)
	p.report(l.member, 5)
	hash := uint32(l.target.RunHash())
	p.fleet.report(p.pool, heartbeat.TargetReport{Target: hash, Running: 3}, affinity.Use{Part: 2, Target: hash})
	p.observe(l.member, health.Unreachable)
	kept, running, suspended := p.candidateOf("a")
	is.Equal(kept, 900)
	is.True(running >= 4)
	is.True(suspended)

	p.put(run("a", 11))
	kept, running, suspended = p.candidateOf("a")
	is.Equal(kept, 0)
	is.Equal(running, 0)
	is.True(!suspended)
	is.True(p.members["a"].client() != l.member.client()) // earlier connections are not used

	// The outcome of a request at the earlier run does not affect the later one.
	p.observe(l.member, health.Unreachable)
	p.report(l.member, 8)
	p.release(l, false)
	_, running, suspended = p.candidateOf("a")
	is.Equal(running, 0)
	is.True(!suspended)
}

// A node with an older view keeps reporting the earlier run.
func TestReportsOfAnEarlierRunAreIgnored(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	earlier := run("a", 10)
	p.put(run("a", 11))
	hash := uint32(earlier.RunHash())
	for range 5 {
		p.fleet.report(p.pool, heartbeat.TargetReport{Target: hash, Running: 30, Failed: 30},
			affinity.Use{Part: 1, Target: hash}, affinity.Use{Part: 2, Target: hash})
	}
	kept, running, suspended := p.candidateOf("a")
	is.Equal(kept, 0)
	is.Equal(running, 0)
	is.True(!suspended)
}

// A node with a newer view reports the later run. Its report applies once the run's entry has
// arrived here.
func TestReportsOfALaterRunApplyAfterItsEntry(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	later := run("a", 11)
	hash := uint32(later.RunHash())
	p.fleet.report(p.pool, heartbeat.TargetReport{Target: hash, Running: 2}, affinity.Use{Part: 2, Target: hash})
	kept, running, _ := p.candidateOf("a")
	is.Equal(kept, 0)
	is.Equal(running, 0)
	p.put(later)
	kept, running, _ = p.candidateOf("a")
	is.Equal(kept, 900)
	is.Equal(running, 2)
}

// This node's reports and notes identify targets by their runs.
func TestReportsAndNotesIdentifyTheRun(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	l := p.take(t)
	hash := uint32(l.target.RunHash())
	var r heartbeat.Report
	p.fillReport(&r, p.now())
	is.Equal(r.Targets[0].Target, hash)
	is.Equal(r.Uses, []affinity.Use{{Part: 1, Target: hash}, {Part: 2, Target: hash}})
	for _, u := range p.recentUses() {
		is.Equal(u.Target, hash)
	}
	p.put(run("a", 11))
	r = heartbeat.Report{}
	p.fillReport(&r, p.now())
	for _, report := range r.Targets {
		is.True(report.Target != hash) // that request belongs to the earlier run
	}
}

// Parts are fetched from a leaving target, but never from a run that has ended.
func TestNothingIsFetchedFromARunThatIsOver(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	l := p.take(t)
	p.settle()
	from := l.target.ID
	is.Equal(p.take(t, from).choice.FetchFrom.ID, from)

	p = newTestPool(run("a", 10), run("b", 10))
	l = p.take(t)
	p.settle()
	leaving := run(l.target.ID, 11)
	leaving.Draining = true
	p.put(leaving)
	is.Equal(p.take(t).choice.FetchFrom, nil)
}

// Nodes of the previous release identify a target by the hash of its ID only. That matches
// targets whose start time is unknown, and no others.
func TestHashesWithoutAStartTime(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 0), run("b", 10))
	for _, id := range []string{"a", "b"} {
		hash := uint32(id[0])
		p.fleet.report(p.pool, heartbeat.TargetReport{Target: hash, Running: 2}, affinity.Use{Part: 2, Target: hash})
	}
	note, err := cbor.Marshal([]affinity.Use{{Part: 2, Target: 'a'}, {Part: 2, Target: 'b'}})
	is.NoErr(err)
	(&Router{pool: p.pool, log: log.New(io.Discard)}).readNote(note, replica.AtStart)
	kept, _, _ := p.candidateOf("a")
	is.Equal(kept, 900)
	kept, running, _ := p.candidateOf("b")
	is.Equal(kept, 0)
	is.Equal(running, 0)
}

// An entry with an earlier start than the known one is outdated.
func TestEarlierRunIsIgnored(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	p.take(t)
	member := p.members["a"]
	p.put(run("a", 9))
	is.True(p.members["a"] == member)
	kept, running, _ := p.candidateOf("a")
	is.Equal(kept, 900)
	is.Equal(running, 1)
}

// A target whose entry is unusable gets no new requests, and nothing is fetched from it. A
// request in progress there ends normally and is counted when the entry is usable again.
func TestWithdrawnTargetGetsNothingNew(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	l := p.take(t)
	p.settle()
	id := l.target.ID
	withdrawn, _ := p.registry.AsWithdrawn(id)
	p.put(withdrawn)
	for range 20 {
		other := p.take(t)
		is.True(other.target.ID != id)
		is.Equal(other.choice.FetchFrom, nil)
		p.release(other, true)
	}
	p.put(run(id, 10))
	kept, running, _ := p.candidateOf(id)
	is.Equal(kept, 900)
	is.Equal(running, 1)
	p.release(l, true)
	_, running, _ = p.candidateOf(id)
	is.Equal(running, 0)
}

// A target of a service that is not configured does not affect the others.
func TestTargetOfAnUnknownService(t *testing.T) {
	is := is.New(t)
	stray := run("c", 10)
	stray.Service = "nobody's"
	p := newTestPool(run("a", 10), stray)
	for range 20 {
		l := p.take(t)
		is.Equal(l.target.ID, "a")
		p.release(l, true)
	}
	p.take(t)
	var r heartbeat.Report
	p.fillReport(&r, p.now())
	is.Equal(len(r.Targets), 1) // nothing is reported about the stray target
}
