package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lab/bench"
	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// tcpProxy forwards TCP connections to an address until it is closed.
type tcpProxy struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	conns []net.Conn
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{ln: ln, to: to}
	t.Cleanup(p.close)
	go p.serve()
	return p
}

func (p *tcpProxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go func() { _, _ = io.Copy(out, in) }()
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// close closes all connections and the listener.
func (p *tcpProxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

const (
	longStream = `{"model":"` + bench.Model + `","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	requestID  = "request-1"
)

// postChat sends longStream to a node. A non-empty lastEventID asks for the rest of the stream.
func postChat(ctx context.Context, t *testing.T, url, lastEventID string) *http.Response {
	t.Helper()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(longStream))
	req.Header.Set("Authorization", "Bearer "+bench.APIKey)
	req.Header.Set("X-Request-Id", requestID)
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// read reads up to n events and returns their content and the last event ID.
func read(body io.Reader, n int) (content, lastID string) {
	sc := bufio.NewScanner(body)
	for n > 0 && sc.Scan() {
		line := sc.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		if _, rest, ok := strings.Cut(line, `"content":"`); ok {
			token, _, _ := strings.Cut(rest, `"`)
			content += token
		}
		if line == "" {
			n--
		}
	}
	return content, lastID
}

// TestReconnectAfterNodeIsLost checks that the engine doesn't cancel a generation when the node
// loses its connection to the engine and the caller its connection to the node: with the last
// event ID the caller gets the rest through another node, from the same run.
func TestReconnectAfterNodeIsLost(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Config{
		ID: "0", Step: time.Millisecond, Batch: 8, CacheTokens: 10_000, PrefillRate: 1_000_000, Hold: time.Minute,
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(ctx)
	addr, stopEngine, err := bench.Serve(e.Handler())
	is.NoErr(err)
	defer stopEngine()
	proxy := newTCPProxy(t, addr)
	firstNode, err := bench.NewNode([]string{proxy.ln.Addr().String()}, nil)
	is.NoErr(err)
	secondNode, err := bench.NewNode([]string{addr}, nil)
	is.NoErr(err)
	defer func() { _ = secondNode.Stop(context.Background()) }()

	callerCtx, cancelCaller := context.WithCancel(context.Background())
	resp := postChat(callerCtx, t, firstNode.URL(), "")
	head, last := read(resp.Body, 20)
	proxy.close()
	cancelCaller()
	_ = resp.Body.Close()
	is.NoErr(firstNode.Stop(context.Background()))

	resp = postChat(context.Background(), t, secondNode.URL(), last)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	rest, _ := read(resp.Body, 1000)
	want := engine.Answer([]engine.Message{{Role: "user", Content: prompt}}, 300)
	is.Equal(head+rest, strings.Join(want, ""))
	is.Equal(e.Runs(), 1)
}
