package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/problem"
)

// outcome classifies how a request ended, over all its tries.
type outcome int

const (
	outcomeWhole             outcome = iota // the complete answer to this request
	outcomeRefused                          // the last try was reported as not run
	outcomeLost                             // cut or unanswered, with no error reported
	outcomeFailed                           // an error was reported instead of a complete answer
	outcomeAnswerUnavailable                // reported as run or of unknown outcome, without the answer
	outcomeWrong                            // the answer to another request
)

// String returns the name of an outcome as the printed result shows it.
func (o outcome) String() string {
	return [...]string{"whole answer", "refusal", "lost answer", "failure", "answer gone", "answer of another"}[o]
}

const (
	idleConnsPerNode = 256
	defaultBackoff   = 100 * time.Millisecond
)

// request is one request of a caller, the same for every node and try except resume.
type request struct {
	kind    kind
	method  string
	path    string
	body    []byte
	apiKey  string
	chatID  string
	urgency urgency
	key     string   // Idempotency-Key, "" for none
	resume  *partial // the interrupted stream to resume, nil for a new attempt
	// read reads a 200 answer. An error that is not a *failure counts as MayHaveRun.
	read func(body io.Reader, start time.Time) (answer, error)
}

// partial is the received part of a stream that ended without [DONE] or an error event. The rest
// can be requested from any node.
type partial struct {
	id         string // X-Request-Id
	lastEvent  string // ID of the last complete event
	content    string
	firstToken time.Duration // time to the first token
}

// failure describes an attempt without a complete answer.
type failure struct {
	reason     problem.Reason // "" without a problem document
	ran        problem.Execution
	reported   bool // in a problem document or an error event
	partial    *partial
	retryAfter time.Duration
	cause      error
}

func (f *failure) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// mayRetry reports whether a caller may retry: if the request was not run, to resume a stream, or
// with its idempotency key, unless the reason is final for the key or the stream. Under faults it
// also retries a repeatable request (all but notices) after a failure that was not reported, such
// as a broken connection.
func (f *failure) mayRetry(req request, underFaults bool) bool {
	switch f.reason {
	case problem.ClaimUnknown, problem.ClaimAnswerExpired, problem.ClaimConflict, problem.StreamNotResumable:
		return false
	}
	repeatable := req.kind != kindNotice && underFaults && !f.reported
	return f.ran == problem.NotRun || req.key != "" || f.partial != nil || repeatable
}

// send sends the request to one node after another until it is answered or may not be retried, and
// returns the answer or the last failure. The time to the first token counts from the first try.
func (r *Runner) send(ctx context.Context, rng *rand.Rand, req request) (answer, *failure) {
	begin := time.Now()
	for try := 1; ; try++ {
		elapsed := time.Since(begin)
		a, fail := r.try(ctx, r.balancer.pick(rng), req)
		if fail == nil {
			if a.firstToken > 0 && req.resume == nil {
				a.firstToken += elapsed
			}
			return a, nil
		}
		if try == r.cfg.MaxTries || !fail.mayRetry(req, r.cfg.UnderFaults) || ctx.Err() != nil {
			return answer{}, fail
		}
		r.countRetry(fail)
		req.resume = fail.partial
		sleep(ctx, fail.retryDelay(rng, r.cfg.MaxRetryAfter))
	}
}

// retryDelay returns the time until the next try: Retry-After, but at least defaultBackoff and at
// most limit, plus a jitter of up to defaultBackoff.
func (f *failure) retryDelay(rng *rand.Rand, limit time.Duration) time.Duration {
	after := min(max(f.retryAfter, defaultBackoff), limit)
	return after + time.Duration(rng.Int64N(int64(defaultBackoff)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// try makes one attempt, or resumes an interrupted one. It records for an attempt whether the
// request was reported as run.
func (r *Runner) try(ctx context.Context, node string, req request) (answer, *failure) {
	if req.resume != nil {
		return r.tryResume(ctx, node, req)
	}
	n, id := r.ledger.newAttempt(req.kind)
	a, fail := r.do(ctx, node, id, req)
	if fail == nil {
		return a, nil
	}
	r.ledger.recordExecution(n, fail.ran)
	if fail.partial != nil {
		fail.partial.id = id
	}
	return answer{}, fail
}

// tryResume requests the rest of a stream under the request ID of its attempt.
func (r *Runner) tryResume(ctx context.Context, node string, req request) (answer, *failure) {
	received := *req.resume
	a, fail := r.do(ctx, node, received.id, req)
	switch {
	case fail == nil:
		a.content, a.firstToken = received.content+a.content, received.firstToken
		return a, nil
	case fail.partial != nil:
		received.content += fail.partial.content
		received.lastEvent = fail.partial.lastEvent
		fail.partial = &received
	default:
		fail.partial = req.resume
	}
	return answer{}, fail
}

// do makes one exchange. An error that is not a *failure counts as MayHaveRun.
func (r *Runner) do(ctx context.Context, node, id string, req request) (answer, *failure) {
	a, err := r.exchange(ctx, node, id, req)
	if err == nil {
		return a, nil
	}
	var fail *failure
	if !errors.As(err, &fail) {
		fail = &failure{ran: problem.MayHaveRun, cause: err}
	}
	return answer{}, fail
}

// exchange sends the request to a node with request ID id and reads the answer.
func (r *Runner) exchange(ctx context.Context, node, id string, req request) (answer, error) {
	hr, err := http.NewRequestWithContext(ctx, req.method, node+req.path, bytes.NewReader(req.body))
	if err != nil {
		return answer{}, err
	}
	hr.Header.Set("X-Request-Id", id)
	hr.Header.Set("Authorization", "Bearer "+req.apiKey)
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set("Priority", "u="+strconv.Itoa(int(req.urgency)))
	if req.chatID != "" {
		hr.Header.Set("X-Chat-Id", req.chatID)
	}
	if req.key != "" {
		hr.Header.Set("Idempotency-Key", req.key)
	}
	if req.resume != nil {
		hr.Header.Set("Last-Event-ID", req.resume.lastEvent)
	}
	start := time.Now()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := r.client.Do(hr.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return answer{}, transportFailure(err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer{}, readProblem(resp)
	}
	return req.read(resp.Body, start)
}

// transportFailure returns the failure for an error of the HTTP client. It is "not run" only if no
// connection was used. A dial error alone doesn't show that: after a reused connection ends, the
// client resends a request that it considers idempotent, and that dial can fail although the first
// connection delivered the request.
func transportFailure(err error, connected bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !connected {
		return &failure{ran: problem.NotRun, cause: err}
	}
	return &failure{ran: problem.MayHaveRun, cause: err}
}

// readProblem reads a problem document (RFC 9457). Without a member that states whether the request
// ran, it counts as MayHaveRun.
func readProblem(resp *http.Response) error {
	const maxBytes = 64 << 10
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	var p problem.Problem
	f := &failure{ran: problem.MayHaveRun, cause: errors.Newf("status %d: %.300s", resp.StatusCode, raw)}
	if json.Unmarshal(raw, &p) == nil && p.Execution != "" {
		f.reported, f.ran, f.reason = true, p.Execution, p.Reason
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	return f
}
