package fleettest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestFrozenNode stops a node's process until the others hold it for dead,
// sends chats without it, lets it run on and sends more.
func TestFrozenNode(t *testing.T) {
	is := is.New(t)
	const nodes, engines, chats = 3, 3, 20
	f := startFleet(t, nodes, engines)
	f.awaitView(t, f.nodes, "alive", nodes)
	frozen, others := f.nodes[0], f.nodes[1:]
	frozen.signal(syscall.SIGSTOP)
	f.awaitView(t, others, "dead", 1)
	eventually(t, "the balancer notices", func() bool { return !f.balancer.uses(frozen.url) })
	without := f.outcome(t, f.load(t, chats, f.engineURLs, "--notices", "0.2"))
	frozen.signal(syscall.SIGCONT)
	f.awaitView(t, f.nodes, "alive", nodes)
	eventually(t, "the balancer notices", func() bool { return f.balancer.uses(frozen.url) })
	with := f.outcome(t, f.load(t, chats, f.engineURLs, "--seed", "2", "--notices", "0.2"))
	t.Logf("without: %+v, with: %+v", without, with)
	for _, o := range []outcome{without, with} {
		is.Equal(o.whole, o.requests)
		is.Equal(o.doubled, 0)
		is.Equal(o.falseNotRun, 0)
	}
}

// awaitView waits until each of some nodes shows a number of nodes in a state.
func (f *fleet) awaitView(t *testing.T, nodes []*gateway, state string, count int) {
	t.Helper()
	want := fmt.Sprintf(`knapweedgw_membership_nodes{region=%q,state=%q} %d`, region, state, count)
	for _, n := range nodes {
		eventually(t, n.id+" shows "+want, func() bool { return strings.Contains(metrics(n.url), want+"\n") })
	}
}
