package follower

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// network connects the followers of a test; addresses are node IDs.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	lost     func(to string) bool // nil loses nothing
}

// link is a node's side of the network.
type link struct {
	net  *network
	self string
}

func (l link) Handle(method string, h peer.Handler) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.handlers[l.self] == nil {
		l.net.handlers[l.self] = make(map[string]peer.Handler)
	}
	l.net.handlers[l.self][method] = h
}

func (l link) Call(ctx context.Context, addr, method string, params, result any) error {
	l.net.mu.Lock()
	h, ok := l.net.handlers[addr][method]
	lost := l.net.lost != nil && l.net.lost(addr)
	l.net.mu.Unlock()
	if !ok || lost {
		return peer.ErrUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := h(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// fleet is a set of followers over one store.
type fleet struct {
	net   *network
	store *faultyStore
	view  membership.View
	nodes []*Follower
	clock time.Time
}

// newFleet returns nodes "n0", "n1", … spread over failure domains, and those
// over regions.
func newFleet(nodes, domains, regions int) *fleet {
	f := &fleet{
		net:   &network{handlers: make(map[string]map[string]peer.Handler)},
		store: &faultyStore{Store: memory.New(time.Now)},
		clock: time.Unix(0, 0),
	}
	for i := range nodes {
		id, domain := nodeID(i), i%domains
		f.view.Nodes = append(f.view.Nodes, membership.Node{
			ID: id, PeerAddr: id, Region: string(rune('A' + domain%regions)), FailureDomain: string(rune('a' + domain)),
		})
	}
	f.nodes = make([]*Follower, nodes)
	for i := range nodes {
		f.replace(i)
	}
	return f
}

func nodeID(i int) string { return "n" + string(rune('0'+i)) }

type fixedView struct{ v *membership.View }

func (v fixedView) View() *membership.View { return v.v }

// replace starts a node anew, without what the former one held. Its work is
// done by the test, not in the background.
func (f *fleet) replace(i int) *Follower {
	n := New(f.store, log.New(io.Discard), prometheus.NewRegistry())
	n.now = func() time.Time { return f.clock }
	n.spawn = func(do func()) { do() }
	n.wait = func(context.Context, time.Duration) {}
	n.members = fixedView{&membership.View{Self: nodeID(i), Nodes: f.view.Nodes}}
	n.peers = link{f.net, nodeID(i)}
	n.handle()
	f.nodes[i] = n
	return n
}

// start does what bootstrap does in one round.
func (f *fleet) start(i int) {
	ctx := context.Background()
	n := f.nodes[i]
	fromPeers := n.askSeeds(ctx)
	_, err := n.catchUp(ctx)
	n.mu.Lock()
	n.ready = fromPeers || err == nil
	n.mu.Unlock()
	n.publish()
}

// drain pulls what the node was hinted at.
func (f *fleet) drain(i int) {
	for {
		select {
		case h := <-f.nodes[i].hints:
			f.nodes[i].follow(context.Background(), h)
		default:
			return
		}
	}
}

// accept commits records to the store under the next revision.
func (f *fleet) accept(document string, teams ...string) {
	ctx := context.Background()
	var head accepted.Head
	if kv, ok, _ := f.store.Store.Get(ctx, accepted.HeadKey); ok {
		head, _ = accepted.DecodeHead(kv)
	}
	head = accepted.Head{Revision: head.Revision + 1, Previous: head.Revision, Teams: teams}
	var txn store.Txn
	put := func(key string, value any) {
		raw, _ := json.Marshal(value)
		txn.Ops = append(txn.Ops, store.Op{Key: key, Value: raw})
	}
	for _, team := range teams {
		put(accepted.TeamKey(team), accepted.Record{Team: team, Revision: head.Revision, Document: json.RawMessage(document)})
	}
	put(accepted.HeadKey, head)
	_, _, _ = f.store.Store.Commit(ctx, txn)
	f.store.remember(head)
}

// faultyStore answers with old pages, or not at all.
type faultyStore struct {
	store.Store
	mu     sync.Mutex
	outage bool
	stale  int // index of the page to answer with, -1 or beyond for the newest
	pages  []store.Page
	heads  []accepted.Head
	raw    []store.KV // the operators' tree
}

func (s *faultyStore) remember(h accepted.Head) {
	page, _ := s.Store.List(context.Background(), accepted.Prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages, s.heads = append(s.pages, page), append(s.heads, h)
	s.stale = len(s.pages) - 1
}

func (s *faultyStore) page() store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pages) == 0 {
		return store.Page{}
	}
	return s.pages[s.stale]
}

func (s *faultyStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *faultyStore) setOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
}

func (s *faultyStore) Get(_ context.Context, key string) (store.KV, bool, error) {
	if s.down() {
		return store.KV{}, false, store.ErrUnavailable
	}
	kvs := s.page().KVs
	i := slices.IndexFunc(kvs, func(kv store.KV) bool { return kv.Key == key })
	if i < 0 {
		return store.KV{}, false, nil
	}
	return kvs[i], true, nil
}

func (s *faultyStore) List(_ context.Context, prefix string) (store.Page, error) {
	if s.down() {
		return store.Page{}, store.ErrUnavailable
	}
	page := s.page()
	if prefix == settings.Prefix {
		return store.Page{KVs: s.raw}, nil
	}
	page.KVs = slices.DeleteFunc(slices.Clone(page.KVs), func(kv store.KV) bool { return !strings.HasPrefix(kv.Key, prefix) })
	return page, nil
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Batch, error) {
	if s.down() {
		return nil, store.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, from)
}

// events are those of one acceptance, as a watch sends them.
func (s *faultyStore) events(i int) []store.Event {
	var out []store.Event
	for _, kv := range s.pages[i].KVs {
		if kv.ModRevision == s.pages[i].Revision && kv.Key != accepted.HeadKey {
			out = append(out, store.Event{KV: kv})
		}
	}
	head, _ := json.Marshal(s.heads[i])
	return append(out, store.Event{KV: store.KV{Key: accepted.HeadKey, Value: head}})
}
