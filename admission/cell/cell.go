// Package cell is the state machine of an admission owner. A pool of targets is divided into
// cells; the node that owns a cell counts every request in flight on the cell's targets and
// places new ones so that no target exceeds its bound. Each request in flight holds a place
// on its target. The package is pure: the clock is passed in, and no messages are sent.
package cell

import (
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// IndexOf returns the index of the cell that a target belongs to, in a pool of that many cells.
func IndexOf(target string, cells int) int {
	return int(routing.Hash(target) % uint64(max(cells, 1)))
}

// Cell is the owner's state of one cell. It isn't safe for concurrent use.
type Cell struct {
	cfg         Config
	slots       []slot
	index       map[string]int // target ID to its index in slots
	own         Totals
	others      Totals
	places      map[Holder]map[string]Place
	shares      shares
	lastTargets *LastTargets
	recovery    recovery
	trend       trend
	// health has the targets that failed recently. suspended is the capacity of the suspended
	// ones, and trials is the number of the last trial request to one of them.
	health    map[string]*health
	suspended int
	trials    uint64
	// queue is nil unless Config.Queue is set. settled has the decisions of a queue that was removed.
	queue   *queue
	settled []Settled
	// failures numbers the failed requests of a cell with a queue, where requests have no chats.
	failures uint64
}

// slot is a target and the number of requests in flight on it. A target that is gone keeps
// its slot while requests are in flight on it.
type slot struct {
	id       string
	key      uint64
	count    int
	capacity int
	listed   bool // in the list of targets and not leaving
	usable   bool // listed and not suspended
	// incarnation identifies the run of the target's process.
	incarnation int64
	// The following fields are used by a cell with a queue only; see Target.
	outside       int
	domain        string
	coldUntil     time.Time
	coldPerSecond float64
	nextGrant     time.Time // earliest next grant while the target is cold
}

// New returns a cell without targets.
func New(cfg Config) *Cell {
	cfg = withDefaults(cfg)
	c := &Cell{
		cfg:         cfg,
		index:       make(map[string]int),
		places:      make(map[Holder]map[string]Place),
		shares:      newShares(),
		lastTargets: NewLastTargets(cfg.MaxChats),
		health:      make(map[string]*health),
	}
	c.configureQueue(cfg.Queue)
	return c
}

// Configure changes the pool's settings.
func (c *Cell) Configure(cfg Config) {
	cfg = withDefaults(cfg)
	if cfg.MaxChats != c.cfg.MaxChats {
		c.lastTargets.resize(cfg.MaxChats)
	}
	c.cfg = cfg
	c.configureQueue(cfg.Queue)
}

func withDefaults(cfg Config) Config {
	cfg.NewFactor = orDefault(cfg.NewFactor, DefaultNewFactor)
	cfg.Reserve = max(orDefault(cfg.Reserve, DefaultReserve), 0)
	cfg.MaxChats = orDefault(cfg.MaxChats, DefaultMaxChats)
	cfg.MaxPause = orDefault(cfg.MaxPause, DefaultMaxPause)
	return cfg
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// SetTargets replaces the cell's targets. Requests on targets that are gone stay counted
// until released.
func (c *Cell) SetTargets(targets []Target) {
	old := c.slots
	c.slots = make([]slot, 0, len(targets))
	c.index = make(map[string]int, len(targets))
	for _, t := range targets {
		c.addSlot(slot{
			id: t.ID, capacity: max(t.Capacity, 1), listed: !t.Leaving, usable: !t.Leaving, incarnation: t.Incarnation,
			outside: max(t.Outside, 0), domain: t.Domain, coldUntil: t.ColdUntil, coldPerSecond: t.ColdPerSecond,
		})
	}
	for _, s := range old {
		i, ok := c.index[s.id]
		if ok {
			c.slots[i].nextGrant = s.nextGrant
		}
		if s.count == 0 {
			continue
		}
		if !ok {
			i = c.addSlot(slot{id: s.id, capacity: s.capacity})
		}
		c.slots[i].count = s.count
	}
	c.own = Totals{}
	for _, s := range c.slots {
		if s.usable {
			c.own.Capacity += s.capacity
			c.own.InFlight += s.count
		}
	}
	c.restoreHealth()
	if c.queue != nil {
		c.queue.recheck = true
	}
}

func (c *Cell) addSlot(s slot) int {
	s.key = routing.Key(routing.Hash(s.id))
	c.slots = append(c.slots, s)
	c.index[s.id] = len(c.slots) - 1
	return len(c.slots) - 1
}

// SetOthers sets the load of the pool's other cells, as their owners last reported it.
func (c *Cell) SetOthers(t Totals) { c.others = t }

// LastTargets returns the record of where chats last ran. A new owner merges the records of the
// previous owner, if it is reachable, and of the entry nodes.
func (c *Cell) LastTargets() *LastTargets { return c.lastTargets }

// Totals returns the load of this cell's usable targets. During a takeover the requests of
// holders that haven't reported are estimated. While Recovering, before half of them have
// reported, the result must not be announced to other owners.
func (c *Cell) Totals() Totals {
	return Totals{InFlight: c.recovery.extrapolate(c.own.InFlight), Capacity: c.own.Capacity}
}

// Acquire decides an AcquireRequest and counts the place if granted. It is idempotent: a
// repetition with the same holder and request gets the same place.
func (c *Cell) Acquire(now time.Time, a AcquireRequest) Decision {
	if h, ok := c.places[a.Holder][a.Request]; ok && !slices.Contains(a.Exclude, h.Target) {
		return Decision{Outcome: Granted, Target: h.Target}
	}
	if c.queue != nil {
		return c.acquireQueued(now, a)
	}
	if v := c.admit(now, a); v.Outcome != Granted {
		return v
	}
	c.trend.observe(now, c.Totals().InFlight+c.others.InFlight)
	i := c.place(now, a)
	if i < 0 {
		return c.fullVerdict(now, a)
	}
	c.shares.setWeight(a.Workspace, a.Weight)
	return c.grant(now, a, &c.slots[i])
}

func (c *Cell) grant(now time.Time, a AcquireRequest, s *slot) Decision {
	place := Place{Request: a.Request, Target: s.id, Workspace: a.Workspace, Chat: a.Chat}
	place.granted, place.incarnation = true, s.incarnation
	if !s.usable {
		place.trial = c.beginTrial(s.id)
	}
	if c.queue != nil {
		place.grantedAt = now
	}
	c.add(a.Holder, place)
	if c.queue == nil {
		c.lastTargets.Put(now, a.Chat, s.id)
	}
	return Decision{Outcome: Granted, Target: s.id}
}

func (c *Cell) fullVerdict(now time.Time, a AcquireRequest) Decision {
	v := Decision{Outcome: Full, Reason: ReasonSaturated, RetryAfter: retryAfter(now, a)}
	if !slices.ContainsFunc(c.slots, func(s slot) bool { return s.usable && !slices.Contains(a.Exclude, s.id) }) {
		v.Reason = ReasonNoTarget
	}
	return v
}

// Release ends a place. It does nothing if the place is unknown.
func (c *Cell) Release(h Holder, request string) {
	place, ok := c.places[h][request]
	if !ok {
		return
	}
	delete(c.places[h], request)
	c.remove(place)
}

// Resync replaces all places of a holder by those that it reports. It rebuilds the count
// after a change of owner and repairs lost releases. The list must be the holder's newest
// and include the places whose grants are still on their way to it.
func (c *Cell) Resync(h Holder, places []Place) {
	keep := make(map[string]bool, len(places))
	for _, place := range places {
		keep[place.Request] = true
		c.add(h, place)
	}
	for request := range c.holder(h) {
		if !keep[request] {
			c.Release(h, request)
		}
	}
	c.recovery.markReported(h)
}

// DropHolder drops all places of a holder, for example of a dead node.
func (c *Cell) DropHolder(h Holder) {
	for _, place := range c.places[h] {
		c.remove(place)
	}
	delete(c.places, h)
	c.cancelHolder(h)
	c.recovery.stopWaiting(h)
}

// Holders returns the holders that have a place or have had one.
func (c *Cell) Holders() []Holder {
	out := make([]Holder, 0, len(c.places))
	for h := range c.places {
		out = append(out, h)
	}
	return out
}

func (c *Cell) holder(h Holder) map[string]Place {
	m := c.places[h]
	if m == nil {
		m = make(map[string]Place)
		c.places[h] = m
	}
	return m
}

func (c *Cell) add(h Holder, place Place) {
	m := c.holder(h)
	old, ok := m[place.Request]
	switch {
	case ok && old.Target == place.Target && !place.granted:
		place.grantRecord = old.grantRecord
		c.uncount(old)
	case ok:
		c.remove(old)
	}
	m[place.Request] = place
	c.count(place.Target, 1)
	c.shares.add(place.Workspace, 1)
	if _, known := c.lastTargets.Get(place.Chat); !known {
		c.lastTargets.Put(time.UnixMilli(0), place.Chat, place.Target)
	}
}

func (c *Cell) remove(place Place) {
	c.endTrial(place)
	c.uncount(place)
}

func (c *Cell) uncount(place Place) {
	c.count(place.Target, -1)
	c.shares.add(place.Workspace, -1)
}

func (c *Cell) count(target string, n int) {
	i, ok := c.index[target]
	if !ok {
		i = c.addSlot(slot{id: target, capacity: 1})
	}
	c.slots[i].count += n
	if c.slots[i].usable {
		c.own.InFlight += n
	}
}
