// Package cell is the state machine of an admission owner. A pool of targets
// is divided into cells; the owner of a cell counts every request in flight
// on the cell's targets and places new ones so that none exceeds its bound.
// The package is pure: the clock is passed in and nothing is sent.
package cell

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Of returns the cell of a target in a pool of that many cells.
func Of(target string, cells int) int {
	return int(routing.Hash(target) % uint64(max(cells, 1)))
}

// Target is a target of the cell.
type Target struct {
	ID       string
	Capacity int // relative to other targets; at least 1
	Leaving  bool
}

// Config is what the pool's settings say.
type Config struct {
	LoadFactor  float64 // c; the bound is ceil(c × mean × capacity)
	MaxInFlight int     // most requests a target of capacity 1 may run
}

// Totals is the load of a set of targets.
type Totals struct {
	InFlight int
	Capacity int // sum over the targets that aren't leaving
}

// Holder names one run of a node; a node that restarts is another holder.
type Holder struct {
	Node        string
	Incarnation int64
}

// Ask asks for a place.
type Ask struct {
	Holder    Holder
	Request   string
	Chat      uint64
	Workspace string
	Weight    float64
	Urgency   int // RFC 9218: 0 highest to 7 lowest
	Exclude   []string
}

// Outcome is the kind of a Verdict.
type Outcome int

// The outcomes of an Ask.
const (
	Granted Outcome = iota
	// Full means that no target of the cell is under its bound: ask the
	// owner of another cell.
	Full
	// Refused means that the caller is to be refused, whatever other cells say.
	Refused
)

// Verdict answers an Ask.
type Verdict struct {
	Outcome    Outcome
	Target     string
	RetryAfter time.Duration
}

// Hold is one place that a holder says it has.
type Hold struct {
	Request   string
	Target    string
	Workspace string
	Chat      uint64
}

// Cell is the owner's state for one cell.
type Cell struct {
	cfg     Config
	targets []Target
	hashes  []uint64
	others  Totals
	counts  map[string]int
	holds   map[Holder]map[string]Hold
}

// New returns a cell without targets.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg, counts: make(map[string]int), holds: make(map[Holder]map[string]Hold)}
}

// Configure changes the pool's settings.
func (c *Cell) Configure(cfg Config) { c.cfg = cfg }

// SetTargets replaces the cell's targets. Requests on targets that are gone
// stay counted until released.
func (c *Cell) SetTargets(targets []Target) {
	c.targets = slices.Clone(targets)
	c.hashes = make([]uint64, len(targets))
	for i, t := range targets {
		c.hashes[i] = routing.Hash(t.ID)
	}
}

// SetOthers sets the load of the pool's other cells, as their owners last
// reported it.
func (c *Cell) SetOthers(t Totals) { c.others = t }

// Totals returns the load of this cell.
func (c *Cell) Totals() Totals {
	var t Totals
	for _, tg := range c.targets {
		if !tg.Leaving {
			t.Capacity += tg.Capacity
			t.InFlight += c.counts[tg.ID]
		}
	}
	return t
}

// Acquire decides an Ask and counts the place if granted. An Ask that is
// repeated with the same holder and request gets the same place.
func (c *Cell) Acquire(_ time.Time, a Ask) Verdict {
	if h, ok := c.holds[a.Holder][a.Request]; ok && !slices.Contains(a.Exclude, h.Target) {
		return Verdict{Outcome: Granted, Target: h.Target}
	}
	for _, i := range routing.Top(nil, a.Chat, c.hashes, len(c.hashes)) {
		t := c.targets[i]
		if t.Leaving || slices.Contains(a.Exclude, t.ID) || c.counts[t.ID] >= c.limit(t) {
			continue
		}
		c.add(a.Holder, Hold{Request: a.Request, Target: t.ID, Workspace: a.Workspace, Chat: a.Chat})
		return Verdict{Outcome: Granted, Target: t.ID}
	}
	return Verdict{Outcome: Full, RetryAfter: time.Second}
}

// limit is ceil(c × mean × capacity); the mean is that of the whole pool with
// the request to be placed.
func (c *Cell) limit(t Target) int {
	own := c.Totals()
	mean := float64(own.InFlight+c.others.InFlight+1) / float64(max(own.Capacity+c.others.Capacity, 1))
	bound := int(math.Ceil(c.cfg.LoadFactor * mean * float64(t.Capacity)))
	return min(bound, c.cfg.MaxInFlight*t.Capacity)
}

// Release ends a place; releasing an unknown one does nothing.
func (c *Cell) Release(h Holder, request string) {
	hold, ok := c.holds[h][request]
	if !ok {
		return
	}
	delete(c.holds[h], request)
	c.counts[hold.Target]--
}

// Resync replaces all that a holder has by what it says it has. It rebuilds
// the count after a change of owner and heals lost releases.
func (c *Cell) Resync(h Holder, holds []Hold) {
	c.Forget(h)
	for _, hold := range holds {
		c.add(h, hold)
	}
}

// Forget drops all places of a holder, for example of a node that died.
func (c *Cell) Forget(h Holder) {
	for _, hold := range c.holds[h] {
		c.counts[hold.Target]--
	}
	delete(c.holds, h)
}

// Holders returns the holders that have a place or have had one.
func (c *Cell) Holders() []Holder {
	out := make([]Holder, 0, len(c.holds))
	for h := range c.holds {
		out = append(out, h)
	}
	return out
}

func (c *Cell) add(h Holder, hold Hold) {
	if c.holds[h] == nil {
		c.holds[h] = make(map[string]Hold)
	}
	if old, ok := c.holds[h][hold.Request]; ok {
		c.counts[old.Target]--
	}
	c.holds[h][hold.Request] = hold
	c.counts[hold.Target]++
}
