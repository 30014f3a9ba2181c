// Package follower keeps a node's copy of the accepted settings. Two relays of
// each failure domain watch the store and announce new revisions; the other
// nodes pull from them. Slow anti-entropy between nodes covers what is lost,
// and a starting node asks its peers as well as the store. What is in force
// never moves to a lower revision.
package follower

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/duty"
	"github.com/knapweedgw/knapweedgw/store"
)

// Peers calls other nodes; *peer.Hub implements it.
type Peers interface {
	Handle(method string, f peer.Handler)
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Follower is the service settings.ServiceID.
type Follower struct {
	store   store.Store
	log     *log.Logger
	metrics *metrics
	now     func() time.Time

	members membership.Source
	peers   Peers

	hints chan hint
	spawn func(func()) // starts a goroutine
	wait  func(context.Context, time.Duration)
	snap  atomic.Pointer[settings.Snapshot]

	mu    sync.Mutex
	state accepted.State
	gate  gate
	docs  map[string]settings.Team // decoded records of state
	ready bool                     // the start is done; served from now on
}

// New returns a follower.
func New(s store.Store, l *log.Logger, reg prometheus.Registerer) *Follower {
	const hintBuffer = 16
	return &Follower{
		store: s, log: l, metrics: newMetrics(reg), now: time.Now,
		spawn: func(do func()) { go do() }, wait: pause.Sleep,
		hints: make(chan hint, hintBuffer), docs: make(map[string]settings.Team),
	}
}

// ID implements kernel.Service.
func (f *Follower) ID() kernel.ID { return settings.ServiceID }

// Snapshot returns the settings in force, nil before the first.
func (f *Follower) Snapshot() *settings.Snapshot { return f.snap.Load() }

// Head returns the revision through which this node holds the settings; those
// in force may be older for an instant.
func (f *Follower) Head() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Head()
}

// Provision implements kernel.Provisioner.
func (f *Follower) Provision(k *kernel.Kernel) error {
	var err error
	if f.members, err = kernel.Lookup[membership.Source](k, membership.ServiceID); err != nil {
		return err
	}
	if f.peers, err = kernel.Lookup[Peers](k, peer.ServiceID); err != nil {
		return err
	}
	f.handle()
	return nil
}

// Start implements kernel.Starter. The first settings are found in the
// background.
func (f *Follower) Start(ctx context.Context) error {
	go f.run(ctx)
	return nil
}

func (f *Follower) run(ctx context.Context) {
	f.bootstrap(ctx)
	go f.pullLoop(ctx)
	go f.antiEntropyLoop(ctx)
	f.relayLoop(ctx)
}

// source says where a delta came from.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// absorb applies a delta and serves what may be served. It returns whether
// changes before the delta are missing.
func (f *Follower) absorb(ctx context.Context, d accepted.Delta, from source) (gap bool) {
	f.mu.Lock()
	before := f.state.Head()
	res := f.state.Apply(d)
	f.decode(res.Changed)
	head := f.state.Head()
	f.gate.hold(head, f.now())
	f.metrics.held.Set(float64(head))
	f.mu.Unlock()
	f.metrics.stale.WithLabelValues(string(from)).Add(float64(res.Stale))
	if res.Gap {
		f.metrics.gaps.WithLabelValues(string(from)).Inc()
	}
	if head > before {
		f.publish()
		f.announce(ctx, head)
		time.AfterFunc(holdTimeout, f.publish)
	}
	return res.Gap
}

// decode reads the documents of the teams named. Fields unknown to this
// version are ignored: a newer node has accepted them. f.mu is held.
func (f *Follower) decode(teams []string) {
	for _, team := range teams {
		r, _ := f.state.Record(team)
		if r.Deleted {
			delete(f.docs, team)
			continue
		}
		var doc settings.Team
		if err := json.Unmarshal(r.Document, &doc); err != nil {
			f.metrics.undecodable.Inc()
			f.log.Error("accepted settings can't be read; the team's former ones stay in force; upgrade this node",
				"team", team, "revision", r.Revision, "err", err)
			continue
		}
		f.docs[team] = doc
	}
}

// confirm notes that the node at a peer address has a head now. It counts only
// if this node would ask that one at a start.
func (f *Follower) confirm(addr string, head int64) {
	if !duty.IsSeed(f.members.View(), addr) {
		return
	}
	f.mu.Lock()
	f.gate.confirm(min(head, f.state.Head()))
	f.mu.Unlock()
	f.publish()
}

// confirmed returns the highest revision held here and known to be held by
// another node.
func (f *Follower) confirmed() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.confirmed
}

// publish puts in force what this node holds, if the gate allows it.
func (f *Follower) publish() {
	alone := len(f.members.View().Nodes) <= 1
	f.mu.Lock()
	defer f.mu.Unlock()
	head := f.state.Head()
	if !f.ready || f.snap.Load() != nil && f.gate.served >= head {
		return
	}
	switch f.gate.decide(head, alone, f.now()) {
	case wait:
		return
	case serveUnconfirmed:
		f.metrics.unconfirmed.Inc()
	}
	f.gate.serving(head)
	teams := maps.Clone(f.docs)
	f.snap.Store(settings.NewSnapshot(head, teams))
	f.metrics.served.Set(float64(head))
	f.log.Info("settings in force", "revision", head, "teams", len(teams))
}
