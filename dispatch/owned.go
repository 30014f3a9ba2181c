package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

const (
	// maxPause is the time without a tick after which an owner relies on its counts no longer: the
	// other nodes take over from an owner that is silent for about as long.
	maxPause = 300 * time.Millisecond
	// minPatience is the shortest time after which a request is removed, or its place released,
	// since its node hasn't repeated the ask: several round trips.
	minPatience = 50 * time.Millisecond
	// minTimer bounds how often a cell's queue is settled by its timer.
	minTimer = time.Millisecond
)

// cellConfig is the configuration of an owned cell.
func cellConfig() cell.Config {
	q := cell.DefaultQueueConfig()
	return cell.Config{MaxInFlight: 1, MaxChats: 1, MaxPause: maxPause, Queue: &q}
}

// record is the record of an owned cell; see holds.Owner.
type record interface {
	Acquire(now time.Time, m holds.Acquire) holds.Reply
	ReleaseWithResults(now time.Time, from cell.Holder, e holds.EndedPlaces) []cell.Suspension
	Resync(now time.Time, m holds.Resync) holds.ResyncReply
	Settle(now time.Time) []holds.Settled
	NextDeadline() (time.Time, bool)
	SetShare(fraction float64)
	SetTargets(targets []cell.Target)
	Takeover(holders []cell.Holder)
	EndWait(h cell.Holder)
	EndTakeover()
	Waiting() []cell.Holder
	Tick(now time.Time)
	Expire(before time.Time, dead func(cell.Holder) bool)
	Targets() []holds.TargetLoad
	Places() int
	SuspendedTargets() int
}

// waiterKey identifies a request in the queue of a cell.
type waiterKey struct {
	holder cell.Holder
	seq    uint64
}

// waiter is a request in the queue.
type waiter struct {
	// decided gets the decision; nil while no call of the request is held.
	decided chan holds.Reply
	// idleSince is when the last call was answered with Waiting; the request is removed when the
	// node doesn't repeat it within patience.
	idleSince time.Time
	patience  time.Duration
}

// unclaimed is a decision that was made while no call of its request was held.
type unclaimed struct {
	reply holds.Reply
	until time.Time // when it is dropped, and the place released
}

// ownedCell is one owned cell. mu guards all its fields.
type ownedCell struct {
	key     holds.CellKey
	metrics *metrics
	now     func() time.Time

	mu        sync.Mutex
	closed    *holds.Reply // the answer to further asks; nil while the cell is owned
	record    record
	takeover  *takeover // nil if none is in progress
	lastTick  time.Time
	waiters   map[waiterKey]*waiter
	unclaimed map[waiterKey]unclaimed
	timer     *time.Timer
	targets   []cell.Target
	outside   outsideCounts
	// rivals is the number of other nodes that claim the cell.
	rivals      int
	share       float64
	nextClaim   time.Time
	nextExpiry  time.Time
	bySuccessor bool // owned since the nodes before this one are silent
}

func newOwnedCell(k holds.CellKey, m *metrics, now func() time.Time, r record) *ownedCell {
	return &ownedCell{
		key: k, metrics: m, now: now, record: r, lastTick: now(), share: 1, outside: make(outsideCounts),
		waiters: make(map[waiterKey]*waiter), unclaimed: make(map[waiterKey]unclaimed),
	}
}

// recovering reports whether too few nodes have reported their places to grant any. The lock must
// be held.
func (c *ownedCell) recovering() bool { return c.takeover != nil && !c.takeover.granting }

var recoveringReply = holds.Reply{Code: holds.Full, Reason: cell.ReasonRecovering}

// acquire decides an ask, or holds it for at most the given time while the request waits.
func (c *ownedCell) acquire(ctx context.Context, m holds.Acquire, hold time.Duration) holds.Reply {
	id := waiterKey{m.Holder(), m.Seq}
	c.mu.Lock()
	reply, w := c.decide(c.now(), id, m, hold)
	c.mu.Unlock()
	if w == nil {
		return reply
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case reply = <-w:
		return reply
	case <-t.C:
	case <-ctx.Done(): // the node gave up or its connection broke
		e := holds.EndedPlaces{CellKey: c.key}
		e.Add(m.Seq, cell.Unknown)
		c.release(c.now(), m.Holder(), e)
		return holds.Reply{Code: holds.Stale}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case reply = <-w:
		return reply
	default:
	}
	if held := c.waiters[id]; held != nil && held.decided == w {
		held.decided, held.idleSince = nil, c.now()
	}
	return holds.Reply{Code: holds.Waiting}
}

// decide returns the reply to an ask, or a channel for the decision if the request waits.
func (c *ownedCell) decide(now time.Time, id waiterKey, m holds.Acquire, hold time.Duration) (holds.Reply, <-chan holds.Reply) {
	if c.closed != nil {
		return *c.closed, nil
	}
	if c.recovering() || now.Sub(c.lastTick) > maxPause {
		return recoveringReply, nil
	}
	if u, ok := c.unclaimed[id]; ok {
		delete(c.unclaimed, id)
		return u.reply, nil
	}
	old := c.waiters[id]
	reply := c.record.Acquire(now, m)
	if reply.Code != holds.Waiting {
		delete(c.waiters, id)
		c.count(reply)
		c.settle(now)
		return reply, nil
	}
	if old != nil && old.decided != nil { // a duplicate of the ask takes over from the first
		old.decided <- reply
	}
	w := &waiter{decided: make(chan holds.Reply, 1), patience: max(2*hold, minPatience)}
	c.waiters[id] = w
	c.settle(now)
	return reply, w.decided
}

// settle passes the decisions on waiting requests to the held calls. The lock must be held.
func (c *ownedCell) settle(now time.Time) {
	for _, st := range c.record.Settle(now) {
		c.count(st.Reply)
		c.metrics.queueWait.Observe(float64(st.Reply.WaitedMS) / 1000)
		id := waiterKey{st.Holder, st.Seq}
		w := c.waiters[id]
		delete(c.waiters, id)
		if w != nil && w.decided != nil {
			w.decided <- st.Reply
			continue
		}
		patience := minPatience
		if w != nil {
			patience = w.patience
		}
		c.unclaimed[id] = unclaimed{st.Reply, now.Add(patience)}
	}
	c.setTimer(now)
}

// setTimer settles the queue again when the next waiting request must be refused.
func (c *ownedCell) setTimer(now time.Time) {
	at, ok := c.record.NextDeadline()
	if !ok || c.closed != nil {
		return
	}
	d := max(at.Sub(now), minTimer)
	if c.timer == nil {
		c.timer = time.AfterFunc(d, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.closed == nil {
				c.settleUnlessRecovering(c.now())
			}
		})
		return
	}
	c.timer.Reset(d)
}

func (c *ownedCell) count(r holds.Reply) {
	switch r.Code {
	case holds.Granted:
		c.metrics.grants.Inc()
	case holds.Refused, holds.Full:
		c.metrics.refusals.WithLabelValues(r.Reason.String()).Inc()
	}
}

// release ends places and passes on the places that become free.
func (c *ownedCell) release(now time.Time, from cell.Holder, e holds.EndedPlaces) []cell.Suspension {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return nil
	}
	out := c.record.ReleaseWithResults(now, from, e)
	for _, q := range e.Seqs {
		id := waiterKey{from, q}
		delete(c.unclaimed, id)
		if w := c.waiters[id]; w != nil {
			delete(c.waiters, id)
			if w.decided != nil {
				w.decided <- holds.Reply{Code: holds.Stale}
			}
		}
	}
	c.settleUnlessRecovering(now)
	return out
}

func (c *ownedCell) settleUnlessRecovering(now time.Time) {
	if !c.recovering() {
		c.settle(now)
	}
}

// dropAbandoned removes the requests whose node doesn't repeat its ask, and the places of decisions
// that no call fetched. The lock must be held.
func (c *ownedCell) dropAbandoned(now time.Time) {
	for id, w := range c.waiters {
		if w.decided == nil && now.Sub(w.idleSince) > w.patience {
			delete(c.waiters, id)
			c.releaseUnknown(now, id)
		}
	}
	for id, u := range c.unclaimed {
		if now.After(u.until) {
			delete(c.unclaimed, id)
			c.releaseUnknown(now, id)
		}
	}
}

func (c *ownedCell) releaseUnknown(now time.Time, id waiterKey) {
	e := holds.EndedPlaces{CellKey: c.key}
	e.Add(id.seq, cell.Unknown)
	c.record.ReleaseWithResults(now, id.holder, e)
}

// close ends the ownership: held calls and later asks get the reply.
func (c *ownedCell) close(reply holds.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return
	}
	c.closed = &reply
	if c.timer != nil {
		c.timer.Stop()
	}
	for _, w := range c.waiters {
		if w.decided != nil {
			w.decided <- reply
		}
	}
	clear(c.waiters)
}

// ownedCells holds the cells that this node owns and those for which it may be the successor.
type ownedCells struct {
	mu          sync.Mutex
	cells       map[holds.CellKey]*ownedCell
	successions map[holds.CellKey]*succession
}

func newOwnedCells() *ownedCells {
	return &ownedCells{cells: make(map[holds.CellKey]*ownedCell), successions: make(map[holds.CellKey]*succession)}
}

func (o *ownedCells) get(k holds.CellKey) *ownedCell {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cells[k]
}

func (o *ownedCells) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.cells)
}

func (o *ownedCells) all() []*ownedCell {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*ownedCell, 0, len(o.cells))
	for _, c := range o.cells {
		out = append(out, c)
	}
	return out
}

func (o *ownedCells) sum(f func(*ownedCell) int) int {
	n := 0
	for _, c := range o.all() {
		c.mu.Lock()
		n += f(c)
		c.mu.Unlock()
	}
	return n
}

// remove closes a cell and forgets it.
func (o *ownedCells) remove(c *ownedCell, reply holds.Reply) {
	o.mu.Lock()
	if o.cells[c.key] == c {
		delete(o.cells, c.key)
	}
	o.mu.Unlock()
	c.close(reply)
}
