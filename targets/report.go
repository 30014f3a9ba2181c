package targets

// Report states that an incarnation of a target is live or leaving. The sources
// of reports are the VM list, the target's own responses and other nodes; reports
// may arrive late and in any order.
type Report struct {
	Target      string `json:"t"`
	Incarnation int64  `json:"i"`
	Leaving     bool   `json:"-"`
}

// Supersedes returns whether w overrides b, a report about the same target: the
// newer incarnation does, and within an incarnation leaving overrides live.
func (w Report) Supersedes(b Report) bool {
	if w.Incarnation != b.Incarnation {
		return w.Incarnation > b.Incarnation
	}
	return w.Leaving && !b.Leaving
}

// Merge returns whichever of a and b, two reports about the same target, supersedes
// the other. It is commutative, associative and idempotent, so that nodes that
// received the same reports agree, whatever the order.
func Merge(a, b Report) Report {
	if b.Supersedes(a) {
		return b
	}
	return a
}
