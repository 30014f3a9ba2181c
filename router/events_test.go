package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/retry"
)

// relayed is what a caller got of a stream.
type relayed struct {
	body string
	fail *failure
	x    *exchange
}

// relayBody relays an unframed stream of a target that accepts connections afterwards.
func relayBody(p *testPool, a assignment, body io.Reader, w http.ResponseWriter, contentType string) relayed {
	m := newMetrics(prometheus.NewRegistry())
	r := &Router{pool: p.pool, now: clock.Monotonic, dialect: plainDialect{}, conns: intake.NewTracker(intake.Limits{}, m.intake, nil, clock.Monotonic), metrics: m, log: log.New(io.Discard)}
	x := &exchange{router: r, w: w, rc: http.NewResponseController(w), req: &http.Request{Method: http.MethodPost}, route: &catalog.Route{}, attempts: p.guard.NewAttempts("r", func() quarantine.Keys { return quarantine.Keys{} })}
	resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(body), Header: http.Header{"Content-Type": {contentType}}}
	fail := x.relayStream(context.Background(), a, resp)
	return relayed{fail: fail, x: x}
}

func relayString(t *testing.T, body io.Reader) relayed {
	t.Helper()
	p := newTestPool(run("a", 10))
	p.dial = func(string) error { return nil }
	w := httptest.NewRecorder()
	out := relayBody(p, p.take(t), body, w, "text/event-stream")
	out.body = w.Body.String()
	return out
}

// Guards against bytes of a stream being lost, doubled or judged otherwise when its reads are split
// elsewhere, and against callers getting a part of an event.
func FuzzRelayOfAnySplit(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\nda"), uint8(3))
	f.Add([]byte("id: 1\r\rdata: a\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		whole := relayString(t, bytes.NewReader(stream))
		split := relayString(t, &sizedReader{stream, int(size)%7 + 1})
		if split.body != whole.body || (split.fail == nil) != (whole.fail == nil) {
			t.Errorf("split: %q %v, whole: %q %v", split.body, split.fail, whole.body, whole.fail)
		}
		if !strings.HasPrefix(string(stream), whole.body) {
			t.Errorf("%q was delivered of %q", whole.body, stream)
		}
		if whole.fail == nil && whole.body != string(stream) {
			t.Errorf("%q counts as complete of %q", whole.body, stream)
		}
	})
}

// sizedReader returns up to size bytes at a time.
type sizedReader struct {
	rest []byte
	size int
}

func (r *sizedReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(r.size, len(p))], r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Guards against an event over the buffer's size being lost or held back without a limit.
func TestLargeEventsAreRelayedWhole(t *testing.T) {
	for name, size := range map[string]int{"over the buffer": streamBuffer * 3, "over the limit": maxHeldEvent * 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			event := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
			stream := event + "id: 2\ndata: b\n\n"
			got := relayString(t, iotest.HalfReader(strings.NewReader(stream)))
			is.True(got.fail == nil)
			is.Equal(got.body, stream)
			is.Equal(got.x.received.LastEventID(), "2")
		})
	}
}

// Guards against a stream being continued at another target after a part of an event was passed on.
func TestPartlyRelayedEventIsNotResumed(t *testing.T) {
	is := is.New(t)
	got := relayString(t, strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: "+strings.Repeat("x", maxHeldEvent*2)))
	is.Equal(got.fail.progress, retry.Delivered)
	got = relayString(t, strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: x"))
	is.Equal(got.fail.progress, retry.Sent)
	is.Equal(got.body, "id: 1\ndata: a\n\n")
	is.Equal(got.x.lastEvent, "1")
}

// Guards against a stream whose events have no IDs being sent once more after the part that was delivered.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	is := is.New(t)
	got := relayString(t, strings.NewReader("data: a\n\ndata: b"))
	is.Equal(got.fail.progress, retry.Delivered)
	got = relayString(t, strings.NewReader(": ping\n\ndata: a"))
	is.Equal(got.fail.progress, retry.Sent) // nothing but a comment was delivered
}

// Guards against an answer that isn't a stream of events being sent once more after the part that was
// delivered, or being judged by events.
func TestStreamOfAnotherTypeIsNotResumed(t *testing.T) {
	for name, tt := range map[string]struct {
		body io.Reader
		ok   bool
	}{
		"whole":  {strings.NewReader(`{"a":1}`), true},
		"broken": {io.MultiReader(strings.NewReader(`{"a"`), iotest.ErrReader(io.ErrUnexpectedEOF)), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(run("a", 10))
			p.dial = func(string) error { return nil }
			got := relayBody(p, p.take(t), tt.body, httptest.NewRecorder(), "application/json")
			is.Equal(got.fail == nil, tt.ok)
			if !tt.ok {
				is.Equal(got.fail.progress, retry.Delivered)
			}
		})
	}
}

// Guards against a whole answer being aborted since its target is replaced in order, or a truncated one
// being delivered since another run has taken the place of a target that terminated.
func TestTargetAfterTheEndOfItsConnection(t *testing.T) {
	for name, tt := range map[string]struct {
		dial error
		want completion.Target
	}{
		"accepts": {nil, completion.TargetAccepts}, "refuses": {errDialRefused, completion.TargetTerminated},
		"hangs": {errDialTimeout, completion.TargetUnclear},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(run("a", 10))
			p.dial = func(string) error { return tt.dial }
			_, probe := p.afterConnectionEnd(p.members["a"])
			<-probe.done
			is.Equal(probe.result, tt.want)
		})
	}
	is := is.New(t)
	p := newTestPool(run("a", 10))
	first := p.members["a"]
	p.put(run("a", 11))
	state, probe := p.afterConnectionEnd(first)
	is.Equal(state, completion.TargetTerminated)
	is.True(probe == nil)
	draining := run("a", 11)
	draining.Draining = true
	p.put(draining)
	state, probe = p.afterConnectionEnd(p.members["a"])
	is.Equal(state, completion.TargetLeaves)
	is.True(probe == nil)
}

func BenchmarkRelayStream(b *testing.B) {
	p := newTestPool(run("a", 10))
	p.dial = func(string) error { return nil }
	a, _, _ := p.acquire(criteria{service: service})
	stream := bytes.Repeat([]byte("id: 10\ndata: "+strings.Repeat("x", 64)+"\n\n"), 50)
	m := newMetrics(prometheus.NewRegistry())
	r := &Router{pool: p.pool, now: clock.Monotonic, dialect: plainDialect{}, conns: intake.NewTracker(intake.Limits{}, m.intake, nil, clock.Monotonic), metrics: m}
	for _, resumable := range []bool{false, true} {
		b.Run(map[bool]string{false: "once", true: "resumable"}[resumable], func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w := discardWriter{}
				x := &exchange{router: r, w: w, rc: http.NewResponseController(w), req: &http.Request{}, route: &catalog.Route{Resumable: resumable}, attempts: p.guard.NewAttempts("r", func() quarantine.Keys { return quarantine.Keys{} })}
				resp := &http.Response{StatusCode: http.StatusOK, ContentLength: int64(len(stream)), Body: io.NopCloser(&sizedReader{stream, 83})}
				if x.relayStream(context.Background(), a, resp) != nil {
					b.Fatal("the stream failed")
				}
			}
		})
	}
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
