package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/resumption"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// timeoutSlack is added to the deadline so that an answer that the target itself sends at the
// deadline still arrives.
const timeoutSlack = 40 * time.Millisecond

// partBytes is the size of a decoded prompt part, which may be four times as long as its text.
const partBytes = 16

// exchange is the state of one caller's request in progress.
type exchange struct {
	router *Router
	w      http.ResponseWriter
	rc     *http.ResponseController // of w
	req    *http.Request
	intake *intake.Request // what is kept for the caller
	start  time.Time

	call CallerHeader
	body []byte
	// sent is the body of the last attempt. bodyDropped means that body was dropped.
	sent        *sentBody
	bodyDropped bool
	// read means that the request was completely read.
	read    bool
	catalog *catalog.Catalog
	// era and revision are the position of the node's copy of the targets.
	era, revision int64
	route         *catalog.Route
	service       string
	workspace     string
	priority      int
	// regions are the regions whose targets may get the request.
	regions catalog.Regions
	// deadline is when the caller or the route gives up; zero for never.
	deadline time.Time

	// sentAt is when the attempt in progress began; attemptCancel cancels it.
	sentAt        time.Time
	attemptCancel context.CancelFunc

	// attempts reports the attempts to the quarantine guard; nil until the request is forwarded.
	attempts *quarantine.Attempts
	// completed means that the target's answer to the last attempt was complete, succeeded that its status was a
	// success.
	completed, succeeded bool

	// reservation holds the retry reserved for the next attempt; budget is the decision that granted the last one.
	reservation *retry.Reservation
	budget      atomic.Pointer[retry.BudgetDecision]
	// arrived means that an earlier attempt may have reached a target, charged that the one in progress was
	// charged to the retry budget when it was sent, overBudget that it was not sent since the budget was used up.
	arrived, charged, overBudget bool

	// place is what the attempt in progress occupies by the count of a dispatch owner, nil for
	// nothing.
	place *dispatch.Place

	tried []string
	// overdue is the ID of a tried target that was abandoned only because it took too long.
	overdue string
	// tries counts the targets tried, executions those that may have run the request.
	tries, executions int
	// received is the body of the last attempt's answer.
	received completion.Body
	// held is the answer of a target that failed the request, delivered if no later attempt
	// succeeds; nil for none.
	held *bufferedAnswer
	// lastEvent is the ID of the last complete event delivered. answerBegun means that a part
	// of the answer was sent: from then on the only way to signal a failure is to close the
	// caller's connection.
	lastEvent   string
	answerBegun bool
	// began is the version that wrote the events which the caller holds, empty while it holds none;
	// recordedAt is when it was last recorded.
	began      resumption.Origin
	recordedAt time.Time
	// beganMu is held to write began while an attempt is in progress, and by timers that read it.
	beganMu sync.Mutex
	// unflushed is the number of bytes in the server's buffer. writeFailed means that a write
	// to the caller timed out.
	unflushed   int
	writeFailed bool
	summary     requestSummary
}

// requestSummary holds values for the log line of a request.
type requestSummary struct {
	target string
	// version is that of the target's software.
	version roster.Version
	// resolved is where the version of a stream that the caller takes up was learnt.
	resolved resumption.Decision
	// conn is the connection of the last attempt, nil for none; ending why the answer on it counts as
	// complete or truncated, empty before that is decided; probed how long the target was probed for it.
	conn      upstream.ConnInfo
	ending    completion.Reason
	probed    time.Duration
	status    int
	fetchFrom string
	running   int
	limit     int
	kept      int
	reason    placement.Reason
	firstByte time.Duration
	// firstEvent is the time until the first bytes of the answer's body were written to the
	// caller's connection, delivered the number of bytes written.
	firstEvent time.Duration
	delivered  int
	// owner is the node that granted or refused a place, waited the time in its queue, and
	// fallback why no owner decided.
	owner, fallback string
	waited          time.Duration
}

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	r.metrics.inFlight.Inc()
	defer r.inFlight.Add(-1)
	defer r.metrics.inFlight.Dec()
	x := &exchange{
		router: r, w: w, rc: http.NewResponseController(w), req: req, intake: intake.Of(w, req), start: r.now(),
	}
	defer x.recoverPanic()
	err := x.prepare()
	if err == nil {
		err = x.forward()
	}
	x.finish(err)
}

// prepare reads the request, matches its route and authorizes it.
func (x *exchange) prepare() error {
	var err error
	if x.call, err = x.router.dialect.DecodeCallerHeader(x.req); err != nil {
		return problem.New(problem.BadRequest, problem.NotRun, err.Error())
	}
	if !x.intake.Acquire(int64(len(x.call.PromptParts)) * partBytes) {
		return nodeFull()
	}
	if !x.awaitCatalog() {
		remaining := max(0, x.call.Deadline-x.router.now().Sub(x.start))
		after := startRetryAfter(x.router.replica.WithoutConfiguration(), remaining, rand.Float64())
		return problem.New(problem.NoSettings, problem.NotRun, "").WithRetryAfter(after)
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.read = true
	if x.router.conns.IsClosing() {
		return problem.New(problem.NodeStopping, problem.NotRun, "").WithRetryAfter(stopRetryAfter)
	}
	if err := x.admit(); err != nil {
		return err
	}
	x.intake.Join(x.workspace)
	return nil
}

// admit matches the request's route and authorizes it by the newest configuration. What an earlier call found no
// longer counts.
func (x *exchange) admit() error {
	x.route, x.service, x.workspace, x.deadline = nil, "", "", time.Time{}
	x.catalog = x.router.replica.Catalog()
	_, position := x.router.replica.Versions()
	x.era, x.revision = store.EraOf(position), store.RevisionOf(position)
	if err := x.matchRoute(); err != nil {
		return err
	}
	return x.authorize()
}

// awaitCatalog waits for the first configuration of a node that has just started. Callers retry
// only once or twice, so a refusal here may be the response to a caller's last retry. It
// reports whether the configuration is available.
func (x *exchange) awaitCatalog() bool {
	if x.router.replica.Catalog() != nil {
		return true
	}
	wait := startWait(x.call.Deadline, x.router.replica.OtherNodeAhead())
	ctx, cancel := context.WithTimeout(x.req.Context(), wait)
	defer cancel()
	select {
	case <-x.router.replica.Initialized():
		return true
	case <-ctx.Done():
		return false
	}
}

// readBody reads the body. A large one is refused before it has arrived if no workspace may send it, by the
// configuration of that moment; admit decides again once it is whole.
func (x *exchange) readBody() error {
	limits := intake.BodyLimits{Bytes: x.router.replica.Catalog().Limits().MaxBodyBytes, Pause: callerIdle}
	var err error
	x.body, err = x.intake.ReadBody(limits, func() (string, error) {
		err := x.admit()
		return x.workspace, err
	})
	return bodyProblem(err)
}

// bodyProblem returns the refusal for an error of a body that wasn't received, nil for none.
func bodyProblem(err error) error {
	var p *problem.Problem
	switch {
	case err == nil || errors.As(err, &p):
		return err
	case errors.Is(err, intake.ErrTooLarge):
		return problem.New(problem.BodyTooLarge, problem.NotRun, "")
	case errors.Is(err, intake.ErrTooSlow):
		return problem.New(problem.BodyTimeout, problem.NotRun, "")
	case errors.Is(err, intake.ErrNoRoom):
		return nodeFull()
	}
	return problem.New(problem.CallerGone, problem.NotRun, err.Error())
}

// nodeFull returns the refusal of a request for which there is no memory.
func nodeFull() error {
	return problem.New(problem.NodeFull, problem.NotRun, "").WithRetryAfter(intake.RetryAfter())
}

func (x *exchange) matchRoute() error {
	route, ok := x.catalog.Match(x.req.Host, x.req.URL.EscapedPath())
	if !ok {
		return problem.New(problem.NotFound, problem.NotRun, "no route")
	}
	x.route = route
	x.service = route.PickService(routing.Hash(x.splitID()))
	wait := x.call.Deadline
	if route.Timeout > 0 && (wait == 0 || route.Timeout < wait) {
		wait = route.Timeout
	}
	if wait > 0 {
		x.deadline = x.start.Add(wait)
	}
	return nil
}

// splitID returns the ID by which a request is assigned to one of its route's services: a stream that is
// taken up goes to the service that began it.
func (x *exchange) splitID() string {
	if x.isResumption() && x.call.Resumes != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

func (x *exchange) authorize() error {
	x.priority, x.regions = x.route.Priority, x.route.Regions
	w, ok := x.catalog.Workspace(x.call.Key)
	if ok {
		x.workspace = w.Name
		x.regions = x.regions.Intersect(w.Regions)
		if w.HasPriority {
			x.priority = w.Priority
		}
		return nil
	}
	if x.route.Anonymous || !x.catalog.RequiresKey() {
		return nil
	}
	return problem.New(problem.Unauthenticated, problem.NotRun, "")
}

// remaining returns how long the answer is still waited for; 0 without expired means no limit.
func (x *exchange) remaining() (left time.Duration, expired bool) {
	if x.deadline.IsZero() {
		return 0, false
	}
	left = x.deadline.Sub(x.router.now())
	return left, left <= 0
}

// workContext returns a context that ends when the caller disconnects or the deadline, plus
// timeoutSlack, has passed.
func (x *exchange) workContext() (context.Context, context.CancelFunc) {
	if x.deadline.IsZero() {
		return context.WithCancel(x.req.Context())
	}
	return context.WithDeadline(x.req.Context(), x.deadline.Add(timeoutSlack))
}

// finish logs the request and, if it failed with err, writes the refusal.
func (x *exchange) finish(err error) {
	if err == nil {
		x.setWriteDeadline() // the server writes the end of a stream after this
		x.logAnswered()
		return
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, problem.MayHaveRun, err.Error())
	}
	// net/http takes a body that stopped for a caller that is gone.
	if p.Reason != problem.BodyTimeout && x.callerGone() {
		p = problem.New(problem.CallerGone, p.Execution, p.Detail)
	}
	x.logRefused(p)
	if x.answerBegun {
		x.router.metrics.cuts.WithLabelValues(string(p.Reason)).Inc()
		x.abort(p.Reason)
	}
	x.router.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	if p.Reason == problem.CallerGone {
		x.abort(p.Reason)
	}
	x.maybeSendConnectionClose()
	x.intake.PrepareRefusal(x.w.Header())
	x.router.dialect.WriteRefusal(x.w, p)
	x.flushAnswer()
	x.intake.Linger()
}

// recoverPanic logs a panic of the handler with the request's ID, which the log line of
// net/http does not contain, and panics again.
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

func (x *exchange) logAnswered() {
	now := x.router.now()
	x.router.metrics.answers.WithLabelValues(x.service, statusClass(x.summary.status)).Inc()
	x.router.metrics.answerTime.WithLabelValues(x.service).Observe(since(x.start, now))
	x.router.log.Info("answered", append(x.logFields(),
		"status", x.summary.status, "first_byte_ms", x.summary.firstByte.Milliseconds(),
		"first_event_ms", x.summary.firstEvent.Milliseconds(), "delivered", x.summary.delivered)...)
}

func (x *exchange) logRefused(p *problem.Problem) {
	x.router.log.Warn("refused", append(x.logFields(),
		"reason", p.Reason, "ran", p.Execution, "detail", p.Detail, "begun", x.answerBegun,
		"delivered", x.summary.delivered, "first_byte_ms", x.summary.firstByte.Milliseconds(),
		"retry_after_ms", p.RetryAfter.Milliseconds())...)
}

// logFields returns the log fields with the inputs of the routing decision.
func (x *exchange) logFields() []any {
	fields := []any{
		"request", x.call.ID, "ms", x.router.now().Sub(x.start).Milliseconds(),
		"deadline_ms", x.call.Deadline.Milliseconds(), "service", x.service, "workspace", x.workspace,
		"era", x.era, "revision", x.revision,
		"tries", x.tries, "runs", x.executions, "target", x.summary.target, "version", x.summary.version,
		"running", x.summary.running, "limit", x.summary.limit, "kept", x.summary.kept, "placed", x.summary.reason,
	}
	if x.catalog != nil {
		fields = append(fields, "catalog", x.catalog.Version())
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	fields = append(fields, x.resumptionFields()...)
	if n := len(x.call.PromptParts); n > 0 {
		fields = append(fields, "key", uint32(x.call.PromptParts[n-1].Hash), "shared", x.sharedTokens())
	}
	fields = append(fields, x.attempts.LogFields()...)
	if c := x.summary.conn; c != nil && c.Via() != "" {
		fields = append(fields, "via", c.Via())
	}
	fields = append(fields, x.transferFields()...)
	if x.summary.fetchFrom != "" {
		fields = append(fields, "fetch_from", x.summary.fetchFrom)
	}
	if x.summary.owner != "" {
		fields = append(fields, "owner", x.summary.owner, "waited_ms", x.summary.waited.Milliseconds())
	}
	if x.summary.fallback != "" {
		fields = append(fields, "owner_fallback", x.summary.fallback)
	}
	return fields
}

func (x *exchange) sharedTokens() int {
	sum := 0
	for _, p := range x.call.PromptParts {
		sum += p.Tokens
	}
	return sum
}
