package notice

import (
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// ErrUnwanted means that a request was not sent to its target, since an answer of that came
// meanwhile.
var ErrUnwanted = errors.New("the target has said meanwhile that it leaves or wants no requests for a while")

// Help and Label are those of the counter of news.
const (
	Help  = "News that targets told of themselves in answers: that they leave, a rest that they ask for, a Retry-After that can't be read."
	Label = "kind"
)

// Kinds of news, as the counter names them.
const (
	kindLeaving    = "leaving"
	kindRest       = "rest"
	kindUnreadable = "unreadable"
)

// Report logs what a notice has changed and counts it in news. l names the target and the
// request.
func Report(l *log.Logger, news *prometheus.CounterVec, n Notice, c Change) {
	if c.Leaves {
		news.WithLabelValues(kindLeaving).Inc()
		l.Info("target says that it leaves")
	}
	if c.Rests {
		news.WithLabelValues(kindRest).Inc()
		l.Info("target asks for rest", "rest_ms", n.Rest.Milliseconds())
	}
	if c.Unreadable {
		news.WithLabelValues(kindUnreadable).Inc()
		l.Warn("Retry-After of a target can't be read", "value", n.Unreadable)
	}
}
