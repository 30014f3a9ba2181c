package orderstest

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/orders"
)

// Incarnation is the incarnation of the engine of a Harness.
const Incarnation = 7

// Harness holds the client under test, the engine at Addr, and an address without
// an engine.
type Harness struct {
	Client   orders.EngineClient
	Engine   *Engine
	Addr     string
	DeadAddr string
}

type contractCase struct {
	name    string
	faults  Faults
	orders  []orders.Order
	want    error // of the last order
	state   orders.State
	applied int // number of orders
}

var (
	v1 = orders.Desired{Model: "m", Version: "1", Role: orders.RoleBoth}
	v2 = orders.Desired{Model: "m", Version: "2", Adapters: []string{"a"}, Role: orders.RoleBoth}
)

func order(fence int64, d orders.Desired) orders.Order {
	return orders.Order{Fence: fence, Incarnation: Incarnation, Issuer: "n", Desired: d}
}

func ready(fence int64, d orders.Desired) orders.State {
	return orders.State{Incarnation: Incarnation, Fence: fence, Phase: orders.PhaseReady, Current: d, Target: d}
}

func contractCases() []contractCase {
	prefill := v1
	prefill.Role = orders.RolePrefill
	restarted := order(3, v2)
	restarted.Incarnation++
	return []contractCase{
		{"applied and read back", Faults{}, []orders.Order{order(3, v2)}, nil, ready(3, v2), 1},
		{"applied twice with the same result", Faults{}, []orders.Order{order(3, v1), order(3, v1)}, nil, ready(3, v1), 2},
		{"greater number accepted", Faults{}, []orders.Order{order(3, v1), order(4, v2)}, nil, ready(4, v2), 2},
		{"smaller number refused", Faults{}, []orders.Order{order(4, v2), order(3, v1)}, orders.ErrStaleFence, ready(4, v2), 1},
		{"smaller number accepted by an engine that ignores fencing", Faults{IgnoreFencing: true}, []orders.Order{order(4, v2), order(3, v1)}, nil, ready(3, v1), 2},
		{"other incarnation refused", Faults{}, []orders.Order{order(2, v1), restarted}, orders.ErrIncarnation, ready(2, v1), 1},
		{"content refused", Faults{RefuseVersion: "2"}, []orders.Order{order(3, v1), order(4, v2)}, orders.ErrRefused, ready(3, v1), 1},
		{"response lost after the order was applied", Faults{LoseEvery: 1}, []orders.Order{order(3, v1)}, orders.ErrUncertain, ready(3, v1), 1},
		{"role changed without a load", Faults{}, []orders.Order{order(3, v1), order(3, prefill)}, nil, ready(3, prefill), 2},
		{"failed load read back", Faults{FailVersion: "1"}, []orders.Order{order(3, v1)}, nil, orders.State{
			Incarnation: Incarnation, Fence: 3, Phase: orders.PhaseFailed, Target: v1, Error: "no weights for version 1",
		}, 1},
	}
}

func allow() error { return nil }

// Contract tests the behavior required of every orders.EngineClient.
func Contract(t *testing.T, start func(t *testing.T) Harness) {
	for _, tt := range contractCases() {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := start(t)
			h.Engine.SetFaults(tt.faults)
			var err error
			for _, o := range tt.orders {
				err = h.Client.Apply(context.Background(), h.Addr, o, allow)
			}
			is.True(errors.Is(err, tt.want) || err == nil && tt.want == nil) // outcome of the last order
			s, err := h.Client.Read(context.Background(), h.Addr)
			is.NoErr(err)
			is.Equal(s, tt.state)
			is.Equal(len(h.Engine.AppliedOrders()), tt.applied)
		})
	}
	t.Run("guard returns an error", func(t *testing.T) {
		is := is.New(t)
		h := start(t)
		err := h.Client.Apply(context.Background(), h.Addr, order(3, v1), func() error { return errors.New("lapsed") })
		is.True(errors.Is(err, orders.ErrNotSent))
		is.Equal(len(h.Engine.AppliedOrders()), 0)
	})
	t.Run("context ended", func(t *testing.T) {
		is := is.New(t)
		h := start(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(errors.Is(h.Client.Apply(ctx, h.Addr, order(3, v1), allow), orders.ErrNotSent))
		is.Equal(len(h.Engine.AppliedOrders()), 0)
	})
	t.Run("no engine at the address", func(t *testing.T) {
		is := is.New(t)
		h := start(t)
		is.True(errors.Is(h.Client.Apply(context.Background(), h.DeadAddr, order(3, v1), allow), orders.ErrNotSent))
		_, err := h.Client.Read(context.Background(), h.DeadAddr)
		is.True(err != nil)
	})
}
