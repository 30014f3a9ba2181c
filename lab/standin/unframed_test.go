package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// answerUnframed makes engines answer unframed.
func answerUnframed(engines []*Engine, u Unframed) {
	for _, e := range engines {
		e.AnswerUnframed(&u)
	}
}

// looksComplete reports whether a caller takes an answer for a complete one.
func looksComplete(a Answer) bool { return a.Err == nil && a.Status == http.StatusOK }

func (p pathKind) whole(id string) string {
	if p.stream {
		return WholeStream(id, DefaultEvents)
	}
	return PlainBody(id)
}

// pathKind is a route of the site and what its answers are.
type pathKind struct {
	path   string
	stream bool
}

var (
	plainStream = pathKind{StreamPath, true}
	resumable   = pathKind{ResumePath, true}
	unsafePlain = pathKind{UnsafePath, false}
	safePlain   = pathKind{SafePath, false}
)

// Guards against an answer that its target broke off being delivered as a complete one: the answer has
// neither a length nor chunks, and the end of its connection was taken for the end of the answer.
func TestTruncatedAnswerIsNotDeliveredAsComplete(t *testing.T) {
	for name, tt := range map[string]struct {
		kinds []pathKind
		end   Unframed
	}{
		"inside an event":                  {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Inside: true}},
		"inside the first event":           {[]pathKind{plainStream, resumable}, Unframed{Inside: true}},
		"inside the last event":            {[]pathKind{plainStream, resumable}, Unframed{Events: DefaultEvents - 1, Inside: true}},
		"before the first event":           {[]pathKind{plainStream, resumable}, Unframed{}},
		"by a reset inside an event":       {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Inside: true, Reset: true}},
		"by a reset between events":        {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Reset: true}},
		"by a reset before the first":      {[]pathKind{plainStream, resumable}, Unframed{Reset: true}},
		"inside an event by a crash":       {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Inside: true, Crash: true}},
		"between events by a crash":        {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Crash: true}},
		"a plain answer by a reset":        {[]pathKind{unsafePlain, safePlain}, Unframed{Inside: true, Reset: true}},
		"a plain answer by a crash":        {[]pathKind{unsafePlain, safePlain}, Unframed{Inside: true, Crash: true}},
		"inside an event while it leaves":  {[]pathKind{plainStream, resumable}, Unframed{Events: 2, Inside: true, Leave: true}},
		"before the first while it leaves": {[]pathKind{plainStream, resumable}, Unframed{Leave: true}},
	} {
		for _, kind := range tt.kinds {
			t.Run(name+" "+strings.Trim(kind.path, "/"), func(t *testing.T) {
				s := start(t, 1)
				answerUnframed(s.Engines(), tt.end)
				for range 3 {
					a := s.Nodes[0].Do(Request{Path: kind.path, Body: "x"})
					if looksComplete(a) {
						t.Errorf("delivered as complete: %q", a.Body)
					}
					if runs := len(s.Journal.Runs(a.ID)); runs > 1 && (kind == plainStream || kind == unsafePlain) {
						t.Errorf("%d runs", runs)
					}
				}
			})
		}
	}
}

// Guards against a whole answer being aborted or run again because its target, which framed it by the end
// of its connection, accepts no connections afterwards in order: it had announced that it leaves.
func TestWholeUnframedAnswerIsDeliveredOnce(t *testing.T) {
	for name, end := range map[string]Unframed{
		"":                         {Events: -1},
		"of a target that leaves":  {Events: -1, Leave: true},
		"of one that is then gone": {Events: -1, Leave: true, Crash: true},
	} {
		for _, kind := range []pathKind{plainStream, resumable, unsafePlain, safePlain} {
			t.Run(strings.Trim(kind.path, "/")+" "+name, func(t *testing.T) {
				is, s := is.New(t), start(t, 1)
				answerUnframed(s.Engines(), end)
				a := s.Nodes[0].Do(Request{Path: kind.path, Body: "x"})
				is.NoErr(a.Err)
				is.Equal(a.Body, kind.whole(a.ID))
				is.Equal(len(s.Journal.Runs(a.ID)), 1)
			})
		}
	}
}

// Guards against a resumable stream that one target breaks off being given up, although another one
// could continue it.
func TestTruncatedStreamIsResumedElsewhere(t *testing.T) {
	for name, end := range map[string]Unframed{
		"inside an event": {Events: 2, Inside: true}, "before the first event": {},
		"between events by a crash": {Events: 2, Crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			s.AwaitRetrySlack()
			answerUnframed(s.Model[:1], end)
			resumed := 0
			for i := range 30 {
				a := s.Nodes[0].Do(Request{Path: ResumePath + fmt.Sprint(i), Body: "x"})
				is.NoErr(a.Err)
				is.Equal(a.Body, WholeStream(a.ID, DefaultEvents))
				if len(s.Journal.Runs(a.ID)) > 1 {
					resumed++
				}
			}
			is.True(resumed > 0)
		})
	}
}

// Guards against a caller of HTTP/1.0 taking a broken stream for a complete one: it gets no chunks, so only
// a reset of its connection shows it.
func TestTruncatedStreamToHTTP10IsReset(t *testing.T) {
	for name, end := range map[string]Unframed{"truncated": {Events: 2, Inside: true}, "whole": {Events: -1}} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			answerUnframed(s.Model, end)
			conn, err := net.Dial("tcp", s.Nodes[0].Config.Listen)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			req := Front(s.Nodes[0].Config.Listen).NewRequest(t.Context(), Request{Path: StreamPath, ID: NewID()})
			is.NoErr(req.Write(http10Writer{conn}))
			_, err = io.Copy(io.Discard, conn)
			is.Equal(err == nil, name == "whole")
		})
	}
}

// http10Writer writes a request of HTTP/1.1 as one of HTTP/1.0.
type http10Writer struct{ net.Conn }

func (w http10Writer) Write(p []byte) (int, error) {
	_, err := w.Conn.Write(bytes.Replace(p, []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1))
	return len(p), err
}

// Guards against a stream that the node itself stops reading being delivered as complete: at the deadline,
// at the end of a shutdown, or since the node that carries its connection ends.
func TestStreamThatANodeEndsIsNotComplete(t *testing.T) {
	const running = 150 * time.Millisecond
	slow := http.Header{PaceHeader: {"400"}}
	killed := func(n *Node) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.Stop(ctx)
	}
	for name, tt := range map[string]struct {
		deadline time.Duration
		// carried means that another node carries the connection.
		carried bool
		end     func(s *Site)
	}{
		"deadline":               {deadline: 600 * time.Millisecond, end: func(*Site) {}},
		"drain":                  {end: func(s *Site) { go s.Nodes[0].Stop(context.Background()) }},
		"end of the grace time":  {end: func(s *Site) { killed(s.Nodes[0]) }},
		"carrying node ends":     {carried: true, end: func(s *Site) { killed(s.Nodes[1]) }},
		"carrying node loses it": {carried: true, end: func(s *Site) { s.Nodes[1].Engines.SetFault(PathReset) }},
		"path is lost":           {end: func(s *Site) { s.Nodes[0].Engines.SetFault(PathReset) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 2)
			answerUnframed(s.Model, Unframed{Events: -1})
			if tt.carried {
				s.Nodes[0].Engines.SetFault(PathReset)
				s.Eventually("another node carries connections", func() bool {
					return looksComplete(s.Nodes[0].Do(Request{Path: StreamPath, Body: "x"}))
				})
			}
			answered := make(chan Answer)
			go func() {
				answered <- s.Nodes[0].Do(Request{Path: StreamPath, Body: "x", Header: slow, Deadline: tt.deadline})
			}()
			time.Sleep(running)
			tt.end(s)
			if a := <-answered; looksComplete(a) && a.Body != WholeStream(a.ID, DefaultEvents) {
				t.Errorf("delivered as complete: %q", a.Body)
			}
		})
	}
}

// Guards against a caller that can't go on after a broken stream: it got a part of an event, or an event
// twice. It asks another node for the events after the last whole one.
func TestCallerResumesABrokenStreamAtAnotherNode(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	answerUnframed(s.Model, Unframed{Events: 2, Inside: true})
	first := s.Nodes[0].Do(Request{Path: ResumePath, Body: "x"})
	is.True(!looksComplete(first))
	events := strings.Count(first.Body, "\n\n")
	is.Equal(first.Body, WholeStream(first.ID, events))
	answerUnframed(s.Model, Unframed{Events: -1})
	rest := s.Nodes[1].Do(Request{Path: ResumePath, Body: "x", ID: first.ID, Header: http.Header{"Last-Event-Id": {fmt.Sprint(events - 1)}}})
	is.NoErr(rest.Err)
	is.Equal(first.Body+rest.Body, WholeStream(first.ID, DefaultEvents))
	end := s.Nodes[1].Do(Request{Path: ResumePath, Body: "x", ID: first.ID, Header: http.Header{"Last-Event-Id": {fmt.Sprint(DefaultEvents - 1)}}})
	is.NoErr(end.Err)
	is.Equal(end.Status, http.StatusOK) // whole, although it has no event
}

// Guards against a stream that one target broke off being delivered as complete since the next target,
// asked for the rest, ended its connection before the first event: an end without events is whole only
// for a caller that may have them all.
func TestStreamResumedInVainIsNotComplete(t *testing.T) {
	for name, first := range map[string]Unframed{
		"inside an event": {Events: 2, Inside: true}, "between events by a reset": {Events: 2, Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			answerUnframed(s.Model, Unframed{})
			answerUnframed(s.Model[:1], first)
			for i := range 30 {
				if a := s.Nodes[0].Do(Request{Path: ResumePath + fmt.Sprint(i), Body: "x"}); looksComplete(a) {
					t.Errorf("delivered as complete: %q", a.Body)
				}
			}
		})
	}
}
