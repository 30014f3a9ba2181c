package router

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/upstream"
)

const (
	// answeredTTL is how long an answer of a target to this node outweighs other nodes' reports that
	// they cannot reach it.
	answeredTTL = time.Second
	// maxControls is the maximum number of other targets to which connections are opened to show
	// that this node's own network path works.
	maxControls = 3
	// partitionProbeInterval is the time between two trials, over all targets, while this node may be
	// partitioned.
	partitionProbeInterval = 50 * time.Millisecond
	// directTrials is the number of trials of an unreachable target over this node's own path for each
	// one over any path: a target that is down is down for all nodes.
	directTrials = 2
)

// Paths is the state of this node's network paths to targets.
type Paths interface {
	// IsPartitioned reports whether this node has lost the paths to all targets, which others still
	// have; MayBePartitioned also whether it can reach no target, for whatever reason.
	IsPartitioned() bool
	MayBePartitioned() bool
	// TakeProbe reports whether a connection that only shows whether a target can be reached may be
	// opened now; interval is the time between two while the node may be partitioned.
	TakeProbe(interval time.Duration) bool
	// ProbeDirect opens a connection over this node's own path and closes it.
	ProbeDirect(addr string) error
}

// ownPath is the state of a node that uses its own path only.
type ownPath struct{ dial func(addr string) error }

// IsPartitioned implements Paths.
func (ownPath) IsPartitioned() bool { return false }

// MayBePartitioned implements Paths.
func (ownPath) MayBePartitioned() bool { return false }

// TakeProbe implements Paths.
func (ownPath) TakeProbe(time.Duration) bool { return true }

// ProbeDirect implements Paths.
func (o ownPath) ProbeDirect(addr string) error { return o.dial(addr) }

// usePaths makes the pool connect to targets over any path that works.
func (p *pool) usePaths(d *reachability.Dialer) {
	p.dialTarget, p.paths = d.DialContext, d
	d.OnChange(p.pathChanged)
}

// pathChanged adapts the connections and the state of targets to a change of this node's paths.
func (p *pool) pathChanged(c reachability.Change, addr string, hung bool) {
	for _, m := range p.affectedBy(c, addr) {
		switch {
		case c == reachability.Rejoined || c == reachability.PathRestored:
			m.retireTunnels("")
		case hung:
			m.closeIdle()
		}
	}
}

// affectedBy returns the members that a change of this node's paths concerns. If it concerns all paths, none
// of them is unreachable any longer: it was this node's path, not the target, that failed.
func (p *pool) affectedBy(c reachability.Change, addr string) []*member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := c == reachability.Partitioned || c == reachability.Rejoined
	var out []*member
	for _, m := range p.members {
		if !all && m.target.Addr != addr {
			continue
		}
		if all && m.state.Unreachable() {
			m.state.RecordReachable()
		}
		out = append(out, m)
	}
	return out
}

// retireTunnels closes connections to all targets that the node at via carries, after the requests on
// them have ended.
func (p *pool) retireTunnels(via string) {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.members))
	p.mu.Unlock()
	for _, m := range all {
		m.retireTunnels(via)
	}
}

// retireTunnels must not be called with p.mu held: a connection that asks the pool whether a request may
// still be sent holds its own lock meanwhile.
func (m *member) retireTunnels(via string) {
	if c := m.connections.Load(); c != nil {
		c.RetireTunnels(via)
	}
}

// countAddress adds n to the number of members with an address. The caller must hold p.mu.
func (p *pool) countAddress(addr string, n int) {
	p.addresses[addr] += n
	if p.addresses[addr] <= 0 {
		delete(p.addresses, addr)
	}
}

// knowsAddress reports whether a target has the address.
func (p *pool) knowsAddress(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[addr] > 0
}

// connectionTimedOut handles an open connection to a target that has gone dead. New connections show
// whether the target can be reached.
func (p *pool) connectionTimedOut(m *member) {
	p.observe(m, health.Failed)
	m.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.checking {
		return
	}
	m.checking = true
	go p.checkReachable(m, m.target.Addr)
}

func (p *pool) checkReachable(m *member, addr string) {
	err := p.dial(addr)
	if err != nil {
		p.observe(m, health.Unreachable)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.checking = false
}

// confirmRefusal reports whether the target m, which has just refused a connection, does so although this
// node's own network path works: other targets accept connections, and m refuses one after that. A node whose
// path was reset is refused by all, and its path may be restored at any moment.
func (p *pool) confirmRefusal(m *member, addr string) bool {
	controls := p.controls(m)
	if len(controls) == 0 {
		return !p.paths.MayBePartitioned()
	}
	results := make(chan error, len(controls))
	for _, addr := range controls {
		go func() { results <- p.paths.ProbeDirect(addr) }()
	}
	for range controls {
		if <-results == nil {
			return upstream.IsRefused(p.paths.ProbeDirect(addr))
		}
	}
	return false
}

// controls returns the addresses of the targets other than m that should accept this node's connections: those
// that answered it last, and then those that aren't known to be unreachable.
func (p *pool) controls(m *member) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []*member
	for _, o := range p.members {
		if o != m && (!o.answeredAt.IsZero() || !o.state.Unreachable()) {
			others = append(others, o)
		}
	}
	slices.SortFunc(others, func(a, b *member) int { return b.answeredAt.Compare(a.answeredAt) })
	var out []string
	for _, o := range others[:min(len(others), maxControls)] {
		out = append(out, o.target.Addr)
	}
	return out
}

// suspendedByReports reports whether enough other nodes cannot reach a target for this node to suspend
// it. Their own paths may be lost, so this node's own answers weigh more.
func (m *member) suspendedByReports(s heartbeat.Sum, now time.Time) bool {
	answered := !m.answeredAt.IsZero() && now.Sub(m.answeredAt) < answeredTTL
	return s.Unreachable >= unreachableQuorum && !answered
}

// outOfReach reports whether this node has no path to any target of a service, by itself or through
// other nodes, so that its callers are served better by other nodes.
func (p *pool) outOfReach(service string) bool {
	if !p.paths.MayBePartitioned() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return false
	}
	return !slices.ContainsFunc(s.list, func(m *member) bool { return !m.target.Draining && !m.state.Unreachable() })
}

// KnowsTarget implements tunnel.Directory.
func (r *Router) KnowsTarget(addr string) bool { return r.pool.knowsAddress(addr) }

// HasPath implements tunnel.Directory.
func (r *Router) HasPath() bool { return !r.pool.paths.MayBePartitioned() }

// retireTunnels stops the use of connections that a node carries which announces that it leaves.
func (r *Router) retireTunnels(rep heartbeat.Report) {
	if !rep.Leaving || r.cfg.TunnelListen == "" {
		return
	}
	if addr, ok := reachability.TunnelAddress(rep.Node, r.cfg.TunnelListen); ok {
		r.pool.retireTunnels(addr)
	}
}
