package socket

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that waits for the end of a body that has none, and against a connection that is given
// up though the rest of its response has arrived.
func TestDrainEndsSoon(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/whole" {
			_, _ = io.WriteString(w, strings.Repeat("x", maxDrain))
			return
		}
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "drips ")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	}))
	defer server.Close()
	get := func(path string) io.ReadCloser {
		resp, err := server.Client().Get(server.URL + path)
		is.NoErr(err)
		return resp.Body
	}
	is.True(Drain(get("/whole")))
	began := time.Now()
	is.True(!Drain(get("/drips")))
	is.True(time.Since(began) < 2*time.Second)
}

// Guards against a body that is longer than the limit being taken for one that ended.
func TestReadWithinStopsAtTheLimit(t *testing.T) {
	is := is.New(t)
	read, ended := ReadWithin(io.NopCloser(strings.NewReader("12345")), 5, time.Second)
	is.Equal(string(read), "12345")
	is.True(ended)
	read, ended = ReadWithin(io.NopCloser(bufio.NewReader(strings.NewReader("1234567"))), 5, time.Second)
	is.Equal(string(read), "123456") // what was read isn't lost
	is.True(!ended)
}
