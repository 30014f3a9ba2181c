// Package cell is the state machine of an admission owner. A pool of targets
// is divided into cells; the owner of a cell counts every request in flight
// on the cell's targets and places new ones so that none exceeds its bound.
// The package is pure: the clock is passed in and nothing is sent.
package cell

import (
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Of returns the cell of a target in a pool of that many cells.
func Of(target string, cells int) int {
	return int(routing.Hash(target) % uint64(max(cells, 1)))
}

// Cell is the owner's state for one cell. It isn't safe for concurrent use.
type Cell struct {
	cfg    Config
	slots  []slot
	index  map[string]int // target ID to its slot
	own    Totals
	others Totals
	holds  map[Holder]map[string]Hold
	shares shares
	memory *Memory
	trust  trust
	trend  trend
	// health has the targets that failed of late; suspended is the capacity of
	// those that are suspended, and trials numbers their trials.
	health    map[string]*health
	suspended int
	trials    uint64
}

// slot is a target and the number of requests in flight on it. A target that
// is gone keeps its slot while it has any.
type slot struct {
	id       string
	key      uint64
	count    int
	capacity int
	listed   bool // and not leaving
	usable   bool // listed and not suspended
	// incarnation is the run of the target's process.
	incarnation int64
}

// New returns a cell without targets.
func New(cfg Config) *Cell {
	cfg = withDefaults(cfg)
	return &Cell{
		cfg:    cfg,
		index:  make(map[string]int),
		holds:  make(map[Holder]map[string]Hold),
		shares: newShares(),
		memory: NewMemory(cfg.Memory),
		health: make(map[string]*health),
	}
}

// Configure changes the pool's settings.
func (c *Cell) Configure(cfg Config) {
	cfg = withDefaults(cfg)
	if cfg.Memory != c.cfg.Memory {
		c.memory.resize(cfg.Memory)
	}
	c.cfg = cfg
}

func withDefaults(cfg Config) Config {
	cfg.NewFactor = orDefault(cfg.NewFactor, DefaultNewFactor)
	cfg.Reserve = max(orDefault(cfg.Reserve, DefaultReserve), 0)
	cfg.Memory = orDefault(cfg.Memory, DefaultMemory)
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

// SetTargets replaces the cell's targets. Requests on targets that are gone
// stay counted until released.
func (c *Cell) SetTargets(targets []Target) {
	old := c.slots
	c.slots = make([]slot, 0, len(targets))
	c.index = make(map[string]int, len(targets))
	for _, t := range targets {
		c.addSlot(slot{
			id: t.ID, capacity: max(t.Capacity, 1), listed: !t.Leaving, usable: !t.Leaving, incarnation: t.Incarnation,
		})
	}
	for _, s := range old {
		if s.count == 0 {
			continue
		}
		i, ok := c.index[s.id]
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
	c.keepHealth()
}

func (c *Cell) addSlot(s slot) int {
	s.key = routing.Key(routing.Hash(s.id))
	c.slots = append(c.slots, s)
	c.index[s.id] = len(c.slots) - 1
	return len(c.slots) - 1
}

// SetOthers sets the load of the pool's other cells, as their owners last
// reported it.
func (c *Cell) SetOthers(t Totals) { c.others = t }

// Memory returns the cell's memory of chats. A new owner merges the memories
// of the previous owner, if it can, and of the entry nodes.
func (c *Cell) Memory() *Memory { return c.memory }

// Totals returns the load of this cell's usable targets. During a takeover
// the requests of holders that haven't been heard are estimated; before half
// of them are heard there is nothing to tell other owners (see Recovering).
func (c *Cell) Totals() Totals {
	return Totals{InFlight: c.trust.scale(c.own.InFlight), Capacity: c.own.Capacity}
}

// Acquire decides an Ask and counts the place if granted. An Ask that is
// repeated with the same holder and request gets the same place.
func (c *Cell) Acquire(now time.Time, a Ask) Verdict {
	if h, ok := c.holds[a.Holder][a.Request]; ok && !slices.Contains(a.Exclude, h.Target) {
		return Verdict{Outcome: Granted, Target: h.Target}
	}
	if v := c.admit(now, a); v.Outcome != Granted {
		return v
	}
	c.trend.observe(now, c.Totals().InFlight+c.others.InFlight)
	i := c.place(now, a)
	if i < 0 {
		return c.full(now, a)
	}
	c.shares.setWeight(a.Workspace, a.Weight)
	return c.grant(now, a, &c.slots[i])
}

func (c *Cell) grant(now time.Time, a Ask, s *slot) Verdict {
	hold := Hold{Request: a.Request, Target: s.id, Workspace: a.Workspace, Chat: a.Chat}
	hold.granted, hold.incarnation = true, s.incarnation
	if !s.usable {
		hold.trial = c.beginTrial(s.id)
	}
	c.add(a.Holder, hold)
	c.memory.Put(now, a.Chat, s.id)
	return Verdict{Outcome: Granted, Target: s.id}
}

func (c *Cell) full(now time.Time, a Ask) Verdict {
	v := Verdict{Outcome: Full, Reason: ReasonSaturated, RetryAfter: retryAfter(now, a)}
	if !slices.ContainsFunc(c.slots, func(s slot) bool { return s.usable && !slices.Contains(a.Exclude, s.id) }) {
		v.Reason = ReasonNoTarget
	}
	return v
}

// Release ends a place; releasing an unknown one does nothing.
func (c *Cell) Release(h Holder, request string) {
	hold, ok := c.holds[h][request]
	if !ok {
		return
	}
	delete(c.holds[h], request)
	c.remove(hold)
}

// Resync replaces all that a holder has by what it says it has. It rebuilds
// the count after a change of owner and heals lost releases. The list must be
// the holder's newest and include the places whose answers are under way.
func (c *Cell) Resync(h Holder, holds []Hold) {
	keep := make(map[string]bool, len(holds))
	for _, hold := range holds {
		keep[hold.Request] = true
		c.add(h, hold)
	}
	for request := range c.holder(h) {
		if !keep[request] {
			c.Release(h, request)
		}
	}
	c.trust.hear(h)
}

// Forget drops all places of a holder, for example of a node that died.
func (c *Cell) Forget(h Holder) {
	for _, hold := range c.holds[h] {
		c.remove(hold)
	}
	delete(c.holds, h)
	c.trust.drop(h)
}

// Holders returns the holders that have a place or have had one.
func (c *Cell) Holders() []Holder {
	out := make([]Holder, 0, len(c.holds))
	for h := range c.holds {
		out = append(out, h)
	}
	return out
}

func (c *Cell) holder(h Holder) map[string]Hold {
	m := c.holds[h]
	if m == nil {
		m = make(map[string]Hold)
		c.holds[h] = m
	}
	return m
}

func (c *Cell) add(h Holder, place Hold) {
	m := c.holder(h)
	old, ok := m[place.Request]
	switch {
	case ok && old.Target == place.Target && !place.granted:
		place.ownRecord = old.ownRecord
		c.uncount(old)
	case ok:
		c.remove(old)
	}
	m[place.Request] = place
	c.count(place.Target, 1)
	c.shares.add(place.Workspace, 1)
	if _, known := c.memory.Get(place.Chat); !known {
		c.memory.Put(time.UnixMilli(0), place.Chat, place.Target)
	}
}

func (c *Cell) remove(place Hold) {
	c.endTrial(place)
	c.uncount(place)
}

func (c *Cell) uncount(place Hold) {
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
