package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// directory is a Directory with fixed answers.
type directory struct {
	unknown, noPath bool
}

func (d *directory) KnowsTarget(string) bool { return !d.unknown }
func (d *directory) HasPath() bool           { return !d.noPath }

// startServer starts a server and returns its address.
func startServer(t *testing.T, cfg ServerConfig, d *directory) (*Server, string) {
	t.Helper()
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	cfg.Listen, cfg.Node, cfg.Domain = free.Addr().String(), "n", "zone-a"
	is.NoErr(free.Close())
	if cfg.Dial == nil {
		cfg.Dial = upstream.NetworkDial(upstream.Config{DialTimeout: time.Second})
	}
	if cfg.MaxTunnels == 0 {
		cfg.MaxTunnels = 4
	}
	s := NewServer(cfg, log.New(io.Discard), prometheus.NewRegistry())
	s.SetDirectory(d)
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(func() { stopNow(s) })
	return s, cfg.Listen
}

func stopNow(s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Stop(ctx)
}

// listen accepts one connection and passes it to serve.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		serve(conn)
	}()
	return ln.Addr().String()
}

func open(t *testing.T, node, target string) net.Conn {
	t.Helper()
	conn, info, err := Dial(t.Context(), node, target)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(info, Info{Node: node, Domain: "zone-a", Left: 3})
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestTunnelCarriesRequestsOfAClient(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(target.Close)
	_, node := startServer(t, ServerConfig{}, &directory{})
	client := upstream.New(upstream.Config{MaxIdle: 1, Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, _, err := Dial(ctx, node, addr)
		return conn, err
	}})
	for range 3 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, target.URL, upstream.NonReplayableBody(http.NoBody))
		is.NoErr(err)
		resp, _, err := client.Do(req, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
}

// Guards against an answer without a length being taken for complete although the node in between was
// lost, or the target reset its connection: only an orderly end at the target ends the tunnel in order.
func TestOnlyTheTargetEndsATunnelInOrder(t *testing.T) {
	for _, tt := range []struct {
		name    string
		end     func(target net.Conn, s *Server)
		orderly bool
	}{
		{"target closes", func(target net.Conn, _ *Server) { _ = target.Close() }, true},
		{"target resets", func(target net.Conn, _ *Server) { socket.Reset(target) }, false},
		{"server stops", func(_ net.Conn, s *Server) { stopNow(s) }, false},
		{"server process ends", func(_ net.Conn, s *Server) { closeAll(s) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			accepted := make(chan net.Conn, 1)
			addr := listen(t, func(conn net.Conn) { accepted <- conn })
			s, node := startServer(t, ServerConfig{}, &directory{})
			conn := open(t, node, addr)
			target := <-accepted
			_, err := target.Write([]byte("part"))
			is.NoErr(err)
			got := make([]byte, 4)
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			is.Equal(string(got), "part")
			tt.end(target, s)
			_, err = conn.Read(got)
			is.True(err != nil)
			is.Equal(errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF), tt.orderly)
		})
	}
}

// closeAll closes the sockets as the operating system does when a process ends.
func closeAll(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Guards against a target that goes on working for a caller that has disconnected.
func TestTargetIsClosedWhenThePeerCloses(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	addr := listen(t, func(conn net.Conn) {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	_, node := startServer(t, ServerConfig{}, &directory{})
	conn := open(t, node, addr)
	is.NoErr(conn.Close())
	is.True(<-ended != nil)
}

// The client distinguishes a target that refuses connections from a node that could not connect, since
// only the former says something about the target.
func TestRefusedTunnelsNameTheirReason(t *testing.T) {
	dialError := func(err error) upstream.DialFunc {
		return func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: err}
		}
	}
	for _, tt := range []struct {
		name string
		cfg  ServerConfig
		d    directory
		want error
	}{
		{"refused", ServerConfig{Dial: dialError(syscall.ECONNREFUSED)}, directory{}, ErrRefused},
		{"no answer", ServerConfig{Dial: dialError(syscall.ETIMEDOUT)}, directory{}, ErrTimeout},
		{"no path", ServerConfig{}, directory{noPath: true}, ErrNoPath},
		{"unknown target", ServerConfig{}, directory{unknown: true}, ErrUnknownTarget},
		{"no descriptor", ServerConfig{Dial: dialError(syscall.EMFILE)}, directory{}, ErrBusy},
		{"limit", ServerConfig{MaxTunnels: -1}, directory{}, ErrBusy},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, node := startServer(t, tt.cfg, &tt.d)
			_, _, err := Dial(t.Context(), node, "127.0.0.1:1")
			is.New(t).True(errors.Is(err, tt.want))
		})
	}
	t.Run("stopping", func(t *testing.T) {
		s, node := startServer(t, ServerConfig{}, &directory{})
		is := is.New(t)
		is.NoErr(s.Drain(t.Context()))
		_, _, err := Dial(t.Context(), node, "127.0.0.1:1")
		is.True(errors.Is(err, ErrBusy))
	})
	t.Run("nothing listens", func(t *testing.T) {
		_, _, err := Dial(t.Context(), "127.0.0.1:1", "127.0.0.1:1")
		is.New(t).True(errors.Is(err, ErrUnavailable))
	})
}

// resetConn is a connection whose reset a write gets, so that the read after it returns io.EOF.
type resetConn struct {
	net.Conn
	wrote chan struct{}
}

func (c resetConn) Write([]byte) (int, error) {
	defer close(c.wrote)
	return 0, syscall.ECONNRESET
}

func (c resetConn) Read([]byte) (int, error) {
	<-c.wrote
	return 0, io.EOF
}

// Guards against the reset of a target's connection being passed on as an orderly end, since a write to
// the target got its error.
func TestResetAfterFailedWriteIsNoOrderlyEnd(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	dial := func(context.Context, string, string) (net.Conn, error) {
		return resetConn{near, make(chan struct{})}, nil
	}
	_, node := startServer(t, ServerConfig{Dial: dial}, &directory{})
	conn := open(t, node, "127.0.0.1:1")
	_, err := conn.Write([]byte("rest of a request"))
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, io.EOF))
}
