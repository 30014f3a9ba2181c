package membership_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// network holds the message handlers of nodes by address, and delivers notifications in
// memory.
type network map[string]peer.Handler

// endpoint is a node's connection to a network.
type endpoint struct {
	network network
	addr    string
}

func (e endpoint) Handle(_ string, f peer.Handler) { e.network[e.addr] = f }

func (e endpoint) Notify(ctx context.Context, addr, _ string, params any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = e.network[addr](ctx, raw)
	return err
}

type node struct {
	*membership.Members
	targets *targets.Registry
}

func startNodes(t *testing.T, ids ...string) []node {
	t.Helper()
	list := vmlist.List{Version: 1, VMs: []vmlist.VM{{ID: "e", Role: vmlist.RoleEngine, Pool: "p", Incarnation: 1}}}
	var nodes []node
	net := make(network)
	for _, id := range ids {
		r := targets.NewRegistry(nil, time.Second, log.New(io.Discard))
		self := membership.Node{ID: id, PeerAddr: id, Region: "r", Incarnation: time.Now().UnixNano()}
		m := membership.New(self, endpoint{net, id}, r, log.New(io.Discard), prometheus.NewRegistry())
		nodes = append(nodes, node{m, r})
		list.VMs = append(list.VMs, vmlist.VM{ID: id, Role: vmlist.RoleNode, PeerAddr: id, Region: "r", Incarnation: 1})
	}
	for _, n := range nodes {
		n.targets.Apply(list)
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return nodes
}

// eventually waits until done returns true; it fails the test after a minute.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for start := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatal("not within a minute: " + what)
		}
	}
}

func TestDrainingNodeGetsNoDuties(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, "a", "b", "c")
	is.Equal(len(nodes[0].View().Eligible("r")), 3)
	is.NoErr(nodes[1].Drain(context.Background()))
	is.Equal(len(nodes[1].View().Eligible("r")), 2) // its own view changes at once
	eventually(t, "others exclude the leaving node", func() bool {
		return len(nodes[0].View().Eligible("r")) == 2 && len(nodes[2].View().Eligible("r")) == 2
	})
	is.NoErr(nodes[1].Stop(context.Background()))
	eventually(t, "others record the stopped node as dead", func() bool {
		n, _ := nodes[0].View().Node("b")
		return n.State == membership.Dead
	})
	is.NoErr(nodes[0].Stop(context.Background()))
	is.NoErr(nodes[2].Stop(context.Background()))
}

func TestLeavingTargetReachesEveryNode(t *testing.T) {
	nodes := startNodes(t, "a", "b", "c")
	nodes[0].targets.ObserveLeaving("e", 1)
	for _, n := range nodes {
		eventually(t, "the target is leaving", func() bool {
			return n.targets.Snapshot().Pool("p")[0].Leaving
		})
	}
	for _, n := range nodes {
		_ = n.Stop(context.Background())
	}
}
