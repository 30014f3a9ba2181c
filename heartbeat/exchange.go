package heartbeat

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/pause"
)

// ServiceID is the kernel ID of the Exchange.
const ServiceID kernel.ID = "heartbeat.exchange"

// maxDatagram is the size of the receive buffer in bytes. The largest message has maxSums
// targets, members and uses.
const maxDatagram = 16 << 10

// Reporter fills in this node's report.
type Reporter interface {
	FillReport(r *Report, now time.Time)
}

// Exchange sends this node's reports and maintains the view of the other nodes.
type Exchange struct {
	cfg      Config
	self     string
	log      *log.Logger
	seeds    func() []string
	now      func() time.Time
	conn     *net.UDPConn
	reporter Reporter
	onReport []func(Report)
	metrics  *metrics

	mu      sync.Mutex
	machine *Machine
	alive   map[string]bool
	// groups is the last logged number of groups, liveNodes the number of live nodes at
	// checkedAt.
	groups, liveNodes int
	checkedAt         time.Time
	started           time.Time
	shares            fleetShares
	// leaving is set when this node drains.
	leaving bool
}

// NewExchange returns an exchange for the node at self, an ip:port. seeds returns addresses at
// which other nodes may be; it is called at every step.
func NewExchange(cfg Config, self string, seeds func() []string, l *log.Logger, reg prometheus.Registerer) *Exchange {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &Exchange{
		cfg: cfg, self: self, seeds: seeds, log: l, now: time.Now, metrics: newMetrics(reg),
		machine: NewMachine(cfg, self, time.Now().UnixNano(), rng), alive: make(map[string]bool),
		groups: 1, liveNodes: 1, started: time.Now(),
	}
	e.machine.onRelayChange = e.recordRelayChange
	return e
}

// ID implements kernel.Service.
func (e *Exchange) ID() kernel.ID { return ServiceID }

// SetReporter sets the source of this node's reports. It must be called before Start.
func (e *Exchange) SetReporter(r Reporter) { e.reporter = r }

// OnReport registers f to be called after each received report, including the brief ones in
// sums and subscriptions. It must be called before Start.
func (e *Exchange) OnReport(f func(Report)) { e.onReport = append(e.onReport, f) }

// Start implements kernel.Starter.
func (e *Exchange) Start(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", e.self)
	if err != nil {
		return errors.Wrap(err, "heartbeat: own address")
	}
	if e.conn, err = net.ListenUDP("udp4", addr); err != nil {
		return errors.WithHint(errors.Wrap(err, "heartbeat: listen"), "give the node a free port for other nodes")
	}
	go e.receive()
	go e.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. It sends a last brief report to all known nodes, so that they
// learn at once that this node leaves.
func (e *Exchange) Stop(context.Context) error {
	e.mu.Lock()
	all := e.machine.view.Addresses()
	e.mu.Unlock()
	e.sendBrief(e.now(), all)
	return errors.Wrap(e.conn.Close(), "heartbeat: close")
}

func (e *Exchange) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			t.Reset(e.step(e.now()))
		}
	}
}

// step sends the messages that are due and returns the time until the next step.
func (e *Exchange) step(now time.Time) time.Duration {
	own := e.report(now, false)
	e.mu.Lock()
	out, next, err := e.machine.Step(own, e.seeds(), now)
	if now.Sub(e.checkedAt) >= e.cfg.Interval {
		e.checkedAt = now
		e.updateLiveness(now)
		e.updateShares(now)
		e.updateGroups()
	}
	e.mu.Unlock()
	e.send(out, err)
	return next
}

// report returns the Reporter's report. It must be called without holding the lock, since the
// Reporter queries the exchange.
func (e *Exchange) report(now time.Time, brief bool) Report {
	r := Report{Brief: brief}
	e.reporter.FillReport(&r, now)
	return r
}

// Announce sends this node's versions to some live nodes at once. Each of them that lacks these
// versions announces them in turn once it has them, so a change reaches a fleet of hundreds of
// nodes in three or four hops.
func (e *Exchange) Announce() {
	now := e.now()
	e.mu.Lock()
	to := e.machine.view.LiveAddresses(now, e.cfg.AnnounceFanout)
	e.mu.Unlock()
	e.sendBrief(now, to)
}

// announceBatchInterval is the time between two batches of Config.Batch announcements to all
// nodes, which have about 120 bytes each: 2.3 Mbit/s of a link of 20 Mbit/s.
const announceBatchInterval = 5 * time.Millisecond

// AnnounceToAll sends this node's versions to all known nodes whose last report has older ones,
// also to those that weren't heard yet. It sends in batches, live nodes first, and leaves out
// nodes that report these versions meanwhile. It returns after the last batch or when ctx ends.
func (e *Exchange) AnnounceToAll(ctx context.Context) {
	sent := make(map[string]bool)
	for ctx.Err() == nil {
		now := e.now()
		own := e.report(now, true)
		e.mu.Lock()
		to := e.machine.view.Behind(own.Catalog, own.Position(), e.cfg.Batch, sent, now)
		e.mu.Unlock()
		if len(to) == 0 {
			return
		}
		for _, n := range to {
			sent[n] = true
		}
		e.sendBrief(now, to)
		pause.Sleep(ctx, announceBatchInterval)
	}
}

// sendBrief sends a report without targets to some nodes.
func (e *Exchange) sendBrief(now time.Time, to []string) {
	own := e.report(now, true)
	e.mu.Lock()
	out, err := e.machine.Brief(own, to, now)
	e.mu.Unlock()
	e.send(out, err)
}

func (e *Exchange) send(out []Datagram, err error) {
	if err != nil {
		e.log.Error("cannot encode message", "err", err)
	}
	for _, d := range out {
		e.sendTo(d.To, d.Body)
	}
}

func (e *Exchange) sendTo(address string, raw []byte) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		e.log.Warn("cannot resolve node address; correct the seeds", "addr", address, "err", err)
		return
	}
	// Best effort: a lost datagram is superseded by the next one.
	if _, err := e.conn.WriteToUDP(raw, addr); err != nil {
		e.log.Debug("cannot send message", "addr", address, "err", err)
		return
	}
	e.metrics.sent.Inc()
	e.metrics.bytes.Add(float64(len(raw)))
}

// updateLiveness counts the live nodes and logs those that were lost or regained. The caller
// holds the lock.
func (e *Exchange) updateLiveness(now time.Time) {
	v := e.machine.view
	lost := e.cfg.lostTimeout(v.interval())
	e.liveNodes = 1
	var heard, silent []string
	for addr, p := range v.peers {
		live := p.live(lost, now)
		if live {
			e.liveNodes++
		}
		if live == e.alive[addr] {
			continue
		}
		e.alive[addr] = live
		if live {
			heard = append(heard, addr)
		} else {
			silent = append(silent, addr)
		}
	}
	e.logNodeChanges("heard", heard, now)
	e.logNodeChanges("lost", silent, now)
}

// Up to maxNodeLines nodes that are lost or regained at the same time are logged on a line
// each; more are logged on a single line that names the first nodeSample of them.
const (
	maxNodeLines = 8
	nodeSample   = 3
)

// logNodeChanges logs the nodes that were lost or regained. The caller holds the lock.
func (e *Exchange) logNodeChanges(what string, nodes []string, now time.Time) {
	if len(nodes) > maxNodeLines {
		e.log.Info("nodes "+what, "count", len(nodes), "first", nodes[:nodeSample], "lives", e.liveNodes)
		return
	}
	for _, addr := range nodes {
		p := e.machine.view.peers[addr]
		e.log.Info("node "+what, "peer", addr, "leaving", p.report.Leaving, "age_ms", now.Sub(p.heard).Milliseconds())
	}
}

// updateGroups sets the metric and logs a change of the number of groups. The caller holds the
// lock.
func (e *Exchange) updateGroups() {
	v := e.machine.view
	e.metrics.groups.Set(float64(v.groups))
	if v.groups == e.groups {
		return
	}
	e.log.Info("groups of nodes changed", "groups", v.groups, "before", e.groups, "group", v.group,
		"nodes", v.size(), "wanted", e.machine.wanted)
	e.groups = v.groups
}

// recordRelayChange counts a relay change and logs it if the relay was silent. The caller holds
// the lock.
func (e *Exchange) recordRelayChange(a relayRequest) {
	e.metrics.relays.WithLabelValues(string(a.reason)).Inc()
	if a.reason == relaySilent {
		e.log.Info("relay silent; asking others", "group", a.group, "peers", a.previous, "next", a.relays)
	}
}

func (e *Exchange) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Debug("cannot receive message", "err", err)
			continue
		}
		e.handle(buf[:n])
	}
}

func (e *Exchange) handle(raw []byte) {
	now := e.now()
	e.mu.Lock()
	a, err := e.machine.Receive(raw, now)
	e.mu.Unlock()
	if err != nil {
		e.log.Warn("cannot decode message; run the same version on all nodes", "err", err)
		return
	}
	e.metrics.received.Inc()
	if !a.IsNew {
		return
	}
	if a.NewPeer {
		e.sendBrief(now, []string{a.Report.Node})
	}
	for _, f := range e.onReport {
		f(a.Report)
	}
}

// SendStreams sends packed records of streams to a node at once, which must be one of StreamHolders.
func (e *Exchange) SendStreams(node string, packed []byte) {
	now := e.now()
	own := e.report(now, true)
	own.Streams = packed
	e.mu.Lock()
	out, err := e.machine.Brief(own, []string{node}, now)
	e.mu.Unlock()
	e.send(out, err)
}

// Drain implements kernel.Drainer. From then on this node ranks last as a watcher, so that
// other nodes take over its duties.
func (e *Exchange) Drain(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	return nil
}
