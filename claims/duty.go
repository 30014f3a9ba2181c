package claims

import (
	"strconv"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
)

// avoidDuration is how long a node is asked last after a failed call to it.
const avoidDuration = 5 * time.Second

// ownerSelector ranks the nodes for each shard by rendezvous hashing. The first is the
// shard's primary owner. Nodes with different membership views may rank differently; this
// only leads to conflicting transactions, which the store rejects.
type ownerSelector struct {
	view membership.Source
	now  func() core.Instant

	mu         sync.Mutex
	rankedView *membership.View // the view from which ranks was computed
	ranks      [core.Shards][]membership.Node
	avoidUntil map[string]core.Instant
}

func newOwnerSelector(view membership.Source, now func() core.Instant) *ownerSelector {
	return &ownerSelector{view: view, now: now, avoidUntil: make(map[string]core.Instant)}
}

// pick returns the node to ask for a shard after the given number of failed tries: the
// first in the ranking whose last call did not fail within avoidDuration, or, if there is
// none, the next in turn. ok is false if the view has no usable node.
func (o *ownerSelector) pick(shard, tries int) (n membership.Node, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	now := o.now()
	for _, n := range o.ranks[shard] {
		if until, avoided := o.avoidUntil[n.ID]; avoided && now < until {
			continue
		}
		delete(o.avoidUntil, n.ID)
		return n, true
	}
	if len(o.ranks[shard]) == 0 {
		return membership.Node{}, false
	}
	return o.ranks[shard][tries%len(o.ranks[shard])], true
}

// primary returns the primary owner of a shard, even if pick avoids it; ok is false if
// the view has no usable node.
func (o *ownerSelector) primary(shard int) (n membership.Node, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	if len(o.ranks[shard]) == 0 {
		return membership.Node{}, false
	}
	return o.ranks[shard][0], true
}

func (o *ownerSelector) refresh() {
	if v := o.view.View(); v != o.rankedView {
		o.rank(v)
	}
}

// markFailed makes pick avoid a node for avoidDuration.
func (o *ownerSelector) markFailed(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoidUntil[id] = o.now() + avoidDuration
}

// rankedOwners is the number of nodes ranked for each shard.
const rankedOwners = 4

func (o *ownerSelector) rank(v *membership.View) {
	o.rankedView = v
	r := newRanking(v, membership.Suspect)
	for shard := range o.ranks {
		o.ranks[shard] = r.top("claims/"+strconv.Itoa(shard), rankedOwners)
	}
}

// alive reports whether the node process that holds a claim may still be running. It
// returns true for a node that is not in the view: it may have started just now, and
// dead nodes stay in the view for a long time.
func (o *ownerSelector) alive(h core.Holder) bool {
	n, ok := o.view.View().Node(h.Node)
	return !ok || n.State != membership.Dead && n.Incarnation <= h.Incarnation
}
