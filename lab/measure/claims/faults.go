package claims

import "time"

// point is a moment in the life of a request at which a fault can strike.
type point int

const (
	pointAsk       point = iota // before the owner is asked
	pointCommit                 // the owner's transaction leaves
	pointCommitted              // its result arrives
	pointGrant                  // the entry holds the claim
	pointValid                  // the ticket was looked at; next is the send
	pointSent                   // the request leaves
	pointRun                    // a target ran it
	pointAnswer                 // its answer arrives at the entry
	points
)

// fault is what strikes.
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
	faultAnswerLost
	faultTwoNodes
	faults
)

var faultNames = [faults]string{
	"none", "entry killed", "entry frozen 10 s", "entry frozen 60 s", "owner killed", "owner paused 10 s",
	"owner paused 60 s", "store out", "store slow", "store loses answers", "two views", "entry cut off",
	"owner cut off", "response lost", "same key at two nodes",
}

// armed is a fault that strikes when a point is reached for the nth time.
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

// hit strikes with the faults armed for a point. n is the entry or the owner
// that reached it.
func (h *history) hit(p point, n *node) {
	h.hits[p]++
	for i, a := range h.armed {
		if a.point == p && a.nth == h.hits[p] {
			h.armed[i].nth = 0
			h.strike(a.fault, n)
		}
	}
}

func (h *history) strike(f fault, n *node) {
	until := h.now + h.between(time.Second, outageMax)
	owner := n.owner(h.keys[0].Shard(), 0)
	switch f {
	case faultKillEntry:
		h.after(0, func() { h.kill(n) }) // after what the process does now
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
		h.platform.outUntil = until
	case faultStoreSlow:
		h.platform.slowUntil = until
	case faultStoreLossy:
		h.platform.lossyUntil = until
	case faultTwoViews:
		for _, m := range h.nodes {
			if m != owner && h.chance(0.5) {
				m.blindUntil, m.blindTo = until, owner.id
			}
		}
	case faultCutEntry:
		n.cutUntil = until
	case faultCutOwner:
		owner.cutUntil = until
	case faultAnswerLost:
		h.answersLostUntil = until
	}
}

// kill ends a node's process; another run of it starts soon after.
func (h *history) kill(n *node) {
	if n.down {
		return
	}
	n.down = true
	n.epoch++
	n.frozenUntil = 0
	h.after(h.between(0, restartMax), n.boot)
}
