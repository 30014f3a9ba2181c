package standin_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/router"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// The tests of this file guard against requests that were accepted and then ended with a
// closed connection instead of an answer. In large fleets, restarts overlapped while targets
// were slow, and surges used up the retry budget. Each place is tested in which a node closed
// a caller's connection though it could have answered: a stream whose header was sent before
// its first event, a node that was late to write, a stop, and an attempt that was abandoned
// for another one that was then not allowed. The first and the third also occurred in
// processes under overlapping restarts; only the tests show the others.

// timeouts is a change to the configuration that sets the timeout of each route.
func timeouts(d time.Duration) func(cfg map[string]any) {
	return func(cfg map[string]any) {
		for _, r := range cfg["routes"].([]any) {
			r.(map[string]any)["timeout_ms"] = d.Milliseconds()
		}
	}
}

// slowDialect delays answers like a node that waits for the CPU.
type slowDialect struct {
	router.Dialect
	delay time.Duration
}

func (d slowDialect) EncodeReplyHeader(dst, src http.Header) {
	time.Sleep(d.delay)
	d.Dialect.EncodeReplyHeader(dst, src)
}

func (d slowDialect) WriteRefusal(w http.ResponseWriter, p *problem.Problem) {
	time.Sleep(d.delay)
	d.Dialect.WriteRefusal(w, p)
}

// A request that is forwarded is answered even if its target or the node is too slow.
func TestForwardedRequestIsAnswered(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, tt := range []struct {
		name  string
		fault Fault
		path  string
		delay time.Duration
		want  int
	}{
		{"a stream's header without an event", HeaderOnly, StreamPath, 0, http.StatusGatewayTimeout},
		{"a resumable stream's header without an event", HeaderOnly, ResumePath, 0, http.StatusGatewayTimeout},
		{"a refusal at the timeout by a slow node", Hang, UnsafePath, 2 * timeout, http.StatusGatewayTimeout},
		{"an answer by a slow node", None, UnsafePath, 2 * timeout, http.StatusOK},
		{"a stream by a slow node", None, StreamPath, 2 * timeout, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.Configure(timeouts(timeout))
			s.WrapDialect = func(d router.Dialect) router.Dialect { return slowDialect{d, tt.delay} }
			s.Start(1)
			for _, e := range s.Engines() {
				e.SetFault(tt.fault, -1)
			}
			a := s.Nodes[0].Do(Request{Path: tt.path, Body: "x"})
			is.Equal(a.Status, tt.want) // 0 if the connection was closed without an answer
		})
	}
}

// A stream is complete however long after its last event its body ends.
func TestStreamMayEndLate(t *testing.T) {
	for _, path := range []string{StreamPath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			for _, e := range s.Model {
				e.StallFor = 2500 * time.Millisecond // longer than a write timeout
				e.SetFault(LateEnd, -1)
			}
			a := s.Nodes[0].Do(Request{Path: path, Body: "x", Deadline: 9 * time.Second})
			is.NoErr(a.Err)
			is.Equal(a.Body, WholeStream(a.ID, DefaultEvents))
		})
	}
}

// callerConn is a caller's keep-alive connection.
type callerConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, n *Node) *callerConn {
	conn, err := net.Dial("tcp", n.Config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// send writes a request and returns its ID.
func (c *callerConn) send(path string) (string, error) {
	id := NewID()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 9000\r\n"+
		"Authorization: Bearer %s\r\nModel: m\r\nPrefix-Hash: aa:500,%s:100\r\n\r\n", path, Host, id, Key, id)
	return id, err
}

// receive reads a complete answer.
func (c *callerConn) receive() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// longStream is the number of events of a stream that ends after a stopping node has closed
// its listener, and before its grace period is over.
const longStream = 30

// stopDuringStream starts to stop a node while it serves a long stream on a connection, and
// returns the ID of the stream's request.
func stopDuringStream(t *testing.T) (s *Site, c *callerConn, first string) {
	is := is.New(t)
	s = start(t, 1)
	for _, e := range s.Model {
		e.Events, e.Pace = longStream, 2*Grace/3/longStream
	}
	c = dial(t, s.Nodes[0])
	first, err := c.send(StreamPath)
	is.NoErr(err)
	s.Eventually("the first stream runs", func() bool { return len(s.Journal.Runs(first)) == 1 })
	go s.Nodes[0].Stop(context.Background())
	return s, c, first
}

// A stopping node answers the requests that it accepted: one whose target sends nothing until
// the grace period is over, and the next request on a connection that had an answer in
// progress when the stop began, unless the node has not read or not forwarded that request.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	t.Run("a silent target", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		for _, e := range s.Engines() {
			e.SetFault(Hang, -1)
		}
		var conns []*callerConn
		for _, path := range []string{UnsafePath, StreamPath} {
			c := dial(t, s.Nodes[0])
			id, err := c.send(path)
			is.NoErr(err)
			s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
			conns = append(conns, c)
		}
		s.Nodes[0].Stop(context.Background())
		for _, c := range conns {
			status, _, err := c.receive()
			is.NoErr(err) // the connection was closed without an answer
			is.Equal(status, http.StatusBadGateway)
		}
	})
	t.Run("the next request on a busy connection", func(t *testing.T) {
		is := is.New(t)
		s, c, first := stopDuringStream(t)
		status, body, err := c.receive()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, WholeStream(first, longStream))

		next, err := c.send(StreamPath)
		if err != nil {
			return // closed before the caller sent its next request
		}
		status, body, err = c.receive()
		if len(s.Journal.Runs(next)) == 0 {
			is.True(err != nil || status == http.StatusServiceUnavailable)
			return
		}
		is.NoErr(err) // accepted and forwarded, then aborted
		is.Equal(body, WholeStream(next, longStream))
	})
}

// A caller that pipelines a request behind an answer in progress gets a refusal for it if the
// answer ends after the node has stopped to accept requests.
func TestPipelinedRequestAtAStopIsRefused(t *testing.T) {
	is := is.New(t)
	s, c, first := stopDuringStream(t)
	next, err := c.send(UnsafePath)
	is.NoErr(err)
	_, body, err := c.receive()
	is.NoErr(err)
	is.Equal(body, WholeStream(first, longStream))
	status, _, err := c.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(s.Journal.Runs(next)), 0)
}

// An answer whose header is written after a stop has begun has Connection: close, even if its
// request came before.
func TestAnswerDuringStopClosesConnection(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Engines() {
		e.StallFor = Grace / 6
		e.SetFault(Stall, -1)
	}
	c := dial(t, s.Nodes[0])
	id, err := c.send(UnsafePath)
	is.NoErr(err)
	s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
	go s.Nodes[0].Stop(context.Background())
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// overdueSoon is a change to the configuration that makes attempts overdue after a short time.
func overdueSoon(cfg map[string]any) {
	for _, r := range cfg["routes"].([]any) {
		r.(map[string]any)["gap_aim_ms"] = 100
		r.(map[string]any)["target_latency_ms"] = 200
	}
}

// A request whose overdue attempt was abandoned is retried on that target if the others refuse
// it, before its first event and after.
func TestRequestIsRetriedOnAnOverdueTarget(t *testing.T) {
	for _, path := range []string{SafePath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.Configure(overdueSoon)
			s.Start(1)
			id := NewID()
			for _, e := range s.Engines() {
				e.StallFor = time.Second
				e.SetFault(Stall, 1)
			}
			answers := make(chan Answer, 1)
			go func() { answers <- s.Nodes[0].Do(Request{Path: path, Body: "x", ID: id}) }()
			s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
			first := s.Journal.Runs(id)[0].Engine
			for _, e := range s.Engines() {
				if e.ID != first {
					e.SetFault(Refuse, -1)
				}
			}
			a := <-answers
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			for _, run := range s.Journal.Runs(id) {
				is.Equal(run.Engine, first)
			}
		})
	}
}

// An abandoned attempt is charged to the retry budget only once.
func TestOverdueAttemptIsChargedOnce(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Configure(overdueSoon)
	// A new node uses an eighth of the slack, less the reserve of a quarter: enough for one
	// retry.
	s.AdjustConfig = func(c *config.RouterNode) { c.RetryShare, c.RetryAllowance = 1e-9, 1.5*8/0.75 }
	s.Start(1)
	s.AwaitRetrySlack()
	for _, e := range s.Plain {
		e.StallFor = 2 * time.Second
		e.SetFault(Stall, -1)
	}
	id := NewID()
	answers := make(chan Answer, 1)
	go func() { answers <- s.Nodes[0].Do(Request{Path: SafePath, Body: "x", ID: id}) }()
	s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
	for _, e := range s.Plain {
		e.SetFault(None, 0)
	}
	a := <-answers
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(len(s.Journal.Runs(id)), 2)
}

// An overdue attempt continues if the retry budget allows no other one: its target may still
// answer.
func TestOverdueAttemptContinuesWithoutBudget(t *testing.T) {
	for _, path := range []string{SafePath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.Configure(overdueSoon)
			s.AdjustConfig = func(c *config.RouterNode) { c.RetryShare, c.RetryAllowance = 1e-9, 0 }
			s.Start(1)
			for _, e := range s.Engines() {
				e.StallFor = time.Second
				e.SetFault(Stall, -1)
			}
			a := s.Nodes[0].Do(Request{Path: path, Body: "x"})
			is.True(!errors.Is(a.Err, io.EOF)) // the connection was closed without an answer
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(len(s.Journal.Runs(a.ID)), 1)
		})
	}
}

// A target fails a request that may be repeated. Whatever the result of the next attempt, the
// caller gets that target's answer and no refusal from the node.
func TestReceivedFailureIsDelivered(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault Fault
	}{
		{"the next refuses", FailThenRefuse},
		{"the next drops the connection", FailThenDrop},
		{"the next is silent until the deadline", FailThenHang},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			for _, e := range s.Engines() {
				e.SetFault(tt.fault, -1)
			}
			const deadline = 800 * time.Millisecond
			began := time.Now()
			a := s.Nodes[0].Do(Request{Path: SafePath, Body: "x", Deadline: deadline})
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusInternalServerError)
			is.True(strings.HasPrefix(a.Body, "failed on "))
			is.True(strings.HasPrefix(a.Header.Get("Engine-Signature"), "sig-"))
			is.True(time.Since(began) < deadline)
		})
	}
}

// A node that stops while it retries a request delivers the failure that it has received.
func TestStopDeliversReceivedFailure(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.AwaitRetrySlack()
	for _, e := range s.Engines() {
		e.SetFault(FailThenHang, -1)
	}
	c := dial(t, s.Nodes[0])
	id, err := c.send(SafePath)
	is.NoErr(err)
	s.Eventually("the request is repeated", func() bool { return len(s.Journal.Runs(id)) == 2 })
	s.Nodes[0].Stop(context.Background())
	status, body, err := c.receive()
	is.NoErr(err)
	is.Equal(status, http.StatusInternalServerError)
	is.True(strings.HasPrefix(body, "failed on "))
}

// A failure that is too large to buffer is delivered in full and is not retried.
func TestLargeFailureIsDeliveredInFull(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Engines() {
		e.SetFault(FailLarge, -1)
	}
	a := s.Nodes[0].Do(Request{Path: SafePath, Body: "x"})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusInternalServerError)
	is.Equal(len(a.Body), LargeFailure)
	is.Equal(len(s.Journal.Runs(a.ID)), 1)
}
