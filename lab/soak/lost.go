package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/pause"
)

// Bounds of the platform's pages within which requests may be lost.
const (
	// contact is how long everything must have been calm before it counts.
	contact = 3 * time.Second
	// lossSlack is how long after its last byte a request that was not passed
	// on may find its connection closed.
	lossSlack = 200 * time.Millisecond
	// configApply is how long a configuration may take to be in force.
	configApply = 2 * time.Second
	// afterWork is how long after planned work a loss still counts as its own.
	afterWork = time.Second
	// lateTerm is how long after a stop a request may be sent that the stop may
	// cut off in the last sixth of the grace time.
	lateTerm = 3 * time.Second
	lastPart = 6
	// unansweredAllowed is how many requests of kept connections may go
	// unanswered in a run.
	unansweredAllowed = 3
	// besideFactor is how many times as often as otherwise requests may be cut
	// beside a change of the configuration, usedPart the part of its time after
	// which a request doesn't count there.
	besideFactor = 3
	usedPart     = 0.7
)

// lostRule finds requests that were read whole and whose connection ended
// without a whole answer, where nothing excuses it.
type lostRule struct {
	journal *standin.Journal
	// core is the harm to the store, configs the changes of the configuration.
	core, configs timeline
	// stalls is when the machine ran nothing.
	stalls timeline
	// targets is the harm to each engine, by its ID.
	targets  func(id string) *timeline
	timeouts timeoutHistory

	mu     sync.Mutex
	cuts   []*exchange
	late   []*exchange // still open when their caller left
	beside ratio       // beside a change of the configuration
	other  ratio
}

type ratio struct{ cut, of int }

func (r ratio) value() float64 { return float64(r.cut) / float64(max(r.of, 1)) }

// timeoutHistory are the route timeouts that were in force, oldest first.
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
		superseded := i+1 < len(h.all) && h.all[i+1].at.Add(configApply).Before(from)
		if !superseded && t.at.Before(to) {
			shortest = min(shortest, t.timeout)
		}
	}
	return shortest
}

// note takes a request that has ended.
func (l *lostRule) note(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := x.err != nil && !x.gaveUp()
	if x.gaveUp() {
		l.late = append(l.late, x)
	}
	r := &l.other
	if l.besideConfig(x) {
		r = &l.beside
	}
	r.of++
	if cut {
		l.cuts = append(l.cuts, x)
	}
	if cut && !l.timeIsUp(x, 1) {
		r.cut++
	}
}

// Stalls: a node that the machine doesn't run is no better than a frozen one.
// The soak takes its own process for a measure of that.
const (
	stallCheck = 50 * time.Millisecond
	stallLimit = 500 * time.Millisecond
)

// watchStalls notes when this process was not run, until ctx ends.
func (l *lostRule) watchStalls(ctx context.Context) {
	last := time.Now()
	pause.RunPeriodically(ctx, stallCheck, func(context.Context) {
		now := time.Now()
		if now.Sub(last) > stallLimit {
			l.stalls.add(last, now)
		}
		last = now
	})
}

// besideConfig says whether a request was sent or ended beside a change of the
// configuration.
func (l *lostRule) besideConfig(x *exchange) bool {
	return l.configs.touches(x.sent.Add(-configApply-afterWork), x.ended)
}

// timeIsUp says whether the request had used the given part of its time.
func (l *lostRule) timeIsUp(x *exchange, part float64) bool {
	wait := min(x.deadline, l.timeouts.shortest(x.sent, x.ended))
	return x.elapsed() >= time.Duration(part*float64(wait))
}

// settle returns what is lost, after the run.
func (l *lostRule) settle() (broken, findings []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	often := l.beside.value() > besideFactor*l.other.value()
	for _, x := range l.cuts {
		if why := l.planned(x, often); why != "" {
			broken = append(broken, "lost beside "+why+": "+l.describe(x))
		}
		if l.unanswered(x) {
			findings = append(findings, "kept connection closed without an answer: "+l.describe(x))
		}
	}
	for _, x := range l.late {
		if l.inTouch(x) && !l.targetHarmed(x) {
			broken = append(broken, "not answered long after its deadline: "+l.describe(x))
		}
	}
	if len(findings) > unansweredAllowed {
		broken = append(broken, fmt.Sprintf("%d kept connections closed without an answer", len(findings)))
	}
	return broken, findings
}

// planned returns the planned work alone by which a request was lost, empty if
// it isn't lost or there is an excuse. A request that ran and was cut in calm, with
// no such work about, is lost as well.
func (l *lostRule) planned(x *exchange, often bool) string {
	if !l.taken(x) || l.timeIsUp(x, 1) || l.disturbed(x) {
		return ""
	}
	n := x.node
	if term, ok := n.asked.last(x.ended); ok && x.ended.Before(term.Add(grace*time.Second+afterWork)) {
		if l.allowedByStop(x, term) {
			return ""
		}
		return fmt.Sprintf("a stop %v before its end", x.ended.Sub(term).Round(time.Millisecond))
	}
	if n.reloads.touches(x.sent.Add(-configApply), x.ended) {
		return "a reload of the settings"
	}
	if l.besideConfig(x) {
		if often && !l.timeIsUp(x, usedPart) {
			return "a change of the configuration"
		}
		return ""
	}
	if l.inTouch(x) && len(l.journal.Runs(x.id)) > 0 {
		return "nothing that explains it"
	}
	return ""
}

// taken says whether a node has read the whole request, as far as that shows.
func (l *lostRule) taken(x *exchange) bool {
	return len(l.journal.Runs(x.id)) > 0 || x.anyByte || !x.queued && x.elapsed() > lossSlack
}

// allowedByStop says whether the stop may have cut the request: a target was
// still at work on it in the last part of the grace time.
func (l *lostRule) allowedByStop(x *exchange, term time.Time) bool {
	late := x.ended.After(term.Add(grace * time.Second * (lastPart - 1) / lastPart))
	if !late || x.sent.After(term.Add(lateTerm)) {
		return false
	}
	for _, run := range l.journal.Runs(x.id) {
		if run.Canceled {
			return true
		}
	}
	return false
}

// disturbed says whether anything but planned work may have ended the request.
func (l *lostRule) disturbed(x *exchange) bool {
	from := x.sent.Add(-contact)
	plain := x.path == standin.SafePath || x.path == standin.UnsafePath
	return x.node.harmed.touches(from, x.ended) || l.stalls.touches(from, x.ended) || !plain && l.core.touches(from, x.ended) || l.targetHarmed(x)
}

func (l *lostRule) targetHarmed(x *exchange) bool {
	for _, run := range l.journal.Runs(x.id) {
		if l.targets(run.Engine).touches(x.sent.Add(-contact), x.ended) {
			return true
		}
	}
	return false
}

// unanswered says whether a node in touch closed the kept connection of a
// request that it had passed on to a sound target, without any of its answer.
func (l *lostRule) unanswered(x *exchange) bool {
	if x.anyByte || !x.kept || len(l.journal.Runs(x.id)) == 0 {
		return false
	}
	return l.inTouch(x) && !l.targetHarmed(x)
}

// inTouch says whether the node counts as in touch while it had the request.
func (l *lostRule) inTouch(x *exchange) bool {
	from, n := x.sent.Add(-contact), x.node
	return !n.harmed.touches(from, x.ended) && !l.stalls.touches(from, x.ended) && !n.asked.touches(from, x.ended) &&
		!n.begun.touches(from, x.ended) && !l.core.touches(from, x.ended)
}

func (l *lostRule) describe(x *exchange) string {
	state := "before its deadline"
	if l.timeIsUp(x, 1) {
		state = "at its deadline"
	}
	if term, ok := x.node.asked.last(x.ended); ok {
		state += fmt.Sprintf(", sent %v and ended %v after the last SIGTERM",
			x.sent.Sub(term).Round(time.Millisecond), x.ended.Sub(term).Round(time.Millisecond))
	}
	return fmt.Sprintf("request %s to %s at %s by a %s caller, kept=%v queued=%v, status %d, %d bytes, %v of %v, %s: %v",
		x.id, x.path, x.node.name, x.habit, x.kept, x.queued, x.status, len(x.body),
		x.elapsed().Round(time.Millisecond), min(x.deadline, l.timeouts.shortest(x.sent, x.ended)), state, x.err)
}
