package admission

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

const (
	testPool   = "pool"
	testRegion = "region"
)

// fault is a failure mode of calls to a node.
type fault int

const (
	faultNone        fault = iota
	faultUnreachable       // the call fails before the node receives it
	faultFrozen            // the call times out and the node doesn't receive it
	faultSlow              // the call is run but its answer arrives too late
)

// fleet is several services connected in memory, with one clock. Everything runs in the
// calling goroutine.
type fleet struct {
	now   time.Time
	nodes []*fakeNode
}

// fakeNode is one node with its own views.
type fakeNode struct {
	*Service
	addr     string
	handlers map[string]peer.Handler
	fault    fault
	views    source[membership.View]
	targets  source[targets.Snapshot]
	settings source[settings.Snapshot]
	// onCall runs before each call of this node is sent.
	onCall func(method string)
}

type source[T any] struct{ v atomic.Pointer[T] }

func (s *source[T]) View() *T     { return s.v.Load() }
func (s *source[T]) Snapshot() *T { return s.v.Load() }

// fakeHub is a node's connection to the fleet's network.
type fakeHub struct {
	fleet *fleet
	self  *fakeNode
}

func (h *fakeHub) Handle(method string, f peer.Handler) { h.self.handlers[method] = f }

func (h *fakeHub) Call(ctx context.Context, addr, method string, params, result any) error {
	to := h.fleet.at(addr)
	if h.self.onCall != nil {
		h.self.onCall(method)
	}
	switch to.fault {
	case faultUnreachable:
		return peer.ErrUnreachable
	case faultFrozen:
		return context.DeadlineExceeded
	}
	answer, err := to.handlers[method](ctx, params.(json.RawMessage))
	if err != nil {
		return err
	}
	if to.fault == faultSlow {
		return context.DeadlineExceeded
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	*result.(*json.RawMessage) = raw
	return nil
}

func (h *fakeHub) Notify(ctx context.Context, addr, method string, params any) error {
	var ignored json.RawMessage
	return h.Call(ctx, addr, method, params, &ignored)
}

func newFleet(nodes, engines, cells int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0)}
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	f.setSettings(cells)
	f.setTargets(engineList(engines))
	f.setViews(f.view())
	for _, n := range f.nodes {
		n.connect(&fakeHub{fleet: f, self: n}, &n.views, &n.targets, &n.settings)
	}
	f.settle()
	return f
}

func (f *fleet) newNode(i int) *fakeNode {
	name := fmt.Sprintf("node-%d", i)
	s := New(Config{
		Node: name, Incarnation: 1, Region: testRegion, Timeout: time.Millisecond, Resync: 5 * time.Second,
	}, log.New(io.Discard), prometheus.NewRegistry())
	s.now = func() time.Time { return f.now }
	s.spawn = func(do func()) { do() }
	return &fakeNode{Service: s, addr: name + ":1", handlers: make(map[string]peer.Handler)}
}

func engineList(n int) []targets.Target {
	out := make([]targets.Target, n)
	for i := range out {
		out[i] = targets.Target{ID: fmt.Sprintf("engine-%02d", i), Pool: testPool, Region: testRegion, Capacity: 1}
	}
	return out
}

func (f *fleet) at(addr string) *fakeNode {
	i := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n.addr == addr })
	return f.nodes[i]
}

// view returns a view of all nodes, in which those named are dead.
func (f *fleet) view(dead ...string) *membership.View {
	v := &membership.View{}
	for _, n := range f.nodes {
		state := membership.Alive
		if slices.Contains(dead, n.cfg.Node) {
			state = membership.Dead
		}
		v.Nodes = append(v.Nodes, membership.Node{
			ID: n.cfg.Node, PeerAddr: n.addr, Region: testRegion, Incarnation: 1, State: state,
		})
	}
	slices.SortFunc(v.Nodes, func(a, b membership.Node) int { return strings.Compare(a.ID, b.ID) })
	return v
}

func (f *fleet) setViews(v *membership.View) {
	for _, n := range f.nodes {
		n.views.v.Store(v)
	}
}

func (f *fleet) setTargets(list []targets.Target) {
	for _, n := range f.nodes {
		n.targets.v.Store(&targets.Snapshot{Pools: map[string][]targets.Target{testPool: list}})
	}
}

func (f *fleet) setSettings(cells int) {
	s := settings.NewSnapshot(1, map[string]settings.Team{"team": {
		Models: map[string]settings.Model{testPool: {Cells: cells, MaxInFlight: 1000}},
	}})
	for _, n := range f.nodes {
		n.settings.v.Store(s)
	}
}

// advance advances the clock and runs the periodic work of every live node.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range f.nodes {
		if n.fault == faultNone || n.fault == faultSlow {
			n.tick(context.Background())
			n.flush(context.Background())
		}
	}
}

// exchangeTotals sends the releases, then lets the owners announce their totals to each
// other and apply those that they received.
func (f *fleet) exchangeTotals() {
	f.advance(releaseDelay)
	f.advance(cell.DefaultMaxInterval)
	f.advance(0)
}

// settle runs long enough for every takeover to end, every resync to happen and all places
// of silent nodes to be dropped.
func (f *fleet) settle() {
	for range 20 {
		f.advance(time.Second)
	}
}

func (f *fleet) acquire(node int, chat uint64) (Grant, error) {
	n := f.nodes[node]
	ref, _ := n.settings.Snapshot().Model("team", testPool)
	return n.Acquire(context.Background(), Request{
		Chat: chat, Pool: ref, Priority: 3, Workspace: settings.WorkspaceRef{Team: "team", Name: "ws", Weight: 1},
	})
}

// owner returns the node that owns a cell in the first node's view.
func (f *fleet) owner(t testing.TB, cell int) *fakeNode {
	t.Helper()
	p := f.nodes[0].plan()
	n, ok := p.owner(p.keys(testPool, testRegion)[cell])
	if !ok {
		t.Fatal("no owner")
	}
	return f.at(n.PeerAddr)
}

// counted returns the places on each target that the owners have recorded.
func (f *fleet) counted() map[string]int {
	out := make(map[string]int)
	for _, n := range f.nodes {
		if n.fault != faultNone {
			continue
		}
		n.owned.each(func(_ holds.CellKey, c *ownedCell) {
			for _, l := range c.owner.Targets() {
				out[l.ID] += l.InFlight
			}
		})
	}
	return out
}

func (n *fakeNode) requests(outcome string) int {
	return int(testutil.ToFloat64(n.metrics.requests.WithLabelValues(outcome)))
}

func (n *fakeNode) fallbacks(reason string) int {
	return int(testutil.ToFloat64(n.metrics.fallbacks.WithLabelValues(reason)))
}

// bytes returns the number of bytes of parameters and results that all nodes have sent.
func (f *fleet) bytes() int {
	sum := 0
	for _, n := range f.nodes {
		for _, method := range []string{methodAcquire, methodRelease, methodResync, methodPull, methodTotals} {
			sum += int(testutil.ToFloat64(n.metrics.bytes.WithLabelValues("out", method)))
		}
	}
	return sum
}
