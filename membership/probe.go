package membership

import (
	"slices"
	"time"
)

// probe is the probe in progress.
type probe struct {
	nodeID   string // empty if there is none
	seq      uint64
	sent     time.Time
	indirect bool // whether other nodes were asked to probe
}

// relay is a probe that this node makes at the request of another.
type relay struct {
	seq           uint64 // of this node's ping
	requesterAddr string // PeerAddr
	requesterSeq  uint64
	expires       time.Time
}

// maxRelays bounds the concurrent probes made for other nodes.
const maxRelays = 64

// Tick does what is due at now and returns the messages to send. It must be called
// every GossipInterval.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.extendForPause(now)
	m.lastTick = now
	m.expireSuspects(now)
	var out []Envelope
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
		m.endProbe(now)
		m.removeExpired(now)
		out = append(out, m.startProbe(now)...)
	}
	out = append(out, m.probeIndirectly(now)...)
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.cfg.ReconnectInterval)
		out = append(out, m.reconnect()...)
	}
	if !m.firstHoldEnd.IsZero() && !now.Before(m.firstHoldEnd) {
		m.changed = true
	}
	return append(out, m.gossip()...)
}

// extendForPause drops the current probe and extends the time of each suspect if this
// node was paused, since answers during the pause may have been missed.
func (m *Machine) extendForPause(now time.Time) {
	pause := now.Sub(m.lastTick)
	if pause < m.cfg.ProbeInterval {
		return
	}
	m.probe = probe{}
	for _, n := range m.members {
		if !n.suspectUntil.IsZero() {
			n.suspectUntil = n.suspectUntil.Add(pause)
		}
	}
}

// expireSuspects declares the suspects dead that did not refute in time.
func (m *Machine) expireSuspects(now time.Time) {
	m.suspects = slices.DeleteFunc(m.suspects, func(id string) bool {
		n, ok := m.members[id]
		if !ok || n.State == Dead || n.suspectUntil.IsZero() {
			return true
		}
		if now.Before(n.suspectUntil) {
			return false
		}
		m.counts.Deaths++
		dead := n.Node
		dead.State = Dead
		m.mergeAndBroadcast(dead, now)
		return true
	})
}

// removeExpired removes expired relays, and unlisted nodes that have been dead for
// DeadRetention.
func (m *Machine) removeExpired(now time.Time) {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.expires) })
	limit := now.Add(-m.cfg.DeadRetention)
	m.removeIf(func(n *member) bool { return n.State == Dead && !n.listed && n.deadSince.Before(limit) })
}

// endProbe ends the current probe and suspects the probed node if it did not answer.
func (m *Machine) endProbe(now time.Time) {
	n, ok := m.members[m.probe.nodeID]
	m.probe = probe{}
	if !ok || n.State == Dead || !n.suspectUntil.IsZero() {
		return
	}
	m.counts.Suspicions++
	if n.State == Leaving {
		// A record with Suspect would not override Leaving, so only this node starts
		// the timeout.
		m.startSuspicion(n, now)
		return
	}
	suspect := n.Node
	suspect.State = Suspect
	m.mergeAndBroadcast(suspect, now)
}

// startProbe pings the next node.
func (m *Machine) startProbe(now time.Time) []Envelope {
	n := m.nextProbed()
	if n == nil {
		return nil
	}
	m.seq++
	m.probe = probe{nodeID: n.ID, seq: m.seq, sent: now}
	return []Envelope{m.envelope(n.Node, Message{Kind: Ping, Seq: m.seq})}
}

// nextProbed returns the next node to probe; nil if there is none. Each round probes
// every node once, in a shuffled order.
func (m *Machine) nextProbed() *member {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if n, ok := m.members[id]; ok && n.State != Dead {
				return n
			}
		}
		m.probeOrder = slices.Clone(m.ids)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// probeIndirectly asks other nodes to probe the current node once ProbeTimeout has passed
// without an answer.
func (m *Machine) probeIndirectly(now time.Time) []Envelope {
	probed, ok := m.members[m.probe.nodeID]
	if !ok || m.probe.indirect || now.Sub(m.probe.sent) < m.cfg.ProbeTimeout {
		return nil
	}
	m.probe.indirect = true
	m.counts.IndirectProbes++
	var out []Envelope
	for _, n := range m.randomMembers(m.cfg.IndirectProbes, probed.ID) {
		subject := probed.Node
		out = append(out, m.envelope(n.Node, Message{Kind: PingReq, Seq: m.probe.seq, Subject: &subject}))
	}
	return out
}

// reconnect pings a random node that is recorded as dead: the VM list may still show it,
// or it may have been unreachable during a network partition.
func (m *Machine) reconnect() []Envelope {
	var dead []*member
	for _, id := range m.ids {
		if n := m.members[id]; n.State == Dead {
			dead = append(dead, n)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	m.counts.Reconnects++
	n := dead[m.rng.IntN(len(dead))]
	m.seq++
	return []Envelope{m.envelope(n.Node, Message{Kind: Ping, Seq: m.seq})}
}

// Receive processes a message and returns the messages to send in response.
func (m *Machine) Receive(msg Message, now time.Time) []Envelope {
	if msg.From.ID == m.self.ID {
		return nil
	}
	m.mergeAndBroadcast(msg.From, now)
	for _, n := range msg.Members {
		m.mergeAndBroadcast(n, now)
	}
	if n, ok := m.members[msg.From.ID]; ok && n.State == Leaving {
		n.suspectUntil = time.Time{}
	}
	switch msg.Kind {
	case Ping:
		return []Envelope{m.envelope(msg.From, Message{Kind: Ack, Seq: msg.Seq})}
	case PingReq:
		return m.handlePingReq(msg, now)
	case Ack:
		return m.handleAck(msg)
	default:
		return nil
	}
}

// handlePingReq pings the subject of msg for its sender, unless there are maxRelays.
func (m *Machine) handlePingReq(msg Message, now time.Time) []Envelope {
	if msg.Subject == nil || len(m.relays) >= maxRelays {
		return nil
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, requesterAddr: msg.From.PeerAddr, requesterSeq: msg.Seq, expires: now.Add(m.cfg.ProbeInterval),
	})
	return []Envelope{m.envelope(*msg.Subject, Message{Kind: Ping, Seq: m.seq})}
}

// handleAck ends the current probe, or forwards the Ack to the node for which this one
// probed.
func (m *Machine) handleAck(msg Message) []Envelope {
	if msg.Seq == m.probe.seq {
		m.probe = probe{}
		return nil
	}
	for _, r := range m.relays {
		if r.seq == msg.Seq {
			return []Envelope{m.envelope(Node{PeerAddr: r.requesterAddr}, Message{Kind: Ack, Seq: r.requesterSeq})}
		}
	}
	return nil
}

// randomMembers returns up to n different random nodes that are neither dead nor the
// excluded one.
func (m *Machine) randomMembers(n int, exclude string) []*member {
	var out []*member
	const tries = 3 // per node to return, since many random choices may be dead nodes
	for range tries * n {
		if len(out) == n || len(m.ids) == 0 {
			break
		}
		c := m.members[m.ids[m.rng.IntN(len(m.ids))]]
		if c.State != Dead && c.ID != exclude && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
