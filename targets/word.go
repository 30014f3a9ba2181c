package targets

// Word is what some source says of a target: that an incarnation of it is live
// or leaving. Sources are the VM list, the target's own answers and other
// nodes; their words may come late and in any order.
type Word struct {
	Target      string `json:"t"`
	Incarnation int64  `json:"i"`
	Leaving     bool   `json:"-"`
}

// Beats says whether a overrides b, a word on the same target: the newer
// incarnation does, and within an incarnation leaving overrides live.
func (w Word) Beats(b Word) bool {
	if w.Incarnation != b.Incarnation {
		return w.Incarnation > b.Incarnation
	}
	return w.Leaving && !b.Leaving
}

// Merge returns the word that holds when a and b are both known. It is
// commutative, associative and idempotent, so that nodes which have heard the
// same words agree, in whatever order the words came.
func Merge(a, b Word) Word {
	if b.Beats(a) {
		return b
	}
	return a
}
