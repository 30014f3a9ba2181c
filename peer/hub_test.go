package peer

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"
)

type text struct {
	Text string `json:"text"`
}

func newTestHub() *Hub {
	return NewHub("127.0.0.1:0", log.New(io.Discard), prometheus.NewRegistry())
}

func start(t testing.TB, h *Hub) *Hub {
	t.Helper()
	if err := h.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Stop(context.Background()) })
	return h
}

func echo(_ context.Context, params json.RawMessage) (any, error) { return params, nil }

// silentPeer accepts connections and never answers; if read is set, it reads what is
// sent. It returns its address and a counter of accepted connections.
func silentPeer(t *testing.T, read bool) (string, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			accepted.Add(1)
			if read {
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
		}
	}()
	return ln.Addr().String(), &accepted
}

func TestConcurrentCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	server, client := newTestHub(), start(t, newTestHub())
	server.Handle("echo", echo)
	start(t, server)
	var g sync.WaitGroup
	var wrong atomic.Int32
	for range 50 {
		g.Go(func() {
			var got text
			if err := client.Call(context.Background(), server.Addr(), "echo", text{"hi"}, &got); err != nil || got.Text != "hi" {
				wrong.Add(1)
			}
		})
	}
	g.Wait()
	is.Equal(wrong.Load(), int32(0))
	is.Equal(testutil.ToFloat64(client.metrics.dials.WithLabelValues("connected")), 1.0)
}

func TestCallFailureReasons(t *testing.T) {
	cases := []struct {
		name   string
		method string
		params any
		reason string
	}{
		{"a handler that hangs", "hang", nil, "timeout"},
		{"a handler that fails", "fail", nil, "remote"},
		{"an unknown method", "none", nil, "remote"},
		{"a message beyond the limit", "echo", text{strings.Repeat("x", maxMessageBytes)}, "too_large"},
	}
	server, client := newTestHub(), start(t, newTestHub())
	server.Handle("echo", echo)
	server.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("no") })
	server.Handle("hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	start(t, server)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			if tc.reason != "timeout" {
				ctx = context.Background()
			}
			err := client.Call(ctx, server.Addr(), tc.method, tc.params, nil)
			is.Equal(failureReason(err), tc.reason)
			// The connection is still usable.
			var got text
			is.NoErr(client.Call(context.Background(), server.Addr(), "echo", text{"hi"}, &got))
			is.Equal(testutil.ToFloat64(client.metrics.dials.WithLabelValues("connected")), 1.0)
		})
	}
}

func TestSilentConnectionIsRedialed(t *testing.T) {
	is := is.New(t)
	addr, accepted := silentPeer(t, true)
	client := start(t, newTestHub())
	for want := int32(1); want <= 2; want++ {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout+50*time.Millisecond)
		err := client.Call(ctx, addr, "echo", nil, nil)
		cancel()
		is.Equal(failureReason(err), "timeout")
		is.Equal(accepted.Load(), want)
	}
}

// incompressible returns a message that takes n bytes or more on the wire, so that
// it fills the buffers on the way.
func incompressible(n int) text {
	raw := make([]byte, n)
	rng := rand.NewChaCha8([32]byte{})
	_, _ = rng.Read(raw)
	return text{base64.StdEncoding.EncodeToString(raw)}
}

// TestPeerThatDoesNotRead fills the buffers of a peer. The blocked writer must fail in
// bounded time, and those waiting to write when their own deadlines pass.
func TestPeerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	addr, _ := silentPeer(t, false)
	client := start(t, newTestHub())
	big := incompressible(1 << 20)
	blocked := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			err = client.Notify(context.Background(), addr, "m", big)
		}
		blocked <- err
	}()
	var err error
	for err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		err = client.Notify(ctx, addr, "m", big)
		cancel()
	}
	is.True(<-blocked != nil)
}

func TestUnreachablePeerIsDialedWithBackoff(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	client := start(t, newTestHub())
	for range 100 {
		is.True(errors.Is(client.Notify(context.Background(), addr, "m", nil), ErrUnreachable))
	}
	failedDials := testutil.ToFloat64(client.metrics.dials.WithLabelValues("failed"))
	backedOff := testutil.ToFloat64(client.metrics.failures.WithLabelValues("backoff"))
	is.Equal(failedDials+backedOff, 100.0)
	is.True(backedOff > 0)
}

func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, jitter := rapid.IntRange(1, 1000).Draw(t, "n"), rapid.Float64Range(0, 1).Draw(t, "jitter")
		if d := backoff(n, jitter); d < minBackoff/2 || d > maxBackoff || n > 10 && d < maxBackoff/2 {
			t.Fatalf("backoff %v", d)
		}
	})
}

func TestRestartedPeerIsReconnected(t *testing.T) {
	is := is.New(t)
	first, client := newTestHub(), start(t, newTestHub())
	first.Handle("echo", echo)
	is.NoErr(first.Start(context.Background()))
	addr := first.Addr()
	is.NoErr(client.Call(context.Background(), addr, "echo", text{"1"}, nil))
	is.NoErr(first.Stop(context.Background()))

	second := NewHub(addr, log.New(io.Discard), prometheus.NewRegistry())
	second.Handle("echo", echo)
	start(t, second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for client.Call(ctx, addr, "echo", text{"2"}, nil) != nil {
		is.NoErr(ctx.Err())
	}
}

func TestExcessCallsAreRefusedWhileNotificationsPass(t *testing.T) {
	is := is.New(t)
	server, client := newTestHub(), start(t, newTestHub())
	entered, release, notified := make(chan struct{}, 2*maxRequests), make(chan struct{}), make(chan struct{}, 1)
	server.Handle("wait", func(context.Context, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	})
	server.Handle("note", func(context.Context, json.RawMessage) (any, error) {
		notified <- struct{}{}
		return nil, nil
	})
	start(t, server)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var g sync.WaitGroup
	for range maxRequests {
		g.Go(func() { _ = client.Call(ctx, server.Addr(), "wait", nil, nil) })
	}
	for range maxRequests {
		<-entered
	}
	is.True(errors.Is(client.Call(ctx, server.Addr(), "wait", nil, nil), ErrBusy))
	is.NoErr(client.Notify(ctx, server.Addr(), "note", nil))
	<-notified
	close(release)
	g.Wait()
}

func TestOversizedFrameClosesTheConnection(t *testing.T) {
	is := is.New(t)
	server := start(t, newTestHub())
	c, err := net.Dial("tcp", server.Addr())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write(binary.AppendUvarint(nil, (maxMessageBytes+1)<<1))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = c.Read(make([]byte, 1))
	var timeout net.Error
	is.True(err != nil)
	is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // closed, not timed out
}

func TestStopDeliversSentNotifications(t *testing.T) {
	is := is.New(t)
	const sent = 1000
	server, client := newTestHub(), newTestHub()
	var got sync.WaitGroup
	got.Add(sent)
	server.Handle("note", func(context.Context, json.RawMessage) (any, error) {
		got.Done()
		return nil, nil
	})
	start(t, server)
	is.NoErr(client.Start(context.Background()))
	for range sent {
		is.NoErr(client.Notify(context.Background(), server.Addr(), "note", text{"x"}))
	}
	is.NoErr(client.Stop(context.Background()))
	got.Wait()
}

func TestStopWaitsForHandlersInProgress(t *testing.T) {
	is := is.New(t)
	server, client := newTestHub(), start(t, newTestHub())
	entered := make(chan struct{})
	server.Handle("slow", func(context.Context, json.RawMessage) (any, error) {
		close(entered)
		for !server.isStopped() {
			time.Sleep(time.Millisecond)
		}
		return text{"done"}, nil
	})
	is.NoErr(server.Start(context.Background()))
	answered := make(chan error, 1)
	go func() { answered <- client.Call(context.Background(), server.Addr(), "slow", nil, nil) }()
	<-entered
	is.NoErr(server.Stop(context.Background()))
	is.NoErr(<-answered)
}

func BenchmarkCall(b *testing.B) {
	server, client := newTestHub(), start(b, newTestHub())
	server.Handle("admission.acquire", echo)
	start(b, server)
	params := text{strings.Repeat("x", 100)}
	b.ReportAllocs()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got text
			if err := client.Call(context.Background(), server.Addr(), "admission.acquire", params, &got); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	total := testutil.ToFloat64(client.metrics.bytes.WithLabelValues("out")) + testutil.ToFloat64(client.metrics.bytes.WithLabelValues("in"))
	b.ReportMetric(total/float64(b.N), "wire-B/op")
}

// cpuTime returns the processor time of this process, which runs both peers.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestIdleConnectionIsClosed checks that a connection is closed when no call uses it,
// not while a call waits on it, and that the next call dials again.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	const idle = 20 * time.Millisecond
	server, client := newTestHub(), newTestHub()
	release := make(chan struct{})
	server.Handle("echo", echo)
	server.Handle("wait", func(context.Context, json.RawMessage) (any, error) {
		<-release
		return text{"done"}, nil
	})
	start(t, server)
	client.CloseIdleAfter(idle)
	start(t, client)
	var got text
	waited := make(chan error, 1)
	go func() { waited <- client.Call(context.Background(), server.Addr(), "wait", text{}, &got) }()
	time.Sleep(5 * idle)
	close(release)
	is.NoErr(<-waited)
	is.Equal(got.Text, "done")
	for client.link(server.Addr()).connected() {
		time.Sleep(idle)
	}
	is.NoErr(client.Call(context.Background(), server.Addr(), "echo", text{"again"}, &got))
	is.Equal(got.Text, "again")
	is.Equal(testutil.ToFloat64(client.metrics.dials.WithLabelValues("connected")), 2.0)
}
