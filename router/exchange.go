package router

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/routing"
)

const (
	// startRetryAfter is for callers of a node that has just begun: it usually
	// has the configuration within a few round trips to the store.
	startRetryAfter = 300 * time.Millisecond
	// startWait is how long a request waits for that: some round trips to the store, and
	// short beside the shortest target latencies known, so that one that has to be
	// refused all the same is not held for long.
	startWait = 150 * time.Millisecond
	// timeoutSlack lets a target's own answer at the deadline arrive.
	timeoutSlack = 40 * time.Millisecond
)

// exchange is one caller's request in progress.
type exchange struct {
	router *Router
	w      http.ResponseWriter
	rc     *http.ResponseController // of w
	req    *http.Request
	start  time.Time

	call Call
	body []byte
	// read says that the request was read whole.
	read      bool
	catalog   *catalog.Catalog
	revision  int64
	route     *catalog.Route
	service   string
	workspace string
	priority  int
	// regions are those to whose targets the request may go.
	regions catalog.Regions
	// deadline is when the caller or the route gives up; zero for never.
	deadline time.Time

	// sentAt is when the attempt in progress began, and attemptCancel ends it.
	sentAt        time.Time
	attemptCancel context.CancelFunc

	// knownFingerprint is the request's fingerprint, if hasFingerprint: few need one.
	knownFingerprint quarantine.Fingerprint
	hasFingerprint   bool
	// guarded says that the guard counts the attempt in progress, completed that the
	// last attempt's target answered it whole.
	guarded, completed bool

	// reserved says that the retry budget has already paid for the next attempt.
	reserved atomic.Bool

	tried []string
	// overdue is a tried target that was left only because it took too long.
	overdue string
	// tries counts the targets tried, runs those that may have run the request.
	tries, runs int
	// held is the answer of a target that failed the request, to be delivered if
	// nothing better comes; nil for none.
	held *heldAnswer
	// lastEvent is the last whole event delivered, begun whether any of the
	// answer was: from then on a failure can only be shown by closing the
	// caller's connection.
	lastEvent string
	begun     bool
	// unflushed is how many bytes the server's buffer holds, writeFailed whether a
	// write to the caller ran into its time limit.
	unflushed   int
	writeFailed bool
	done        record
}

// record is what the log line of a request says.
type record struct {
	target    string
	status    int
	fetchFrom string
	running   int
	limit     int
	kept      int
	reason    placement.Reason
	firstByte time.Duration
	// firstEvent is when the first bytes of the answer's body were handed to the
	// caller's connection, and delivered how many were in all.
	firstEvent time.Duration
	delivered  int
}

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	r.metrics.inFlight.Inc()
	defer r.inFlight.Add(-1)
	defer r.metrics.inFlight.Dec()
	x := &exchange{router: r, w: w, rc: http.NewResponseController(w), req: req, start: r.now()}
	defer x.recoverPanic()
	err := x.prepare()
	if err == nil {
		err = x.forward()
	}
	x.finish(err)
}

// prepare reads the request and decides where it may go.
func (x *exchange) prepare() error {
	var err error
	if x.call, err = x.router.dialect.DecodeCall(x.req); err != nil {
		return problem.New(problem.BadRequest, problem.RanNo, err.Error())
	}
	if !x.awaitCatalog() {
		return problem.New(problem.NoSettings, problem.RanNo, "").After(startRetryAfter)
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.read = true
	if x.router.conns.closes() {
		return problem.New(problem.Stopping, problem.RanNo, "").After(stopRetryAfter)
	}
	x.catalog = x.router.beliefs.Catalog()
	_, x.revision = x.router.beliefs.Versions()
	if err := x.matchRoute(); err != nil {
		return err
	}
	return x.authorize()
}

// awaitCatalog waits for the configuration at a node that has just begun. Callers come
// back only once or twice: one that is refused here may have had its last try.
func (x *exchange) awaitCatalog() bool {
	if x.router.beliefs.Catalog() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(x.req.Context(), startWait)
	defer cancel()
	select {
	case <-x.router.beliefs.Begun():
		return true
	case <-ctx.Done():
		return false
	}
}

func (x *exchange) readBody() error {
	limit := x.router.beliefs.Catalog().Limits().MaxBodyBytes
	if x.req.Body == nil || x.req.ContentLength == 0 {
		return nil
	}
	if limit > 0 && x.req.ContentLength > limit {
		return problem.New(problem.BodyTooLarge, problem.RanNo, "")
	}
	body := io.Reader(x.req.Body)
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	var err error
	if x.body, err = readAll(body, x.req.ContentLength); err != nil {
		return problem.New(problem.CallerGone, problem.RanNo, err.Error())
	}
	if limit > 0 && int64(len(x.body)) > limit {
		return problem.New(problem.BodyTooLarge, problem.RanNo, "")
	}
	return nil
}

// readAll reads all of r. length is what it announces, or -1.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func (x *exchange) matchRoute() error {
	route, ok := x.catalog.Match(x.req.Host, x.req.URL.EscapedPath())
	if !ok {
		return problem.New(problem.NotFound, problem.RanNo, "no route")
	}
	x.route = route
	x.service = route.Choose(routing.Hash(x.call.ID))
	wait := x.call.Deadline
	if route.Timeout > 0 && (wait == 0 || route.Timeout < wait) {
		wait = route.Timeout
	}
	if wait > 0 {
		x.deadline = x.start.Add(wait)
	}
	return nil
}

func (x *exchange) authorize() error {
	x.priority, x.regions = x.route.Priority, x.route.Regions
	w, ok := x.catalog.Workspace(x.call.Key)
	if ok {
		x.workspace = w.Name
		x.regions = x.regions.And(w.Regions)
		if w.HasPriority {
			x.priority = w.Priority
		}
		return nil
	}
	if x.route.Anonymous || !x.catalog.HasWorkspaces() {
		return nil
	}
	return problem.New(problem.Unauthenticated, problem.RanNo, "")
}

// remaining returns how long the answer is still waited for; 0 means that
// there is no limit.
func (x *exchange) remaining() (left time.Duration, expired bool) {
	if x.deadline.IsZero() {
		return 0, false
	}
	left = x.deadline.Sub(x.router.now())
	return left, left <= 0
}

// workContext ends when the caller leaves or its deadline has passed.
func (x *exchange) workContext() (context.Context, context.CancelFunc) {
	if x.deadline.IsZero() {
		return context.WithCancel(x.req.Context())
	}
	return context.WithDeadline(x.req.Context(), x.deadline.Add(timeoutSlack))
}

// finish answers a request that failed with err and writes its log line.
func (x *exchange) finish(err error) {
	if err == nil {
		x.limitWrite() // the server writes the end of a stream after this
		x.logDone()
		return
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, problem.RanUnknown, err.Error())
	}
	if x.callerGone() {
		p = problem.New(problem.CallerGone, p.Ran, p.Detail)
	}
	x.logRefused(p)
	if x.begun {
		x.router.metrics.cuts.WithLabelValues(string(p.Reason)).Inc()
		x.abort(p.Reason)
	}
	x.router.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	if p.Reason == problem.CallerGone {
		x.abort(p.Reason)
	}
	x.limitConnection()
	x.router.dialect.WriteRefusal(x.w, p)
	x.flushLast()
}

// recoverPanic is for faults of the program. Without it the line of net/http
// would not name the request.
func (x *exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler { //nolint:errorlint // net/http compares it so
		x.router.log.Error("handler panicked", "request", x.call.ID, "panic", v, "stack", string(debug.Stack()))
		x.countUnanswered(causePanic)
	}
	panic(v)
}

func (x *exchange) logDone() {
	now := x.router.now()
	x.router.metrics.answers.WithLabelValues(x.service, statusClass(x.done.status)).Inc()
	x.router.metrics.whole.WithLabelValues(x.service).Observe(since(x.start, now))
	x.router.log.Info("answered", append(x.logFields(),
		"status", x.done.status, "first_byte_ms", x.done.firstByte.Milliseconds(),
		"first_event_ms", x.done.firstEvent.Milliseconds(), "delivered", x.done.delivered)...)
}

func (x *exchange) logRefused(p *problem.Problem) {
	x.router.log.Warn("refused", append(x.logFields(),
		"reason", p.Reason, "ran", p.Ran, "detail", p.Detail, "begun", x.begun,
		"delivered", x.done.delivered, "first_byte_ms", x.done.firstByte.Milliseconds(),
		"retry_after_ms", p.RetryAfter.Milliseconds())...)
}

// logFields are the inputs that decided over the request.
func (x *exchange) logFields() []any {
	fields := []any{
		"request", x.call.ID, "ms", x.router.now().Sub(x.start).Milliseconds(),
		"deadline_ms", x.call.Deadline.Milliseconds(), "service", x.service, "workspace", x.workspace,
		"revision", x.revision,
		"tries", x.tries, "runs", x.runs, "target", x.done.target,
		"running", x.done.running, "limit", x.done.limit, "kept", x.done.kept, "placed", x.done.reason,
	}
	if x.catalog != nil {
		fields = append(fields, "catalog", x.catalog.Version())
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if n := len(x.call.Parts); n > 0 {
		fields = append(fields, "key", uint32(x.call.Parts[n-1].Hash), "shared", x.sharedTokens())
	}
	if x.hasFingerprint {
		fields = append(fields, "fingerprint", x.knownFingerprint)
	}
	if x.done.fetchFrom != "" {
		fields = append(fields, "fetch_from", x.done.fetchFrom)
	}
	return fields
}

func (x *exchange) sharedTokens() int {
	sum := 0
	for _, p := range x.call.Parts {
		sum += p.Tokens
	}
	return sum
}
