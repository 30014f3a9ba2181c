package orderstest

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/orders"
)

// Client is an orders.EngineClient for in-memory engines, by address.
type Client struct {
	Engines map[string]*Engine
	// BeforeGuard and AfterGuard, if set, run before and after an order's guard.
	// Tests use them to simulate a pause of the issuer.
	BeforeGuard, AfterGuard func()
}

var _ orders.EngineClient = (*Client)(nil)

// Apply implements orders.EngineClient.
func (c *Client) Apply(ctx context.Context, addr string, o orders.Order, guard orders.Guard) error {
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), orders.ErrNotSent)
	}
	call(c.BeforeGuard)
	if err := guard(); err != nil {
		return errors.Mark(err, orders.ErrNotSent)
	}
	call(c.AfterGuard)
	e, ok := c.Engines[addr]
	if !ok || e.Faults().Down {
		return errDown
	}
	lost, err := e.Apply(o)
	if lost {
		return orders.ErrUncertain
	}
	return err
}

// Read implements orders.EngineClient.
func (c *Client) Read(_ context.Context, addr string) (orders.State, error) {
	e, ok := c.Engines[addr]
	if !ok || e.Faults().Down {
		return orders.State{}, errDown
	}
	return e.State(), nil
}

func call(f func()) {
	if f != nil {
		f()
	}
}
