package heartbeat

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// nodesEvery is the number of steps between two reports that name other nodes,
	// and maxNodes the number of names in one, 16 bytes each.
	nodesEvery = 20
	maxNodes   = 60
	// membersEvery is the number of sums to a subscriber of which one names the
	// group's live nodes, 10 bytes each.
	membersEvery = 2
	// claimHolds is how long another node's word on the number of groups holds:
	// longer than any two nodes that both know of each other are silent.
	claimHolds = 3 * time.Second
)

// firstReports is the number of reports of a new node that all name others: it
// has heard of some that its seeds have not.
const firstReports = 5

// Datagram is a message to a node.
type Datagram struct {
	To   string
	Body []byte
}

// Arrival is what a datagram brought.
type Arrival struct {
	// Report is the sender's, with the uses of its group if that's what came.
	Report Report
	// News says that nothing newer was known of the sender.
	News bool
	// Stranger says that the sender is new here and may know few other nodes.
	Stranger bool
}

// Machine is a node's part of the exchange, without clock and sockets. One goroutine
// at a time may use it.
type Machine struct {
	cfg    Config
	self   string
	view   *View
	subs   subscriptions
	leases leases
	uses   groupUses

	incarnation int64
	sequence    uint64
	steps       int
	// served says when the recipients got their last messages, turn is the number of
	// the last.
	served map[string]serving
	turn   int
	// wanted is the number of groups that this node finds right; claimed is the
	// largest that others found right, the last at claimedAt.
	wanted, claimed int
	claimedAt       time.Time
	// onRelay is told of each change of a relay, if set.
	onRelay func(asked)
}

// NewMachine returns the part of the node self, an ip:port, whose process is told from
// earlier ones by its incarnation.
func NewMachine(cfg Config, self string, incarnation int64, rng *rand.Rand) *Machine {
	return &Machine{
		cfg: cfg, self: self, incarnation: incarnation, view: NewView(cfg, self), wanted: 1,
		subs:   subscriptions{cfg: cfg, rng: rng, all: make(map[int]*subscription)},
		leases: make(leases), uses: make(groupUses), served: make(map[string]serving),
	}
}

// Target returns what the other nodes say of the target's run with the given hash.
func (m *Machine) Target(hash uint64) Sum { return m.view.Target(hash) }

// Know adds addresses at which nodes may be.
func (m *Machine) Know(now time.Time, nodes ...string) { m.view.Know(now, nodes...) }

// header returns the node's brief report of itself, with the next sequence number.
func (m *Machine) header(own Report) Report {
	m.sequence++
	own.Node, own.Incarnation, own.Sequence = m.self, m.incarnation, m.sequence
	own.Brief, own.Targets, own.Uses, own.Requests = true, nil, nil, nil
	return own
}

// Step returns what is due and the time until the next step. own is the node's
// report of itself. Messages go out in batches spread over the interval: a burst to
// all would overflow the link of a small VM, and what overflows is lost.
func (m *Machine) Step(own Report, seeds []string, now time.Time) ([]Datagram, time.Duration, error) {
	m.view.Know(now, seeds...)
	m.view.Expire(now)
	m.regroup(now)
	m.leases.expire(now)
	m.uses.expire(m.view.interval(), now)
	m.steps++
	if m.view.groups > 1 {
		own.Targets = append(slices.Clone(own.Targets), heardReport(m.view.counted(now)))
	}
	recipients := m.recipients(seeds, now)
	batch, rest := m.nextBatch(recipients, now)
	out, err := m.messages(own, batch, now)
	if err != nil {
		return nil, m.cfg.Interval, err
	}
	subs, err := m.subscribe(own, now)
	return append(out, subs...), m.pace(len(batch), len(batch)+rest), err
}

// regroup follows the number of groups that the fleet needs. The nodes go by the
// largest that one of them finds right, so that they agree soon.
func (m *Machine) regroup(now time.Time) {
	m.wanted = nextGroups(m.view.size(), m.wanted)
	if now.Sub(m.claimedAt) > claimHolds {
		m.claimed = 0
	}
	if groups := max(m.wanted, m.claimed); groups != m.view.groups {
		m.view.Regroup(groups)
		clear(m.subs.all)
		clear(m.leases) // of nodes that may be in the own group now
	}
}

// claim takes the number of groups that another node finds right, a power of two.
func (m *Machine) claim(groups int, now time.Time) {
	valid := groups > 0 && groups <= maxGroups && groups&(groups-1) == 0
	if valid && groups >= m.claimed {
		m.claimed, m.claimedAt = groups, now
	}
}

// maxGroups is right for a fleet of more than 10,000 nodes; more is a fault.
const maxGroups = 128

func (m *Machine) encode(c content, header, own Report, now time.Time) ([]byte, error) {
	if c != ownReport {
		return encode(kindSum, m.groupSum(c == sumWithMembers, header, own, now), own.Requests)
	}
	r := header
	r.Brief, r.Targets, r.Uses = false, own.Targets, own.Uses
	if m.steps%nodesEvery == 1 || m.steps < firstReports {
		r.Nodes = m.view.LiveAddresses(now, maxNodes)
	}
	return marshal(r, own.Requests)
}

// groupSum adds up this node's group.
func (m *Machine) groupSum(withMembers bool, header, own Report, now time.Time) GroupSum {
	total := maps.Clone(m.view.own)
	total.addReports(own.Targets, 1)
	header.Uses = m.uses.with(own.Uses)
	s := GroupSum{
		From: header, Groups: m.view.groups, Wanted: m.wanted, Group: m.view.group,
		Nodes: m.view.counted(now) + 1, Counts: total.pack(),
	}
	if withMembers {
		s.Members = append(m.view.members(now), Member{Address: packAddress(m.self), Last: own.Leaving || own.StoreLost})
	}
	return s
}

// subscribe asks relays for the sums of other groups, where a lease ends or a relay
// is silent.
func (m *Machine) subscribe(own Report, now time.Time) ([]Datagram, error) {
	due := m.subs.renew(m.view, now)
	if len(due) == 0 {
		return nil, nil
	}
	body, err := encode(kindSubscription, Subscription{From: m.header(own), Wanted: m.wanted}, own.Requests)
	if err != nil {
		return nil, err
	}
	var out []Datagram
	for _, a := range due {
		for _, relay := range a.relays {
			out = append(out, Datagram{To: relay, Body: body})
		}
		if m.onRelay != nil {
			m.onRelay(a)
		}
	}
	return out, nil
}

// Brief returns a report without targets for some nodes. It names other nodes if it
// is for one.
func (m *Machine) Brief(own Report, to []string, now time.Time) ([]Datagram, error) {
	r := m.header(own)
	if len(to) == 1 {
		r.Nodes = m.view.LiveAddresses(now, maxNodes)
	}
	raw, err := marshal(r, own.Requests)
	if err != nil {
		return nil, err
	}
	out := make([]Datagram, 0, len(to))
	for _, n := range to {
		out = append(out, Datagram{To: n, Body: raw})
	}
	return out, nil
}

// Receive takes a datagram.
func (m *Machine) Receive(body []byte, now time.Time) (Arrival, error) {
	if len(body) == 0 {
		return Arrival{}, errEmpty
	}
	switch kind(body[0]) {
	case kindSum:
		return m.receiveSum(body[1:], now)
	case kindSubscription:
		return m.receiveSubscription(body[1:], now)
	}
	var r Report
	requests, err := unmarshal(body, &r)
	if err != nil {
		return Arrival{}, errors.Wrap(err, "heartbeat: report")
	}
	a := Arrival{Report: r, Stranger: !m.view.isLive(r.Node, now)}
	a.Report.Requests = requests
	a.News = m.view.Receive(r, now)
	if a.News && m.view.inOwnGroup(m.view.peers[r.Node]) {
		m.uses.add(r.Uses, now)
	}
	return a, nil
}

var errEmpty = errors.New("heartbeat: empty datagram")

func (m *Machine) receiveSum(body []byte, now time.Time) (Arrival, error) {
	var s GroupSum
	requests, err := unmarshal(body, &s)
	if err != nil {
		return Arrival{}, errors.Wrap(err, "heartbeat: sum of a group")
	}
	counts, err := unpack(s.Counts)
	if err != nil {
		return Arrival{}, err
	}
	s.From.Brief = true
	if !m.view.Receive(s.From, now) {
		return Arrival{Report: s.From}, nil
	}
	m.claim(s.Wanted, now)
	m.view.name(s.Members, now)
	// A relay that goes by another number of groups has another group's sum.
	if s.Groups == m.view.groups && m.subs.deliver(s.From.Node, s.Group, lacksNode(s.Nodes, counts), now) {
		m.view.receiveSum(s.Group, counts, now)
	}
	s.From.Requests = requests
	return Arrival{Report: s.From, News: true}, nil
}

func (m *Machine) receiveSubscription(body []byte, now time.Time) (Arrival, error) {
	var s Subscription
	requests, err := unmarshal(body, &s)
	if err != nil {
		return Arrival{}, errors.Wrap(err, "heartbeat: subscription")
	}
	s.From.Brief = true
	if !m.view.Receive(s.From, now) {
		return Arrival{Report: s.From}, nil
	}
	m.claim(s.Wanted, now)
	m.leases.add(s.From.Node, now.Add(m.cfg.Lease))
	s.From.Requests = requests
	return Arrival{Report: s.From, News: true}, nil
}
