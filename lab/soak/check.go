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
	// Whole counts complete successful responses, Refused responses that say that the request was
	// not run, Failed all other responses.
	Whole   int
	Refused int
	Failed  int
	// Early counts those of Failed that ended before their deadline.
	Early int
	// Cut counts requests whose connection ended without a complete response; for Unanswered of
	// them not a byte of it arrived. Late counts requests whose connection was still open when the
	// caller stopped reading.
	Cut, Unanswered, Late int
	// Owned has the figures of requests to a service whose places an owner grants, nil without one.
	Owned *OwnedRuns
	// Resumed has the streams that callers took up, nil if they took up none.
	Resumed *ResumedStreams
	// Partitions has the requests of each time in which nodes were partitioned from all engines.
	Partitions []PartitionServed
	// Stalled is how long the machine didn't run this process.
	Stalled time.Duration
	Steps   []Step
	// Broken lists the promises that did not hold, each with the request or node.
	Broken []string
	// Findings lists events that break a promise only above a certain number.
	Findings []string
}

// PartitionServed is how many requests were sent, and how many served, at Nodes nodes that were
// partitioned from all engines by a fault, and at the others.
type PartitionServed struct {
	Fault                                string
	Nodes                                int
	Cut, CutServed, Others, OthersServed int
}

// String returns the result line of a run.
func (r *Report) String() string {
	line := fmt.Sprintf(
		"soak: seed=%d requests=%d whole=%d refused=%d failed=%d early=%d cut=%d unanswered=%d late=%d stalled=%.1fs steps=%d findings=%d broken=%d",
		r.Seed, r.Requests, r.Whole, r.Refused, r.Failed, r.Early, r.Cut, r.Unanswered, r.Late, r.Stalled.Seconds(),
		len(r.Steps), len(r.Findings), len(r.Broken))
	if r.Owned != nil {
		line += fmt.Sprintf(" owned=%+v", *r.Owned)
	}
	if r.Resumed != nil {
		line += fmt.Sprintf(" resumed=%+v", *r.Resumed)
	}
	for _, p := range r.Partitions {
		line += fmt.Sprintf(" partition=%+v", p)
	}
	return line
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

func (r *Report) finding(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// addExits adds the faults of the nodes' programs to Broken and their early exits to Findings.
func (r *Report) addExits(nodes []*process) {
	for _, n := range nodes {
		faults, earlyExits := n.exits()
		for _, fault := range faults {
			r.broken("%s %s", n.name, fault)
		}
		for _, end := range earlyExits {
			r.finding("%s %s, before its first line", n.name, end)
		}
	}
}

// checker checks the responses of nodes.
type checker struct {
	journal *standin.Journal
	events  int
	// services maps a path to the service that may run its requests.
	services map[string]string
	lost     *lossCheck

	mu      sync.Mutex
	report  *Report
	refused []string          // IDs whose response says that the request was not run
	paths   map[string]string // paths by request ID
	// sent holds when requests were sent, by service.
	sent map[string][]time.Time
}

func newChecker(j *standin.Journal, seed uint64, l *lossCheck) *checker {
	return &checker{
		journal: j, events: standin.DefaultEvents, report: &Report{Seed: seed}, lost: l,
		paths: make(map[string]string), sent: make(map[string][]time.Time),
		services: map[string]string{
			standin.StreamPath: standin.ModelPool, standin.ResumePath: standin.ModelPool,
			standin.UnsafePath: standin.ServicePool, standin.SafePath: standin.ServicePool,
		},
	}
}

func (c *checker) broken(format string, args ...any) { c.report.broken(format, args...) }

// observe counts a completed exchange and checks it.
func (c *checker) observe(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	c.paths[x.id] = x.path
	c.sent[c.services[x.path]] = append(c.sent[c.services[x.path]], x.sent)
	c.lost.observe(x)
	switch {
	case x.err != nil:
		c.checkCut(x)
	case x.status == http.StatusOK:
		c.report.Whole++
		c.checkSuccess(x)
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
		if !c.lost.timeUsed(x, 1) {
			c.report.Early++
		}
	}
}

// wantBody returns the complete body of the response to a request.
func (c *checker) wantBody(x *exchange) string {
	if c.services[x.path] == standin.ModelPool {
		return standin.WholeStream(x.id, c.events)
	}
	return standin.PlainBody(x.id)
}

func (c *checker) checkSuccess(x *exchange) {
	if x.body != c.wantBody(x) {
		c.broken("request %s: a success that is not its whole answer: %.60q", x.id, x.body)
	}
	c.checkHeader(x)
}

func (c *checker) checkHeader(x *exchange) {
	if x.header.Get("Engine-Signature") == "" || x.header.Get("Request-Id") != x.id {
		c.broken("request %s: a success without signature or with another ID", x.id)
	}
}

func (c *checker) checkCut(x *exchange) {
	switch {
	case x.timedOut():
		c.report.Late++
	case x.anyByte:
		c.report.Cut++
	default:
		c.report.Cut++
		c.report.Unanswered++
	}
	if x.status == http.StatusOK {
		c.checkHeader(x)
		if !strings.HasPrefix(c.wantBody(x), x.body) {
			c.broken("request %s: a cut answer is no beginning of its answer: %.60q", x.id, x.body)
		}
	}
}

// maxRuns maps a path to how often one request to it may run.
var maxRuns = map[string]int{
	standin.StreamPath: 1, standin.UnsafePath: 1, standin.ResumePath: 2, standin.SafePath: 2,
}

// finish checks, after the run, the targets' journal against the responses that callers got.
func (c *checker) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refused {
		if n := len(c.journal.Runs(id)); n > 0 {
			c.broken("request %s was told that it was not run, and ran %d times", id, n)
		}
	}
	for id, path := range c.paths {
		c.checkRuns(id, path)
	}
	c.report.Stalled = c.lost.stalls.total()
	broken, findings := c.lost.finish()
	c.report.Broken = append(c.report.Broken, broken...)
	c.report.Findings = append(c.report.Findings, findings...)
}

func (c *checker) checkRuns(id, path string) {
	runs := c.journal.Runs(id)
	if len(runs) > maxRuns[path] {
		c.broken("request %s to %s ran %d times", id, path, len(runs))
	}
	for _, run := range runs {
		if run.Service != c.services[path] {
			c.broken("request %s to %s was run by %s of %s", id, path, run.Engine, run.Service)
		}
	}
}
