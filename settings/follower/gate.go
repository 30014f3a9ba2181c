package follower

import "time"

// holdTimeout is how long a revision read from the store waits for another
// node to hold it before it is served all the same.
const holdTimeout = time.Second

// gate decides when a revision may be served: when another node holds it, so
// that a node that restarts while the store is out finds it again. The zero
// value has served nothing.
type gate struct {
	served    int64
	confirmed int64
	since     time.Time // when the oldest revision not yet served was held
}

// confirm notes that another node holds a revision that this one holds too.
// What the other held before this one did doesn't count: it may have lost it
// in a restart since.
func (g *gate) confirm(revision int64) { g.confirmed = max(g.confirmed, revision) }

// hold notes that this node holds a revision.
func (g *gate) hold(revision int64, now time.Time) {
	if revision > g.served && g.since.IsZero() {
		g.since = now
	}
}

// verdict says what to do with a revision that this node holds.
type verdict int

const (
	wait verdict = iota
	serve
	serveUnconfirmed
)

// decide returns whether to serve the revision. A node alone in its view
// waits for nobody.
func (g *gate) decide(revision int64, alone bool, now time.Time) verdict {
	switch {
	case alone || g.confirmed >= revision:
		return serve
	case now.Sub(g.since) >= holdTimeout:
		return serveUnconfirmed
	}
	return wait
}

// serving notes that the revision is served.
func (g *gate) serving(revision int64) {
	g.served = max(g.served, revision)
	g.since = time.Time{}
}
