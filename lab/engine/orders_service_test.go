package engine

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// Kernel services with a fixed result, which the order service looks up.
type (
	fixedSettings struct{ snap *settings.Snapshot }
	fixedTargets  struct{ snap *targets.Snapshot }
	fixedMembers  struct{ view *membership.View }
)

func (f fixedSettings) ID() kernel.ID                { return settings.ServiceID }
func (f fixedSettings) Snapshot() *settings.Snapshot { return f.snap }
func (f fixedTargets) ID() kernel.ID                 { return targets.ServiceID }
func (f fixedTargets) Snapshot() *targets.Snapshot   { return f.snap }
func (f fixedMembers) ID() kernel.ID                 { return membership.ServiceID }
func (f fixedMembers) View() *membership.View        { return f.view }

// startNode starts the order service of one node and returns the kernel that runs it.
func startNode(t *testing.T, id string, s store.Store, others ...kernel.Service) *kernel.Kernel {
	reg := prometheus.NewRegistry()
	limits := orders.DefaultLimits()
	limits.MaxOutShare = 1
	cfg := lease.DefaultConfig()
	cfg.RenewEvery, cfg.Retry = 100*time.Millisecond, 100*time.Millisecond
	svc := orders.NewService(orders.IssuerConfig{
		Node: id, Region: "r", Limits: limits, Store: s, Client: orders.NewHTTPClient(),
		Metrics: orders.NewMetrics(reg), Log: log.New(io.Discard), Now: time.Now,
	}, cfg, lease.NewMetrics(reg))
	k, err := kernel.New(append(others, svc)...)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return k
}

// TestOrderHandoverBetweenNodes checks that one of two nodes orders the engines over HTTP to load
// the version in the settings, and that after this node stops the other one orders the next
// version with a greater fencing number and takes over the pool's record. It also checks that a
// stopped node releases its lease.
func TestOrderHandoverBetweenNodes(t *testing.T) {
	is := is.New(t)
	s := memory.New(time.Now)
	snap := &targets.Snapshot{Pools: make(map[string][]targets.Target)}
	var engines []*OrderServer
	for i := range 3 {
		o, addr := serveOrders(t)
		engines = append(engines, o)
		snap.Pools["m"] = append(snap.Pools["m"], targets.Target{
			ID: fmt.Sprintf("e%d", i), Addr: addr, Pool: "m", Region: "r", Role: vmlist.RoleEngine, Incarnation: 7,
		})
	}
	members := fixedMembers{&membership.View{Nodes: []membership.Node{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}}}}
	a := startNode(t, "a", s, settingsOf(1, "1"), fixedTargets{snap}, members)
	awaitVersion(t, engines, "1")
	b := startNode(t, "b", s, settingsOf(2, "2"), fixedTargets{snap}, members)
	is.NoErr(a.Stop(context.Background()))
	awaitVersion(t, engines, "2")
	for _, o := range engines {
		j := o.engine.AppliedOrders()
		is.True(j[len(j)-1].Order.Fence > j[0].Order.Fence)
	}
	kv, ok, err := s.Get(context.Background(), orders.RecordKey("r", "m"))
	is.NoErr(err)
	is.True(ok)
	rec, err := orders.ParseRecord(kv)
	is.NoErr(err)
	is.Equal(rec.Issuer, "b")
	is.NoErr(b.Stop(context.Background()))
	_, leased, err := s.Get(context.Background(), lease.Key(orders.LeaseName("r", "m")))
	is.NoErr(err)
	is.True(!leased)
}

func settingsOf(revision int64, version string) fixedSettings {
	return fixedSettings{settings.NewSnapshot(revision, map[string]settings.Team{
		"t": {Models: map[string]settings.Model{"m": {Version: version, Fencing: settings.FencingChecked}}},
	})}
}

// awaitVersion waits until every engine runs the version.
func awaitVersion(t *testing.T, engines []*OrderServer, version string) {
	for _, o := range engines {
		for o.engine.State().Current.Version != version {
			if t.Context().Err() != nil {
				t.Fatal("the engines do not all run the version")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
