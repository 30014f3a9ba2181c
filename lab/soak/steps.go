package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// target is an engine or plain server behind a proxy.
type target struct {
	proxy *Proxy
	// replacing orders the steps that put another engine behind the proxy.
	replacing sync.Mutex

	mu     sync.Mutex
	engine *standin.Engine
}

func (t *target) current() *standin.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine
}

// put starts a new engine behind the proxy.
func (t *target) put(r *run, id, service, zone string) {
	e := standin.NewEngine(r.host, id, service, zone, r.journal)
	e.Pace, e.StallFor, e.Public = enginePace, stallTime, t.proxy.Addr()
	e.OnEnd = func() { r.noteEnd(t, e) }
	if r.domains.cold() {
		e.ColdFor, e.ColdPerSecond = coldFor, coldBound
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
	// stallTime is how long an engine that stalls does nothing.
	stallTime = grace * time.Second
)

// engineFaults are all that an engine may do wrong, stalls included.
var engineFaults = append([]standin.Fault{standin.HeaderOnly, standin.Stall, standin.LateEnd}, standin.Faults...)

func (r *run) addTarget(id, service string, zone int) error {
	proxy, err := NewProxy("127.0.0.1", "")
	if err != nil {
		return err
	}
	t := &target{proxy: proxy}
	t.put(r, id, service, fmt.Sprint("zone-", zone%3))
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

// harmOf returns the harm to an engine.
func (r *run) harmOf(id string) *timeline {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.harms[id]
	if !ok {
		t = &timeline{}
		r.harms[id] = t
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
	case Hup:
		n.signal(syscall.SIGHUP)
	case CutStore, StoreBusy, StoreDeaf:
		r.harmStore(n, s)
	case CutTarget, TargetDoes:
		r.harmTarget(s)
	case Drain:
		r.drain(s)
	case Revive:
		r.revive(r.target(s), s)
	case Reuse:
		r.reuse(r.target(s), s)
	case Evacuate:
		r.evacuate(s)
	case ColdReturn:
		r.coldReturn(s)
	case Leave:
		r.leave(s)
	case Shed:
		r.shed(s)
	case Configure:
		r.configure(func() { r.later = s.Which%2 == 0 })
	case Retime:
		r.configure(func() { r.timeout = timeouts[s.Fault%len(timeouts)] })
	}
}

func (r *run) must(err error) {
	if err != nil {
		r.host.Fatal(err)
	}
}

func (r *run) killAll() {
	r.ends.killsAll()
	var work sync.WaitGroup
	defer work.Wait()
	for _, n := range r.nodes {
		work.Go(func() { r.must(n.restart(syscall.SIGKILL)) })
	}
}

// harmStore harms the store for all nodes or cuts one node off it.
func (r *run) harmStore(n *process, s Step) {
	defer r.lost.core.begin()()
	switch s.Kind {
	case CutStore:
		r.cut(n.store, s)
	case StoreBusy:
		r.store.SetMode(standin.Busy)
		time.Sleep(s.For)
		r.store.SetMode(standin.Serving)
	case StoreDeaf:
		r.store.SetDeaf(true)
		time.Sleep(s.For)
		r.store.Compact()
		r.store.SetDeaf(false)
	}
}

func (r *run) cut(p *Proxy, s Step) {
	p.Set(s.Harm)
	time.Sleep(s.For)
	p.Set(Pass)
}

// harmTarget harms the way to a target or has it misbehave.
func (r *run) harmTarget(s Step) {
	t := r.target(s)
	e := t.current()
	defer r.harmOf(e.ID).begin()()
	if s.Kind == CutTarget {
		r.cut(t.proxy, s)
		return
	}
	e.SetFault(engineFaults[s.Fault%len(engineFaults)], -1)
	time.Sleep(s.For)
	e.SetFault(standin.None, 0)
}

// drainTime is how long a leaving target serves on.
const drainTime = 2 * time.Second

// replacement returns the ID of a target that joins for another.
func replacement(e *standin.Engine, s Step) string { return fmt.Sprintf("%s-%d", e.ID, s.Fault) }

// drain has a target say that it leaves, or only vanish, while another joins.
func (r *run) drain(s Step) {
	t := r.target(s)
	e := t.current()
	r.must(r.addTarget(replacement(e, s), e.Service, s.Which))
	if s.Fault%2 == 0 {
		r.store.Put("servers/"+e.ID, e.Entry("draining"))
		time.Sleep(drainTime)
	}
	r.store.Remove("servers/" + e.ID)
}

// revive has a target crash and start again under its ID.
func (r *run) revive(t *target, s Step) {
	t.replacing.Lock()
	defer t.replacing.Unlock()
	e := t.current()
	defer r.harmOf(e.ID).begin()()
	e.Crash()
	time.Sleep(s.For)
	e.Move()
	t.proxy.Redirect(e.Addr())
	r.store.Put("servers/"+e.ID, e.Entry("ready"))
}

// reuse has a target crash and its address go to an engine of the other service,
// while another joins in its place.
func (r *run) reuse(t *target, s Step) {
	t.replacing.Lock()
	defer t.replacing.Unlock()
	e := t.current()
	defer r.harmOf(e.ID).begin()()
	id := replacement(e, s)
	r.must(r.addTarget(id, e.Service, s.Which))
	e.Crash()
	r.store.Remove("servers/" + e.ID)
	time.Sleep(s.For)
	other := standin.ModelPool
	if e.Service == other {
		other = standin.ServicePool
	}
	t.put(r, id+"-reuse", other, e.Zone)
}

// timeouts are those that routes have, the first in the beginning and the end.
var timeouts = []time.Duration{4 * time.Second, 1500 * time.Millisecond, 8 * time.Second}

// configure writes the next configuration after a change of what it holds.
func (r *run) configure(change func()) {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	change()
	r.version++
	changes := []func(map[string]any){}
	if r.later {
		changes = append(changes, standin.AddRoute)
	}
	changes = append(changes, r.setTimeouts)
	if r.Profile == Evacuating {
		changes = append(changes, limitCold)
	}
	r.lost.timeouts.set(r.timeout)
	defer r.lost.configs.begin()()
	r.store.Put("op/config", standin.Config(r.version, changes...))
}

func (r *run) setTimeouts(cfg map[string]any) {
	for _, route := range cfg["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = r.timeout.Milliseconds()
	}
}
