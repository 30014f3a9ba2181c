// Package follower replicates the accepted settings to a node and serves them. Two
// relays in each failure domain watch the store and announce new revisions; the
// other nodes pull from them. Periodic anti-entropy between nodes repairs lost
// announcements, and a starting node asks its peers as well as the store. The
// revision in force on a node never decreases.
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

	hints chan hint    // pulls queued for pullLoop
	spawn func(func()) // starts a goroutine
	wait  func(context.Context, time.Duration)
	snap  atomic.Pointer[settings.Snapshot]

	mu    sync.Mutex
	state accepted.State
	gate  gate
	docs  map[string]settings.Team // decoded documents of state, by team
	ready bool                     // bootstrap is done: settings may be served
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

// Snapshot returns the settings in force, nil if none are in force yet.
func (f *Follower) Snapshot() *settings.Snapshot { return f.snap.Load() }

// Head returns the revision through which this node holds the settings. The
// settings in force may be older for up to holdTimeout.
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

// Start implements kernel.Starter. It returns at once and bootstraps in the
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

// source is the origin of a delta, used as a metric label.
type source string

const (
	sourceStore source = "store"
	sourcePeer  source = "peer"
)

// apply applies a delta. If the head increases, it announces the new head and serves
// it once the gate allows. It returns whether changes before the delta are missing.
func (f *Follower) apply(ctx context.Context, d accepted.Delta, from source) (gap bool) {
	f.mu.Lock()
	before := f.state.Head()
	res := f.state.Apply(d)
	f.decode(res.Changed)
	head := f.state.Head()
	f.gate.recordHeld(head, f.now())
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

// decode decodes the documents of the teams. Fields unknown to this version are
// ignored, because a node with a newer version has accepted them. A document that
// can't be decoded leaves the team's previous one in force. f.mu must be held.
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
			f.log.Error("accepted settings cannot be decoded; the team's previous ones stay in force; upgrade this node",
				"team", team, "revision", r.Revision, "err", err)
			continue
		}
		f.docs[team] = doc
	}
}

// confirm records that the node at a peer address holds a head. Only the heads of
// seeds count, since only those are asked after a restart.
func (f *Follower) confirm(addr string, head int64) {
	if !duty.IsSeed(f.members.View(), addr) {
		return
	}
	f.mu.Lock()
	f.gate.confirm(min(head, f.state.Head()))
	f.mu.Unlock()
	f.publish()
}

// confirmed returns the highest revision that this node holds and a seed has
// confirmed.
func (f *Follower) confirmed() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.confirmed
}

// publish puts the held settings in force if the bootstrap is done and the gate
// allows it.
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
	f.gate.recordServed(head)
	teams := maps.Clone(f.docs)
	f.snap.Store(settings.NewSnapshot(head, teams))
	f.metrics.served.Set(float64(head))
	f.log.Info("settings in force", "revision", head, "teams", len(teams))
}
