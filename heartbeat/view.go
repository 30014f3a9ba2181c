// Package heartbeat lets the nodes of a fleet tell each other, by datagrams,
// that they are alive, which versions of the configuration and of the list of
// targets they have, and what they run and see of each target.
package heartbeat

import (
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/routing"
)

// Report is what a node says of itself. Later reports replace earlier ones.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Node is the ip:port on which the node takes reports.
	Node string
	// Incarnation is when the node's process began, in Unix nanoseconds. It
	// only separates incarnations; a clock that jumped does no harm.
	Incarnation int64
	Sequence    uint64
	Leaving     bool
	// Brief reports tell of versions only; what the last one said of targets
	// stays.
	Brief bool
	// StoreLost says that the node can't reach the platform's store.
	StoreLost bool
	// Catalog is the version of the configuration in force there.
	Catalog int64
	// Revision is the store's revision up to which the node knows the targets.
	Revision int64
	// ConfirmedAge is how many milliseconds ago the node knew that Revision is
	// the store's newest, negative for never.
	ConfirmedAge int64
	Targets      []TargetReport
	// Uses are the prompt parts that the node sent to targets since its last
	// report and that the others may not know of.
	Uses []affinity.Use
	// Nodes are the nodes that the sender heard lately, in some reports only.
	Nodes []string
}

// TargetReport is what a node runs at a target and saw of it. Targets without
// anything to tell are left out.
type TargetReport struct {
	_ struct{} `cbor:",toarray"`
	// Target is the lower half of the hash of the target's run, or of a hash of a
	// service for the sums of its targets.
	Target  uint32
	Running uint16
	// Answered and Failed are the outcomes within the health window.
	Answered, Failed uint16
	Unreachable      bool
}

// Config sets the pace and the memory of the exchange.
type Config struct {
	// Interval is the time between two reports to the same node in a small
	// fleet.
	Interval time.Duration
	// MaxInbound is the most reports a second that a node should get; a fleet
	// in which Interval would lead to more takes a longer interval.
	MaxInbound float64
	// Batch is the most nodes that get a report at the same moment.
	Batch int
	// Fresh is the number of intervals for which a report's counts hold.
	Fresh int
	// Lost is the number of intervals after which a silent node is lost.
	Lost int
	// Announced is the number of nodes that are told of a change at once.
	Announced int
	// Forget is how long the address of a lost node is kept and tried.
	Forget time.Duration
}

// DefaultConfig gives 30 reports a second at 7 nodes: within 200 ms a node of a
// small fleet starts about 7 requests, which the load bound leaves room for. 60
// reports a second take about a fiftieth of the smallest VM's processor.
func DefaultConfig() Config {
	return Config{
		Interval: 200 * time.Millisecond, MaxInbound: 60, Batch: 8, Fresh: 4, Lost: 8,
		Announced: 8, Forget: time.Minute,
	}
}

// IntervalFor returns the time between reports in a fleet of n nodes.
func (c Config) IntervalFor(n int) time.Duration {
	paced := time.Duration(float64(n) / c.MaxInbound * float64(time.Second))
	return max(c.Interval, paced)
}

type peer struct {
	report Report
	heard  time.Time
	// known is when the address was last confirmed by anyone.
	known time.Time
}

// View is what a node believes of the others. It is pure: the caller passes
// the time, and one goroutine at a time may use it.
type View struct {
	cfg   Config
	self  string
	peers map[string]*peer
	sums  map[uint32]Sum
}

// Sum is what the other nodes together say of a target.
type Sum struct {
	Running     int
	Counts      health.Counts
	Unreachable int // number of nodes that can't connect to it
}

// NewView returns a view of a fleet in which the node self knows nobody.
func NewView(cfg Config, self string) *View {
	return &View{cfg: cfg, self: self, peers: make(map[string]*peer), sums: make(map[uint32]Sum)}
}

// Know adds addresses at which nodes may be.
func (v *View) Know(now time.Time, nodes ...string) {
	for _, n := range nodes {
		if n == v.self || n == "" {
			continue
		}
		p, ok := v.peers[n]
		if !ok {
			p = &peer{}
			v.peers[n] = p
		}
		p.known = now
	}
}

// Receive takes a report. It returns false if a newer one is known.
func (v *View) Receive(r Report, now time.Time) bool {
	if r.Node == v.self {
		return false
	}
	v.Know(now, r.Node)
	p := v.peers[r.Node]
	if p.report.Incarnation == r.Incarnation && r.Sequence <= p.report.Sequence {
		return false
	}
	if r.Brief {
		r.Targets = p.report.Targets
	}
	v.add(p.report.Targets, -1)
	p.report, p.heard = r, now
	v.add(r.Targets, 1)
	for _, n := range r.Nodes {
		if _, known := v.peers[n]; !known {
			v.Know(now, n)
		}
	}
	return true
}

func (v *View) add(targets []TargetReport, sign int) {
	for _, t := range targets {
		s := v.sums[t.Target]
		s.Running += sign * int(t.Running)
		s.Counts.Answered += sign * int(t.Answered)
		s.Counts.Failed += sign * int(t.Failed)
		if t.Unreachable {
			s.Unreachable += sign
		}
		if s == (Sum{}) {
			delete(v.sums, t.Target)
			continue
		}
		v.sums[t.Target] = s
	}
}

// Heard says whether the node has ever reported.
func (v *View) Heard(node string) bool {
	p, ok := v.peers[node]
	return ok && !p.heard.IsZero()
}

// Expire drops the counts of nodes that fell silent and the addresses of nodes
// that were lost long ago.
func (v *View) Expire(now time.Time) {
	interval := v.cfg.IntervalFor(len(v.peers) + 1)
	for addr, p := range v.peers {
		if now.Sub(p.heard) > time.Duration(v.cfg.Fresh)*interval {
			v.add(p.report.Targets, -1)
			p.report.Targets = nil
		}
		if now.Sub(p.known) > v.cfg.Forget {
			delete(v.peers, addr)
		}
	}
}

// Target returns what the others say of the target's run with the given hash.
func (v *View) Target(hash uint64) Sum { return v.sums[uint32(hash)] }

// Lives returns the number of live nodes, this one included.
func (v *View) Lives(now time.Time) int {
	n := 1
	for _, p := range v.peers {
		if v.live(p, now) {
			n++
		}
	}
	return n
}

func (v *View) live(p *peer, now time.Time) bool {
	interval := v.cfg.IntervalFor(len(v.peers) + 1)
	return !p.heard.IsZero() && now.Sub(p.heard) <= time.Duration(v.cfg.Lost)*interval
}

// Addresses returns where reports go.
func (v *View) Addresses() []string {
	out := make([]string, 0, len(v.peers))
	for addr := range v.peers {
		out = append(out, addr)
	}
	return out
}

// LiveAddresses returns up to limit addresses of live nodes.
func (v *View) LiveAddresses(now time.Time, limit int) []string {
	out := make([]string, 0, limit)
	for addr, p := range v.peers {
		if len(out) == limit {
			break
		}
		if v.live(p, now) {
			out = append(out, addr)
		}
	}
	return out
}

// Ahead returns a live node with a newer configuration than catalog or newer
// targets than revision; ok is false if there is none.
func (v *View) Ahead(catalog, revision int64, now time.Time) (node string, ok bool) {
	var best Report
	for addr, p := range v.peers {
		r := p.report
		if !v.live(p, now) || r.Catalog <= catalog && r.Revision <= revision {
			continue
		}
		if !ok || r.Catalog > best.Catalog || r.Catalog == best.Catalog && r.Revision > best.Revision {
			node, best, ok = addr, r, true
		}
	}
	return node, ok
}

// Confirmed returns when a node at the given revision last knew that it is the
// store's newest; zero for never.
func (v *View) Confirmed(revision int64) time.Time {
	var newest time.Time
	for _, p := range v.peers {
		if p.heard.IsZero() || p.report.Revision != revision || p.report.ConfirmedAge < 0 {
			continue
		}
		at := p.heard.Add(-time.Duration(p.report.ConfirmedAge) * time.Millisecond)
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// Rank returns how many live nodes go before this one in an order that all
// nodes share: those first that reach the store and don't leave, each group in
// the order of their hashes. heard is the number of live nodes but this one.
func (v *View) Rank(storeLost, leaving bool, now time.Time) (rank, heard int) {
	own := order{storeLost || leaving, watchHash(v.self)}
	for addr, p := range v.peers {
		if !v.live(p, now) {
			continue
		}
		heard++
		if (order{p.report.StoreLost || p.report.Leaving, watchHash(addr)}).before(own) {
			rank++
		}
	}
	return rank, heard
}

type order struct {
	last bool
	hash uint64
}

func (a order) before(b order) bool {
	if a.last != b.last {
		return b.last
	}
	return a.hash < b.hash
}

func watchHash(addr string) uint64 { return routing.Hash("watch " + addr) }
