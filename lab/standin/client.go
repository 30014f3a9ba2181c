package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a caller's request to a node.
type Request struct {
	Path     string
	Key      string // API key; Key if empty
	NoKey    bool
	ID       string // request ID; a new one if empty
	Body     string
	Deadline time.Duration // 3 s if zero
	Header   http.Header
	Prefix   string
}

// Answer is the response that a caller received.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	// Closes reports whether the node closes the connection after the answer.
	Closes bool
	// Err is the error of the request or of reading the body.
	Err error
}

var ids atomic.Int64

// NewID returns a request ID.
func NewID() string { return fmt.Sprintf("%016x", ids.Add(1)) }

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}

// Front is the ip:port on which a node accepts callers' requests.
type Front string

// Do sends a request to the node and reads the whole answer.
func (n *Node) Do(r Request) Answer { return n.DoContext(context.Background(), r) }

// DoContext is Do with a context; canceling it closes the caller's connection.
func (n *Node) DoContext(ctx context.Context, r Request) Answer {
	return Front(n.Config.Listen).Do(ctx, r)
}

// Do sends a request to the node and reads the whole answer.
func (f Front) Do(ctx context.Context, r Request) Answer {
	if r.ID == "" {
		r.ID = NewID()
	}
	out := Answer{ID: r.ID}
	resp, err := caller.Do(f.NewRequest(ctx, r))
	if err != nil {
		out.Err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.Status, out.Header, out.Closes = resp.StatusCode, resp.Header, resp.Close
	body, err := io.ReadAll(resp.Body)
	out.Body, out.Err = string(body), err
	return out
}

// NewRequest returns the HTTP request for r, with the platform's headers.
func (f Front) NewRequest(ctx context.Context, r Request) *http.Request {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if r.Body != "" {
		method, body = http.MethodPost, strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(f)+r.Path, body)
	if err != nil {
		panic(err) // only a malformed path or address in the test
	}
	req.GetBody = nil
	req.Host = Host
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set("Request-Id", r.ID)
	if r.Deadline == 0 {
		r.Deadline = 3 * time.Second
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key == "" {
		r.Key = Key
	}
	if !r.NoKey {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if strings.HasPrefix(r.Path, StreamPath) || strings.HasPrefix(r.Path, ResumePath) {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "1000,50")
		if r.Prefix == "" {
			r.Prefix = "aa:500,bb:400," + r.ID + ":100"
		}
		req.Header.Set("Prefix-Hash", r.Prefix)
	}
	return req
}

// WholeStream returns the body of a complete stream of n events.
func WholeStream(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Event(id, i))
	}
	return b.String()
}
