package claims

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// link is the state of the network link to a node.
type link int

const (
	linkUp           link = iota
	linkDown              // calls fail with peer.ErrUnreachable
	linkDropsCalls        // calls are not delivered and time out
	linkDropsReplies      // calls are served, but their replies are lost
)

// fleet is a set of services that share a network and a store, both with injected faults.
type fleet struct {
	store *faultyStore
	view  atomic.Pointer[membership.View]

	mu       sync.Mutex
	links    map[string]link
	failures int // number of next calls that fail with peer.ErrUnreachable
	calls    int
	bytes    int // total size of the calls' parameters in JSON
	handlers map[string]map[string]peer.Handler
	nodes    map[string]*Service
}

// View implements membership.Source.
func (f *fleet) View() *membership.View { return f.view.Load() }

// port is one node's Peers. Addresses are node IDs.
type port struct {
	fleet *fleet
	self  string
}

func (p port) Handle(method string, h peer.Handler) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.handlers[p.self] == nil {
		p.fleet.handlers[p.self] = make(map[string]peer.Handler)
	}
	p.fleet.handlers[p.self][method] = h
}

func (p port) Call(ctx context.Context, addr, method string, params, result any) error {
	p.fleet.mu.Lock()
	state := p.fleet.links[addr]
	if p.fleet.failures > 0 {
		p.fleet.failures--
		state = linkDown
	}
	handler := p.fleet.handlers[addr][method]
	p.fleet.mu.Unlock()
	switch state {
	case linkDown:
		return peer.ErrUnreachable
	case linkDropsCalls:
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	p.fleet.count(len(raw))
	v, err := handler(ctx, raw)
	if err != nil {
		return err
	}
	if state == linkDropsReplies {
		<-ctx.Done()
		return ctx.Err()
	}
	if raw, err = json.Marshal(v); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (f *fleet) link(id string, l link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[id] = l
}

func (f *fleet) count(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.bytes += bytes
}

func (f *fleet) isUp(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[id] != linkDown
}

// failCalls makes the given number of next calls fail with peer.ErrUnreachable.
func (f *fleet) failCalls(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = calls
}

// owner returns the ID of the primary owner of a key's shard.
func (f *fleet) owner(k Key) string {
	n, _ := newOwnerSelector(f, func() core.Instant { return 0 }).pick(core.NewKeyID(k.Team, k.Workspace, k.Idempotency).Shard(), 0)
	return n.ID
}

// nonOwner returns a node that is not the primary owner of the key's shard.
func (f *fleet) nonOwner(k Key) *Service {
	owner := f.owner(k)
	for id, s := range f.nodes {
		if id != owner {
			return s
		}
	}
	return nil
}

func newFleet(t *testing.T, set Settings, ids ...string) *fleet {
	f := buildFleet(set, ids...)
	f.start(t)
	return f
}

// buildFleet returns a fleet whose services are not started.
func buildFleet(set Settings, ids ...string) *fleet {
	f := &fleet{
		store:    &faultyStore{Store: memory.New(time.Now)},
		links:    make(map[string]link),
		handlers: make(map[string]map[string]peer.Handler),
		nodes:    make(map[string]*Service),
	}
	view := &membership.View{}
	for _, id := range ids {
		view.Nodes = append(view.Nodes, membership.Node{ID: id, PeerAddr: id})
	}
	f.view.Store(view)
	for _, id := range ids {
		f.addNode(set, id, 1)
	}
	return f
}

// addNode adds a service for a node with the given incarnation, replacing an earlier one.
func (f *fleet) addNode(set Settings, id string, incarnation int64) {
	f.nodes[id] = NewService(core.Holder{Node: id, Incarnation: incarnation}, set, f.store, port{f, id}, f,
		log.New(io.Discard), prometheus.NewRegistry())
}

// replaceNode replaces the entry of a node in the membership view.
func (f *fleet) replaceNode(n membership.Node) {
	v := &membership.View{Nodes: slices.Clone(f.View().Nodes)}
	for i := range v.Nodes {
		if v.Nodes[i].ID == n.ID {
			v.Nodes[i] = n
		}
	}
	f.view.Store(v)
}

// markLeaving sets the state of a node in the membership view to membership.Leaving.
func (f *fleet) markLeaving(id string) {
	f.replaceNode(membership.Node{ID: id, PeerAddr: id, State: membership.Leaving})
}

// stop drains and stops nodes, and then makes them unreachable. The membership view stays
// as it is, like that of a node that has not yet received the change.
func (f *fleet) stop(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if err := f.nodes[id].Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range ids {
		if err := f.nodes[id].Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.link(id, linkDown)
	}
}

func (f *fleet) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, s := range f.nodes {
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// faultyStore forwards calls to a store and injects faults.
type faultyStore struct {
	store.Store

	mu sync.Mutex
	// refuse makes every call fail without effect.
	refuse bool
	// loseResults is the number of next commits that fail after taking effect.
	loseResults int
	commits     int
	// hold, if not nil, blocks commits until it is closed.
	hold chan struct{}
}

func (s *faultyStore) set(f func(*faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *faultyStore) List(ctx context.Context, prefix string) (store.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return store.ListResult{}, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		<-hold
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.refuse {
		return 0, false, store.ErrUnavailable
	}
	revision, ok, err := s.Store.Commit(ctx, t)
	if s.loseResults > 0 {
		s.loseResults--
		return 0, false, store.ErrUncertain
	}
	return revision, ok, err
}

// fastSettings returns settings with short pauses, for tests.
func fastSettings() Settings {
	s := DefaultSettings()
	s.Shard.Interval = time.Millisecond
	s.Shard.MaxStateAge = 0
	s.Shard.MaxNoEarlierRunAge = time.Hour
	s.Shard.Backoff = time.Millisecond
	s.Attempt.Life = time.Minute
	s.Ends.MinBackoff = time.Millisecond
	s.Ends.MaxBackoff = 5 * time.Millisecond
	return s
}

// claim calls Claim until the verdict is not InProgress.
func claim(t *testing.T, s *Service, k Key, f Fingerprint) Verdict {
	t.Helper()
	for {
		v, err := s.Claim(t.Context(), k, f)
		if err != nil {
			t.Fatal(err)
		}
		if v.State != InProgress {
			return v
		}
		time.Sleep(time.Millisecond)
	}
}

func checkRefusal(is *is.I, err error, ran problem.Execution) {
	is.Helper()
	var p *problem.Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Reason, problem.ClaimsUnavailable)
	is.Equal(p.Execution, ran)
	is.True(p.RetryAfter > 0)
}
