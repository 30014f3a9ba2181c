package fleettest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestFrozenNode stops a node's process with SIGSTOP until the other nodes regard it as dead, sends
// chats, resumes it with SIGCONT and sends more. Every request gets a complete answer and none runs
// twice.
func TestFrozenNode(t *testing.T) {
	is := is.New(t)
	const nodes, engines, chats = 3, 3, 20
	f := startFleet(t, nodes, engines)
	f.awaitNodeCount(t, f.nodes, "alive", nodes)
	frozen, others := f.nodes[0], f.nodes[1:]
	frozen.signal(syscall.SIGSTOP)
	f.awaitNodeCount(t, others, "dead", 1)
	eventually(t, "the balancer stops using the frozen node", func() bool { return !f.balancer.routesTo(frozen.url) })
	duringFreeze := f.awaitLoad(t, f.startLoad(t, chats, f.engineURLs, "--notices", "0.2"))
	frozen.signal(syscall.SIGCONT)
	f.awaitNodeCount(t, f.nodes, "alive", nodes)
	eventually(t, "the balancer uses the resumed node", func() bool { return f.balancer.routesTo(frozen.url) })
	afterResume := f.awaitLoad(t, f.startLoad(t, chats, f.engineURLs, "--seed", "2", "--notices", "0.2"))
	t.Logf("during the freeze: %+v, after it: %+v", duringFreeze, afterResume)
	for _, o := range []loadResult{duringFreeze, afterResume} {
		is.Equal(o.whole, o.requests)
		is.Equal(o.doubled, 0)
		is.Equal(o.falseNotRun, 0)
	}
}

// awaitNodeCount waits until the metrics of each of nodes report count nodes in a membership state.
func (f *fleet) awaitNodeCount(t *testing.T, nodes []*nodeProcess, state string, count int) {
	t.Helper()
	want := fmt.Sprintf(`knapweedgw_membership_nodes{region=%q,state=%q} %d`, region, state, count)
	for _, n := range nodes {
		eventually(t, n.id+" reports "+want, func() bool { return strings.Contains(metrics(n.url), want+"\n") })
	}
}
