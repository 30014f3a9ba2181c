package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/quarantine/gossip"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

const (
	keyA      = "key-a"
	keyB      = "key-b"
	chatBody  = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	streamReq = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

func testSettings() *settings.Snapshot {
	ws := func(key string) settings.Workspace {
		return settings.Workspace{KeysSHA256: []string{settings.KeyDigest(key)}}
	}
	return settings.NewSnapshot(1, map[string]settings.Team{
		"a": {
			Workspaces: map[string]settings.Workspace{"wa": ws(keyA)},
			Models:     map[string]settings.Model{"m": {Shared: true}},
			Services: map[string]settings.Service{"s": {Routes: []settings.Route{
				{Method: "GET", Prefix: "/notices", Repeatable: false},
				{Method: "POST", Prefix: "/search", Repeatable: true},
			}}},
		},
		"b": {Workspaces: map[string]settings.Workspace{"wb": ws(keyB)}},
	})
}

type fakeSettings struct{ snap *settings.Snapshot }

func (f *fakeSettings) ID() kernel.ID                { return settings.ServiceID }
func (f *fakeSettings) Snapshot() *settings.Snapshot { return f.snap }

// fakeAdmitter grants the first target that isn't excluded.
type fakeAdmitter struct {
	mu       sync.Mutex
	targets  []targets.Target
	err      error // returned instead of a grant if not nil
	held     int
	requests []admission.Request
	loads    map[string]int
	results  []admission.Result // of the released places, in order of release
}

func (f *fakeAdmitter) ID() kernel.ID { return admission.ServiceID }

func (f *fakeAdmitter) Acquire(_ context.Context, r admission.Request) (admission.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if f.err != nil {
		return admission.Grant{}, f.err
	}
	for _, t := range f.targets {
		if !slices.Contains(r.Exclude, t.ID) {
			f.held++
			return admission.Grant{Target: t, Release: f.release}, nil
		}
	}
	return admission.Grant{}, problem.New(problem.NoTarget, problem.NotRun, r.Pool.Name).WithRetryAfter(time.Second)
}

func (f *fakeAdmitter) release(r admission.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held--
	f.results = append(f.results, r)
}

func (f *fakeAdmitter) Observe(target string, inFlight int, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[target] = inFlight
}

type fakeTargets struct {
	mu      sync.Mutex
	pool    []targets.Target
	leaving []string
}

func (f *fakeTargets) ID() kernel.ID { return targets.ServiceID }

// setLeaving marks all targets as leaving.
func (f *fakeTargets) setLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool = slices.Clone(f.pool)
	for i := range f.pool {
		f.pool[i].Leaving = true
	}
}

func (f *fakeTargets) Snapshot() *targets.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &targets.Snapshot{Pools: map[string][]targets.Target{"m": f.pool, "s": f.pool}}
}

func (f *fakeTargets) ObserveLeaving(target string, _ int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, target)
}

type fakeGuard struct{ guard *quarantine.Guard }

func (fakeGuard) ID() kernel.ID              { return gossip.ServiceID }
func (f fakeGuard) Guard() *quarantine.Guard { return f.guard }

// node is a gateway with fake services behind a real HTTP server.
type node struct {
	*Gateway
	url      string
	settings *fakeSettings
	admitter *fakeAdmitter
	targets  *fakeTargets
	metrics  *prometheus.Registry
	servers  []*httptest.Server
}

// stopTarget makes a target refuse connections; requests in progress continue.
func (n *node) stopTarget(i int) { _ = n.servers[i].Listener.Close() }

type option func(*config.Node, *[]kernel.Service)

func withClaimer(c claims.Claimer) option {
	return func(_ *config.Node, s *[]kernel.Service) { *s = append(*s, claimService{c}) }
}

func withConfig(f func(*config.Node)) option {
	return func(c *config.Node, _ *[]kernel.Service) { f(c) }
}

// withIncarnation gives all targets an incarnation.
func withIncarnation(i int64) option {
	return func(_ *config.Node, services *[]kernel.Service) {
		for _, s := range *services {
			switch s := s.(type) {
			case *fakeAdmitter:
				for k := range s.targets {
					s.targets[k].Incarnation = i
				}
			case *fakeTargets:
				s.setIncarnation(i)
			}
		}
	}
}

type claimService struct{ claims.Claimer }

func (claimService) ID() kernel.ID { return claims.ServiceID }

// newNode starts a gateway with targets t1, t2, … that run the given handlers.
func newNode(t testing.TB, handlers []http.Handler, opts ...option) *node {
	t.Helper()
	cfg := &config.Node{
		MaxBodyBytes: 1 << 20, BodyTimeout: 5 * time.Second, MaxAttempts: 3,
		RetryShare: 0.1, ResumeHold: 10 * time.Second, StreamHold: time.Minute,
	}
	var pool []targets.Target
	var servers []*httptest.Server
	for i, h := range handlers {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		servers = append(servers, srv)
		pool = append(pool, targets.Target{ID: "t" + string(rune('1'+i)), Addr: srv.Listener.Addr().String()})
	}
	n := &node{
		settings: &fakeSettings{testSettings()},
		admitter: &fakeAdmitter{targets: pool, loads: make(map[string]int)},
		targets:  &fakeTargets{pool: pool},
		metrics:  prometheus.NewRegistry(),
		servers:  servers,
	}
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), clock.Monotonic, log.New(io.Discard), prometheus.NewRegistry())
	services := []kernel.Service{n.settings, n.admitter, n.targets, fakeGuard{guard}}
	for _, o := range opts {
		o(cfg, &services)
	}
	n.Gateway = New(cfg, log.New(io.Discard), n.metrics)
	n.budgets.RecordNewFleet() // it has its part of the retry slack at once
	k, err := kernel.New(append(services, n.Gateway)...)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Provision(k); err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = n.newServer()
	srv.Start()
	t.Cleanup(srv.Close)
	n.url = srv.URL
	return n
}

// response is what a caller received.
type response struct {
	status  int
	header  http.Header
	body    string
	err     error // of the connection or of reading the body
	closes  bool  // the response closes the connection
	problem problem.Problem
}

// isRefusal reports whether the response is a refusal with this reason and ran.
func (a response) isRefusal(reason problem.Reason, ran problem.Execution) bool {
	return a.problem.Reason == reason && a.problem.Execution == ran
}

// send sends a request with an API key, if not empty, and pairs of header names and values.
func (n *node) send(t *testing.T, method, path, key, body string, header ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, n.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err, closes: resp.Close}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problem.ContentType) {
		if err := json.Unmarshal(bytes.TrimSpace(raw), &a.problem); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

func (n *node) chat(t *testing.T, body string, header ...string) response {
	t.Helper()
	return n.send(t, "POST", chatPath, keyA, body, header...)
}

// released reports whether every granted place was released.
func (n *node) released() bool {
	n.admitter.mu.Lock()
	defer n.admitter.mu.Unlock()
	return n.admitter.held == 0
}

// refused returns the value of refusals_total for a reason.
func (n *node) refused(r problem.Reason) float64 {
	return testutil.ToFloat64(n.Gateway.metrics.refusals.WithLabelValues(string(r)))
}

// target counts the requests that it received and responds with its handler.
type target struct {
	mu      sync.Mutex
	runs    int
	headers []http.Header
	paths   []string
	handler http.HandlerFunc
}

func (s *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs++
	s.headers = append(s.headers, r.Header)
	s.paths = append(s.paths, r.RequestURI)
	s.mu.Unlock()
	s.handler(w, r)
}

func (s *target) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// header returns the header of the i-th request.
func (s *target) header(i int) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[i]
}

func okTarget() *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"ok":true}`)
	}}
}

func statusTarget(code int) *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }}
}

// abortTarget runs the request, then closes the connection without a response.
func abortTarget() *target {
	return &target{handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
}

func handlers(ts ...*target) []http.Handler {
	var hs []http.Handler
	for _, t := range ts {
		hs = append(hs, t)
	}
	return hs
}
