package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// target is an engine or a server of a plain service, behind a proxy.
type target struct {
	proxy *Proxy
	// replaceMu serializes the steps that start another engine behind the proxy.
	replaceMu sync.Mutex

	mu     sync.Mutex
	engine *standin.Engine
	// stopServing is called when the target no longer serves its version.
	stopServing func()
}

func (t *target) current() *standin.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine
}

// start starts a new engine behind the proxy and adds it to the store.
func (t *target) start(r *run, id, service, zone string) {
	e := standin.NewEngine(r.host, id, service, zone, r.journal)
	e.Pace, e.StallFor, e.Public = enginePace, stallTime, t.proxy.Addr()
	e.OnEnd = func() { r.targetEnded(t, e) }
	if r.Profile == Owners && service == standin.ServicePool {
		e.Slots = ownedSlots
	}
	if r.domains.cold() {
		e.ColdFor, e.ColdPerSecond = coldFor, coldBound
	}
	t.stopServing = func() {}
	if r.Profile == Versions && service == standin.ModelPool {
		e.Upgrade(r.versions.version())
		t.stopServing = r.versions.serves(e.Version())
	}
	r.domains.add(e)
	t.proxy.Redirect(e.Addr())
	t.mu.Lock()
	t.engine = e
	t.mu.Unlock()
	r.store.Put("servers/"+id, e.Entry("ready"))
}

const (
	// enginePace is the pause between two events of a stream.
	enginePace = 15 * time.Millisecond
	// stallTime is how long a stalled engine makes no progress.
	stallTime = grace * time.Second
)

// engineFaults are all faults that an engine may show, stalls included.
var engineFaults = append([]standin.Fault{standin.HeaderOnly, standin.Stall, standin.LateEnd}, standin.Faults...)

func (r *run) addTarget(id, service string, zone int) error {
	proxy, err := NewProxy("127.0.0.1", "")
	if err != nil {
		return err
	}
	t := &target{proxy: proxy}
	t.start(r, id, service, fmt.Sprint("zone-", zone%3))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append(r.targets, t)
	return nil
}

func (r *run) target(s Step) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets[s.Which%len(r.targets)]
}

// targetFaultsOf returns the times at which an engine was disrupted.
func (r *run) targetFaultsOf(id string) *timeline {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targetFaults[id]
	if !ok {
		t = &timeline{}
		r.targetFaults[id] = t
	}
	return t
}

func (r *run) step(s Step) {
	n := r.nodes[s.Which%len(r.nodes)]
	switch s.Kind {
	case Term:
		r.must(n.restart(syscall.SIGTERM))
	case Kill:
		r.must(n.restart(syscall.SIGKILL))
	case KillAll:
		r.killAll()
	case Freeze:
		n.freeze(s.For)
	case KillOwner:
		r.must(r.owner(s).restart(syscall.SIGKILL))
	case FreezeOwner:
		r.owner(s).freeze(s.For)
	case TermOwner:
		r.must(r.owner(s).restart(syscall.SIGTERM))
	case ReleaseTarget:
		r.releaseTarget(s)
	case BreakStreams:
		r.breakStreams(s)
	case Hup:
		n.signal(syscall.SIGHUP)
	case CutStore, StoreBusy, StoreWatchStall:
		r.disruptStore(n, s)
	case StoreRestore:
		r.restoreStore(s)
	case CutTarget, TargetFault:
		r.disruptTarget(s)
	case Drain:
		r.drain(s)
	case RestartTarget:
		r.restartTarget(r.target(s), s)
	case ReuseAddress:
		r.reuseAddress(r.target(s), s)
	case Evacuate:
		r.evacuate(s)
	case ReplaceDomain:
		r.replaceDomain(s)
	case AnnounceLeave:
		r.announceLeave(s)
	case Shed:
		r.shed(s)
	case PartitionNodes:
		r.partitionNodes(s)
	case AnswerUnframed:
		r.answerUnframed(s)
	case Configure:
		r.configure(func() { r.laterRoute = s.Which%2 == 0 })
	case ChangeTimeout:
		r.configure(func() { r.timeout = timeouts[s.Variant%len(timeouts)] })
	}
}

func (r *run) must(err error) {
	if err != nil {
		r.host.Fatal(err)
	}
}

func (r *run) killAll() {
	r.ends.allowKillAll()
	var work sync.WaitGroup
	defer work.Wait()
	for _, n := range r.nodes {
		work.Go(func() { r.must(n.restart(syscall.SIGKILL)) })
	}
}

// disruptStore makes the store faulty for all nodes, or the connections of one node to it.
func (r *run) disruptStore(n *process, s Step) {
	defer r.lost.storeFaults.begin()()
	switch s.Kind {
	case CutStore:
		r.cut(n.store, s)
	case StoreBusy:
		r.store.SetMode(standin.Busy)
		time.Sleep(s.For)
		r.store.SetMode(standin.Serving)
	case StoreWatchStall:
		r.store.SetDeaf(true)
		time.Sleep(s.For)
		r.store.Compact()
		r.store.SetDeaf(false)
	}
}

func (r *run) cut(p *Proxy, s Step) {
	p.SetFault(s.NetFault)
	time.Sleep(s.For)
	p.SetFault(Pass)
}

// disruptTarget makes the connections to a target faulty or the target itself.
func (r *run) disruptTarget(s Step) {
	t := r.target(s)
	e := t.current()
	defer r.targetFaultsOf(e.ID).begin()()
	if s.Kind == CutTarget {
		r.cut(t.proxy, s)
		return
	}
	e.SetFault(engineFaults[s.Variant%len(engineFaults)], -1)
	time.Sleep(s.For)
	e.SetFault(standin.None, 0)
}

// drainTime is how long a draining target keeps serving.
const drainTime = 2 * time.Second

// replacementID returns the ID of the target that replaces e.
func replacementID(e *standin.Engine, s Step) string { return fmt.Sprintf("%s-%d", e.ID, s.Variant) }

// drain removes a target from the store while another joins. For an even Variant the target drains
// first; otherwise it is removed without notice.
func (r *run) drain(s Step) { r.replace(r.target(s).current(), s) }

// replace is drain for the given target.
func (r *run) replace(e *standin.Engine, s Step) {
	r.must(r.addTarget(replacementID(e, s), e.Service, s.Which))
	if s.Variant%2 == 0 {
		r.store.Put("servers/"+e.ID, e.Entry("draining"))
		r.leavings.record(e)
		time.Sleep(drainTime)
	}
	r.store.Remove("servers/" + e.ID)
	r.leavings.record(e)
}

// restartTarget crashes a target and starts it again under the same ID.
func (r *run) restartTarget(t *target, s Step) {
	t.replaceMu.Lock()
	defer t.replaceMu.Unlock()
	e := t.current()
	defer r.targetFaultsOf(e.ID).begin()()
	e.Crash()
	time.Sleep(s.For)
	e.Move()
	t.proxy.Redirect(e.Addr())
	r.store.Put("servers/"+e.ID, e.Entry("ready"))
}

// reuseAddress crashes a target and starts an engine of the other service at its address, while
// another target joins in its place.
func (r *run) reuseAddress(t *target, s Step) {
	t.replaceMu.Lock()
	defer t.replaceMu.Unlock()
	e := t.current()
	defer r.targetFaultsOf(e.ID).begin()()
	id := replacementID(e, s)
	r.must(r.addTarget(id, e.Service, s.Which))
	e.Crash()
	r.store.Remove("servers/" + e.ID)
	time.Sleep(s.For)
	other := standin.ModelPool
	if e.Service == other {
		other = standin.ServicePool
	}
	t.start(r, id+"-reuse", other, e.Zone)
}

// timeouts are the timeouts that routes may have. The first one is in force at the beginning and at
// the end of a run.
var timeouts = []time.Duration{4 * time.Second, 1500 * time.Millisecond, 8 * time.Second}

// configure applies change to the run and writes the next version of the configuration.
func (r *run) configure(change func()) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	change()
	r.version++
	changes := []func(map[string]any){}
	if r.laterRoute {
		changes = append(changes, standin.AddRoute)
	}
	changes = append(changes, r.setTimeouts)
	if r.Profile == Evacuating {
		changes = append(changes, limitCold)
	}
	r.lost.timeouts.set(r.timeout)
	defer r.lost.configChanges.begin()()
	r.store.Put("op/config", standin.Config(r.version, changes...))
	r.configured.record(r.version)
}

func (r *run) setTimeouts(cfg map[string]any) {
	for _, route := range cfg["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = r.timeout.Milliseconds()
	}
}
