package orderstest

import (
	"testing"
	"time"
)

func TestClientContract(t *testing.T) {
	Contract(t, func(*testing.T) Harness {
		e := NewEngine(Incarnation, time.Now)
		return Harness{
			Client: &Client{Engines: map[string]*Engine{"e": e}}, Engine: e, Addr: "e", DeadAddr: "none",
		}
	})
}
