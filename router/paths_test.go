package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/roster"
)

// pathState is the state of a node's paths that a test sets.
type pathState struct{ partitioned bool }

func (s *pathState) IsPartitioned() bool           { return s.partitioned }
func (s *pathState) MayBePartitioned() bool        { return s.partitioned }
func (*pathState) TakeProbe(time.Duration) bool    { return true }
func (s *pathState) ProbeDirect(addr string) error { return nil }

// targetsAt returns n targets of the service, each at an address of its own.
func targetsAt(n int) []roster.Target {
	out := make([]roster.Target, n)
	for i := range out {
		out[i] = roster.Target{ID: fmt.Sprint("t", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Service: service, Slots: 8, Hash: uint64(i)}
	}
	return out
}

// Guards against nodes that are cut off from half of a service's targets making all other nodes suspend
// these: what a node was just answered by a target itself weighs more than any number of reports.
func TestReportsOfPartitionedNodesDoNotSuspendAnsweringTargets(t *testing.T) {
	for _, nodes := range []int{8, 31, 295} {
		is := is.New(t)
		p := newTestPool(targetsAt(6)...)
		for i := range nodes / 2 {
			var reports []heartbeat.TargetReport
			for _, id := range []string{"t0", "t1", "t2"} {
				reports = append(reports, heartbeat.TargetReport{Target: uint32(p.members[id].target.RunHash()), Unreachable: true})
			}
			p.fleet.view.Receive(heartbeat.Report{Node: fmt.Sprint("cut-", i), Sequence: 1, Targets: reports}, p.clock)
		}
		usable := func() int { return len(p.evaluateAll(criteria{service: service}, p.clock).Eligible()) }
		is.Equal(usable(), 3) // this node has not been answered by them
		for _, m := range p.members {
			p.observe(m, health.Answered)
		}
		is.Equal(usable(), 6)
		p.clock = p.clock.Add(answeredTTL)
		is.Equal(usable(), 3)
	}
}

// Guards against a node that lost its own path telling the others that targets can't be reached.
func TestPartitionedNodeReportsNoTargetAsUnreachable(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(3)...)
	paths := &pathState{}
	p.paths = paths
	p.observe(p.members["t1"], health.Unreachable)
	unreachable := func() int {
		var r heartbeat.Report
		p.fillReport(&r, p.clock)
		n := 0
		for _, t := range r.Targets {
			if t.Unreachable {
				n++
			}
		}
		return n
	}
	is.Equal(unreachable(), 1)
	paths.partitioned = true
	is.Equal(unreachable(), 0)
}

// Guards against targets that stay unused after a partition has been recognized, until a trial of each.
func TestRecognizedPartitionClearsTargets(t *testing.T) {
	for _, c := range []reachability.Change{reachability.Partitioned, reachability.Rejoined} {
		is := is.New(t)
		p := newTestPool(targetsAt(3)...)
		for _, m := range p.members {
			p.observe(m, health.Unreachable)
		}
		p.pathChanged(reachability.PathRestored, "10.0.0.1:80", false)
		is.True(p.members["t1"].state.Unreachable())
		p.pathChanged(c, "10.0.0.1:80", true)
		for _, m := range p.members {
			is.True(!m.state.Unreachable())
		}
	}
}

// A service is out of reach only if the node's path is lost and no target can be reached otherwise.
func TestServiceIsOutOfReach(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(2)...)
	paths := &pathState{}
	p.paths = paths
	is.True(!p.outOfReach(service))
	for _, m := range p.members {
		p.observe(m, health.Unreachable)
	}
	is.True(!p.outOfReach(service)) // the targets are down
	paths.partitioned = true
	is.True(p.outOfReach(service))
	p.observe(p.members["t0"], health.Answered) // through another node
	is.True(!p.outOfReach(service))
}

// The addresses that the node connects to for others are those of its targets.
func TestKnownAddressesFollowTheTargets(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(2)...)
	is.True(p.knowsAddress("10.0.0.1:80"))
	is.True(!p.knowsAddress("10.0.0.9:80"))
	moved := targetsAt(2)[1]
	moved.Addr = "10.0.0.9:80"
	p.put(moved)
	is.True(!p.knowsAddress("10.0.0.1:80"))
	is.True(p.knowsAddress("10.0.0.9:80"))
	p.registry.Reset(nil, p.clock)
	p.registry.Expire(p.clock.Add(time.Hour))
	p.update(p.registry.TakeChanges())
	is.Equal(len(p.addresses), 0)
}

// carriedConn is a connection that another node carries.
type carriedConn struct{ net.Conn }

func (carriedConn) Via() string { return "10.0.0.9:2" }

// Guards against a deadlock: a connection asked the pool whether its request may still be sent, while the
// pool, holding its lock, retired that connection since the node's own path had been restored. The node then
// served nobody and sent no report.
func TestRestoredPathRetiresConnectionsInUse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	p := newTestPool(roster.Target{ID: "a", Addr: server.Listener.Addr().String(), Service: service, Slots: 8})
	m := p.members["a"]
	m.dialTarget = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return carriedConn{conn}, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			if err != nil {
				return
			}
			resp, _, err := m.client().Do(req, func() bool {
				time.Sleep(100 * time.Microsecond)
				return p.maySend(m.target)
			})
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Microsecond):
			changed := make(chan struct{})
			go func() {
				defer close(changed)
				p.pathChanged(reachability.Rejoined, "", false)
			}()
			select {
			case <-changed:
			case <-time.After(10 * time.Second):
				is.Fail() // deadlock
				return
			}
		}
	}
}

// Guards against innocent requests being quarantined by a node that was partitioned before any target answered it:
// targets that refuse all connections of a node haven't terminated.
func TestRefusalIsConfirmedByTargetsThatHaveNotAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		partitioned bool
		want        int
	}{"path lost": {true, 0}, "target terminated": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(targetsAt(3)...)
			p.dial = func(addr string) error {
				if tt.partitioned || addr == p.members["t0"].target.Addr {
					return errDialRefused
				}
				return nil
			}
			s := quarantine.Suspect{Request: "r", Keys: quarantine.Keys{Request: quarantine.Fingerprint{1}}, Sent: p.clock.Add(-time.Second)}
			<-p.connectionClosed(p.members["t0"], s)
			is.Equal(strikes(p, s), tt.want)
		})
	}
}
