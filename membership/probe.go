package membership

import (
	"slices"
	"time"
)

// probe is the one in progress.
type probe struct {
	target   string // ID; empty for none
	seq      uint64
	sent     time.Time
	indirect bool // others were asked
}

// relay is a probe that this node does for another.
type relay struct {
	seq     uint64 // of this node's ping
	to      string // PeerAddr of the node that asked
	theirs  uint64
	expires time.Time
}

// maxRelays bounds the probes done for others at a time.
const maxRelays = 64

// Tick does what has become due. Call it every GossipInterval.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.excusePause(now)
	m.lastTick = now
	m.expire(now)
	var out []Envelope
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
		m.judge(now)
		m.forgetOld(now)
		out = append(out, m.startProbe(now)...)
	}
	out = append(out, m.probeIndirectly(now)...)
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.cfg.ReconnectInterval)
		out = append(out, m.reconnect()...)
	}
	if !m.nextHold.IsZero() && !now.Before(m.nextHold) {
		m.changed = true
	}
	return append(out, m.gossip()...)
}

// excusePause gives every node the time that this one was paused: it can't
// tell whether answers came meanwhile.
func (m *Machine) excusePause(now time.Time) {
	pause := now.Sub(m.lastTick)
	if pause < m.cfg.ProbeInterval {
		return
	}
	m.probe = probe{}
	for _, n := range m.nodes {
		if !n.suspectUntil.IsZero() {
			n.suspectUntil = n.suspectUntil.Add(pause)
		}
	}
}

// expire declares dead the suspects whose time is up.
func (m *Machine) expire(now time.Time) {
	m.suspects = slices.DeleteFunc(m.suspects, func(id string) bool {
		n, ok := m.nodes[id]
		if !ok || n.State == Dead || n.suspectUntil.IsZero() {
			return true
		}
		if now.Before(n.suspectUntil) {
			return false
		}
		m.counts.Deaths++
		dead := n.Node
		dead.State = Dead
		m.hear(dead, now)
		return true
	})
}

// forgetOld drops what is of no more use.
func (m *Machine) forgetOld(now time.Time) {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.expires) })
	limit := now.Add(-m.cfg.DeadRetention)
	m.forget(func(n *member) bool { return n.State == Dead && !n.listed && n.deadSince.Before(limit) })
}

// judge suspects the probed node if no answer came.
func (m *Machine) judge(now time.Time) {
	n, ok := m.nodes[m.probe.target]
	m.probe = probe{}
	if !ok || n.State == Dead || !n.suspectUntil.IsZero() {
		return
	}
	m.counts.Suspicions++
	if n.State == Leaving {
		// Suspect would not override Leaving; wait for it here alone.
		m.suspect(n, now)
		return
	}
	suspect := n.Node
	suspect.State = Suspect
	m.hear(suspect, now)
}

func (m *Machine) startProbe(now time.Time) []Envelope {
	n := m.nextTarget()
	if n == nil {
		return nil
	}
	m.seq++
	m.probe = probe{target: n.ID, seq: m.seq, sent: now}
	return []Envelope{m.envelope(n.Node, Message{Kind: Ping, Seq: m.seq})}
}

// nextTarget returns the next node in a shuffled turn, so that each is probed
// once a turn.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for len(m.turn) > 0 {
			id := m.turn[len(m.turn)-1]
			m.turn = m.turn[:len(m.turn)-1]
			if n, ok := m.nodes[id]; ok && n.State != Dead {
				return n
			}
		}
		m.turn = slices.Clone(m.order)
		m.rng.Shuffle(len(m.turn), func(i, j int) { m.turn[i], m.turn[j] = m.turn[j], m.turn[i] })
	}
	return nil
}

func (m *Machine) probeIndirectly(now time.Time) []Envelope {
	target, ok := m.nodes[m.probe.target]
	if !ok || m.probe.indirect || now.Sub(m.probe.sent) < m.cfg.ProbeTimeout {
		return nil
	}
	m.probe.indirect = true
	m.counts.IndirectProbes++
	var out []Envelope
	for _, n := range m.pick(m.cfg.IndirectProbes, target.ID) {
		subject := target.Node
		out = append(out, m.envelope(n.Node, Message{Kind: PingReq, Seq: m.probe.seq, Subject: &subject}))
	}
	return out
}

// reconnect pings a node held for dead that the VM list still shows, or that
// may have been cut off with its part of the fleet.
func (m *Machine) reconnect() []Envelope {
	var dead []*member
	for _, id := range m.order {
		if n := m.nodes[id]; n.State == Dead {
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

// Receive takes a message and returns the answers.
func (m *Machine) Receive(msg Message, now time.Time) []Envelope {
	if msg.From.ID == m.self.ID {
		return nil
	}
	m.hear(msg.From, now)
	for _, n := range msg.Members {
		m.hear(n, now)
	}
	if n, ok := m.nodes[msg.From.ID]; ok && n.State == Leaving {
		n.suspectUntil = time.Time{}
	}
	switch msg.Kind {
	case Ping:
		return []Envelope{m.envelope(msg.From, Message{Kind: Ack, Seq: msg.Seq})}
	case PingReq:
		return m.relay(msg, now)
	case Ack:
		return m.acked(msg)
	default:
		return nil
	}
}

func (m *Machine) relay(msg Message, now time.Time) []Envelope {
	if msg.Subject == nil || len(m.relays) >= maxRelays {
		return nil
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, to: msg.From.PeerAddr, theirs: msg.Seq, expires: now.Add(m.cfg.ProbeInterval),
	})
	return []Envelope{m.envelope(*msg.Subject, Message{Kind: Ping, Seq: m.seq})}
}

func (m *Machine) acked(msg Message) []Envelope {
	if msg.Seq == m.probe.seq {
		m.probe = probe{}
		return nil
	}
	for _, r := range m.relays {
		if r.seq == msg.Seq {
			return []Envelope{m.envelope(Node{PeerAddr: r.to}, Message{Kind: Ack, Seq: r.theirs})}
		}
	}
	return nil
}

// pick returns up to n different nodes at random that are neither dead nor
// the one excluded.
func (m *Machine) pick(n int, exclude string) []*member {
	var out []*member
	const tries = 3 // a choice, where most nodes are dead
	for range tries * n {
		if len(out) == n || len(m.order) == 0 {
			break
		}
		c := m.nodes[m.order[m.rng.IntN(len(m.order))]]
		if c.State != Dead && c.ID != exclude && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}
