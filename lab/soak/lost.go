package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/pause"
)

// Limits that the platform sets on when requests may be lost.
const (
	// quietPeriod is how long before a request no fault may have occurred for it to count as
	// undisturbed.
	quietPeriod = 3 * time.Second
	// lossSlack is how long after its last byte a request may find its connection closed and still
	// count as not read, if it was not passed on.
	lossSlack = 200 * time.Millisecond
	// configApplyTime is how long a configuration may take to come into force.
	configApplyTime = 2 * time.Second
	// plannedSlack is how long after planned work a loss is still attributed to it.
	plannedSlack = time.Second
	// A stop may cut a request in the last sixth (1/graceParts) of the grace time, if the request
	// was sent no later than lateRequest after SIGTERM.
	lateRequest = 3 * time.Second
	graceParts  = 6
	// maxUnanswered is how many requests on reused connections may go unanswered in a run.
	maxUnanswered = 3
	// Near a change of the configuration requests may be cut at most nearChangeFactor times as
	// often as at other times. A request that has used the fraction usedPart of its time doesn't
	// count as lost by the change.
	nearChangeFactor = 3
	usedPart         = 0.7
)

// lossCheck finds requests that a node read completely and whose connection ended without a complete
// response, though no fault or limit allows it.
type lossCheck struct {
	journal *standin.Journal
	// storeFaults holds when the store was disrupted, configChanges when the configuration changed.
	storeFaults, configChanges timeline
	// stalls holds when the machine didn't run this process.
	stalls timeline
	// targetFaults returns when an engine was disrupted, by engine ID.
	targetFaults func(id string) *timeline
	timeouts     timeoutHistory

	mu         sync.Mutex
	cuts       []*exchange
	late       []*exchange // still open when the caller stopped reading
	nearChange ratio       // requests near a change of the configuration
	other      ratio
}

type ratio struct{ cut, of int }

func (r ratio) value() float64 { return float64(r.cut) / float64(max(r.of, 1)) }

// timeoutHistory holds the route timeouts of a run, oldest first.
type timeoutHistory struct {
	mu  sync.Mutex
	all []timeoutAt
}

type timeoutAt struct {
	at      time.Time
	timeout time.Duration
}

func (h *timeoutHistory) set(timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, timeoutAt{time.Now(), timeout})
}

// shortest returns the shortest timeout that may have been in force for a
// request that was sent at from and ended at to.
func (h *timeoutHistory) shortest(from, to time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	shortest := time.Duration(1<<63 - 1)
	for i, t := range h.all {
		superseded := i+1 < len(h.all) && h.all[i+1].at.Add(configApplyTime).Before(from)
		if !superseded && t.at.Before(to) {
			shortest = min(shortest, t.timeout)
		}
	}
	return shortest
}

// observe adds a request that has ended.
func (l *lossCheck) observe(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := x.err != nil && !x.timedOut()
	if x.timedOut() {
		l.late = append(l.late, x)
	}
	r := &l.other
	if l.nearConfigChange(x) {
		r = &l.nearChange
	}
	r.of++
	if cut {
		l.cuts = append(l.cuts, x)
	}
	if cut && !l.timeUsed(x, 1) {
		r.cut++
	}
}

// Stalls: a node that the machine doesn't schedule behaves like a frozen one. Gaps of more than
// stallLimit in a loop of this process that runs each stallCheck stand for such times.
const (
	stallCheck = 50 * time.Millisecond
	stallLimit = 500 * time.Millisecond
)

// watchStalls records when this process was not run, until ctx ends.
func (l *lossCheck) watchStalls(ctx context.Context) {
	last := time.Now()
	pause.RunPeriodically(ctx, stallCheck, func(context.Context) {
		now := time.Now()
		if now.Sub(last) > stallLimit {
			l.stalls.add(last, now)
		}
		last = now
	})
}

// nearConfigChange reports whether a change of the configuration could affect a request while it
// was in progress.
func (l *lossCheck) nearConfigChange(x *exchange) bool {
	return l.configChanges.overlaps(x.sent.Add(-configApplyTime-plannedSlack), x.ended)
}

// timeUsed reports whether the request had used at least the given fraction of its time, which is
// its deadline or the route timeout if that is shorter.
func (l *lossCheck) timeUsed(x *exchange, part float64) bool {
	wait := min(x.deadline, l.timeouts.shortest(x.sent, x.ended))
	return x.elapsed() >= time.Duration(part*float64(wait))
}

// finish returns, after the run, the broken promises about lost requests and the findings.
func (l *lossCheck) finish() (broken, findings []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	frequent := l.nearChange.value() > nearChangeFactor*l.other.value()
	for _, x := range l.cuts {
		if cause := l.lossCause(x, frequent); cause != "" {
			broken = append(broken, "lost beside "+cause+": "+l.describe(x))
		}
		if l.unanswered(x) {
			findings = append(findings, "kept connection closed without an answer: "+l.describe(x))
		}
	}
	for _, x := range l.late {
		if l.nodeUndisturbed(x) && !l.targetDisrupted(x) {
			broken = append(broken, "not answered long after its deadline: "+l.describe(x))
		}
	}
	if len(findings) > maxUnanswered {
		broken = append(broken, fmt.Sprintf("%d kept connections closed without an answer", len(findings)))
	}
	return broken, findings
}

// lossCause returns the planned work that alone caused the loss of a request. It is empty if the
// request isn't lost, or if a fault or a limit of the platform allows the loss. A request that ran
// and was cut with neither faults nor planned work around it is lost as well.
func (l *lossCheck) lossCause(x *exchange, frequent bool) string {
	if !l.wasRead(x) || l.timeUsed(x, 1) || l.disturbed(x) {
		return ""
	}
	n := x.node
	if term, ok := n.stopSignals.last(x.ended); ok && x.ended.Before(term.Add(grace*time.Second+plannedSlack)) {
		if l.allowedByStop(x, term) {
			return ""
		}
		return fmt.Sprintf("a stop %v before its end", x.ended.Sub(term).Round(time.Millisecond))
	}
	if n.reloads.overlaps(x.sent.Add(-configApplyTime), x.ended) {
		return "a reload of the settings"
	}
	if l.nearConfigChange(x) {
		if frequent && !l.timeUsed(x, usedPart) {
			return "a change of the configuration"
		}
		return ""
	}
	if l.nodeUndisturbed(x) && len(l.journal.Runs(x.id)) > 0 {
		return "nothing that explains it"
	}
	return ""
}

// wasRead reports whether a node has read the whole request, as far as can be seen from outside.
func (l *lossCheck) wasRead(x *exchange) bool {
	return len(l.journal.Runs(x.id)) > 0 || x.anyByte || !x.queued && x.elapsed() > lossSlack
}

// allowedByStop reports whether the stop was allowed to cut the request: a target was still working
// on it in the last part of the grace time.
func (l *lossCheck) allowedByStop(x *exchange, term time.Time) bool {
	late := x.ended.After(term.Add(grace * time.Second * (graceParts - 1) / graceParts))
	if !late || x.sent.After(term.Add(lateRequest)) {
		return false
	}
	for _, run := range l.journal.Runs(x.id) {
		if run.Canceled {
			return true
		}
	}
	return false
}

// disturbed reports whether a fault, rather than planned work, may have ended the request. Faults of
// the store excuse only requests to the stream paths, not those to a plain service.
func (l *lossCheck) disturbed(x *exchange) bool {
	from := x.sent.Add(-quietPeriod)
	plain := x.path == standin.SafePath || x.path == standin.UnsafePath
	return x.node.disrupted.overlaps(from, x.ended) || x.node.pathFaults.overlaps(from, x.ended) || l.stalls.overlaps(from, x.ended) || !plain && l.storeFaults.overlaps(from, x.ended) || l.targetDisrupted(x)
}

func (l *lossCheck) targetDisrupted(x *exchange) bool {
	for _, run := range l.journal.Runs(x.id) {
		if l.targetFaults(run.Engine).overlaps(x.sent.Add(-quietPeriod), x.ended) {
			return true
		}
	}
	return false
}

// unanswered reports whether an undisturbed node closed a reused connection without a byte of the
// response, though it had passed the request on to a target without faults.
func (l *lossCheck) unanswered(x *exchange) bool {
	if x.anyByte || !x.reused || len(l.journal.Runs(x.id)) == 0 {
		return false
	}
	return l.nodeUndisturbed(x) && !l.targetDisrupted(x)
}

// nodeUndisturbed reports whether neither the node, the store nor the machine was disrupted, and the
// node neither started nor stopped, from quietPeriod before the request to its end.
func (l *lossCheck) nodeUndisturbed(x *exchange) bool {
	from, n := x.sent.Add(-quietPeriod), x.node
	return !n.disrupted.overlaps(from, x.ended) && !n.pathFaults.overlaps(from, x.ended) && !l.stalls.overlaps(from, x.ended) && !n.stopSignals.overlaps(from, x.ended) &&
		!n.starts.overlaps(from, x.ended) && !l.storeFaults.overlaps(from, x.ended)
}

func (l *lossCheck) describe(x *exchange) string {
	state := "before its deadline"
	if l.timeUsed(x, 1) {
		state = "at its deadline"
	}
	if term, ok := x.node.stopSignals.last(x.ended); ok {
		state += fmt.Sprintf(", sent %v and ended %v after the last SIGTERM",
			x.sent.Sub(term).Round(time.Millisecond), x.ended.Sub(term).Round(time.Millisecond))
	}
	return fmt.Sprintf("request %s to %s at %s by a %s caller, kept=%v queued=%v, status %d, %d bytes, %v of %v, %s: %v",
		x.id, x.path, x.node.name, x.mode, x.reused, x.queued, x.status, len(x.body),
		x.elapsed().Round(time.Millisecond), min(x.deadline, l.timeouts.shortest(x.sent, x.ended)), state, x.err)
}
