package claims

import (
	"context"
	"encoding/json"
	"io"
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

// link is what befalls calls to a node.
type link int

const (
	linkUp      link = iota
	linkDown         // unreachable
	linkSilent       // the call is not seen and has no reply
	linkMuffled      // the call is served, the reply is lost
)

// fleet is a set of services with a network and a store that can fail.
type fleet struct {
	store *faultyStore
	view  atomic.Pointer[membership.View]

	mu       sync.Mutex
	links    map[string]link
	handlers map[string]map[string]peer.Handler
	nodes    map[string]*Service
}

// View implements membership.Source.
func (f *fleet) View() *membership.View { return f.view.Load() }

// port is one node's access to the network. Addresses are node IDs.
type port struct {
	fleet *fleet
	self  string
}

func (p port) Handle(method string, h peer.Handler) {
	if p.fleet.handlers[p.self] == nil {
		p.fleet.handlers[p.self] = make(map[string]peer.Handler)
	}
	p.fleet.handlers[p.self][method] = h
}

func (p port) Call(ctx context.Context, addr, method string, params, result any) error {
	p.fleet.mu.Lock()
	state := p.fleet.links[addr]
	p.fleet.mu.Unlock()
	switch state {
	case linkDown:
		return peer.ErrUnreachable
	case linkSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	v, err := p.fleet.handlers[addr][method](ctx, raw)
	if err != nil {
		return err
	}
	if state == linkMuffled {
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

// owner returns the ID of the node that owns a key's shard.
func (f *fleet) owner(k Key) string {
	n, _ := newDuties(f, func() core.Instant { return 0 }).pick(core.NewKeyID(k.Team, k.Workspace, k.Idempotency).Shard(), 0)
	return n.ID
}

// other returns a node that doesn't own the key's shard.
func (f *fleet) other(k Key) *Service {
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

// buildFleet returns a fleet that has not started.
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
		f.nodes[id] = NewService(core.Holder{Node: id, Incarnation: 1}, set, f.store, port{f, id}, f,
			log.New(io.Discard), prometheus.NewRegistry())
	}
	return f
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

// faultyStore passes calls to a store, or fails them.
type faultyStore struct {
	store.Store

	mu sync.Mutex
	// refuse fails every call without effect.
	refuse bool
	// loseAnswers fails so many commits after their effect.
	loseAnswers int
	commits     int
	// hold, if not nil, delays commits until it is closed.
	hold chan struct{}
}

func (s *faultyStore) set(f func(*faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *faultyStore) List(ctx context.Context, prefix string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return store.Page{}, store.ErrUnavailable
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
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, false, store.ErrUncertain
	}
	return revision, ok, err
}

// quick are settings whose waits are short.
func quick() Settings {
	s := DefaultSettings()
	s.Shard.Interval = time.Millisecond
	s.Shard.SyncAge = 0
	s.Shard.VouchAge = time.Hour
	s.Shard.Backoff = time.Millisecond
	s.Attempt.Life = time.Minute
	s.Ends.MinBackoff = time.Millisecond
	s.Ends.MaxBackoff = 5 * time.Millisecond
	return s
}

// claim asks for a key until the verdict is not in progress.
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

func checkRefusal(is *is.I, err error, ran problem.Ran) {
	is.Helper()
	var p *problem.Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Reason, problem.ClaimsUnavailable)
	is.Equal(p.Ran, ran)
	is.True(p.RetryAfter > 0)
}
