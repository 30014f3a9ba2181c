package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// Options configures a run.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Nodes   int
	Callers int
	Profile Profile
	// HalfClose adds callers that close their sending side after a request, which a node can't
	// distinguish from callers that abort.
	HalfClose bool
	// Program is the path of the knapweedgw binary, LabProgram that of the knapweedlab binary, whose
	// nodes the profile Partitioned uses.
	Program, LabProgram string
	// Dir is the directory for the nodes' settings and logs.
	Dir string
}

// run is the state of one soak run with router nodes (all profiles but Own).
type run struct {
	Options
	host          standin.Owner
	store         *standin.Store
	journal       *standin.Journal
	nodes         []*process
	checker       *checker
	lost          *lossCheck
	ends          *endingCheck
	domains       *domainCheck
	announcements *announcementCheck
	partitions    *partitionCheck
	versions      *versionCheck
	copies        storeCopies
	leavings      leavings
	configured    configurations
	// configMu serializes writes of the configuration, so that versions are stored in order.
	configMu   sync.Mutex
	version    int
	timeout    time.Duration
	laterRoute bool

	mu      sync.Mutex
	targets []*target
	// targetFaults holds the times at which each engine was disrupted, by engine ID.
	targetFaults map[string]*timeline
}

// Run runs one soak and returns its report. The error is non-nil if the run can't be set up or
// the nodes don't become ready.
func Run(ctx context.Context, host standin.Owner, o Options) (*Report, error) {
	if o.Profile == Own {
		return runOwn(ctx, host, o)
	}
	r, err := newRun(host, o)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(r.nodes, standin.Ready); err != nil {
		return nil, err
	}
	report := r.checker.report
	report.Steps = NewPlan(o.Seed, o.Length, o.Profile)
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	watching, endWatch := context.WithCancel(context.WithoutCancel(ctx))
	defer endWatch()
	go r.lost.watchStalls(watching)
	if o.Profile == Restored {
		go r.keepCopies(watching.Done())
		r.copies.add(r.store.Snapshot())
	}
	var work sync.WaitGroup
	for i := range o.Callers {
		work.Go(func() { r.newCaller(uint64(i)).loop(ctx) })
	}
	if o.Profile == Versions {
		for i := range o.Callers {
			work.Go(func() { r.resumeStreams(ctx, uint64(o.Callers+i)) })
		}
	}
	if o.Profile == Ending || o.Profile == EndingPart {
		work.Go(func() { r.sendEnding(ctx) })
	}
	play(ctx, report.Steps, r.step)
	<-ctx.Done()
	work.Wait()
	r.checkRecovery()
	r.checker.finish()
	r.checkDomains()
	r.checkAnnouncements()
	r.checkOwners()
	r.checkPartitions()
	r.checkVersions()
	r.checkLeavings()
	r.checkConfigurations()
	r.checkRetryBudgets()
	r.checkEnds()
	r.addTraces()
	return report, nil
}

// checkEnds checks how many targets requests have terminated, and that no other request was kept from targets.
func (r *run) checkEnds() {
	if ended, limit := r.ends.count(); ended > limit {
		r.checker.broken("requests ended %d targets, %d allowed", ended, limit)
	}
	for _, n := range r.nodes {
		for _, id := range r.ends.others(logs(n)) {
			r.checker.broken("request %s was quarantined, which ends no targets", id)
		}
	}
}

func newRun(host standin.Owner, o Options) (*run, error) {
	r := &run{
		Options: o, host: host, store: standin.NewStore(host), journal: standin.NewJournal(),
		timeout: timeouts[0], targetFaults: make(map[string]*timeline),
	}
	perFleet := maxEnded
	if o.Profile == EndingPart {
		perFleet = maxEndedByPart
	}
	r.ends = &endingCheck{journal: r.journal, perFleet: perFleet, storeDisrupted: func(from, to time.Time) bool { return r.lost.storeFaults.overlaps(from, to) }}
	r.domains = &domainCheck{evacuated: make(map[string]*timeline)}
	r.partitions = &partitionCheck{}
	r.announcements = &announcementCheck{nodes: make(map[string]*process)}
	r.lost = &lossCheck{journal: r.journal, targetFaults: r.targetFaultsOf}
	r.versions = newVersionCheck(&r.lost.storeFaults)
	r.checker = newChecker(r.journal, o.Seed, r.lost)
	r.configure(func() {})
	for i := range 3 {
		for _, service := range []string{standin.ModelPool, standin.ServicePool} {
			if err := r.addTarget(fmt.Sprintf("i-%s-%d", service, i), service, i); err != nil {
				return nil, err
			}
		}
	}
	for i := 3; o.Profile == Versions && i < versionTargets; i++ {
		if err := r.addTarget(fmt.Sprintf("i-%s-%d", standin.ModelPool, i), standin.ModelPool, i); err != nil {
			return nil, err
		}
	}
	port := peerPort(host)
	for i := range o.Nodes {
		program, verb := o.Program, "route"
		if o.Profile == Partitioned {
			program, verb = o.LabProgram, "soak-node"
		}
		p, err := newProcess(o.Dir, program, verb, host, r.store, o.Seed, i, o.Nodes, port)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, p)
	}
	r.partitions.nodes = r.nodes
	return r, nil
}

func (r *run) newCaller(i uint64) *caller {
	modes := uint64(halfClosing)
	if r.HalfClose {
		modes++
	}
	return &caller{
		nodes: r.nodes, rng: rand.New(rand.NewPCG(r.Seed, i)), mode: mode(i % modes), uneven: r.Profile == Uneven,
		observe: func(x *exchange) {
			r.checker.observe(x)
			r.announcements.observe(x)
			r.partitions.observe(x)
		},
	}
}

func (r *run) stop() {
	for _, n := range r.nodes {
		n.stop()
	}
	for _, t := range r.targets {
		t.proxy.Close()
	}
}

// recoveryTimeout is how long a fleet may take to serve again after the last fault. An unloaded
// machine needs much less.
const recoveryTimeout = 30 * time.Second

func awaitReady(nodes []*process, isReady func(addr string) bool) error {
	deadline := time.Now().Add(recoveryTimeout)
	for _, n := range nodes {
		for !isReady(n.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v; see %s", n.name, recoveryTimeout, n.logs)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// play starts each step of a plan at its time and returns when all have ended. Steps may overlap.
func play(ctx context.Context, steps []Step, do func(Step)) {
	begun := time.Now()
	var work sync.WaitGroup
	defer work.Wait()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(begun.Add(s.At))):
		case <-ctx.Done():
			return
		}
		work.Go(func() { do(s) })
	}
}

// checkRecovery checks, after the fault-free end of a run, that every node serves with the newest
// configuration.
func (r *run) checkRecovery() {
	r.configure(func() { r.laterRoute, r.timeout = true, timeouts[0] })
	for _, n := range r.nodes {
		if !r.eventually(func() bool { return r.servesAll(n) }) {
			r.checker.broken("%s does not serve with the newest configuration %v after all harm has ended", n.name, recoveryTimeout)
		}
	}
	r.checker.report.addExits(r.nodes)
}

func (r *run) servesAll(n *process) bool {
	for _, path := range append([]string{standin.LaterPath}, paths...) {
		a := standin.Front(n.front).Do(context.Background(), standin.Request{Path: path, Body: "x"})
		if a.Status != 200 || a.Err != nil {
			return false
		}
	}
	return true
}

func (r *run) eventually(f func() bool) bool {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// addTraces appends the nodes' log lines to each report line that names a request.
func (r *run) addTraces() {
	for _, lines := range [][]string{r.checker.report.Broken, r.checker.report.Findings} {
		for i, line := range lines {
			lines[i] = line + r.trace(line)
		}
	}
}

// trace returns the nodes' log lines for the request that a report line names.
func (r *run) trace(line string) string {
	_, rest, ok := strings.Cut(line, "request ")
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(rest, " ")
	field := fmt.Sprintf(`"request":%q`, strings.TrimSuffix(id, ":"))
	var out strings.Builder
	for _, n := range r.nodes {
		for logged := range strings.Lines(logs(n)) {
			if strings.Contains(logged, field) {
				fmt.Fprintf(&out, "\n  %s: %s", n.name, strings.TrimSpace(logged))
			}
		}
	}
	return out.String()
}

// logs returns the contents of a node's log file, or the error text if it can't be read.
func logs(n *process) string {
	raw, err := os.ReadFile(n.logs)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
