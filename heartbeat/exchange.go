package heartbeat

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// ServiceID is the kernel name of the Exchange.
const ServiceID kernel.ID = "heartbeat.exchange"

const (
	// maxDatagram is the largest report read, in bytes.
	maxDatagram = 8 << 10
	// nodesEvery is the number of reports between two that name other nodes,
	// and maxNodes the number of names in one, 16 bytes each.
	nodesEvery = 20
	maxNodes   = 60
)

// firstReports is the number of reports of a new node that all name others: it
// has heard of some that its seeds have not.
const firstReports = 5

// Reporter fills in what this node says of itself.
type Reporter interface {
	FillReport(r *Report, now time.Time)
}

// Exchange sends this node's reports and keeps the view of the others.
type Exchange struct {
	cfg      Config
	self     string
	log      *log.Logger
	seeds    func() []string
	now      func() time.Time
	conn     *net.UDPConn
	reporter Reporter
	onReport []func(Report)

	mu    sync.Mutex
	view  *View
	alive map[string]bool
	last  Report
	// leaving says that this node stops.
	leaving bool
	// turn counts the reports sent, node after node.
	turn int

	sent, received prometheus.Counter
	bytes          prometheus.Counter
}

// NewExchange returns an exchange for the node at self, an ip:port. seeds
// returns addresses at which other nodes may be; it is asked again and again.
func NewExchange(cfg Config, self string, seeds func() []string, l *log.Logger, reg prometheus.Registerer) *Exchange {
	e := &Exchange{
		cfg: cfg, self: self, seeds: seeds, log: l, now: time.Now,
		view: NewView(cfg, self), alive: make(map[string]bool),
		last: Report{Node: self, Incarnation: time.Now().UnixNano()},
	}
	f := telemetry.NewMeters(reg, "heartbeat")
	e.sent = f.Counter("sent_total", "reports sent to other nodes")
	e.received = f.Counter("received_total", "reports received from other nodes")
	e.bytes = f.Counter("sent_bytes_total", "bytes of reports sent to other nodes, without packet headers")
	return e
}

// ID implements kernel.Service.
func (e *Exchange) ID() kernel.ID { return ServiceID }

// SetReporter names who fills in the reports. It must be called before Start.
func (e *Exchange) SetReporter(r Reporter) { e.reporter = r }

// OnReport calls f after each report received. It must be called before Start.
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

// Stop implements kernel.Stopper: it tells the others that this node leaves.
func (e *Exchange) Stop(context.Context) error {
	e.mu.Lock()
	all := e.view.Addresses()
	e.mu.Unlock()
	e.brief(e.now(), all)
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
			t.Reset(e.send(e.now()))
		}
	}
}

// send sends a report to the next few of the known nodes and returns the time
// until those after them are due. A burst to all would overflow the link of a
// small VM, and what overflows is lost.
func (e *Exchange) send(now time.Time) time.Duration {
	e.mu.Lock()
	e.view.Know(now, e.seeds()...)
	e.view.Expire(now)
	e.noteLives(now)
	addresses := e.view.Addresses()
	interval := e.cfg.IntervalFor(len(addresses) + 1)
	batch, rest := e.nextBatch(addresses)
	e.last.Sequence++
	r := e.last
	if r.Sequence%nodesEvery == 1 || r.Sequence < firstReports {
		r.Nodes = e.view.LiveAddresses(now, maxNodes)
	}
	e.mu.Unlock()
	e.deliver(r, now, batch)
	return pace(interval, len(batch), len(batch)+rest)
}

// nextBatch returns the nodes whose turn it is and the number of others. It is
// called with the lock held.
func (e *Exchange) nextBatch(addresses []string) (batch []string, rest int) {
	slices.Sort(addresses)
	n := min(e.cfg.Batch, len(addresses))
	for range n {
		e.turn++
		batch = append(batch, addresses[e.turn%len(addresses)])
	}
	return batch, len(addresses) - n
}

// pace returns the time until the next batch, so that all are served within
// the interval.
func pace(interval time.Duration, batch, all int) time.Duration {
	if all == 0 {
		return interval
	}
	return interval * time.Duration(batch) / time.Duration(all)
}

// Announce tells some live nodes at once which versions this one has. Each that
// lacks them tells others in turn when it has them, so that a change reaches a
// fleet of hundreds in three or four steps.
func (e *Exchange) Announce() {
	now := e.now()
	e.mu.Lock()
	to := e.view.LiveAddresses(now, e.cfg.Announced)
	e.mu.Unlock()
	e.brief(now, to)
}

// brief sends a report without targets, which names other nodes, to some.
func (e *Exchange) brief(now time.Time, to []string) {
	e.mu.Lock()
	e.last.Sequence++
	r := e.last
	r.Brief = true
	if len(to) == 1 {
		r.Nodes = e.view.LiveAddresses(now, maxNodes)
	}
	e.mu.Unlock()
	e.deliver(r, now, to)
}

// deliver fills in a report and sends it.
func (e *Exchange) deliver(r Report, now time.Time, to []string) {
	e.reporter.FillReport(&r, now)
	raw, err := cbor.Marshal(r)
	if err != nil {
		e.log.Error("report not encoded", "err", err)
		return
	}
	for _, a := range to {
		e.sendTo(a, raw)
	}
}

func (e *Exchange) sendTo(address string, raw []byte) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		e.log.Warn("address of a node is unusable; correct the seeds", "addr", address, "err", err)
		return
	}
	// A lost datagram is replaced by the next report.
	if _, err := e.conn.WriteToUDP(raw, addr); err != nil {
		e.log.Debug("report not sent", "addr", address, "err", err)
		return
	}
	e.sent.Inc()
	e.bytes.Add(float64(len(raw)))
}

// noteLives logs nodes that were lost or regained.
func (e *Exchange) noteLives(now time.Time) {
	for addr, p := range e.view.peers {
		live := e.view.live(p, now)
		if live == e.alive[addr] {
			continue
		}
		e.alive[addr] = live
		msg := "node lost"
		if live {
			msg = "node heard"
		}
		e.log.Info(msg, "peer", addr, "leaving", p.report.Leaving, "age_ms", now.Sub(p.heard).Milliseconds())
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
			e.log.Debug("report not received", "err", err)
			continue
		}
		var r Report
		if err := cbor.Unmarshal(buf[:n], &r); err != nil {
			e.log.Warn("report not understood; run the same version on all nodes", "err", err)
			continue
		}
		e.received.Inc()
		e.take(r)
	}
}

func (e *Exchange) take(r Report) {
	now := e.now()
	e.mu.Lock()
	stranger := !e.view.Heard(r.Node)
	news := e.view.Receive(r, now)
	e.mu.Unlock()
	if !news {
		return
	}
	if stranger {
		e.brief(now, []string{r.Node})
	}
	for _, f := range e.onReport {
		f(r)
	}
}

// Target returns what the other nodes say of a target.
func (e *Exchange) Target(hash uint64) Sum {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Target(hash)
}

// Targets calls f for each hash with what the other nodes say of that target.
func (e *Exchange) Targets(hashes []uint64, f func(i int, s Sum)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, h := range hashes {
		f(i, e.view.Target(h))
	}
}

// Lives returns the number of live nodes, this one included.
func (e *Exchange) Lives() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Lives(e.now())
}

// Interval returns the time between two reports of a node.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.IntervalFor(len(e.view.peers) + 1)
}

// Ahead returns a live node that knows a newer configuration or newer targets.
func (e *Exchange) Ahead(catalog, revision int64) (node string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Ahead(catalog, revision, e.now())
}

// Rank returns how many live nodes go before this one as watchers of the store,
// and how many others were heard.
func (e *Exchange) Rank(storeLost bool) (rank, heard int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Rank(storeLost, e.leaving, e.now())
}

// Drain implements kernel.Drainer: other nodes take on this one's duties.
func (e *Exchange) Drain(context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	return nil
}

// Confirmed returns when a node at the given revision last knew that it is the
// store's newest; zero for never.
func (e *Exchange) Confirmed(revision int64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Confirmed(revision)
}
