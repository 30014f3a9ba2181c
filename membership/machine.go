package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/damping"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// Config holds the times and limits of the protocol.
type Config struct {
	// ProbeInterval is the time between two probes; each probes one node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which other nodes are asked to probe a node that
	// has not answered. At the end of ProbeInterval it is suspected.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of nodes that are asked.
	IndirectProbes int
	// SuspicionFactor × log10(nodes) × ProbeInterval is the time after which a
	// suspect that has not refuted is declared dead.
	SuspicionFactor float64
	// GossipInterval is the time between rounds of gossip while changes are queued.
	GossipInterval time.Duration
	// Fanout is the number of nodes that each round of gossip is sent to.
	Fanout int
	// RetransmitFactor × log2(nodes) is how often a node sends each change.
	RetransmitFactor float64
	// MaxMembers and MaxReports limit the records of nodes and the reports of leaving
	// targets in a message.
	MaxMembers, MaxReports int
	// RepeatReports is the number of already sent reports of leaving targets that
	// each probe and answer repeats, for nodes that gossip did not reach. Records of
	// nodes need not be repeated, since each node probes every other node itself.
	RepeatReports int
	// ReconnectInterval is the time between probes of nodes recorded as dead.
	ReconnectInterval time.Duration
	// DeadRetention is how long the record of a dead node that is not in the VM list
	// is kept, so that an old record does not add the node again.
	DeadRetention time.Duration
	Damping       damping.Config
}

// DefaultConfig returns the values that nodes use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionFactor:   3,
		GossipInterval:    200 * time.Millisecond,
		Fanout:            3,
		RetransmitFactor:  2,
		MaxMembers:        8,
		MaxReports:        128,
		RepeatReports:     1,
		ReconnectInterval: 2 * time.Second,
		DeadRetention:     2 * time.Hour,
		Damping:           damping.DefaultConfig(),
	}
}

// maxMembers bounds the known nodes of a region.
const maxMembers = 4096

// member is the record and detection state of another node of the region.
type member struct {
	Node
	listed bool // in the VM list
	// fromPeers is set if there is a record of the node from other nodes or from this
	// node's probes, besides the VM list.
	fromPeers bool
	// suspectUntil is when this node declares the member dead; zero if it is not
	// suspected.
	suspectUntil time.Time
	deadSince    time.Time
}

// Machine is the protocol state machine of one node. Its methods take an event and the
// current time and return the messages to send. It does no I/O and is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    Node
	members map[string]*member
	// ids are the keys of members in a fixed order, so that random choices depend on
	// rng alone.
	ids []string
	// suspects holds the IDs of all nodes with suspectUntil set, and possibly others.
	suspects     []string
	otherRegions []Node // nodes of other regions, from the VM list
	damper       *damping.Damper
	queue        broadcastQueue
	probe        probe
	relays       []relay

	seq           uint64
	lastTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	lastRefute    time.Time
	firstHoldEnd  time.Time // end of the hold that ends first; zero if no node is held down
	probeOrder    []string  // IDs of nodes still to be probed in this round
	changed       bool      // since the last call of View
	counts        Counts
}

// Counts holds the number of events of each kind so far, for metrics.
type Counts struct {
	Suspicions, Deaths, Refutations, IndirectProbes, Reconnects int64
}

// NewMachine returns the machine of the node self, which has no other nodes yet.
func NewMachine(self Node, cfg Config, rng *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		cfg: cfg, rng: rng, self: self, members: make(map[string]*member),
		damper: damping.New(cfg.Damping), changed: true,
		lastTick: now, nextReconnect: now,
	}
	// A random first probe keeps nodes that start together from probing at the same
	// time.
	m.nextProbe = now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval))))
	m.broadcastSelf()
	return m
}

// Self returns this node's record of itself.
func (m *Machine) Self() Node { return m.self }

// Counts returns the number of events of each kind so far.
func (m *Machine) Counts() Counts { return m.counts }

// Leave announces that this node is leaving; it goes on answering.
func (m *Machine) Leave() { m.advanceState(Leaving) }

// Stop returns the last messages of a node that stops, which announce it as dead.
func (m *Machine) Stop() []Envelope {
	m.advanceState(Dead)
	return m.gossip()
}

// advanceState sets this node's own state to a later one and announces it.
func (m *Machine) advanceState(s State) {
	if m.self.State < s {
		m.self.State = s
		m.changed = true
		m.broadcastSelf()
	}
}

// broadcastSelf queues this node's own record.
func (m *Machine) broadcastSelf() { m.queue.addNode(m.self.ID, m.sendCount()) }

// BroadcastLeaving queues a report of a leaving target for other nodes.
func (m *Machine) BroadcastLeaving(report targets.Report) { m.queue.addReport(report, m.sendCount()) }

// ApplyList takes the nodes to probe from a VM list. For a node that is already known,
// its list entry is merged like a record from another node.
func (m *Machine) ApplyList(list vmlist.List, now time.Time) {
	first := len(m.members) == 0
	m.otherRegions = m.otherRegions[:0:0]
	for _, n := range m.members {
		n.listed = false
	}
	for _, vm := range list.VMs {
		if vm.Role != vmlist.RoleNode || vm.ID == m.self.ID || vm.PeerAddr == "" {
			continue
		}
		n := fromVM(vm)
		if n.Region != m.self.Region {
			m.otherRegions = append(m.otherRegions, n)
			continue
		}
		if known := m.merge(n, now); known != nil {
			known.listed = true
		}
	}
	m.removeIf(func(n *member) bool { return !n.listed && !n.fromPeers })
	m.changed = true
	if first {
		m.broadcastSelf() // no node to send it to was known before
	}
}

func fromVM(vm vmlist.VM) Node {
	n := Node{
		ID: vm.ID, PeerAddr: vm.PeerAddr, Region: vm.Region,
		FailureDomain: vm.FailureDomain, Incarnation: vm.Incarnation,
	}
	if vm.State == vmlist.StateLeaving {
		n.State = Leaving
	}
	return n
}

// merge merges a record of another node and returns the member; nil if it is not kept,
// since there are maxMembers.
func (m *Machine) merge(n Node, now time.Time) *member {
	n.Region = m.self.Region
	known, ok := m.members[n.ID]
	switch {
	case !ok && len(m.members) >= maxMembers:
		return nil
	case !ok:
		known = &member{Node: n}
		m.members[n.ID] = known
		m.ids = append(m.ids, n.ID)
	case !n.Supersedes(known.Node):
		return known
	default:
		if known.State <= Suspect && n.State >= Leaving {
			m.damper.RecordDeparture(n.ID, now)
		}
		known.Node = n
	}
	known.suspectUntil = time.Time{}
	if n.State == Suspect {
		m.startSuspicion(known, now)
	}
	if n.State == Dead {
		known.deadSince = now
	}
	m.changed = true
	return known
}

// startSuspicion sets the time after which a suspect is declared dead.
func (m *Machine) startSuspicion(n *member, now time.Time) {
	n.suspectUntil = now.Add(m.suspicionTimeout())
	m.suspects = append(m.suspects, n.ID)
}

// mergeAndBroadcast merges a record from another node or from this node's probes, and
// queues it for other nodes if it is new. A record of this node itself is refuted.
func (m *Machine) mergeAndBroadcast(n Node, now time.Time) {
	if n.ID == "" {
		return
	}
	if n.ID == m.self.ID {
		m.refute(n, now)
		return
	}
	old, ok := m.members[n.ID]
	isNew := !ok || n.Supersedes(old.Node)
	known := m.merge(n, now)
	if known == nil {
		return
	}
	known.fromPeers = true
	if isNew {
		m.queue.addNode(n.ID, m.sendCount())
	}
}

// refute overrides a record of this node that supersedes its own. It does so at most
// once a probe interval, so that two nodes configured with the same ID don't refute each
// other without limit.
func (m *Machine) refute(n Node, now time.Time) {
	if !n.Supersedes(m.self) || now.Sub(m.lastRefute) < m.cfg.ProbeInterval {
		return
	}
	m.lastRefute = now
	if n.Incarnation > m.self.Incarnation {
		m.self.Incarnation = n.Incarnation + 1
	} else {
		m.self.Refutations = n.Refutations + 1
	}
	m.counts.Refutations++
	m.changed = true
	m.broadcastSelf()
}

// removeIf removes the members for which remove returns true.
func (m *Machine) removeIf(remove func(*member) bool) {
	m.ids = slices.DeleteFunc(m.ids, func(id string) bool {
		if !remove(m.members[id]) {
			return false
		}
		delete(m.members, id)
		m.changed = true
		return true
	})
}

// sendCount returns how often a change is sent.
func (m *Machine) sendCount() int {
	return int(math.Ceil(m.cfg.RetransmitFactor * math.Log2(float64(len(m.members)+2))))
}

// suspicionTimeout returns the time that a suspect has to refute.
func (m *Machine) suspicionTimeout() time.Duration {
	const minNodes = 10
	factor := m.cfg.SuspicionFactor * math.Log10(float64(max(len(m.members)+1, minNodes)))
	return time.Duration(factor * float64(m.cfg.ProbeInterval))
}
