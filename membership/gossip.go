package membership

import (
	"cmp"
	"slices"

	"github.com/knapweedgw/knapweedgw/targets"
)

// maxSentReports bounds the reports of leaving targets that are kept to be repeated.
const maxSentReports = 1024

// broadcastQueue holds the changes that are still to be sent to other nodes.
type broadcastQueue struct {
	nodes   []nodeBroadcast
	reports []reportBroadcast
	sent    []targets.Report // reports sent as often as required, the last maxSentReports
}

// nodeBroadcast is a node whose current record is still to be sent.
type nodeBroadcast struct {
	id        string
	sendsLeft int
}

// reportBroadcast is a report of a leaving target that is still to be sent.
type reportBroadcast struct {
	report    targets.Report
	sendsLeft int
}

func (q *broadcastQueue) empty() bool { return len(q.nodes)+len(q.reports) == 0 }

func (q *broadcastQueue) addNode(id string, sends int) {
	q.nodes = slices.DeleteFunc(q.nodes, func(o nodeBroadcast) bool { return o.id == id })
	q.nodes = append(q.nodes, nodeBroadcast{id, sends})
}

func (q *broadcastQueue) addReport(report targets.Report, sends int) {
	q.reports = append(q.reports, reportBroadcast{report, sends})
}

// takeNodes returns the IDs of up to limit nodes whose records are sent next, those
// with the most sends left first.
func (q *broadcastQueue) takeNodes(limit int) []string {
	slices.SortStableFunc(q.nodes, func(a, b nodeBroadcast) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	var out []string
	for i := range min(limit, len(q.nodes)) {
		q.nodes[i].sendsLeft--
		out = append(out, q.nodes[i].id)
	}
	q.nodes = slices.DeleteFunc(q.nodes, func(o nodeBroadcast) bool { return o.sendsLeft <= 0 })
	return out
}

// takeReports returns up to limit reports that are sent next, those with the most
// sends left first.
func (q *broadcastQueue) takeReports(limit int) []targets.Report {
	slices.SortStableFunc(q.reports, func(a, b reportBroadcast) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	var out []targets.Report
	for i := range min(limit, len(q.reports)) {
		q.reports[i].sendsLeft--
		out = append(out, q.reports[i].report)
		if q.reports[i].sendsLeft == 0 {
			q.sent = append(q.sent, q.reports[i].report)
		}
	}
	q.reports = slices.DeleteFunc(q.reports, func(o reportBroadcast) bool { return o.sendsLeft <= 0 })
	q.sent = q.sent[max(0, len(q.sent)-maxSentReports):]
	return out
}

// gossip returns messages with queued changes for Fanout random nodes; nil if nothing
// is queued.
func (m *Machine) gossip() []Envelope {
	if m.queue.empty() {
		return nil
	}
	var out []Envelope
	for _, n := range m.randomMembers(m.cfg.Fanout, "") {
		out = append(out, m.envelope(n.Node, Message{Kind: Gossip}))
	}
	return out
}

// envelope completes a message to a node with this node's record and queued changes.
func (m *Machine) envelope(to Node, msg Message) Envelope {
	msg.From = m.self
	if known, ok := m.members[to.ID]; ok && (known.State == Suspect || known.State == Dead) {
		msg.Members = append(msg.Members, known.Node) // so that it can refute
	}
	for _, id := range m.queue.takeNodes(m.cfg.MaxMembers) {
		if n, ok := m.members[id]; ok {
			msg.Members = append(msg.Members, n.Node)
		}
	}
	msg.Leaving = m.queue.takeReports(m.cfg.MaxReports)
	if msg.Kind == Ping || msg.Kind == Ack {
		m.addRepeatedReports(&msg)
	}
	return Envelope{To: to.PeerAddr, Message: msg}
}

// addRepeatedReports adds random reports of leaving targets that have already been sent
// as often as required.
func (m *Machine) addRepeatedReports(msg *Message) {
	for range min(m.cfg.RepeatReports, len(m.queue.sent)) {
		msg.Leaving = append(msg.Leaving, m.queue.sent[m.rng.IntN(len(m.queue.sent))])
	}
}
