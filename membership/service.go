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
	// sendTimeout bounds one message, a dial included; later it is of no use.
	sendTimeout = 500 * time.Millisecond
	// maxSending bounds the messages being sent at a time; more are dropped,
	// as the network may do.
	maxSending = 64
)

// Network carries messages between nodes.
type Network interface {
	Handle(method string, f peer.Handler)
	Notify(ctx context.Context, addr, method string, params any) error
}

// Targets gives and takes words on leaving targets, and the VM list.
type Targets interface {
	OnList(f func(vmlist.List))
	OnLeaving(f func(targets.Word))
	Learn(words ...targets.Word)
}

// Members is the Source of a node: it runs the Machine on the network.
type Members struct {
	network Network
	targets Targets
	log     *log.Logger
	metrics *metrics
	view    atomic.Pointer[View]
	sending chan struct{}

	mu      sync.Mutex
	machine *Machine
	stop    chan struct{}
}

// New returns a Source for the node self, which watches the nodes of its
// region in the VM list that t reads.
func New(self Node, n Network, t Targets, l *log.Logger, reg prometheus.Registerer) *Members {
	now := time.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &Members{
		network: n, targets: t, log: l,
		sending: make(chan struct{}, maxSending),
		machine: NewMachine(self, DefaultConfig(), rng, now),
		stop:    make(chan struct{}),
	}
	m.metrics = newMetrics(reg, m.counts)
	m.publish(now)
	n.Handle(Method, m.receive)
	t.OnList(m.list)
	t.OnLeaving(m.spread)
	return m
}

// ID implements kernel.Service.
func (m *Members) ID() kernel.ID { return ServiceID }

// View implements Source.
func (m *Members) View() *View { return m.view.Load() }

// Start implements kernel.Starter.
func (m *Members) Start(ctx context.Context) error {
	go m.run(ctx)
	return nil
}

// Drain implements kernel.Drainer: it announces that this node leaves.
func (m *Members) Drain(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Leave()
	m.publish(time.Now())
	return nil
}

// Stop implements kernel.Stopper: it tells a few nodes that this one has left,
// so that nobody waits for it.
func (m *Members) Stop(ctx context.Context) error {
	close(m.stop)
	m.mu.Lock()
	out := m.machine.Left()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, e := range out {
		_ = m.network.Notify(ctx, e.To, Method, e.Message)
	}
	return nil
}

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

// step runs f on the machine, publishes what changed and sends what comes out.
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
		return nil, errors.Wrap(err, "membership: message")
	}
	// Words are learnt first and without the lock: news among them comes
	// back by spread.
	for i := range msg.Leaving {
		msg.Leaving[i].Leaving = true
	}
	if len(msg.Leaving) > 0 {
		m.targets.Learn(msg.Leaving...)
	}
	m.step(func(now time.Time) []Envelope { return m.machine.Receive(msg, now) })
	return nil, nil
}

func (m *Members) list(l vmlist.List) {
	m.step(func(now time.Time) []Envelope {
		m.machine.List(l, now)
		return nil
	})
}

func (m *Members) spread(w targets.Word) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Spread(w)
}

// publish replaces the view if something changed. The lock must be held.
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

// send sends in the background; it drops the message if many are on their way.
func (m *Members) send(e Envelope) {
	select {
	case m.sending <- struct{}{}:
	default:
		m.metrics.dropped.Inc()
		return
	}
	go func() {
		defer func() { <-m.sending }()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := m.network.Notify(ctx, e.To, Method, e.Message); err != nil {
			m.log.Debug("membership message not sent", "to", e.To, "err", err)
		}
	}()
}

func (m *Members) counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Counts()
}
