package lease

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// stores returns the store adapters that the Keeper is tested with.
func stores(t *testing.T) map[string]store.Store {
	inMemory := memory.New(time.Now)
	ws := new(restful.WebService)
	etcd.NewServer(memory.New(time.Now)).Routes(ws)
	c := restful.NewContainer()
	c.Add(ws)
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return map[string]store.Store{
		"memory": inMemory,
		"etcd":   etcd.New([]string{server.URL}, time.Minute),
	}
}

func TestKeeperHandsOver(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) { testHandover(t, s) })
	}
}

// testHandover runs two keepers: the second holds the duty after the first has released it, with
// a greater fencing number, and writes fenced by the first's term fail.
func testHandover(t *testing.T, s store.Store) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	cfg := DefaultConfig()
	cfg.RenewEvery, cfg.Retry = 10*time.Millisecond, 10*time.Millisecond
	a := NewKeeper(s, cfg, "d", "a", m, time.Now)
	b := NewKeeper(s, cfg, "d", "b", m, time.Now)

	ctxA, stopA := context.WithCancel(context.Background())
	doneA := make(chan struct{})
	go func() { defer close(doneA); a.Run(ctxA) }()
	first := waitForTerm(t, a)

	ctxB, stopB := context.WithCancel(context.Background())
	defer stopB()
	go b.Run(ctxB)
	stopA()
	<-doneA
	a.Release(context.Background())
	_, held := a.Held()
	is.True(!held)

	second := waitForTerm(t, b)
	is.True(second.Fence > first.Fence)
	kv, ok, err := s.Get(context.Background(), Key("d"))
	is.NoErr(err)
	is.True(ok)
	is.Equal(kv.ModRevision, second.Fence)
	for term, want := range map[Term]bool{first: false, second: true} {
		_, ok, err := s.Commit(context.Background(), store.Txn{
			Compares: []store.Compare{a.FenceCompare(term.Fence)},
			Ops:      []store.Op{{Key: "k", Value: []byte("v")}},
		})
		is.NoErr(err)
		is.Equal(ok, want)
	}
	rec, err := ParseRecord(kv)
	is.NoErr(err)
	is.Equal(rec.Holder, "b")
}

func waitForTerm(t *testing.T, k *Keeper) Term {
	for t.Context().Err() == nil {
		if term, ok := k.Held(); ok {
			return term
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("duty not acquired")
	return Term{}
}
