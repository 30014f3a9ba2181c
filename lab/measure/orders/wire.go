package orders

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/orders"
)

// countingListener counts the payload bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l}, nil
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

// wireRow holds the TCP payload bytes, HTTP headers included, of a read and of an
// order. Out is what the issuer sends, in what it receives.
type wireRow struct{ readOut, readIn, orderOut, orderIn int64 }

// Fields implements measure.Row.
func (r wireRow) Fields() []measure.Field {
	return []measure.Field{
		{Name: "read_out_bytes", Value: r.readOut},
		{Name: "read_in_bytes", Value: r.readIn},
		{Name: "order_out_bytes", Value: r.orderOut},
		{Name: "order_in_bytes", Value: r.orderIn},
	}
}

func measureWire(ctx context.Context) (wireRow, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return wireRow{}, err
	}
	l := &countingListener{Listener: ln}
	server := &http.Server{Handler: engine.New(engine.Config{ID: "e", CacheTokens: 1}).Handler()}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()

	client, addr := orders.NewHTTPClient(), ln.Addr().String()
	o := orders.Order{Fence: 123456789, Issuer: "entry-cantabrico-1", Desired: orders.Desired{
		Model: "asistente-lm", Version: "2026-11-30.1", Adapters: []string{"notices", "trench"}, Role: orders.RoleBoth,
	}}
	if err := client.Apply(ctx, addr, o, func() error { return nil }); err != nil {
		return wireRow{}, err
	}
	r := wireRow{orderOut: l.in.Load(), orderIn: l.out.Load()}
	if _, err := client.Read(ctx, addr); err != nil {
		return wireRow{}, err
	}
	r.readOut, r.readIn = l.in.Load()-r.orderOut, l.out.Load()-r.orderIn
	return r, nil
}
