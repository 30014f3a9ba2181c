package membership

import (
	"slices"
	"strings"
	"time"
)

// maxHeldShare is the part of the nodes that may be held down at a time.
const maxHeldShare = 4 // one in four

// View returns a new view if something has changed since the last call, else
// nil. Nodes that come and go too often are shown as leaving until their hold
// ends.
func (m *Machine) View(now time.Time) *View {
	if !m.changed {
		return nil
	}
	m.changed = false
	m.damper.Prune(now)
	v := &View{Self: m.self.ID, Nodes: append([]Node{m.self}, m.remote...)}
	held := m.held(now)
	for _, id := range m.order {
		n := m.nodes[id]
		shown := n.Node
		if slices.Contains(held, id) {
			shown.State = Leaving
		}
		v.Nodes = append(v.Nodes, shown)
	}
	slices.SortFunc(v.Nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// held returns the nodes held down, at most a quarter of those known, and
// notes when the first hold ends.
func (m *Machine) held(now time.Time) []string {
	m.nextHold = time.Time{}
	var out []string
	for _, id := range m.order {
		if m.nodes[id].State > Suspect || !m.damper.Held(id, now) {
			continue
		}
		if len(out) >= (len(m.order)+1)/maxHeldShare {
			break
		}
		out = append(out, id)
		if end := m.damper.HeldUntil(id); m.nextHold.IsZero() || end.Before(m.nextHold) {
			m.nextHold = end
		}
	}
	return out
}
