package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// Method is the peer method of the protocol's messages.
const Method = "membership.message"

const (
	// sendTimeout limits the sending of a message, including a dial; a message that is
	// later than this is of no use.
	sendTimeout = 500 * time.Millisecond
	// maxConcurrentSends limits the messages being sent at a time. Further messages are
	// dropped; the protocol tolerates lost messages.
	maxConcurrentSends = 64
)

// Network sends and receives messages between nodes; peer.Hub implements it.
type Network interface {
	Handle(method string, f peer.Handler)
	Notify(ctx context.Context, addr, method string, params any) error
}

// Targets provides VM lists and reports of leaving targets, and takes the reports of
// other nodes; targets.Registry implements it.
type Targets interface {
	OnList(f func(vmlist.List))
	OnLeaving(f func(targets.Report))
	Learn(reports ...targets.Report)
}

// Members is the service that implements Source: it runs a Machine on the network.
type Members struct {
	network Network
	targets Targets
	log     *log.Logger
	metrics *metrics
	view    atomic.Pointer[View]
	sends   chan struct{} // semaphore of messages being sent

	mu      sync.Mutex
	machine *Machine
	stop    chan struct{}
}

// New returns the service of the node self, which probes the nodes of its region in the
// VM lists of t.
func New(self Node, n Network, t Targets, l *log.Logger, reg prometheus.Registerer) *Members {
	now := time.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &Members{
		network: n, targets: t, log: l,
		sends:   make(chan struct{}, maxConcurrentSends),
		machine: NewMachine(self, DefaultConfig(), rng, now),
		stop:    make(chan struct{}),
	}
	m.metrics = newMetrics(reg, m.counts)
	m.publish(now)
	n.Handle(Method, m.receive)
	t.OnList(m.applyList)
	t.OnLeaving(m.broadcastLeaving)
	return m
}

// ID implements kernel.Service.
func (m *Members) ID() kernel.ID { return ServiceID }

// View implements Source.
func (m *Members) View() *View { return m.view.Load() }

// LimitShares returns View.LimitShares of the current view.
func (m *Members) LimitShares() int { return m.View().LimitShares() }

// Start implements kernel.Starter.
func (m *Members) Start(ctx context.Context) error {
	go m.run(ctx)
	return nil
}

// Drain implements kernel.Drainer: it announces that this node is leaving.
func (m *Members) Drain(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Leave()
	m.publish(time.Now())
	return nil
}

// Stop implements kernel.Stopper: it announces to Fanout nodes that this node is dead, so
// that no node waits for a timeout to detect it.
func (m *Members) Stop(ctx context.Context) error {
	close(m.stop)
	m.mu.Lock()
	out := m.machine.Stop()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, e := range out {
		_ = m.network.Notify(ctx, e.To, Method, e.Message)
	}
	return nil
}

// run ticks the machine every GossipInterval until ctx ends or Stop is called.
func (m *Members) run(ctx context.Context) {
	tick := time.NewTicker(m.machine.cfg.GossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.stop:
			return
		case <-tick.C:
			m.step(m.machine.Tick)
		}
	}
}

// step calls f with the lock held, publishes a changed view and sends the messages that f
// returns.
func (m *Members) step(f func(now time.Time) []Envelope) {
	now := time.Now()
	m.mu.Lock()
	out := f(now)
	m.publish(now)
	m.mu.Unlock()
	for _, e := range out {
		m.send(e)
	}
}

func (m *Members) receive(_ context.Context, params json.RawMessage) (any, error) {
	var msg Message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errors.Wrap(err, "membership: decode message")
	}
	// The reports are passed on first and without the lock, since Learn calls
	// broadcastLeaving for each new one.
	for i := range msg.Leaving {
		msg.Leaving[i].Leaving = true
	}
	if len(msg.Leaving) > 0 {
		m.targets.Learn(msg.Leaving...)
	}
	m.step(func(now time.Time) []Envelope { return m.machine.Receive(msg, now) })
	return nil, nil
}

func (m *Members) applyList(l vmlist.List) {
	m.step(func(now time.Time) []Envelope {
		m.machine.ApplyList(l, now)
		return nil
	})
}

func (m *Members) broadcastLeaving(report targets.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.BroadcastLeaving(report)
}

// publish replaces the view if it changed. The lock must be held.
func (m *Members) publish(now time.Time) {
	v := m.machine.View(now)
	if v == nil {
		return
	}
	m.logChanges(m.view.Load(), v)
	m.metrics.observe(v)
	m.view.Store(v)
}

func (m *Members) logChanges(old, v *View) {
	if old == nil {
		return
	}
	for _, n := range v.Nodes {
		before, ok := old.Node(n.ID)
		if !ok || before.State != n.State {
			m.log.Info("node", "id", n.ID, "state", n.State, "incarnation", n.Incarnation)
		}
	}
}

// send sends a message in the background, or drops it if maxConcurrentSends are being
// sent.
func (m *Members) send(e Envelope) {
	select {
	case m.sends <- struct{}{}:
	default:
		m.metrics.dropped.Inc()
		return
	}
	go func() {
		defer func() { <-m.sends }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := m.network.Notify(ctx, e.To, Method, e.Message); err != nil {
			m.log.Debug("cannot send membership message", "to", e.To, "err", err)
		}
	}()
}

func (m *Members) counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Counts()
}
