package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// outboundSlack is the factor by which a node may exceed MaxInbound in messages sent per
// second: a node that is the relay of more subscribers than others sends more.
const outboundSlack = 1.5

// sendRecord is the last message sent to a recipient.
type sendRecord struct {
	sendSeq int
	at      time.Time
}

// recipients returns the nodes that are sent a report or a sum: those of this node's group,
// seeds that are not live, and subscribers.
func (m *Machine) recipients(seeds []string, now time.Time) []string {
	var to []string
	lost := m.cfg.lostTimeout(m.view.interval())
	for n, p := range m.view.peers {
		if m.view.inOwnGroup(p) || slices.Contains(seeds, n) && !p.live(lost, now) {
			to = append(to, n)
		}
	}
	for n := range m.leases {
		to = append(to, n)
	}
	slices.Sort(to)
	return slices.Compact(to)
}

// nextBatch returns the nodes to be sent a message now and the number of remaining ones. Nodes
// that have waited an interval for a report come first, so that a large number of new
// subscribers can't stop a node from being counted; then those with the oldest last message,
// where new subscribers come before all others.
func (m *Machine) nextBatch(recipients []string, now time.Time) (batch []string, remaining int) {
	maps.DeleteFunc(m.lastSent, func(n string, _ sendRecord) bool {
		_, found := slices.BinarySearch(recipients, n)
		return !found
	})
	interval := m.view.interval()
	overdue := func(n string) bool { return m.leases[n] == nil && now.Sub(m.lastSent[n].at) >= interval }
	batch = slices.Clone(recipients)
	slices.SortStableFunc(batch, func(a, b string) int {
		switch x, y := overdue(a), overdue(b); {
		case x && !y:
			return -1
		case y && !x:
			return 1
		}
		return cmp.Compare(m.lastSent[a].sendSeq, m.lastSent[b].sendSeq)
	})
	batch = batch[:min(m.cfg.Batch, len(batch))]
	for _, n := range batch {
		m.sendSeq++
		m.lastSent[n] = sendRecord{m.sendSeq, now}
	}
	return batch, len(recipients) - len(batch)
}

// pace returns the time until the next batch, such that all recipients are served within the
// interval.
func (m *Machine) pace(batch, all int) time.Duration {
	interval := m.view.interval()
	if all == 0 {
		return interval
	}
	outbound := time.Duration(float64(all) / (outboundSlack * m.cfg.MaxInbound) * float64(time.Second))
	return max(interval, outbound) * time.Duration(batch) / time.Duration(all)
}

// content is the kind of message for a recipient.
type content int

const (
	ownReport content = iota
	reportWithStreams
	sumOnly
	sumWithMembers
	contentKinds
)

// contentFor returns the kind of the next message to a node and counts it. streams is whether there are
// records of streams to be sent.
func (m *Machine) contentFor(to string, streams bool) content {
	l, ok := m.leases[to]
	if !ok && streams && m.view.takesStreams(to) {
		return reportWithStreams
	}
	if !ok {
		return ownReport
	}
	l.sent++
	if l.sent%membersEvery == 1 {
		return sumWithMembers
	}
	return sumOnly
}

// messages returns the sums and reports for a batch.
func (m *Machine) messages(own Report, batch []string, now time.Time) ([]Datagram, error) {
	header := m.header(own)
	var bodies [contentKinds][]byte
	out := make([]Datagram, 0, len(batch))
	for _, to := range batch {
		c := m.contentFor(to, len(own.Streams) > 0)
		if bodies[c] == nil {
			var err error
			if bodies[c], err = m.encode(c, header, own, now); err != nil {
				return nil, err
			}
		}
		out = append(out, Datagram{To: to, Body: bodies[c]})
	}
	return out, nil
}
