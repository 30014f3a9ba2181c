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

// link passes TCP connections on to an address until it is cut.
type link struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	conns []net.Conn
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{ln: ln, to: to}
	t.Cleanup(l.cut)
	go l.serve()
	return l
}

func (l *link) serve() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = in.Close()
			return
		}
		l.mu.Lock()
		l.conns = append(l.conns, in, out)
		l.mu.Unlock()
		go func() { _, _ = io.Copy(out, in) }()
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// cut closes all connections and takes no more.
func (l *link) cut() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

const (
	longStream = `{"model":"` + bench.Model + `","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	requestID  = "request-1"
)

func ask(ctx context.Context, t *testing.T, url, lastEventID string) *http.Response {
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

// read returns the content of up to n events and the last event ID.
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

// A node that loses its engine, or dies, doesn't cancel the generation: the
// caller gets the rest through another node.
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
	l := newLink(t, addr)
	one, err := bench.NewNode([]string{l.ln.Addr().String()}, nil)
	is.NoErr(err)
	two, err := bench.NewNode([]string{addr}, nil)
	is.NoErr(err)
	defer func() { _ = two.Stop(context.Background()) }()

	caller, leave := context.WithCancel(context.Background())
	resp := ask(caller, t, one.URL(), "")
	head, last := read(resp.Body, 20)
	l.cut()
	leave()
	_ = resp.Body.Close()
	is.NoErr(one.Stop(context.Background()))

	resp = ask(context.Background(), t, two.URL(), last)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	rest, _ := read(resp.Body, 1000)
	want := engine.Answer([]engine.Message{{Role: "user", Content: prompt}}, 300)
	is.Equal(head+rest, strings.Join(want, ""))
	is.Equal(e.Runs(), 1)
}
