package notice

import (
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrTargetDeclined means that a request was not sent to its target, since a response of the target
// with a notice arrived in the meantime.
var ErrTargetDeclined = errors.New("the target has said meanwhile that it leaves or wants no requests for a while")

// Help and Label are those of the counter of notices.
const (
	Help  = "News that targets told of themselves in answers: that they leave, a rest that they ask for, a Retry-After that can't be read."
	Label = "kind"
)

// Label values of the counter of notices.
const (
	kindLeaving    = "leaving"
	kindRest       = "rest"
	kindUnreadable = "unreadable"
)

// Report logs the changes by a notice and counts them in notices. The fields of l identify the
// target and the request.
func Report(l *log.Logger, notices *prometheus.CounterVec, n Notice, c Change) {
	if c.NewlyLeaving {
		notices.WithLabelValues(kindLeaving).Inc()
		l.Info("target announced its shutdown")
	}
	if c.CooldownExtended {
		notices.WithLabelValues(kindRest).Inc()
		l.Info("target sent Retry-After", "rest_ms", n.RetryAfter.Milliseconds())
	}
	if c.FirstUnreadable {
		notices.WithLabelValues(kindUnreadable).Inc()
		l.Warn("unreadable Retry-After from target", "value", n.Unreadable)
	}
}
