package heartbeat

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

const (
	// nodeNamesEvery is the number of steps between two reports that list other nodes, and
	// maxNodeNames the maximum number of addresses in one, 16 bytes each.
	nodeNamesEvery = 20
	maxNodeNames   = 60
	// membersEvery is the interval, in sums sent to a subscriber, at which a sum lists the
	// group's live nodes, 10 bytes each.
	membersEvery = 2
	// proposalTTL is how long another node's proposal for the number of groups is valid. It is
	// longer than the longest silence between two nodes that have each other's address.
	proposalTTL = 3 * time.Second
)

// firstReports is the number of reports after a node's start that all list other nodes, since
// the node has heard from nodes that its seeds have not.
const firstReports = 5

// Datagram is a message to a node.
type Datagram struct {
	To   string
	Body []byte
}

// Received is the content of a datagram.
type Received struct {
	// Report is the sender's report. Its Uses are those of the whole group if the datagram was
	// a sum.
	Report Report
	// IsNew reports whether the datagram was newer than the last one from the sender.
	IsNew bool
	// NewPeer reports whether the sender was not live before, so that it may have few
	// addresses.
	NewPeer bool
}

// Machine is the exchange's state machine for one node, without clock and sockets. It is not
// safe for concurrent use.
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
	// lastSent holds the last message to each recipient, sendSeq is the sequence number of the
	// newest one.
	lastSent map[string]sendRecord
	sendSeq  int
	// wanted is the number of groups that suits the fleet as this node sees it. proposed is the
	// largest number that other nodes want, last received at proposedAt.
	wanted, proposed int
	proposedAt       time.Time
	// onRelayChange is called for each relay request, if set.
	onRelayChange func(relayRequest)
}

// NewMachine returns a machine for the node self, an ip:port. The incarnation distinguishes its
// process from earlier ones.
func NewMachine(cfg Config, self string, incarnation int64, rng *rand.Rand) *Machine {
	return &Machine{
		cfg: cfg, self: self, incarnation: incarnation, view: NewView(cfg, self), wanted: 1,
		subs:   subscriptions{cfg: cfg, rng: rng, all: make(map[int]*subscription)},
		leases: make(leases), uses: make(groupUses), lastSent: make(map[string]sendRecord),
	}
}

// Target returns the sum of the other nodes' reports about the target incarnation with the
// given hash.
func (m *Machine) Target(hash uint64) Sum { return m.view.Target(hash) }

// AddNodes adds addresses at which nodes may be.
func (m *Machine) AddNodes(now time.Time, nodes ...string) { m.view.AddNodes(now, nodes...) }

// header returns the node's brief report with the next sequence number.
func (m *Machine) header(own Report) Report {
	m.sequence++
	own.Node, own.Incarnation = m.self, m.incarnation
	own.Sequence = sequenceOf(m.sequence, store.EraOf(own.Position()))
	own.Brief, own.Targets, own.Uses, own.Requests, own.Streams, own.SharesStreams = true, nil, nil, nil, nil, false
	return own
}

// Step returns the messages that are due and the time until the next step. own is the node's
// current report. Messages are sent in batches spread over the interval, since a burst to all
// nodes would overflow the link of a small VM and the excess would be lost.
func (m *Machine) Step(own Report, seeds []string, now time.Time) ([]Datagram, time.Duration, error) {
	m.view.AddNodes(now, seeds...)
	m.view.Expire(now)
	m.regroup(now)
	m.leases.expire(now)
	m.uses.expire(m.view.interval(), now)
	m.steps++
	if m.view.groups > 1 {
		own.Targets = append(slices.Clone(own.Targets), nodesHeardReport(m.view.countedNodes(now)))
	}
	recipients := m.recipients(seeds, now)
	batch, remaining := m.nextBatch(recipients, now)
	out, err := m.messages(own, batch, now)
	if err != nil {
		return nil, m.cfg.Interval, err
	}
	subs, err := m.subscribe(own, now)
	return append(out, subs...), m.pace(len(batch), len(batch)+remaining), err
}

// regroup adjusts the number of groups to the fleet's size. All nodes use the largest number
// that any of them wants, so that they agree soon.
func (m *Machine) regroup(now time.Time) {
	m.wanted = nextGroups(m.view.size(), m.wanted)
	if now.Sub(m.proposedAt) > proposalTTL {
		m.proposed = 0
	}
	if groups := max(m.wanted, m.proposed); groups != m.view.groups {
		m.view.Regroup(groups)
		clear(m.subs.all)
		clear(m.leases) // the subscribers may be in this node's group now
	}
}

// receiveProposal records the number of groups that another node wants, which must be a power
// of two.
func (m *Machine) receiveProposal(groups int, now time.Time) {
	valid := groups > 0 && groups <= maxGroups && groups&(groups-1) == 0
	if valid && groups >= m.proposed {
		m.proposed, m.proposedAt = groups, now
	}
}

// maxGroups is enough for a fleet of more than 10,000 nodes; a larger number is invalid.
const maxGroups = 128

func (m *Machine) encode(c content, header, own Report, now time.Time) ([]byte, error) {
	t := tail{requests: own.Requests}
	switch c {
	case sumOnly, sumWithMembers:
		return encode(kindSum, m.groupSum(c == sumWithMembers, header, own, now), t)
	case reportWithStreams:
		t.streams = own.Streams
	}
	r := header
	r.Brief, r.Targets, r.Uses, r.SharesStreams = false, own.Targets, own.Uses, own.SharesStreams
	if m.steps%nodeNamesEvery == 1 || m.steps < firstReports {
		r.Nodes = m.view.LiveAddresses(now, maxNodeNames)
	}
	return marshal(r.withStatements(), t)
}

// groupSum returns the sum of this node's group.
func (m *Machine) groupSum(withMembers bool, header, own Report, now time.Time) GroupSum {
	total := maps.Clone(m.view.ownGroup)
	total.addReports(own.Targets, 1)
	header.Uses = m.uses.with(own.Uses)
	s := GroupSum{
		From: header, Groups: m.view.groups, Wanted: m.wanted, Group: m.view.group,
		Nodes: m.view.countedNodes(now) + 1, Counts: total.pack(),
	}
	if withMembers {
		s.Members = append(m.view.members(now), Member{Address: packAddress(m.self), Last: own.Leaving || own.StoreUnreachable})
	}
	return s
}

// subscribe requests the sums of other groups from their relays where a lease ends or a relay
// is silent.
func (m *Machine) subscribe(own Report, now time.Time) ([]Datagram, error) {
	due := m.subs.renew(m.view, now)
	if len(due) == 0 {
		return nil, nil
	}
	body, err := encode(kindSubscription, Subscription{From: m.header(own), Wanted: m.wanted}, tail{requests: own.Requests})
	if err != nil {
		return nil, err
	}
	var out []Datagram
	for _, a := range due {
		for _, relay := range a.relays {
			out = append(out, Datagram{To: relay, Body: body})
		}
		if m.onRelayChange != nil {
			m.onRelayChange(a)
		}
	}
	return out, nil
}

// Brief returns a report without targets for some nodes. If there is only one recipient, the
// report lists other nodes, unless it has records of streams.
func (m *Machine) Brief(own Report, to []string, now time.Time) ([]Datagram, error) {
	r := m.header(own)
	if len(to) == 1 && len(own.Streams) == 0 {
		r.Nodes = m.view.LiveAddresses(now, maxNodeNames)
	}
	raw, err := marshal(r, tail{requests: own.Requests, streams: own.Streams})
	if err != nil {
		return nil, err
	}
	out := make([]Datagram, 0, len(to))
	for _, n := range to {
		out = append(out, Datagram{To: n, Body: raw})
	}
	return out, nil
}

// Receive processes a datagram.
func (m *Machine) Receive(body []byte, now time.Time) (Received, error) {
	if len(body) == 0 {
		return Received{}, errEmpty
	}
	switch kind(body[0]) {
	case kindSum:
		return m.receiveSum(body[1:], now)
	case kindSubscription:
		return m.receiveSubscription(body[1:], now)
	}
	var r Report
	t, err := unmarshal(body, &r)
	if err != nil {
		return Received{}, errors.Wrap(err, "heartbeat: decode report")
	}
	r.takeStatements()
	a := Received{Report: r, NewPeer: !m.view.isLive(r.Node, now)}
	a.Report.Requests, a.Report.Streams = t.requests, t.streams
	a.IsNew = m.view.Receive(r, now)
	if a.IsNew && m.view.inOwnGroup(m.view.peers[r.Node]) {
		m.uses.add(r.Uses, now)
	}
	return a, nil
}

var errEmpty = errors.New("heartbeat: empty datagram")

func (m *Machine) receiveSum(body []byte, now time.Time) (Received, error) {
	var s GroupSum
	t, err := unmarshal(body, &s)
	if err != nil {
		return Received{}, errors.Wrap(err, "heartbeat: decode group sum")
	}
	counts, err := unpack(s.Counts)
	if err != nil {
		return Received{}, err
	}
	s.From.Brief = true
	if !m.view.Receive(s.From, now) {
		return Received{Report: s.From}, nil
	}
	m.receiveProposal(s.Wanted, now)
	m.view.receiveMembers(s.Members, now)
	// A relay with another number of groups sends the sum of a different set of nodes.
	if s.Groups == m.view.groups && m.subs.deliver(s.From.Node, s.Group, lacksNode(s.Nodes, counts), now) {
		m.view.receiveSum(s.Group, counts, now)
	}
	s.From.Requests = t.requests
	return Received{Report: s.From, IsNew: true}, nil
}

func (m *Machine) receiveSubscription(body []byte, now time.Time) (Received, error) {
	var s Subscription
	t, err := unmarshal(body, &s)
	if err != nil {
		return Received{}, errors.Wrap(err, "heartbeat: decode subscription")
	}
	s.From.Brief = true
	if !m.view.Receive(s.From, now) {
		return Received{Report: s.From}, nil
	}
	m.receiveProposal(s.Wanted, now)
	m.leases.add(s.From.Node, now.Add(m.cfg.Lease))
	s.From.Requests = t.requests
	return Received{Report: s.From, IsNew: true}, nil
}
