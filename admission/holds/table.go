package holds

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// Timing configures how often a node reports its places to owners.
type Timing struct {
	Interval time.Duration // between two resyncs of a cell
	Retry    time.Duration // after a failed resync
	Report   time.Duration // until a place that no owner granted is reported to the owner
}

// Table has the places that one node holds. It is safe for concurrent use.
type Table struct {
	self   From
	timing Timing

	mu    sync.Mutex
	next  uint64
	cells map[CellKey]*tableCell
}

type tableCell struct {
	places     map[uint64]*place
	pending    map[uint64]struct{}
	lastOwner  cell.Holder // owner that the last resync was due to
	nextResync time.Time
	resyncing  bool
}

type place struct {
	Place
	recordedBy cell.Holder
}

// DueResync is a cell whose places must be reported to its owner now.
type DueResync struct {
	Key     CellKey
	Owner   cell.Holder
	Changed bool // the owner has changed since the last resync
}

// NewTable returns an empty table of the given run of a node.
func NewTable(self From, timing Timing) *Table {
	return &Table{self: self, timing: timing, cells: make(map[CellKey]*tableCell)}
}

// Begin records an ask to the owner and returns its sequence number.
func (t *Table) Begin(now time.Time, k CellKey, owner cell.Holder) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	t.next++
	c.pending[t.next] = struct{}{}
	return t.next
}

// Grant turns a pending ask into a place that the owner has recorded.
func (t *Table) Grant(now time.Time, k CellKey, owner cell.Holder, d Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	delete(c.pending, d.Seq)
	c.places[d.Seq] = &place{Place: d, recordedBy: owner}
}

// GiveUp cancels a pending ask. The caller should send the owner a release of it.
func (t *Table) GiveUp(k CellKey, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		delete(c.pending, seq)
	}
}

// AddUngranted records a place that no owner granted and returns its sequence number.
func (t *Table) AddUngranted(now time.Time, k CellKey, owner cell.Holder, d Place) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cell(now, k, owner)
	t.next++
	d.Seq = t.next
	c.places[d.Seq] = &place{Place: d}
	if soon := now.Add(t.timing.Report); soon.Before(c.nextResync) {
		c.nextResync = soon
	}
	return d.Seq
}

// Release ends a place. It returns the cell that the place is counted in.
func (t *Table) Release(k CellKey, seq uint64) CellKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		if _, held := c.places[seq]; held {
			delete(c.places, seq)
			return k
		}
	}
	for moved, c := range t.cells {
		if _, held := c.places[seq]; held {
			delete(c.places, seq)
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
		n += len(c.places)
	}
	return n
}

// DueResyncs returns the cells to report now, because their owner changed or the interval
// has passed. Each must be passed to BuildResync, then to ResyncAnswered or ResyncFailed.
func (t *Table) DueResyncs(now time.Time, ownerOf func(CellKey) (cell.Holder, bool)) []DueResync {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []DueResync
	for k, c := range t.cells {
		owner, ok := ownerOf(k)
		if !ok || c.resyncing {
			continue
		}
		changed := owner != c.lastOwner
		if changed {
			c.lastOwner, c.nextResync = owner, now
		}
		if now.Before(c.nextResync) {
			continue
		}
		c.resyncing = true
		out = append(out, DueResync{Key: k, Owner: owner, Changed: changed})
	}
	return out
}

// BuildResync returns the resync of a cell for an owner. Places that the owner has recorded
// are listed by number only; the zero owner has recorded none.
func (t *Table) BuildResync(k CellKey, owner cell.Holder) Resync {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	m := Resync{From: t.self, CellKey: k, At: t.next}
	c, ok := t.cells[k]
	if !ok {
		return m
	}
	for q, p := range c.places {
		if p.recordedBy == owner && owner != (cell.Holder{}) {
			m.Held = append(m.Held, q)
		} else {
			m.Details = append(m.Details, p.Place)
		}
	}
	for q := range c.pending {
		m.Pending = append(m.Pending, q)
	}
	slices.Sort(m.Held)
	slices.Sort(m.Pending)
	return m
}

// ResyncAnswered records the owner's answer to a resync. The cell is due again at once if
// the owner lacks places, and is removed after an answered resync that was empty, if it is
// still empty. An answer that the node isn't the owner counts, too: a cell of another number
// of cells, or of a pool that has no owners any more, never gets another one. An owner that
// missed the last release drops the place when this node is silent.
func (t *Table) ResyncAnswered(now time.Time, owner cell.Holder, m Resync, r ResyncReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.cells[m.CellKey]
	if !ok {
		return
	}
	c.resyncing = false
	c.nextResync = now.Add(t.timing.Interval)
	wasEmpty := len(m.Held)+len(m.Details)+len(m.Pending) == 0
	if wasEmpty && len(c.places)+len(c.pending) == 0 {
		delete(t.cells, m.CellKey)
		return
	}
	if r.NotOwner {
		c.nextResync = now.Add(t.timing.Retry)
		return
	}
	for _, d := range m.Details {
		if p, held := c.places[d.Seq]; held {
			p.recordedBy = owner
		}
	}
	for _, q := range r.Missing {
		if p, held := c.places[q]; held {
			p.recordedBy = cell.Holder{}
			c.nextResync = now
		}
	}
}

// ResyncFailed records that a resync got no answer.
func (t *Table) ResyncFailed(now time.Time, k CellKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.cells[k]; ok {
		c.resyncing = false
		c.nextResync = now.Add(t.timing.Retry)
	}
}

// Rekey moves places to other cells after the number of the pool's cells has changed. Cells
// for which stale returns false are left unchanged.
func (t *Table) Rekey(now time.Time, stale func(CellKey) bool, keyOf func(k CellKey, target string) CellKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, old := range t.keys() {
		if !stale(old) {
			continue
		}
		c := t.cells[old]
		for q, p := range c.places {
			k := keyOf(old, p.Target)
			delete(c.places, q)
			p.recordedBy = cell.Holder{}
			moved := t.cell(now, k, cell.Holder{})
			moved.places[q] = p
			moved.nextResync = now
		}
	}
}

func (t *Table) cell(now time.Time, k CellKey, owner cell.Holder) *tableCell {
	c, ok := t.cells[k]
	if !ok {
		c = &tableCell{
			places: make(map[uint64]*place), pending: make(map[uint64]struct{}),
			lastOwner: owner, nextResync: now.Add(t.timing.Interval),
		}
		t.cells[k] = c
	}
	return c
}

func (t *Table) keys() []CellKey {
	out := make([]CellKey, 0, len(t.cells))
	for k := range t.cells {
		out = append(out, k)
	}
	return out
}
