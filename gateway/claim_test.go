package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/targets"
)

// fakeClaimer holds claims in memory.
type fakeClaimer struct {
	mu      sync.Mutex
	records map[claims.Key]*fakeTicket
	err     error // returned by Claim if not nil
	expired bool  // tickets are no longer valid
}

type fakeTicket struct {
	claimer     *fakeClaimer
	key         claims.Key
	fingerprint claims.Fingerprint
	state       claims.State
	finished    int
	outcome     claims.Outcome
	response    *claims.Answer
}

func newFakeClaimer() *fakeClaimer {
	return &fakeClaimer{records: make(map[claims.Key]*fakeTicket)}
}

func (f *fakeClaimer) Claim(_ context.Context, k claims.Key, fp claims.Fingerprint) (claims.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return claims.Verdict{}, f.err
	}
	r, ok := f.records[k]
	if !ok {
		r = &fakeTicket{claimer: f, key: k, fingerprint: fp, state: claims.InProgress}
		f.records[k] = r
		return claims.Verdict{State: claims.Granted, Ticket: r}, nil
	}
	if r.fingerprint != fp {
		return claims.Verdict{State: claims.Mismatch}, nil
	}
	return claims.Verdict{State: r.state, Answer: r.response, RetryAfter: time.Second}, nil
}

func (r *fakeTicket) Valid() bool {
	r.claimer.mu.Lock()
	defer r.claimer.mu.Unlock()
	return !r.claimer.expired
}

func (r *fakeTicket) Finish(o claims.Outcome, a *claims.Answer) {
	r.claimer.mu.Lock()
	defer r.claimer.mu.Unlock()
	r.finished++
	r.outcome, r.response = o, a
	switch o {
	case claims.Ran:
		r.state = claims.Done
	case claims.PossiblyRun:
		r.state = claims.Unknown
	default:
		delete(r.claimer.records, r.key)
	}
}

// finished waits until the claim of key by workspace wa of team a is finished. It returns its
// outcome and whether the claim is still recorded.
func (f *fakeClaimer) finished(t *testing.T, key string) (o claims.Outcome, recorded bool) {
	t.Helper()
	eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		r, ok := f.records[claims.Key{Team: "a", Workspace: "wa", Idempotency: key}]
		if ok && r.finished > 1 {
			t.Fatalf("finished %d times", r.finished)
		}
		if ok {
			o, recorded = r.outcome, true
		}
		return !ok || r.finished == 1
	})
	return o, recorded
}

const lettersPath = "/services/s/letters"

func TestClaimedOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		targets []*target
		status  int
		reason  problem.Reason
		ran     problem.Execution
		outcome claims.Outcome
	}{
		{"answered", lettersPath, []*target{okTarget()}, 200, "", "", claims.Ran},
		{"the service's own 503", lettersPath, []*target{statusTarget(503)}, 503, "", "", claims.Ran},
		{"aborted", lettersPath, []*target{abortTarget(), okTarget()}, 502, problem.TargetFailed, problem.MayHaveRun, claims.PossiblyRun},
		{"declared not run", lettersPath, []*target{notRunTarget()}, 503, problem.NoTarget, problem.NotRun, claims.NotRun},
		{"no target", lettersPath, nil, 503, problem.NoTarget, problem.NotRun, claims.NotRun},
		{"aborted chat is not repeated", chatPath, []*target{abortTarget(), okTarget()}, 502, problem.TargetFailed, problem.MayHaveRun, claims.PossiblyRun},
		{"chat refused, then answered", chatPath, []*target{statusTarget(503), okTarget()}, 200, "", "", claims.Ran},
		{"chat refused everywhere", chatPath, []*target{statusTarget(503)}, 503, problem.NoTarget, problem.NotRun, claims.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			claimer := newFakeClaimer()
			n := newNode(t, handlers(tt.targets...), withClaimer(claimer))
			a := n.send(t, "POST", tt.path, keyA, chatBody, HeaderIdempotencyKey, "k")
			is.Equal(a.status, tt.status)
			is.True(a.isRefusal(tt.reason, tt.ran))
			eventually(t, n.released)
			got, recorded := claimer.finished(t, "k")
			is.Equal(got, tt.outcome)
			is.Equal(recorded, tt.outcome != claims.NotRun) // without a run the key is free
		})
	}
}

// A repeated key gets the stored response without a second run.
func TestClaimedResponseIsReplayed(t *testing.T) {
	is := is.New(t)
	tg := okTarget()
	claimer := newFakeClaimer()
	n := newNode(t, handlers(tg), withClaimer(claimer))
	first := n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	claimer.finished(t, "k")
	again := n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.Equal(first.body, again.body)
	is.Equal(first.header.Get("Content-Type"), again.header.Get("Content-Type"))
	is.Equal(first.header.Get(HeaderReplayed), "")
	is.Equal(again.header.Get(HeaderReplayed), "true")
	is.Equal(tg.count(), 1)
}

// Keys are scoped to a workspace: the same key in another workspace is a different request.
func TestClaimsAreSeparate(t *testing.T) {
	is := is.New(t)
	tg := okTarget()
	n := newNode(t, handlers(tg), withClaimer(newFakeClaimer()))
	for _, key := range []string{keyA, keyB} {
		a := n.send(t, "POST", chatPath, key, chatBody, HeaderIdempotencyKey, "k")
		is.Equal(a.header.Get(HeaderReplayed), "")
	}
	is.Equal(tg.count(), 2)
}

func TestClaimVerdicts(t *testing.T) {
	tests := []struct {
		name   string
		state  claims.State
		status int
		reason problem.Reason
		ran    problem.Execution
	}{
		{"in progress", claims.InProgress, 409, problem.ClaimInProgress, problem.MayHaveRun},
		{"unknown", claims.Unknown, 409, problem.ClaimUnknown, problem.MayHaveRun},
		{"answer not held", claims.Done, 409, problem.ClaimAnswerExpired, problem.WasRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tg := okTarget()
			claimer := newFakeClaimer()
			n := newNode(t, handlers(tg), withClaimer(claimer))
			is.Equal(n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k").status, 200)
			claimer.finished(t, "k")
			for _, r := range claimer.records {
				r.state, r.response = tt.state, nil
			}
			a := n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
			is.Equal(a.status, tt.status)
			is.True(a.isRefusal(tt.reason, tt.ran))
			// Repeating the request is useful only while the first one is in progress. Otherwise
			// there is no Retry-After, and X-Should-Retry forbids an automatic retry.
			is.Equal(a.header.Get("Retry-After") != "", tt.state == claims.InProgress)
			is.Equal(a.header.Get("X-Should-Retry") == "", tt.state == claims.InProgress)
			other := n.send(t, "POST", lettersPath, keyA, "other", HeaderIdempotencyKey, "k")
			is.Equal(other.status, 422)
			is.True(other.isRefusal(problem.ClaimConflict, problem.NotRun))
			is.Equal(tg.count(), 1)
		})
	}
}

func TestClaimsUnavailable(t *testing.T) {
	is := is.New(t)
	tg := okTarget()
	without := newNode(t, handlers(tg))
	a := without.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.True(a.isRefusal(problem.ClaimsUnavailable, problem.NotRun))

	claimer := newFakeClaimer()
	claimer.err = errors.New("store out")
	n := newNode(t, handlers(tg), withClaimer(claimer))
	a = n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.Equal(a.status, 503)
	is.True(a.isRefusal(problem.ClaimsUnavailable, problem.NotRun))
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(tg.count(), 0)
}

// A request isn't sent if its ticket expires before the first byte is sent. The check comes
// after the connection is established.
func TestLapsedTicketIsNotUsed(t *testing.T) {
	is := is.New(t)
	tg := okTarget()
	claimer := newFakeClaimer()
	claimer.expired = true
	n := newNode(t, handlers(tg, okTarget()), withClaimer(claimer))
	a := n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.Equal(a.status, 503)
	is.True(a.isRefusal(problem.ClaimsUnavailable, problem.NotRun))
	is.Equal(tg.count(), 0)
	is.Equal(len(n.admitter.requests), 1) // isn't retried on another target
}

// A panic after the request was sent records an unknown outcome; a panic before that frees the
// key.
func TestClaimSurvivesPanic(t *testing.T) {
	is := is.New(t)
	claimer := newFakeClaimer()
	tg := okTarget()
	n := newNode(t, handlers(tg), withClaimer(claimer))
	n.Gateway.loads = panicObserver{}
	handler := tg.handler
	tg.handler = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderLoadReport, `JSON {"named_metrics":{"in_flight":7}}`)
		handler(w, r)
	}
	a := n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.True(a.isRefusal(problem.Internal, problem.MayHaveRun))
	got, _ := claimer.finished(t, "k")
	is.Equal(got, claims.PossiblyRun)
	is.True(n.released())

	n.Gateway.admitter = nil
	a = n.send(t, "POST", lettersPath, keyA, chatBody, HeaderIdempotencyKey, "k2")
	is.True(a.isRefusal(problem.Internal, problem.NotRun))
	_, recorded := claimer.finished(t, "k2")
	is.True(!recorded)
}

type panicObserver struct{}

func (panicObserver) Observe(string, int, time.Time) { panic("observer") }

// A caller that disconnects doesn't cancel a claimed run, and the response is stored.
func TestClaimedRunOutlivesCaller(t *testing.T) {
	is := is.New(t)
	claimer := newFakeClaimer()
	finish := make(chan struct{})
	tg := okTarget()
	handler := tg.handler
	tg.handler = func(w http.ResponseWriter, r *http.Request) {
		<-finish
		handler(w, r)
	}
	n := newNode(t, handlers(tg), withClaimer(claimer))
	n.sendAndDisconnect(t, tg, "POST", chatPath, HeaderIdempotencyKey, "k")
	close(finish)
	eventually(t, n.released)
	got, _ := claimer.finished(t, "k")
	is.Equal(got, claims.Ran)
	a := n.send(t, "POST", chatPath, keyA, chatBody, HeaderIdempotencyKey, "k")
	is.Equal(a.status, 200)
	is.Equal(a.header.Get(HeaderReplayed), "true")
	is.Equal(tg.count(), 1)
}

// A request with a key whose connection the target dropped runs once, however often its caller
// repeats it.
func TestClaimedCallIsNeverRepeated(t *testing.T) {
	is := is.New(t)
	d := newDroppingTarget(t)
	claimer := newFakeClaimer()
	n := newNode(t, nil, withClaimer(claimer))
	n.admitter.targets = []targets.Target{{ID: "t1", Addr: d.ln.Addr().String()}}
	for range 3 {
		n.send(t, "POST", lettersPath, keyA, "", HeaderIdempotencyKey, "k")
	}
	is.Equal(d.runs.Load(), int32(1))
}
