package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/roster"
)

// Other writers than the targets leave entries that name no target to use. Each
// change of such an entry is counted and logged, but hundreds of them must neither
// hide the rest of the log nor take the node's time.
const (
	// lineLimit is the most log lines of unusable entries within lineWindow.
	lineLimit  = 20
	lineWindow = 10 * time.Second
)

// lineBudget bounds log lines. It is pure: the caller passes the time.
type lineBudget struct {
	since          time.Time
	lines, leftOut int
}

// take says whether a line may be written at now, and how many were left out since
// the last one.
func (b *lineBudget) take(now time.Time) (leftOut int, ok bool) {
	if now.Sub(b.since) >= lineWindow {
		b.since, b.lines = now, 0
	}
	if b.lines >= lineLimit {
		b.leftOut++
		return 0, false
	}
	b.lines++
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}

// faultOf returns the fault of an entry that could not be decoded.
func faultOf(err error) roster.EntryFault {
	var e *roster.EntryError
	if errors.As(err, &e) {
		return e.Fault
	}
	return roster.NotReadable
}

// unusable is told of each change of an entry that names no target to use. It is
// called with the lock held.
func (r *Replica) unusable(key string, revision int64, err error) {
	r.metrics.unusable.WithLabelValues(string(faultOf(err))).Inc()
	leftOut, ok := r.lines.take(r.now())
	if !ok {
		return
	}
	r.log.Warn("entry names no target to use; it is left aside",
		"key", key, "revision", revision, "err", err, "left_out", leftOut)
}
