package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// outboundSlack is how many times as many messages as it should get a node may
// send: one that is the relay of more nodes than others sends more.
const outboundSlack = 1.5

// serving is a message that a recipient got.
type serving struct {
	turn int
	at   time.Time
}

// recipients returns who gets a report or a sum: the nodes of the own group, seeds
// that are not known to live, and subscribers.
func (m *Machine) recipients(seeds []string, now time.Time) []string {
	var to []string
	lost := m.cfg.lostFor(m.view.interval())
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

// nextBatch returns the nodes whose turn it is and the number of others. Those go first
// that have waited an interval for a report, so that no number of new subscribers keeps
// a node from being counted; then those served longest ago, new subscribers before all.
func (m *Machine) nextBatch(recipients []string, now time.Time) (batch []string, rest int) {
	maps.DeleteFunc(m.served, func(n string, _ serving) bool {
		_, found := slices.BinarySearch(recipients, n)
		return !found
	})
	interval := m.view.interval()
	overdue := func(n string) bool { return m.leases[n] == nil && now.Sub(m.served[n].at) >= interval }
	batch = slices.Clone(recipients)
	slices.SortStableFunc(batch, func(a, b string) int {
		switch x, y := overdue(a), overdue(b); {
		case x && !y:
			return -1
		case y && !x:
			return 1
		}
		return cmp.Compare(m.served[a].turn, m.served[b].turn)
	})
	batch = batch[:min(m.cfg.Batch, len(batch))]
	for _, n := range batch {
		m.turn++
		m.served[n] = serving{m.turn, now}
	}
	return batch, len(recipients) - len(batch)
}

// pace returns the time until the next batch, so that all are served within
// the interval.
func (m *Machine) pace(batch, all int) time.Duration {
	interval := m.view.interval()
	if all == 0 {
		return interval
	}
	outbound := time.Duration(float64(all) / (outboundSlack * m.cfg.MaxInbound) * float64(time.Second))
	return max(interval, outbound) * time.Duration(batch) / time.Duration(all)
}

// content is what a recipient gets.
type content int

const (
	ownReport content = iota
	sumOnly
	sumWithMembers
	contents
)

// contentFor returns what the node to gets this time.
func (m *Machine) contentFor(to string) content {
	l, ok := m.leases[to]
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
	var bodies [contents][]byte
	out := make([]Datagram, 0, len(batch))
	for _, to := range batch {
		c := m.contentFor(to)
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
