package follower

import "time"

// holdTimeout is how long a held revision waits for another node's confirmation
// before it is served without one.
const holdTimeout = time.Second

// gate decides when a revision may be served: once another node holds it, so that
// this node finds it again if it restarts while the store is unavailable. The zero
// value has served nothing.
type gate struct {
	served    int64     // highest revision served
	confirmed int64     // highest held revision that another node confirmed
	heldSince time.Time // when the oldest held revision not yet served was received
}

// confirm records that another node holds a revision that this node holds too. A
// revision that the other node reported before this node held it doesn't count,
// because the other node may have lost it in a restart since.
func (g *gate) confirm(revision int64) { g.confirmed = max(g.confirmed, revision) }

// recordHeld records that this node holds a revision.
func (g *gate) recordHeld(revision int64, now time.Time) {
	if revision > g.served && g.heldSince.IsZero() {
		g.heldSince = now
	}
}

// decision is the decision on a held revision.
type decision int

const (
	wait decision = iota
	serve
	serveUnconfirmed
)

// decide returns whether to serve the revision. A node that is alone in its view
// serves at once.
func (g *gate) decide(revision int64, alone bool, now time.Time) decision {
	switch {
	case alone || g.confirmed >= revision:
		return serve
	case now.Sub(g.heldSince) >= holdTimeout:
		return serveUnconfirmed
	}
	return wait
}

// recordServed records that the revision is served.
func (g *gate) recordServed(revision int64) {
	g.served = max(g.served, revision)
	g.heldSince = time.Time{}
}
