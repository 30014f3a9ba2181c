package reachability

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/tunnel"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// fakeNetwork has a node's own path and other nodes, each with its behavior.
type fakeNetwork struct {
	direct func(ctx context.Context) error
	nodes  map[string]func(ctx context.Context) error

	mu    sync.Mutex
	asked []string
	open  int
}

// conn counts the open connections of its network.
type conn struct {
	net.Conn
	n    *fakeNetwork
	once sync.Once
	via  string
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		c.n.open--
	})
	return nil
}

func (n *fakeNetwork) connect(via string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return &conn{n: n, via: via}
}

func (n *fakeNetwork) opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

func (n *fakeNetwork) dialer() *Dialer {
	return NewDialer(DialerConfig{
		Self: "self:2", Domain: "zone-a",
		Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if err := n.direct(ctx); err != nil {
				return nil, &net.OpError{Op: "dial", Err: err}
			}
			return n.connect(""), nil
		},
		Through: func(ctx context.Context, node, _ string) (net.Conn, tunnel.Info, error) {
			n.mu.Lock()
			n.asked = append(n.asked, node)
			n.mu.Unlock()
			info := tunnel.Info{Node: node, Domain: "zone-b", Left: 5}
			if err := n.nodes[node](ctx); err != nil {
				return nil, info, err
			}
			return n.connect(node), info, nil
		},
		Nodes: func() []string {
			var out []string
			for node := range n.nodes {
				out = append(out, node)
			}
			return out
		},
	}, log.New(io.Discard), prometheus.NewRegistry())
}

func answers(err error) func(context.Context) error {
	return func(context.Context) error { return err }
}

// hangs is a path that loses all packets; dials over it give up by themselves.
func hangs(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(400 * time.Millisecond):
		return os.ErrDeadlineExceeded
	}
}

func TestDialUsesThePathThatWorks(t *testing.T) {
	refused := answers(syscall.ECONNREFUSED)
	for _, tt := range []struct {
		name   string
		direct func(context.Context) error
		nodes  map[string]func(context.Context) error
		via    []string // of which one must carry the connection; none for direct
		check  func(error) bool
	}{
		{name: "own path", direct: answers(nil), nodes: map[string]func(context.Context) error{"a": answers(nil)}, via: []string{""}},
		{name: "own path refused", direct: refused, nodes: map[string]func(context.Context) error{"a": answers(nil)}, via: []string{"a"}},
		{name: "own path hangs", direct: hangs, nodes: map[string]func(context.Context) error{"a": answers(nil)}, via: []string{"a"}},
		{name: "helpers without a path", direct: refused, via: []string{"c"}, nodes: map[string]func(context.Context) error{
			"a": answers(tunnel.ErrNoPath), "b": answers(tunnel.ErrNoPath), "c": answers(nil),
		}},
		{name: "helper that is paused", direct: refused, via: []string{"b"}, nodes: map[string]func(context.Context) error{
			"a": hangs, "b": answers(nil),
		}},
		{name: "helper of an earlier release", direct: refused, via: []string{"b"}, nodes: map[string]func(context.Context) error{
			"a": answers(tunnel.ErrUnavailable), "b": answers(nil),
		}},
		{name: "helper that is full", direct: refused, via: []string{"b"}, nodes: map[string]func(context.Context) error{
			"a": answers(tunnel.ErrBusy), "b": answers(nil),
		}},
		{name: "helper that is cut off and doesn't know", direct: refused, via: []string{"b"}, nodes: map[string]func(context.Context) error{
			"a": answers(tunnel.ErrRefused), "b": answers(nil),
		}},
		{name: "target down", direct: refused, check: upstream.IsRefused, nodes: map[string]func(context.Context) error{
			"a": answers(tunnel.ErrRefused), "b": answers(tunnel.ErrRefused), "c": answers(tunnel.ErrRefused),
		}},
		{name: "target silent", direct: hangs, check: upstream.IsDial, nodes: map[string]func(context.Context) error{
			"a": hangs, "b": hangs,
		}},
		{name: "nobody to ask", direct: hangs, check: upstream.IsDial},
		{name: "no descriptor", direct: answers(syscall.EMFILE), check: upstream.IsLocal},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &fakeNetwork{direct: tt.direct, nodes: tt.nodes}
			d := n.dialer()
			c, err := d.DialContext(t.Context(), "tcp", target(1))
			if tt.check != nil {
				is.True(err != nil)
				is.True(tt.check(err))
				is.Equal(n.opened(), 0)
				return
			}
			is.NoErr(err)
			is.True(slices.Contains(tt.via, c.(*conn).via))
			is.NoErr(c.Close())
		})
	}
}

// Guards against a calm day that costs more: while this node's own path works, no other node is asked.
func TestNobodyIsAskedWhileTheOwnPathWorks(t *testing.T) {
	is := is.New(t)
	n := &fakeNetwork{direct: answers(nil), nodes: map[string]func(context.Context) error{"a": answers(nil)}}
	d := n.dialer()
	for i := range 100 {
		_, err := d.DialContext(t.Context(), "tcp", target(i))
		is.NoErr(err)
	}
	is.Equal(len(n.asked), 0)
}

// Guards against connections that stay open when both attempts succeed, or the caller has left.
func TestLateConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	slow := func(context.Context) error {
		time.Sleep(250 * time.Millisecond)
		return nil
	}
	n := &fakeNetwork{direct: slow, nodes: map[string]func(context.Context) error{"a": answers(nil)}}
	d := n.dialer()
	c, err := d.DialContext(t.Context(), "tcp", target(1))
	is.NoErr(err)
	is.Equal(c.(*conn).via, "a")
	is.NoErr(c.Close())
	n.nodes = nil
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = d.DialContext(ctx, "tcp", target(2))
	is.True(err != nil)
	for deadline := time.Now().Add(10 * time.Second); n.opened() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
}

// Guards against a whole failure domain that is cut off using the same few nodes: each has its own order,
// and within it connections are spread by room.
func TestHelpersAreSpread(t *testing.T) {
	for _, nodes := range []int{8, 31, 295} {
		is := is.New(t)
		cut := max(nodes/8, 1)
		all := make([]string, nodes)
		for i := range all {
			all[i] = target(i)
		}
		carried := make(map[string]int)
		const each = 20
		for i := range cut {
			h := NewHelpers(all[i], "zone-a", rand.New(rand.NewPCG(1, uint64(i))))
			for range each {
				others := all[cut:]
				node, ok := h.Pick(others, nil, start)
				is.True(ok)
				carried[node]++
				h.Record(tunnel.Info{Node: node, Domain: "zone-b", Left: assumedLeft}, nil, start)
			}
		}
		most := 0
		for _, n := range carried {
			most = max(most, n)
		}
		is.True(most <= 2*each) // of cut*each among nodes-cut
	}
}

// Guards against memory that grows with each node that ever existed: nothing was forgotten of nodes that
// are gone.
func TestHelpersForgetNodesThatAreGone(t *testing.T) {
	is := is.New(t)
	h := NewHelpers("self:1", "zone-a", rand.New(rand.NewPCG(1, 2)))
	for i := range 100 {
		node := target(i)
		h.Record(tunnel.Info{Node: node, Domain: "zone-a", Left: 10}, nil, start)
		_, _ = h.Pick([]string{node, "stays:1"}, nil, start)
	}
	is.True(len(h.known) <= 2)
}

func TestHelperOfTheSameDomainIsPreferred(t *testing.T) {
	is := is.New(t)
	h := NewHelpers("self:1", "zone-a", rand.New(rand.NewPCG(1, 2)))
	nodes := []string{"near:1", "far:1"}
	h.Record(tunnel.Info{Node: "near:1", Domain: "zone-a", Left: 10}, nil, start)
	h.Record(tunnel.Info{Node: "far:1", Domain: "zone-b", Left: 10}, nil, start)
	near := 0
	for range 1000 {
		if node, _ := h.Pick(nodes, nil, start); node == "near:1" {
			near++
		}
	}
	is.True(near > 600)
	h.Record(tunnel.Info{Node: "near:1"}, errors.Wrap(tunnel.ErrNoPath, "x"), start)
	for range 100 {
		node, _ := h.Pick(nodes, nil, start)
		is.Equal(node, "far:1")
	}
	_, ok := h.Pick(nodes, []string{"far:1"}, start)
	is.True(!ok)
	_, ok = h.Pick(nodes, []string{"far:1"}, start.Add(noPathPause))
	is.True(ok)
}
