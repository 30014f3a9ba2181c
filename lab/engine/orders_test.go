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

// serveOrders serves an order interface on a loopback port and returns it with its address.
func serveOrders(t *testing.T) (*OrderServer, string) {
	o := NewOrderServer(orderstest.Incarnation)
	c := restful.NewContainer()
	ws := new(restful.WebService)
	o.Routes(ws)
	c.Add(ws)
	server := httptest.NewServer(http.Handler(c))
	t.Cleanup(server.Close)
	return o, server.Listener.Addr().String()
}

// TestHTTPClientContract runs the contract tests of order clients against this HTTP server.
func TestHTTPClientContract(t *testing.T) {
	orderstest.Contract(t, func(t *testing.T) orderstest.Harness {
		o, addr := serveOrders(t)
		return orderstest.Harness{
			Client: orders.NewHTTPClient(), Engine: o.engine, Addr: addr, DeadAddr: closedAddr(t),
		}
	})
}

// closedAddr returns an address that refuses connections because its listener is closed.
func closedAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	return addr
}
