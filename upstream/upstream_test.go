package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"
)

func dialError(cause error) error {
	sys := os.NewSyscallError("socket", cause)
	return &url.Error{Op: "Post", URL: "http:/", Err: &net.OpError{Op: "dial", Net: "tcp", Err: sys}}
}

// A node without free file descriptors cannot open a connection. That is no evidence against
// the target.
func TestDescriptorExhaustionIsLocal(t *testing.T) {
	is := is.New(t)
	is.True(IsLocal(dialError(syscall.EMFILE)))
	is.True(IsLocal(dialError(syscall.EADDRNOTAVAIL)))
	is.True(!IsLocal(dialError(syscall.ECONNREFUSED)))
	is.True(!IsLocal(nil))
}

// Guards against an idle connection keeping the last request that was sent on it in memory,
// through its gate function, so that a node's memory grew with its idle connections.
func TestIdleConnectionDoesNotRetainItsRequest(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	c := New(Config{MaxIdle: 1, IdleTimeout: time.Minute, DialTimeout: time.Second})
	t.Cleanup(c.CloseIdle)
	request := new([1 << 10]byte)
	held := weak.Make(request)
	send := func(request *[1 << 10]byte) {
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		is.NoErr(err)
		resp, _, err := c.Do(req, func() bool { return request[0] == 0 })
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	send(request)
	request = nil
	for range 100 {
		runtime.GC()
		if held.Value() == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the request is still alive")
}

// resetConn is a connection on which a part of an answer arrives before the request's body is written.
// The write of the body gets the error of a reset, so that the read after it returns io.EOF.
type resetConn struct {
	net.Conn
	answer *strings.Reader
	// asked is closed when the header of the request is written, failed when the write of its body fails.
	asked, failed chan struct{}
	once, fails   sync.Once
}

func (c *resetConn) Write(p []byte) (int, error) {
	header := false
	c.once.Do(func() {
		close(c.asked)
		header = true
	})
	if header {
		return len(p), nil
	}
	c.fails.Do(func() { close(c.failed) })
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.asked
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	<-c.failed
	return 0, io.EOF
}

func (c *resetConn) Close() error { return nil }

// Guards against an answer without a length being taken for complete although its connection was reset:
// the write of the rest of the request got the error, and the read of the answer a plain io.EOF.
func TestResetAfterFailedWriteBreaksTheAnswer(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	conn := &resetConn{
		Conn:   near,
		answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf"),
		asked:  make(chan struct{}), failed: make(chan struct{}),
	}
	client := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	body, rest := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1:1/", NonReplayableBody(body))
	is.NoErr(err)
	resp, _, err := client.Do(req, nil)
	is.NoErr(err)
	go func() { _, _ = rest.Write(make([]byte, 1<<16)) }()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}
