package claims

import "time"

// point is a step in the processing of a request at which a fault can be injected.
type point int

const (
	pointAsk       point = iota // before the owner is asked
	pointCommit                 // before the owner sends its transaction to the store
	pointCommitted              // the owner has received the transaction's result
	pointGrant                  // the entry node has been granted the claim
	pointValid                  // the entry node has found the ticket valid and sends next
	pointSent                   // before the request is sent to a target
	pointRun                    // a target has run it
	pointAnswer                 // the target's answer, or its loss, reaches the entry node
	pointCount
)

// fault is a kind of fault.
type fault int

const (
	faultNone fault = iota
	faultKillEntry
	faultFreezeEntry10
	faultFreezeEntry60
	faultKillOwner
	faultPauseOwner10
	faultPauseOwner60
	faultStoreOut
	faultStoreSlow
	faultStoreLossy
	faultTwoViews
	faultCutEntry
	faultCutOwner
	faultResponseLost
	faultTwoNodes
	faultCount
)

var faultNames = [faultCount]string{
	"none", "entry killed", "entry frozen 10 s", "entry frozen 60 s", "owner killed", "owner paused 10 s",
	"owner paused 60 s", "store out", "store slow", "store loses answers", "two views", "entry cut off",
	"owner cut off", "response lost", "same key at two nodes",
}

// armed is a fault to inject when a point is reached for the nth time.
type armed struct {
	fault fault
	point point
	nth   int
}

const (
	shortFreeze = 10 * time.Second
	longFreeze  = 60 * time.Second
	restartMax  = 5 * time.Second
	outageMax   = 30 * time.Second
)

// reach counts a point and injects the faults armed for it. n is the entry node or owner
// that reached it.
func (h *history) reach(p point, n *node) {
	h.hits[p]++
	for i, a := range h.armed {
		if a.point == p && a.nth == h.hits[p] {
			h.armed[i].nth = 0
			h.inject(a.fault, n)
		}
	}
}

func (h *history) inject(f fault, n *node) {
	until := h.now + h.between(time.Second, outageMax)
	owner := n.owner(h.keys[0].Shard(), 0)
	switch f {
	case faultKillEntry:
		h.after(0, func() { h.kill(n) }) // after the current step of the process
	case faultFreezeEntry10:
		n.frozenUntil = h.now + shortFreeze
	case faultFreezeEntry60:
		n.frozenUntil = h.now + longFreeze
	case faultKillOwner:
		h.after(0, func() { h.kill(owner) })
	case faultPauseOwner10:
		owner.frozenUntil = h.now + shortFreeze
	case faultPauseOwner60:
		owner.frozenUntil = h.now + longFreeze
	case faultStoreOut:
		h.store.outUntil = until
	case faultStoreSlow:
		h.store.slowUntil = until
	case faultStoreLossy:
		h.store.lossyUntil = until
	case faultTwoViews:
		for _, m := range h.nodes {
			if m != owner && h.chance(0.5) {
				m.hiddenUntil, m.hiddenNode = until, owner.id
			}
		}
	case faultCutEntry:
		n.cutUntil = until
	case faultCutOwner:
		owner.cutUntil = until
	case faultResponseLost:
		h.responsesLostUntil = until
	}
}

// kill ends a node's process, which is started again within restartMax.
func (h *history) kill(n *node) {
	if n.down {
		return
	}
	n.down = true
	n.epoch++
	n.frozenUntil = 0
	h.after(h.between(0, restartMax), n.boot)
}
