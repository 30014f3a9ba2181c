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

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeWhole      outcome = iota
	outcomeRefused            // told that it was not run, at every try
	outcomeLost               // cut or unanswered without a word
	outcomeFailed             // told by an error that there is no whole answer
	outcomeUnanswered         // told as run or of unknown outcome, the answer gone
	outcomeWrong              // another caller's answer
)

// String names an outcome for people.
func (o outcome) String() string {
	return [...]string{"whole answer", "refusal", "lost answer", "failure", "answer gone", "answer of another"}[o]
}

const (
	idleConnsPerNode = 256
	defaultBackoff   = 100 * time.Millisecond
)

// request is what a caller asks for, whatever the node and the try.
type request struct {
	kind    kind
	method  string
	path    string
	body    []byte
	apiKey  string
	chatID  string
	urgency urgency
	key     string // Idempotency-Key, "" for none
	resume  *partial
	// read reads a 200 answer; a *failure tells what the caller was told.
	read func(body io.Reader, start time.Time) (answer, error)
}

// partial is a stream that broke off without a word; the rest of it can be
// asked for through any node.
type partial struct {
	id        string // X-Request-Id
	lastEvent string
	content   string
	first     time.Duration
}

// failure is an attempt that brought no whole answer.
type failure struct {
	reason     problem.Reason
	ran        problem.Execution
	told       bool // by a problem document or an error event
	partial    *partial
	retryAfter time.Duration
	cause      error
}

func (f *failure) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// callAgain says whether a caller may ask again: if nothing was run, for the
// rest of a stream, or with its key unless the key's outcome is settled. Under
// faults it also repeats what may be repeated after a broken connection.
func (f *failure) callAgain(req request, underFaults bool) bool {
	switch f.reason {
	case problem.ClaimUnknown, problem.ClaimAnswerExpired, problem.ClaimConflict, problem.StreamNotResumable:
		return false
	}
	repeatable := req.kind != kindNotice && underFaults && !f.told
	return f.ran == problem.NotRun || req.key != "" || f.partial != nil || repeatable
}

// send asks through the nodes until there is an answer or no further try is
// allowed. It returns the last failure. The time to the first token counts
// from the first try.
func (r *Runner) send(ctx context.Context, rng *rand.Rand, req request) (answer, *failure) {
	begin := time.Now()
	for try := 1; ; try++ {
		waited := time.Since(begin)
		a, fail := r.try(ctx, r.balancer.pick(rng), req)
		if fail == nil {
			if a.first > 0 && req.resume == nil {
				a.first += waited
			}
			return a, nil
		}
		if try == r.cfg.MaxTries || !fail.callAgain(req, r.cfg.UnderFaults) || ctx.Err() != nil {
			return answer{}, fail
		}
		r.countRetry(fail)
		req.resume = fail.partial
		pause(ctx, fail.pause(rng, r.cfg.MaxRetryAfter))
	}
}

// pause returns how long to wait: Retry-After or a short backoff, with jitter
// on top.
func (f *failure) pause(rng *rand.Rand, limit time.Duration) time.Duration {
	after := min(max(f.retryAfter, defaultBackoff), limit)
	return after + time.Duration(rng.Int64N(int64(defaultBackoff)))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// try makes one attempt, or asks for the rest of one, and records what it was
// told.
func (r *Runner) try(ctx context.Context, node string, req request) (answer, *failure) {
	if req.resume != nil {
		return r.tryRest(ctx, node, req)
	}
	n, id := r.ledger.attempt(req.kind)
	a, fail := r.do(ctx, node, id, req)
	if fail == nil {
		return a, nil
	}
	r.ledger.told(n, fail.ran)
	if fail.partial != nil {
		fail.partial.id = id
	}
	return answer{}, fail
}

// tryRest asks for the rest of a stream under its request ID.
func (r *Runner) tryRest(ctx context.Context, node string, req request) (answer, *failure) {
	so := *req.resume
	a, fail := r.do(ctx, node, so.id, req)
	switch {
	case fail == nil:
		a.content, a.first = so.content+a.content, so.first
		return a, nil
	case fail.partial != nil:
		so.content += fail.partial.content
		so.lastEvent = fail.partial.lastEvent
		fail.partial = &so
	default:
		fail.partial = req.resume
	}
	return answer{}, fail
}

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
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := r.client.Do(hr.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return answer{}, connectFailure(err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer{}, readProblem(resp)
	}
	return req.read(resp.Body, start)
}

// connectFailure is "not run" only if no connection was made. A dial may fail
// though the request was sent: the client sends what it takes for repeatable
// again after a kept connection has ended.
func connectFailure(err error, sent bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !sent {
		return &failure{ran: problem.NotRun, cause: err}
	}
	return &failure{ran: problem.MayHaveRun, cause: err}
}

// readProblem reads a refusal (RFC 9457). One that doesn't say whether the
// request was run counts as unknown.
func readProblem(resp *http.Response) error {
	const maxBytes = 64 << 10
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	var p problem.Problem
	f := &failure{ran: problem.MayHaveRun, cause: errors.Newf("status %d: %.300s", resp.StatusCode, raw)}
	if json.Unmarshal(raw, &p) == nil && p.Execution != "" {
		f.told, f.ran, f.reason = true, p.Execution, p.Reason
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	return f
}
