package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/tunnel"
)

// withDialer adds a dialer whose own path is refused. helper opens connections in place of other nodes;
// nil for none.
func withDialer(helper reachability.DialThrough) option {
	c := reachability.DialerConfig{
		Self: "127.0.0.1:1", Through: helper,
		Direct: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		},
	}
	if helper != nil {
		c.Nodes = func() []string { return []string{"127.0.0.2:1"} }
	}
	d := reachability.NewDialer(c, log.New(io.Discard), prometheus.NewRegistry())
	return func(_ *config.Node, s *[]kernel.Service) { *s = append(*s, d) }
}

// Guards against callers of a node that is partitioned from all targets being refused, although other
// nodes reach these.
func TestPartitionedNodeForwardsThroughAnother(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()), withDialer(func(ctx context.Context, node, addr string) (net.Conn, tunnel.Info, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return conn, tunnel.Info{Node: node}, err
	}))
	for range 4 {
		is.Equal(n.chat(t, chatBody).status, http.StatusOK)
	}
	eventually(t, n.released)
	for _, r := range n.admitter.results {
		is.Equal(r, admission.Answered)
	}
}

// Guards against the owner of a target's places suspending it for all nodes, since one that lost its own
// path reports it as failed.
func TestPartitionedNodeReportsNoTargetAsFailed(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget(), okTarget(), okTarget(), okTarget()), withDialer(nil))
	for range 3 {
		n.chat(t, chatBody)
	}
	eventually(t, n.released)
	n.admitter.mu.Lock()
	n.admitter.results = nil
	n.admitter.mu.Unlock()
	n.chat(t, chatBody)
	eventually(t, n.released)
	is.True(len(n.admitter.results) > 0)
	for _, r := range n.admitter.results {
		is.Equal(r, admission.Unknown)
	}
}
