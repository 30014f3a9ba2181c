package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/problem"
)

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Requests int
	Whole    int
	Refused  int
	Failed   int
	// Early are those of Failed that had time left.
	Early int
	// Cut were ended without a whole answer, of which Unanswered had no byte of
	// one. Late were still open when their caller left.
	Cut, Unanswered, Late int
	// Stalled is how long the machine ran nothing.
	Stalled time.Duration
	Steps   []Step
	// Broken are the promises that did not hold, with the request or node.
	Broken []string
	// Findings are what breaks a promise only if there is more of it.
	Findings []string
}

// String is the line of a run.
func (r *Report) String() string {
	return fmt.Sprintf(
		"soak: seed=%d requests=%d whole=%d refused=%d failed=%d early=%d cut=%d unanswered=%d late=%d stalled=%.1fs steps=%d findings=%d broken=%d",
		r.Seed, r.Requests, r.Whole, r.Refused, r.Failed, r.Early, r.Cut, r.Unanswered, r.Late, r.Stalled.Seconds(),
		len(r.Steps), len(r.Findings), len(r.Broken))
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

func (r *Report) finding(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// addOwnEnds adds what programs did that none may do.
func (r *Report) addOwnEnds(nodes []*process) {
	for _, n := range nodes {
		faults, early := n.ownEnds()
		for _, fault := range faults {
			r.broken("%s %s", n.name, fault)
		}
		for _, end := range early {
			r.finding("%s %s, before its first line", n.name, end)
		}
	}
}

// checker checks what comes back from nodes.
type checker struct {
	journal *standin.Journal
	events  int
	// services are the services that may run a path.
	services map[string]string
	lost     *lostRule

	mu      sync.Mutex
	report  *Report
	refused []string          // IDs that were told "not run"
	paths   map[string]string // path by ID
}

func newChecker(j *standin.Journal, seed uint64, l *lostRule) *checker {
	return &checker{
		journal: j, events: standin.DefaultEvents, report: &Report{Seed: seed}, lost: l,
		paths: make(map[string]string),
		services: map[string]string{
			standin.StreamPath: standin.ModelPool, standin.ResumePath: standin.ModelPool,
			standin.UnsafePath: standin.ServicePool, standin.SafePath: standin.ServicePool,
		},
	}
}

func (c *checker) broken(format string, args ...any) { c.report.broken(format, args...) }

// note checks what came of a request.
func (c *checker) note(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	c.paths[x.id] = x.path
	c.lost.note(x)
	switch {
	case x.err != nil:
		c.judgeCut(x)
	case x.status == http.StatusOK:
		c.report.Whole++
		c.judgeSuccess(x)
	case x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests:
		c.report.Refused++
		c.refused = append(c.refused, x.id)
		if strings.Contains(x.body, string(problem.Quarantined)) {
			c.broken("request %s: quarantined, though no target ends under it", x.id)
		}
	case x.status == http.StatusUnauthorized || x.status == http.StatusNotFound:
		c.broken("request %s: %d for what the configuration allows", x.id, x.status)
	default:
		c.report.Failed++
		if !c.lost.timeIsUp(x, 1) {
			c.report.Early++
		}
	}
}

// want is the whole body of the answer to a request.
func (c *checker) want(x *exchange) string {
	if c.services[x.path] == standin.ModelPool {
		return standin.WholeStream(x.id, c.events)
	}
	return "whole answer to " + x.id
}

func (c *checker) judgeSuccess(x *exchange) {
	if x.body != c.want(x) {
		c.broken("request %s: a success that is not its whole answer: %.60q", x.id, x.body)
	}
	c.judgeHeader(x)
}

func (c *checker) judgeHeader(x *exchange) {
	if x.header.Get("Engine-Signature") == "" || x.header.Get("Request-Id") != x.id {
		c.broken("request %s: a success without signature or with another ID", x.id)
	}
}

func (c *checker) judgeCut(x *exchange) {
	switch {
	case x.gaveUp():
		c.report.Late++
	case x.anyByte:
		c.report.Cut++
	default:
		c.report.Cut++
		c.report.Unanswered++
	}
	if x.status == http.StatusOK {
		c.judgeHeader(x)
		if !strings.HasPrefix(c.want(x), x.body) {
			c.broken("request %s: a cut answer is no beginning of its answer: %.60q", x.id, x.body)
		}
	}
}

// attempts are the most runs of a request, by its path.
var attempts = map[string]int{
	standin.StreamPath: 1, standin.UnsafePath: 1, standin.ResumePath: 2, standin.SafePath: 2,
}

// settle checks the journal of the targets against what callers were told.
func (c *checker) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refused {
		if n := len(c.journal.Runs(id)); n > 0 {
			c.broken("request %s was told that it was not run, and ran %d times", id, n)
		}
	}
	for id, path := range c.paths {
		c.judgeRuns(id, path)
	}
	c.report.Stalled = c.lost.stalls.total()
	broken, findings := c.lost.settle()
	c.report.Broken = append(c.report.Broken, broken...)
	c.report.Findings = append(c.report.Findings, findings...)
}

func (c *checker) judgeRuns(id, path string) {
	runs := c.journal.Runs(id)
	if len(runs) > attempts[path] {
		c.broken("request %s to %s ran %d times", id, path, len(runs))
	}
	for _, run := range runs {
		if run.Service != c.services[path] {
			c.broken("request %s to %s was run by %s of %s", id, path, run.Engine, run.Service)
		}
	}
}
