package holds

import (
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// unheard stands for the places of nodes that a new owner hasn't heard from.
// The name can't be that of a node.
var unheard = cell.Holder{Node: "\x00unheard"}

// takeover is the time in which a new owner doesn't know every place yet.
type takeover struct {
	active  bool
	until   time.Time
	waiting map[string]struct{}
}

func (t *takeover) heard(node string) { delete(t.waiting, node) }

// Reported gives the number of requests in flight that a target last
// reported; 0 if it isn't known.
type Reported func(target string) int

// BeginTakeover starts a takeover that ends once every node was heard, at the
// latest at until.
func (o *Owner) BeginTakeover(until time.Time, nodes []string) {
	o.takeover = takeover{active: true, until: until, waiting: make(map[string]struct{}, len(nodes))}
	for _, n := range nodes {
		o.takeover.waiting[n] = struct{}{}
	}
}

// InTakeover says whether a takeover goes on.
func (o *Owner) InTakeover() bool { return o.takeover.active }

// AdvanceTakeover counts what targets report beyond the known places, or ends
// the takeover if its time has come. Call it before Acquire.
func (o *Owner) AdvanceTakeover(now time.Time, reported Reported) {
	if !o.takeover.active {
		return
	}
	if len(o.takeover.waiting) == 0 || !now.Before(o.takeover.until) {
		o.takeover = takeover{}
		o.cell.Forget(unheard)
		return
	}
	known := o.knownByTarget()
	var extra []cell.Hold
	for _, t := range o.targets {
		for i := known[t.ID]; i < reported(t.ID); i++ {
			extra = append(extra, cell.Hold{Request: t.ID + "#" + strconv.Itoa(i), Target: t.ID})
		}
	}
	o.cell.Resync(unheard, extra)
}

func (o *Owner) knownByTarget() map[string]int {
	known := make(map[string]int, len(o.targets))
	for _, h := range o.holders {
		for _, hold := range h.holds {
			known[hold.Target]++
		}
	}
	return known
}
