package membership

import (
	"slices"
	"strings"
	"time"
)

// maxHeldDivisor limits the nodes that are held down at a time to one in four.
const maxHeldDivisor = 4

// View returns a new view if something has changed since the last call, else
// nil. Nodes that are held down because they came and went too often are shown as
// leaving until their hold ends.
func (m *Machine) View(now time.Time) *View {
	if !m.changed {
		return nil
	}
	m.changed = false
	m.damper.Prune(now)
	v := &View{Self: m.self.ID, Nodes: append([]Node{m.self}, m.otherRegions...)}
	held := m.heldDown(now)
	for _, id := range m.ids {
		n := m.members[id]
		shown := n.Node
		if slices.Contains(held, id) {
			shown.State = Leaving
		}
		v.Nodes = append(v.Nodes, shown)
	}
	slices.SortFunc(v.Nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// heldDown returns the IDs of the nodes held down, at most a quarter of the nodes of the
// region, and sets firstHoldEnd.
func (m *Machine) heldDown(now time.Time) []string {
	m.firstHoldEnd = time.Time{}
	var out []string
	for _, id := range m.ids {
		if m.members[id].State > Suspect || !m.damper.Held(id, now) {
			continue
		}
		if len(out) >= (len(m.ids)+1)/maxHeldDivisor {
			break
		}
		out = append(out, id)
		if end := m.damper.HeldUntil(id); m.firstHoldEnd.IsZero() || end.Before(m.firstHoldEnd) {
			m.firstHoldEnd = end
		}
	}
	return out
}
