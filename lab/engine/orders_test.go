package engine

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
)

func serveOrders(t *testing.T) (*Orders, string) {
	o := NewOrders(orderstest.Incarnation)
	c := restful.NewContainer()
	ws := new(restful.WebService)
	o.Routes(ws)
	c.Add(ws)
	server := httptest.NewServer(http.Handler(c))
	t.Cleanup(server.Close)
	return o, server.Listener.Addr().String()
}

func TestHTTPClientContract(t *testing.T) {
	orderstest.Contract(t, func(t *testing.T) orderstest.Harness {
		o, addr := serveOrders(t)
		return orderstest.Harness{
			Client: orders.NewHTTPClient(), Engine: o.engine, Addr: addr, DeadAddr: deadAddr(t),
		}
	})
}

// deadAddr returns an address whose listener has closed.
func deadAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	return addr
}
