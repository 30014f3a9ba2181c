package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// Writers other than the targets leave entries that don't describe a usable target. Each change
// of such an entry is counted and logged, but hundreds of them must neither flood the log nor
// take up the node's time.
const (
	// logLimit is the maximum number of log lines about unusable entries within logWindow.
	logLimit  = 20
	logWindow = 10 * time.Second
)

// logLimiter is a rate limiter for log lines. Callers pass the time.
type logLimiter struct {
	since            time.Time
	used, suppressed int
}

// allow reports whether a line may be logged at now, and how many were suppressed since the
// last one.
func (l *logLimiter) allow(now time.Time) (suppressed int, ok bool) {
	if now.Sub(l.since) >= logWindow {
		l.since, l.used = now, 0
	}
	if l.used >= logLimit {
		l.suppressed++
		return 0, false
	}
	l.used++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// faultOf returns the fault of an entry that could not be decoded.
func faultOf(err error) roster.EntryFault {
	var e *roster.EntryError
	if errors.As(err, &e) {
		return e.Fault
	}
	return roster.BadFormat
}

// reportUnusableEntry counts and logs one change of an entry that doesn't describe a usable
// target. Callers must hold r.mu.
func (r *Replica) reportUnusableEntry(key string, revision int64, err error) {
	r.metrics.unusable.WithLabelValues(string(faultOf(err))).Inc()
	suppressed, ok := r.logLimiter.allow(r.now())
	if !ok {
		return
	}
	r.log.Warn("entry names no target to use; it is left aside",
		"key", key, "revision", store.RevisionOf(revision), "err", err, "left_out", suppressed)
}
