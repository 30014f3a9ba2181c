package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/pause"
)

// releases are the software versions that targets of the model service get one after the other: up, back
// down, and further up.
var releases = []string{"v1", "v1.1", "v1", "v1.2", "v1.1"}

const (
	// versionTargets is the number of targets of the model service.
	versionTargets = 9
	// brokenStreams is the number of streams that each target breaks off in a step BreakStreams.
	brokenStreams = 3
	// maxTries is the number of tries of a caller for one stream, tryPause the longest pause between two.
	maxTries = 4
	tryPause = 300 * time.Millisecond
	// resumePace is the longest time between two events of the streams that callers take up.
	resumePace = 120 * time.Millisecond
	// While at least servingTargets targets of its version serve, a stream that is taken up goes on at
	// least leastGoOn as often as new ones begin; judged from leastTakenUp on.
	servingTargets = 2
	leastGoOn      = 0.5
	leastTakenUp   = 12
)

// versionCheck follows the streams that callers take up.
type versionCheck struct {
	storeFaults *timeline

	mu sync.Mutex
	// release is the index in releases of the version that new targets get.
	release int
	// serving holds when each target of the model service served, by version.
	serving map[string][]*timeline
	// begun counts the new streams, takenUp those that callers took up while their version served, both at
	// nodes that nothing had disturbed. all counts all that were taken up.
	begun, takenUp, all tally
	// failures counts the tries to take a stream up that brought nothing, by what their callers got.
	failures map[string]int
	broken   []string
}

func newVersionCheck(storeFaults *timeline) *versionCheck {
	return &versionCheck{storeFaults: storeFaults, serving: make(map[string][]*timeline), failures: make(map[string]int)}
}

// nextVersion begins the next release.
func (c *versionCheck) nextVersion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release++
}

// version returns the version of new targets.
func (c *versionCheck) version() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return releases[c.release%len(releases)]
}

// serves records that a target of the version serves until end is called.
func (c *versionCheck) serves(version string) (end func()) {
	t := &timeline{}
	end = t.begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving[version] = append(c.serving[version], t)
	return end
}

// servesThroughout reports whether enough targets of a version served all of the time.
func (c *versionCheck) servesThroughout(version string, from, to time.Time) bool {
	n := 0
	for _, t := range c.serving[version] {
		if t.covers(from, to) {
			n++
		}
	}
	return n >= servingTargets
}

// observe records a try for a stream at a node: held is what the caller holds after it, before the number
// of events that it held before.
func (c *versionCheck) observe(held *standin.HeldStream, before int, version string, n *process, from time.Time, a standin.Answer) {
	to := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held.Crossed() {
		c.broken = append(c.broken, fmt.Sprintf("request %s: a stream holds events of the versions %v", a.ID, held.Versions))
	}
	if held.Fault != "" {
		c.broken = append(c.broken, fmt.Sprintf("request %s: %s", a.ID, held.Fault))
	}
	wentOn := held.Events > before || a.Err == nil && a.Status == http.StatusOK
	if before > 0 {
		c.all.add(wentOn)
	}
	if before > 0 && !wentOn {
		c.failures[failureOf(a)]++
	}
	calm := from.Add(-quietPeriod)
	if n.disrupted.overlaps(calm, to) || n.starts.overlaps(calm, to) || n.stopSignals.overlaps(calm, to) || c.storeFaults.overlaps(calm, to) {
		return
	}
	switch {
	case before == 0:
		c.begun.add(wentOn)
	case c.servesThroughout(version, calm, to):
		c.takenUp.add(wentOn)
	}
}

// failureOf returns what a caller got instead of an answer: the reason of a refusal, or the status.
func failureOf(a standin.Answer) string {
	var refusal struct {
		Error string `json:"error"`
	}
	switch {
	case a.Status == 0:
		return "no_answer"
	case json.Unmarshal([]byte(a.Body), &refusal) == nil && refusal.Error != "":
		return refusal.Error
	}
	return strconv.Itoa(a.Status)
}

// finish returns the promises that did not hold.
func (c *versionCheck) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takenUp.sent >= leastTakenUp && c.takenUp.share() < leastGoOn*c.begun.share() {
		c.broken = append(c.broken, fmt.Sprintf("of %d streams that callers took up %d went on, of %d new ones %d began",
			c.takenUp.sent, c.takenUp.served, c.begun.sent, c.begun.served))
	}
	return c.broken
}

// ResumedStreams is how many streams callers took up and how many went on: all, and those judged, which were
// taken up at undisturbed nodes while targets of their version served; and the same of new streams there.
type ResumedStreams struct {
	TakenUp, WentOn, JudgedTakenUp, JudgedWentOn, New, Begun int
	// Failures are the tries that brought nothing, by the reason of the refusal or the status.
	Failures map[string]int
}

func (c *versionCheck) figures() *ResumedStreams {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &ResumedStreams{c.all.sent, c.all.served, c.takenUp.sent, c.takenUp.served, c.begun.sent, c.begun.served, c.failures}
}

// resumeStreams is a caller that takes up its streams, at any node, until they are complete.
func (r *run) resumeStreams(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(r.Seed, seed))
	for i := 0; ctx.Err() == nil; i++ {
		held := &standin.HeldStream{Path: fmt.Sprint(standin.ResumePath, seed, "/", i), Header: make(http.Header)}
		held.Header.Set(standin.PaceHeader, fmt.Sprint(rng.Int64N(resumePace.Milliseconds())))
		for range maxTries {
			n := r.nodes[rng.IntN(len(r.nodes))]
			before, version, from := held.Events, "", time.Now()
			if before > 0 {
				version = held.Versions[0]
			}
			a := standin.Front(n.front).Do(ctx, held.Try())
			if ctx.Err() != nil {
				return
			}
			complete := held.Take(a)
			r.versions.observe(held, before, version, n, from, a)
			if complete {
				break
			}
			pause.Sleep(ctx, time.Duration(rng.Int64N(int64(tryPause))))
		}
	}
}

// breakStreams makes all targets of the model service break off streams.
func (r *run) breakStreams(s Step) {
	var engines []*standin.Engine
	r.mu.Lock()
	for _, t := range r.targets {
		if e := t.current(); e.Service == standin.ModelPool {
			engines = append(engines, e)
		}
	}
	r.mu.Unlock()
	for _, e := range engines {
		defer r.targetFaultsOf(e.ID).begin()()
		e.SetFault(standin.Cut, brokenStreams)
	}
	time.Sleep(s.For)
	for _, e := range engines {
		e.SetFault(standin.None, 0)
	}
}

// releaseTarget replaces a target of the model service by one of the version of the present release. It
// ends with the streams that it still has.
func (r *run) releaseTarget(s Step) {
	if s.Variant%4 == 0 {
		r.versions.nextVersion()
	}
	t := r.modelTarget(s)
	t.replaceMu.Lock()
	defer t.replaceMu.Unlock()
	e := t.current()
	defer r.targetFaultsOf(e.ID).begin()()
	t.stopServing()
	r.replace(e, s)
	time.Sleep(drainTime)
	e.Crash()
	r.removeTarget(t)
}

// modelTarget returns the target of the model service that a step selects.
func (r *run) modelTarget(s Step) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*target
	for _, t := range r.targets {
		if t.current().Service == standin.ModelPool {
			all = append(all, t)
		}
	}
	return all[s.Which%len(all)]
}

func (r *run) removeTarget(t *target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range r.targets {
		if o == t {
			r.targets = append(r.targets[:i:i], r.targets[i+1:]...)
			return
		}
	}
}

func (r *run) checkVersions() {
	if r.Profile != Versions {
		return
	}
	report := r.checker.report
	report.Resumed = r.versions.figures()
	report.Broken = append(report.Broken, r.versions.finish()...)
}
