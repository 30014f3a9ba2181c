package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"
)

// slowEngine streams its first token at once and the rest when the returned function is called.
func slowEngine() (*target, func()) {
	finish := make(chan struct{})
	var once sync.Once
	tg := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"<1>\"}}]}\n\n")
		flush(w)
		<-finish
		_, _ = io.WriteString(w, "id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"<2>\"}}]}\n\ndata: [DONE]\n\n")
	}}
	return tg, func() { once.Do(func() { close(finish) }) }
}

// A stopping node fails its readiness probe, continues to serve during the grace period, and
// ends no stream and no detached request early.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	engine, finish := slowEngine()
	n := newNode(t, handlers(engine), withConfig(func(c *config.Node) { c.Listen = "127.0.0.1:0" }))
	t.Cleanup(finish) // before the servers close
	is.NoErr(n.Start(context.Background()))
	n.url = "http://" + n.Addr()

	stream := n.open(t, chatPath, streamReq)
	defer func() { _ = stream.Body.Close() }()
	r := bufio.NewReader(stream.Body)
	_, err := r.ReadString('>')
	is.NoErr(err) // the first token has arrived
	n.sendAndDisconnect(t, engine, "POST", "/services/s/letters")

	is.Equal(n.send(t, "GET", "/readyz", "", "").status, 200)
	is.NoErr(n.Drain(context.Background()))
	is.Equal(n.send(t, "GET", "/readyz", "", "").status, 503)
	a := n.send(t, "GET", "/v1/models", keyA, "")
	is.Equal(a.status, 200) // still served
	is.True(a.closes)

	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	eventually(t, func() bool { return n.send(t, "GET", "/healthz", "", "").err != nil })
	select {
	case <-stopped:
		t.Fatal("stopped with requests in progress")
	default:
	}
	finish()
	rest, err := io.ReadAll(r)
	is.NoErr(err)
	got, complete := tokens("<1>\n" + string(rest))
	is.Equal(got, "12")
	is.True(complete)
	is.NoErr(<-stopped)
	is.True(n.released())
}

// A stop that exceeds its deadline returns the context's error.
func TestStopDeadline(t *testing.T) {
	is := is.New(t)
	engine, finish := slowEngine()
	n := newNode(t, handlers(engine), withConfig(func(c *config.Node) { c.Listen = "127.0.0.1:0" }))
	t.Cleanup(finish)
	is.NoErr(n.Start(context.Background()))
	n.url = "http://" + n.Addr()
	stream := n.open(t, chatPath, streamReq)
	defer func() { _ = stream.Body.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.Equal(n.Stop(ctx), context.DeadlineExceeded)
}

// open sends a POST request with keyA and returns the response with its body unread.
func (n *node) open(t *testing.T, path, body string) *http.Response {
	t.Helper()
	req, _ := http.NewRequest("POST", n.url+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+keyA)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestGraceEnd(t *testing.T) {
	const grace = time.Second
	begun := time.Unix(1000, 0)
	for name, tc := range map[string]struct{ last, want time.Duration }{
		"no request since":              {-time.Minute, grace},
		"a request as it began":         {0, grace},
		"the balancer notices late":     {3 * grace, 4 * grace},
		"the balancer never notices":    {20 * grace, maxGracePeriods * grace},
		"a request just before it ends": {grace - 1, 2*grace - 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := graceEnd(begun, begun.Add(tc.last), grace)
			is.New(t).Equal(got.Sub(begun), tc.want)
		})
	}
}
