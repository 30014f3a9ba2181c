package claims_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

// fixedView is a membership.Source that never changes.
type fixedView struct{ view *membership.View }

func (v fixedView) View() *membership.View { return v.view }

func freeAddr(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startFleet starts claims services that use real connections to each other and to
// the simulated platform.
func startFleet(t *testing.T, p *platform.Platform, size int) []*claims.Service {
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	set := claims.DefaultSettings()
	set.Shard.Interval = 5 * time.Millisecond
	set.Shard.Backoff = 10 * time.Millisecond
	set.Ends.MaxBackoff = 50 * time.Millisecond
	view := &membership.View{}
	for i := range size {
		view.Nodes = append(view.Nodes, membership.Node{ID: fmt.Sprint("entry-", i), PeerAddr: freeAddr(t)})
	}
	var services []*claims.Service
	for _, n := range view.Nodes {
		l, reg := log.New(io.Discard), prometheus.NewRegistry()
		hub := peer.NewHub(n.PeerAddr, l, reg)
		client := etcd.New([]string{server.URL}, etcd.DefaultTimeout)
		s := claims.NewService(core.Holder{Node: n.ID, Incarnation: 1}, set, client, hub, fixedView{view}, l, reg)
		for _, start := range []func(context.Context) error{hub.Start, s.Start} {
			if err := start(ctx); err != nil {
				t.Fatal(err)
			}
		}
		t.Cleanup(func() { _ = hub.Stop(context.Background()) })
		services = append(services, s)
	}
	return services
}

// TestServicesOverTheWire sends each key from several callers to all nodes until it has
// run, while the platform injects faults, and checks that each key runs exactly once.
func TestServicesOverTheWire(t *testing.T) {
	const keys, callers, nodes = 40, 6, 3
	for _, tc := range []struct {
		name   string
		faults platform.Faults
		outage bool // the store has one outage, which ends during the test
	}{
		{"healthy", platform.Faults{}, false},
		{"every second answer is lost", platform.Faults{LoseEvery: 2}, false},
		{"slow", platform.Faults{DelayMS: 20}, false},
		{"out for a while", platform.Faults{}, true},
		{"out for a while, and loses answers", platform.Faults{LoseEvery: 3}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := platform.New()
			p.SetFaults(tc.faults)
			services := startFleet(t, p, nodes)
			var runs [keys]atomic.Int32
			var refused, granted atomic.Int32
			var wg sync.WaitGroup
			for c := range callers * keys {
				key := c % keys
				k := claims.Key{Team: "t", Workspace: "w", Idempotency: fmt.Sprint(key)}
				wg.Go(func() {
					for try := 0; ; try++ {
						v, err := services[(c+try)%nodes].Claim(t.Context(), k, claims.Fingerprint{})
						switch {
						case err != nil:
							if refused.Add(1) == keys && tc.outage {
								p.SetFaults(tc.faults)
							}
						case v.State == claims.Done:
							return
						case v.State == claims.Granted && granted.Add(1)%4 == 0:
							v.Ticket.Finish(claims.NotRun, nil)
						case v.State == claims.Granted:
							if granted.Load() == keys/4+1 && tc.outage {
								out := tc.faults
								out.Outage = true
								p.SetFaults(out)
							}
							runs[key].Add(1)
							v.Ticket.Finish(claims.Ran, nil)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			for key := range runs {
				is.Equal(runs[key].Load(), int32(1))
			}
			t.Logf("%d grants, %d refusals, store calls %+v", granted.Load(), refused.Load(), p.Calls())
		})
	}
}
