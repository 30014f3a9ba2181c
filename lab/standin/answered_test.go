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

// In large fleets, requests that had been taken ended with a closed connection in
// place of an answer: restarts overlapped while targets were slow, and surges used up
// the retries. The tests of this file drive each place in which a node closed a
// caller's connection though it could have answered: a stream whose header had come
// ahead of its first event, a node that was late to write, a stop, and an attempt that
// was given up for another that was then not allowed. Processes under overlapping
// restarts met the first and the third; each of the others is proved by its test only.

// timeouts is a change of the configuration that gives each route a timeout.
func timeouts(d time.Duration) func(cfg map[string]any) {
	return func(cfg map[string]any) {
		for _, r := range cfg["routes"].([]any) {
			r.(map[string]any)["timeout_ms"] = d.Milliseconds()
		}
	}
}

// lateDialect writes answers as a node does that waits for the processor.
type lateDialect struct {
	router.Dialect
	delay time.Duration
}

func (d lateDialect) EncodeReplyHeader(dst, src http.Header) {
	time.Sleep(d.delay)
	d.Dialect.EncodeReplyHeader(dst, src)
}

func (d lateDialect) WriteRefusal(w http.ResponseWriter, p *problem.Problem) {
	time.Sleep(d.delay)
	d.Dialect.WriteRefusal(w, p)
}

// A request that is passed on is answered, whatever its target and the node lack.
func TestPassedOnRequestIsAnswered(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, tt := range []struct {
		name  string
		fault Fault
		path  string
		late  time.Duration
		want  int
	}{
		{"a stream's header without an event", HeaderOnly, StreamPath, 0, http.StatusGatewayTimeout},
		{"a resumable stream's header without an event", HeaderOnly, ResumePath, 0, http.StatusGatewayTimeout},
		{"a refusal at the timeout by a late node", Hang, UnsafePath, 2 * timeout, http.StatusGatewayTimeout},
		{"an answer by a late node", None, UnsafePath, 2 * timeout, http.StatusOK},
		{"a stream by a late node", None, StreamPath, 2 * timeout, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.Configure(timeouts(timeout))
			s.Wrap = func(d router.Dialect) router.Dialect { return lateDialect{d, tt.late} }
			s.Start(1)
			for _, e := range s.Engines() {
				e.SetFault(tt.fault, -1)
			}
			a := s.Nodes[0].Do(Request{Path: tt.path, Body: "x"})
			is.Equal(a.Status, tt.want) // 0: the connection was closed without an answer
		})
	}
}

// A stream ends whole however long after its last event its end comes.
func TestStreamMayEndLate(t *testing.T) {
	for _, path := range []string{StreamPath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			for _, e := range s.Model {
				e.StallFor = 2500 * time.Millisecond // longer than a write may take
				e.SetFault(LateEnd, -1)
			}
			a := s.Nodes[0].Do(Request{Path: path, Body: "x", Deadline: 9 * time.Second})
			is.NoErr(a.Err)
			is.Equal(a.Body, WholeStream(a.ID, DefaultEvents))
		})
	}
}

// callerConn is a caller's kept connection.
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

// receive reads a whole answer.
func (c *callerConn) receive() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// longStream is the number of events of a stream that ends after a stopping node has
// closed its listener, and before its grace time is over.
const longStream = 30

// stopUnderAStream stops a node while a long stream is under way on a connection, and
// returns the ID of its request.
func stopUnderAStream(t *testing.T) (s *Site, c *callerConn, first string) {
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

// A stop answers what it took: a request for which its target is silent until the
// grace time is over, and the next request on a connection whose answer was under
// way when the stop began, unless that request is left unread or not passed on.
func TestStopAnswersWhatItTook(t *testing.T) {
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
		s, c, first := stopUnderAStream(t)
		status, body, err := c.receive()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, WholeStream(first, longStream))

		next, err := c.send(StreamPath)
		if err != nil {
			return // closed before the caller went on
		}
		status, body, err = c.receive()
		if len(s.Journal.Runs(next)) == 0 {
			is.True(err != nil || status == http.StatusServiceUnavailable)
			return
		}
		is.NoErr(err) // taken, passed on and cut off
		is.Equal(body, WholeStream(next, longStream))
	})
}

// A caller that sends its next request ahead of the end of an answer gets a refusal
// for it if the answer ends after the node has stopped to take requests.
func TestPipelinedRequestAtAStopIsRefused(t *testing.T) {
	is := is.New(t)
	s, c, first := stopUnderAStream(t)
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

// An answer whose header is written after a stop has begun asks its caller to close
// the connection, whenever its request came.
func TestAnswerUnderWayAsksToClose(t *testing.T) {
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

// overdueSoon is a change of the configuration that makes attempts overdue soon.
func overdueSoon(cfg map[string]any) {
	for _, r := range cfg["routes"].([]any) {
		r.(map[string]any)["gap_aim_ms"] = 100
		r.(map[string]any)["target_latency_ms"] = 200
	}
}

// A request whose overdue attempt was given up goes back to that target if the
// others refuse it, before its first event and after.
func TestRequestGoesBackToAnOverdueTarget(t *testing.T) {
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

// An attempt that is given up is paid for once.
func TestOverdueAttemptIsChargedOnce(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Configure(overdueSoon)
	// A new node takes an eighth of the slack, less the reserve of a quarter: room
	// for one retry.
	s.Adjust = func(c *config.RouterNode) { c.RetryShare, c.RetryAllowance = 1e-9, 1.5*8/0.75 }
	s.Start(1)
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

// An attempt that is overdue goes on where the retry budget allows no other one: its
// target may still answer.
func TestOverdueAttemptGoesOnWithoutBudget(t *testing.T) {
	for _, path := range []string{SafePath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.Configure(overdueSoon)
			s.Adjust = func(c *config.RouterNode) { c.RetryShare, c.RetryAllowance = 1e-9, 0 }
			s.Start(1)
			for _, e := range s.Engines() {
				e.StallFor = time.Second
				e.SetFault(Stall, -1)
			}
			a := s.Nodes[0].Do(Request{Path: path, Body: "x"})
			is.True(!errors.Is(a.Err, io.EOF)) // closed without an answer
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(len(s.Journal.Runs(a.ID)), 1)
		})
	}
}

// A target failed a request that may be repeated. What becomes of the next attempt, the
// target's own answer is delivered, and not a refusal in its place.
func TestAnswerInHandIsDelivered(t *testing.T) {
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
			begun := time.Now()
			a := s.Nodes[0].Do(Request{Path: SafePath, Body: "x", Deadline: deadline})
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusInternalServerError)
			is.True(strings.HasPrefix(a.Body, "failed on "))
			is.True(strings.HasPrefix(a.Header.Get("Engine-Signature"), "sig-"))
			is.True(time.Since(begun) < deadline)
		})
	}
}

// A node that stops while it repeats a request delivers the answer that it has.
func TestStopDeliversTheAnswerInHand(t *testing.T) {
	is, s := is.New(t), start(t, 1)
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

// A failure that is too large to hold is delivered whole, and is not repeated.
func TestLargeFailureIsWhole(t *testing.T) {
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
