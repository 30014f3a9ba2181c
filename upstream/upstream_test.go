package upstream

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"runtime"
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
