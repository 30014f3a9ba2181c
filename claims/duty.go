package claims

import (
	"strconv"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
)

// avoidFor is how long a node that gave no reply is asked last.
const avoidFor = 5 * time.Second

// duties ranks the nodes for each shard by rendezvous hashing. The first is
// the shard's owner; nodes that disagree on it cost conflicts, no more.
type duties struct {
	view membership.Source
	now  func() core.Instant

	mu     sync.Mutex
	ranked *membership.View // the view that ranks was made of
	ranks  [core.Shards][]membership.Node
	avoid  map[string]core.Instant
}

func newDuties(view membership.Source, now func() core.Instant) *duties {
	return &duties{view: view, now: now, avoid: make(map[string]core.Instant)}
}

// pick returns the node to ask for a shard after a number of failed tries;
// ok is false if there is none.
func (d *duties) pick(shard, tries int) (n membership.Node, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	now := d.now()
	for _, n := range d.ranks[shard] {
		if until, bad := d.avoid[n.ID]; bad && now < until {
			continue
		}
		delete(d.avoid, n.ID)
		return n, true
	}
	if len(d.ranks[shard]) == 0 {
		return membership.Node{}, false
	}
	return d.ranks[shard][tries%len(d.ranks[shard])], true
}

// first returns the owner of a shard, whether it was avoided or not.
func (d *duties) first(shard int) (n membership.Node, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	if len(d.ranks[shard]) == 0 {
		return membership.Node{}, false
	}
	return d.ranks[shard][0], true
}

func (d *duties) refresh() {
	if v := d.view.View(); v != d.ranked {
		d.rank(v)
	}
}

// failed notes that a node gave no reply.
func (d *duties) failed(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[id] = d.now() + avoidFor
}

// ranked owners kept for each shard.
const rankedOwners = 4

func (d *duties) rank(v *membership.View) {
	d.ranked = v
	r := newRanking(v, membership.Suspect)
	for shard := range d.ranks {
		d.ranks[shard] = r.top("claims/"+strconv.Itoa(shard), rankedOwners)
	}
}

// alive says whether the run of a node that holds a claim may go on. A node
// that is not in the view may have started a moment ago; those that died stay
// in it for long.
func (d *duties) alive(h core.Holder) bool {
	n, ok := d.view.View().Node(h.Node)
	return !ok || n.State != membership.Dead && n.Incarnation <= h.Incarnation
}
