package holds

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// Timing says how often a node tells owners what it holds.
type Timing struct {
	Interval time.Duration // between two resyncs of a cell
	Retry    time.Duration // after a failed resync
	Report   time.Duration // until an owner is told of a place it didn't grant
}

// Table is what one node holds. It is safe for concurrent use.
type Table struct {
	self   From
	timing Timing

	mu    sync.Mutex
	next  uint64
	cells map[Key]*tableCell
}

type tableCell struct {
	holds   map[uint64]*place
	pending map[uint64]struct{}
	synced  cell.Holder // owner of the last resync
	due     time.Time
	busy    bool
}

type place struct {
	Detail
	knownTo cell.Holder
}

// Due is a cell whose owner is to be told what the node holds.
type Due struct {
	Key     Key
	Owner   cell.Holder
	Changed bool // the owner isn't the one told last
}

// NewTable returns an empty table of the given run of a node.
func NewTable(self From, timing Timing) *Table {
	return &Table{self: self, timing: timing, cells: make(map[Key]*tableCell)}
}

// Begin records an ask to the owner and returns its sequence number.
func (t *Table) Begin(now time.Time, k Key, owner cell.Holder) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	t.next++
	c.pending[t.next] = struct{}{}
	return t.next
}

// Grant turns a pending ask into a place that owner knows.
func (t *Table) Grant(now time.Time, k Key, owner cell.Holder, d Detail) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	delete(c.pending, d.Seq)
	c.holds[d.Seq] = &place{Detail: d, knownTo: owner}
}

// GiveUp ends a pending ask. The owner should be sent a release of it.
func (t *Table) GiveUp(k Key, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		delete(c.pending, seq)
	}
}

// Take records a place that no owner granted and returns its sequence number.
func (t *Table) Take(now time.Time, k Key, owner cell.Holder, d Detail) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	t.next++
	d.Seq = t.next
	c.holds[d.Seq] = &place{Detail: d}
	if soon := now.Add(t.timing.Report); soon.Before(c.due) {
		c.due = soon
	}
	return d.Seq
}

// Release ends a place. It returns the cell that the place is counted in.
func (t *Table) Release(k Key, seq uint64) Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		if _, held := c.holds[seq]; held {
			delete(c.holds, seq)
			return k
		}
	}
	for moved, c := range t.cells {
		if _, held := c.holds[seq]; held {
			delete(c.holds, seq)
			return moved
		}
	}
	return k
}

// Len returns the number of places held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.cells {
		n += len(c.holds)
	}
	return n
}

// Due returns the cells whose owner is to be told, because it changed or
// because the interval has passed. Each must be passed to Build, then to Done
// or Failed.
func (t *Table) Due(now time.Time, ownerOf func(Key) (cell.Holder, bool)) []Due {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Due
	for k, c := range t.cells {
		owner, ok := ownerOf(k)
		if !ok || c.busy {
			continue
		}
		changed := owner != c.synced
		if changed {
			c.synced, c.due = owner, now
		}
		if now.Before(c.due) {
			continue
		}
		c.busy = true
		out = append(out, Due{Key: k, Owner: owner, Changed: changed})
	}
	return out
}

// Build returns the resync of a cell for an owner. Places that the owner
// knows are listed by number only; the zero owner knows none.
func (t *Table) Build(k Key, owner cell.Holder) Resync {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	m := Resync{From: t.self, Key: k, At: t.next}
	c, ok := t.cells[k]
	if !ok {
		return m
	}
	for q, p := range c.holds {
		if p.knownTo == owner && owner != (cell.Holder{}) {
			m.Held = append(m.Held, q)
		} else {
			m.Details = append(m.Details, p.Detail)
		}
	}
	for q := range c.pending {
		m.Pending = append(m.Pending, q)
	}
	slices.Sort(m.Held)
	slices.Sort(m.Pending)
	return m
}

// Done records the owner's answer to a resync. The cell is due again at once
// if the owner lacks places, and forgotten once an empty resync is answered.
func (t *Table) Done(now time.Time, owner cell.Holder, m Resync, r ResyncReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.cells[m.Key]
	if !ok {
		return
	}
	c.busy = false
	c.due = now.Add(t.timing.Interval)
	if r.NotOwner {
		c.due = now.Add(t.timing.Retry)
		return
	}
	for _, d := range m.Details {
		if p, held := c.holds[d.Seq]; held {
			p.knownTo = owner
		}
	}
	for _, q := range r.Missing {
		if p, held := c.holds[q]; held {
			p.knownTo = cell.Holder{}
			c.due = now
		}
	}
	wasEmpty := len(m.Held)+len(m.Details)+len(m.Pending) == 0
	if wasEmpty && len(c.holds)+len(c.pending) == 0 {
		delete(t.cells, m.Key)
	}
}

// Failed records that a resync had no answer.
func (t *Table) Failed(now time.Time, k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		c.busy = false
		c.due = now.Add(t.timing.Retry)
	}
}

// Rekey moves places to other cells after the pool was divided anew. Cells
// that aren't stale are left alone.
func (t *Table) Rekey(now time.Time, stale func(Key) bool, keyOf func(k Key, target string) Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, old := range t.keys() {
		if !stale(old) {
			continue
		}
		c := t.cells[old]
		for q, p := range c.holds {
			k := keyOf(old, p.Target)
			delete(c.holds, q)
			p.knownTo = cell.Holder{}
			moved := t.cell(now, k, cell.Holder{})
			moved.holds[q] = p
			moved.due = now
		}
	}
}

func (t *Table) cell(now time.Time, k Key, owner cell.Holder) *tableCell {
	c, ok := t.cells[k]
	if !ok {
		c = &tableCell{
			holds: make(map[uint64]*place), pending: make(map[uint64]struct{}),
			synced: owner, due: now.Add(t.timing.Interval),
		}
		t.cells[k] = c
	}
	return c
}

func (t *Table) keys() []Key {
	out := make([]Key, 0, len(t.cells))
	for k := range t.cells {
		out = append(out, k)
	}
	return out
}
