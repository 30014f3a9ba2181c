package soak

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopies their number: the oldest is some
	// seconds old.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 8
	// maxRewrite is the longest time until what a restored store has lost is written again.
	maxRewrite = 2 * time.Second
)

// storeCopies are copies of the store, oldest first.
type storeCopies struct {
	mu  sync.Mutex
	all []*standin.Snapshot
	// restoring serializes restores.
	restoring sync.Mutex
}

// keepCopies copies the store until done is closed.
func (r *run) keepCopies(done <-chan struct{}) {
	tick := time.NewTicker(copyInterval)
	defer tick.Stop()
	for {
		r.copies.add(r.store.Snapshot())
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
}

func (c *storeCopies) add(s *standin.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	c.all = c.all[max(0, len(c.all)-maxCopies):]
}

// pick returns a copy by a random number.
func (c *storeCopies) pick(n int) *standin.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[n%len(c.all)]
}

// awayModes are how the store fails before it comes back.
var awayModes = []standin.Mode{standin.Reset, standin.Silent, standin.Busy, standin.Serving}

// restoreStore makes the store fail for a moment and come back from a copy. What others than the nodes had written
// since is written again one by one, within maxRewrite.
func (r *run) restoreStore(s Step) {
	r.copies.restoring.Lock()
	defer r.copies.restoring.Unlock()
	defer r.lost.storeFaults.begin()()
	// The operator writes nothing while the store is away.
	r.configMu.Lock()
	r.store.SetMode(awayModes[s.Variant%len(awayModes)])
	time.Sleep(s.For / 4)
	lost := r.store.Restore(r.copies.pick(s.Which))
	r.store.SetMode(standin.Serving)
	r.configMu.Unlock()
	pause := maxRewrite / time.Duration(2*len(lost)+1)
	for _, item := range lost {
		time.Sleep(pause)
		r.store.WriteAgain(item)
		r.leavings.renew(strings.TrimPrefix(item.Key, "servers/"))
		r.configured.renew(item.Key)
	}
}

// leaveInForce is the time within which the nodes must know that a target leaves or has left.
const leaveInForce = 2 * time.Second

// leaving is when it was last acknowledged that a target leaves or has left.
type leaving struct {
	born int64
	at   time.Time
}

// leavings are the targets that leave or have left, by ID.
type leavings struct {
	mu  sync.Mutex
	all map[string]leaving
}

// record records that the store has acknowledged that e leaves or has left.
func (l *leavings) record(e *standin.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[string]leaving)
	}
	l.all[e.ID] = leaving{born: e.Born(), at: time.Now()}
}

// renew records that what the store has lost of a target was written again.
func (l *leavings) renew(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.all[id]; ok {
		t.at = time.Now()
		l.all[id] = t
	}
}

// lapseGrace is how long after an outage of the store a target without an entry is kept: its entry may have
// expired, and is written again within about that time.
const lapseGrace = 2 * time.Second

// checkLeavings checks the requests that reached targets after these had left. A node that was frozen within the
// time excuses it, and a store that was disrupted within lapseGrace before it.
func (r *run) checkLeavings() {
	if r.Profile != Restored {
		return
	}
	for _, a := range r.journal.Arrivals() {
		t, left := r.leavings.all[a.Engine]
		late := a.At.Sub(t.at)
		from := a.At.Add(-leaveInForce)
		if !left || a.Born != t.born || late <= leaveInForce || r.lost.storeFaults.overlaps(from.Add(-lapseGrace), a.At) {
			continue
		}
		if n := r.sender(a.Request); n != nil && n.disrupted.overlaps(from, a.At) {
			continue
		}
		r.checker.broken("request %s reached %s %v after it had left", a.Request, a.Engine, late)
	}
}

// configInForce is the time within which a configuration must be in force on all nodes.
const configInForce = 2 * time.Second

// configuration is when the store last acknowledged a version of the configuration.
type configuration struct {
	version int
	at      time.Time
}

// configurations are the acknowledged versions of the configuration, in order.
type configurations struct {
	mu  sync.Mutex
	all []configuration
}

func (c *configurations) record(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, configuration{version, time.Now()})
}

// renew records that the newest configuration was written again, if the key is the configuration's.
func (c *configurations) renew(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.all); key == "op/config" && n > 0 {
		c.all[n-1].at = time.Now()
	}
}

// inForceLine is a node's log line of a configuration that has come into force.
type inForceLine struct {
	Time    time.Time `json:"time"`
	Msg     string    `json:"msg"`
	Version int       `json:"version"`
}

// checkConfigurations checks that each node had each configuration in force in time. Nodes that were frozen or
// started within that time are excused, and a store that was disrupted.
func (r *run) checkConfigurations() {
	if r.Profile != Restored {
		return
	}
	for _, n := range r.nodes {
		var lines []inForceLine
		for line := range strings.Lines(logs(n)) {
			var l inForceLine
			if strings.Contains(line, `"configuration in force"`) && json.Unmarshal([]byte(line), &l) == nil {
				lines = append(lines, l)
			}
		}
		for _, c := range r.configured.all {
			due := c.at.Add(configInForce)
			if n.disrupted.overlaps(c.at, due) || n.starts.overlaps(c.at, due) || r.lost.storeFaults.overlaps(c.at, due) {
				continue
			}
			if !slices.ContainsFunc(lines, func(l inForceLine) bool { return l.Version >= c.version && !l.Time.After(due) }) {
				r.checker.broken("%s did not have configuration %d in force %v after it was acknowledged", n.name, c.version, configInForce)
			}
		}
	}
}
