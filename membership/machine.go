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

// Config sets the protocol's times and bounds.
type Config struct {
	// ProbeInterval is the time between probes of one node after the other.
	ProbeInterval time.Duration
	// ProbeTimeout is when others are asked to probe a node that has not
	// answered; the end of ProbeInterval is when it is suspected.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionFactor times log10(nodes) times ProbeInterval is the time a
	// suspect has to refute.
	SuspicionFactor float64
	// GossipInterval is the time between rounds of gossip while there is news.
	GossipInterval time.Duration
	// Fanout is the number of nodes that each round goes to.
	Fanout int
	// RetransmitFactor times log2(nodes) is how often a node sends one news.
	RetransmitFactor float64
	// MaxMembers and MaxWords bound the news in a message.
	MaxMembers, MaxWords int
	// RepeatWords is the number of old words on leaving targets that each
	// probe and answer repeats, for those whom gossip missed. Records of nodes
	// need no repeating: each node probes each other itself.
	RepeatWords int
	// ReconnectInterval is the time between probes of nodes held for dead.
	ReconnectInterval time.Duration
	// DeadRetention is how long a dead node that is not in the VM list is
	// remembered, so that an old word does not bring it back.
	DeadRetention time.Duration
	Damping       damping.Config
}

// DefaultConfig returns the values in use.
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
		MaxWords:          128,
		RepeatWords:       1,
		ReconnectInterval: 2 * time.Second,
		DeadRetention:     2 * time.Hour,
		Damping:           damping.DefaultConfig(),
	}
}

// maxKnown bounds the nodes known of a region.
const maxKnown = 4096

// member is what is known of a node other than this one.
type member struct {
	Node
	listed bool // in the VM list
	heard  bool // known by more than the VM list
	// suspectUntil is when this node declares it dead; zero for never.
	suspectUntil time.Time
	deadSince    time.Time
}

// Machine is the protocol of one node. Events go in as method calls with the
// current time, messages come out. It does no I/O and isn't safe for
// concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	self  Node
	nodes map[string]*member
	order []string // IDs of nodes, for choices that depend on rng alone
	// suspects has the IDs of nodes that may have suspectUntil set.
	suspects []string
	remote   []Node // nodes of other regions, from the VM list
	damper   *damping.Damper
	news     news
	probe    probe
	relays   []relay

	seq           uint64
	lastTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	lastRefute    time.Time
	nextHold      time.Time
	turn          []string // nodes still to be probed in this turn
	changed       bool
	counts        Counts
}

// Counts are what a machine did so far.
type Counts struct {
	Suspicions, Deaths, Refutations, IndirectProbes, Reconnects int64
}

// NewMachine returns the machine of the node self, which knows only itself.
func NewMachine(self Node, cfg Config, rng *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		cfg: cfg, rng: rng, self: self, nodes: make(map[string]*member),
		damper: damping.New(cfg.Damping), changed: true,
		lastTick: now, nextReconnect: now,
	}
	// Nodes that start together don't probe in step.
	m.nextProbe = now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval))))
	m.announce()
	return m
}

// Self returns this node's record of itself.
func (m *Machine) Self() Node { return m.self }

// Counts returns what the machine did so far.
func (m *Machine) Counts() Counts { return m.counts }

// Leave announces that this node leaves; it goes on answering.
func (m *Machine) Leave() { m.retire(Leaving) }

// Left returns the last messages of a node that stops.
func (m *Machine) Left() []Envelope {
	m.retire(Dead)
	return m.gossip()
}

func (m *Machine) retire(s State) {
	if m.self.State < s {
		m.self.State = s
		m.changed = true
		m.announce()
	}
}

func (m *Machine) announce() { m.news.addNode(m.self.ID, m.retransmits()) }

// Spread takes a word on a leaving target to pass on.
func (m *Machine) Spread(w targets.Word) { m.news.addWord(w, m.retransmits()) }

// List takes the nodes of a VM list as those to watch. Of a node that others
// speak of, the list is one more word.
func (m *Machine) List(list vmlist.List, now time.Time) {
	first := len(m.nodes) == 0
	m.remote = m.remote[:0:0]
	for _, n := range m.nodes {
		n.listed = false
	}
	for _, vm := range list.VMs {
		if vm.Role != vmlist.RoleNode || vm.ID == m.self.ID || vm.PeerAddr == "" {
			continue
		}
		n := fromVM(vm)
		if n.Region != m.self.Region {
			m.remote = append(m.remote, n)
			continue
		}
		if known := m.learn(n, now); known != nil {
			known.listed = true
		}
	}
	m.forget(func(n *member) bool { return !n.listed && !n.heard })
	m.changed = true
	if first {
		m.announce() // now that there is someone to tell
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

// learn merges a record of another node, and returns what is known of it then;
// nil if nothing is kept.
func (m *Machine) learn(n Node, now time.Time) *member {
	n.Region = m.self.Region
	known, ok := m.nodes[n.ID]
	switch {
	case !ok && len(m.nodes) >= maxKnown:
		return nil
	case !ok:
		known = &member{Node: n}
		m.nodes[n.ID] = known
		m.order = append(m.order, n.ID)
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
		m.suspect(known, now)
	}
	if n.State == Dead {
		known.deadSince = now
	}
	m.changed = true
	return known
}

// suspect gives a node the time to refute.
func (m *Machine) suspect(n *member, now time.Time) {
	n.suspectUntil = now.Add(m.suspicion())
	m.suspects = append(m.suspects, n.ID)
}

// hear is learn for a record that came from a node; news is passed on.
func (m *Machine) hear(n Node, now time.Time) {
	if n.ID == "" {
		return
	}
	if n.ID == m.self.ID {
		m.refute(n, now)
		return
	}
	old, ok := m.nodes[n.ID]
	isNews := !ok || n.Supersedes(old.Node)
	known := m.learn(n, now)
	if known == nil {
		return
	}
	known.heard = true
	if isNews {
		m.news.addNode(n.ID, m.retransmits())
	}
}

// refute answers a record of this node that overrides its own. It does so once a probe interval, so that two nodes set to the
// same ID don't drive each other on.
func (m *Machine) refute(n Node, now time.Time) {
	if !n.Supersedes(m.self) || now.Sub(m.lastRefute) < m.cfg.ProbeInterval {
		return
	}
	m.lastRefute = now
	if n.Incarnation > m.self.Incarnation {
		m.self.Incarnation = n.Incarnation + 1
	} else {
		m.self.Refuted = n.Refuted + 1
	}
	m.counts.Refutations++
	m.changed = true
	m.announce()
}

// forget drops the nodes that gone selects.
func (m *Machine) forget(gone func(*member) bool) {
	m.order = slices.DeleteFunc(m.order, func(id string) bool {
		if !gone(m.nodes[id]) {
			return false
		}
		delete(m.nodes, id)
		m.changed = true
		return true
	})
}

func (m *Machine) retransmits() int {
	return int(math.Ceil(m.cfg.RetransmitFactor * math.Log2(float64(len(m.nodes)+2))))
}

// suspicion is the time that a suspect has to refute.
func (m *Machine) suspicion() time.Duration {
	const leastNodes = 10
	factor := m.cfg.SuspicionFactor * math.Log10(float64(max(len(m.nodes)+1, leastNodes)))
	return time.Duration(factor * float64(m.cfg.ProbeInterval))
}
