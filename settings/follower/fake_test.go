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

// network delivers calls between the followers of a test; addresses are node IDs.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	lost     func(to string) bool // calls to the node fail; nil for none
}

// link implements Peers for one node of the network.
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

// newFleet returns nodes "n0", "n1", … spread evenly over failure domains, and the
// failure domains over regions.
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

// replace replaces a node by a new one without settings, like a restart. The test
// runs its work; there are no background goroutines.
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

// start does one round of bootstrap.
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

// drainHints processes the node's queued hints.
func (f *fleet) drainHints(i int) {
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
	f.store.savePage(head)
}

// faultyStore answers reads with an old page, or fails them during an outage.
type faultyStore struct {
	store.Store
	mu          sync.Mutex
	outage      bool
	pageIndex   int                // index of the page to answer with
	pages       []store.ListResult // the accepted settings after each commit
	heads       []accepted.Head    // the head after each commit
	operatorKVs []store.KV         // the keys that operators write
}

// savePage saves the accepted settings after a commit and answers with them.
func (s *faultyStore) savePage(h accepted.Head) {
	page, _ := s.Store.List(context.Background(), accepted.Prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages, s.heads = append(s.pages, page), append(s.heads, h)
	s.pageIndex = len(s.pages) - 1
}

func (s *faultyStore) page() store.ListResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pages) == 0 {
		return store.ListResult{}
	}
	return s.pages[s.pageIndex]
}

func (s *faultyStore) isDown() bool {
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
	if s.isDown() {
		return store.KV{}, false, store.ErrUnavailable
	}
	kvs := s.page().KVs
	i := slices.IndexFunc(kvs, func(kv store.KV) bool { return kv.Key == key })
	if i < 0 {
		return store.KV{}, false, nil
	}
	return kvs[i], true, nil
}

func (s *faultyStore) List(_ context.Context, prefix string) (store.ListResult, error) {
	if s.isDown() {
		return store.ListResult{}, store.ErrUnavailable
	}
	page := s.page()
	if prefix == settings.Prefix {
		return store.ListResult{KVs: s.operatorKVs}, nil
	}
	page.KVs = slices.DeleteFunc(slices.Clone(page.KVs), func(kv store.KV) bool { return !strings.HasPrefix(kv.Key, prefix) })
	return page, nil
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if s.isDown() {
		return nil, store.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, from)
}

// events returns the events of one commit as a watch sends them.
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
