package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// at returns the time that is the given number of seconds after the beginning of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func during(from, to float64) []*span { return []*span{{at(from), at(to)}} }

// lossCase is a request that was cut and the events around it.
type lossCase struct {
	lossCheck
	node   process
	target timeline
	x      exchange
	// run is set if a target ran the request.
	run bool
}

// newLossCase returns a request on a reused connection that was passed on to a target without faults
// and cut at second 4.5, 2 s after it was sent, without a byte of the response.
func newLossCase() *lossCase {
	s := &lossCase{run: true}
	s.journal = standin.NewJournal()
	s.targetFaults = func(string) *timeline { return &s.target }
	s.timeouts.all = []timeoutAt{{at(0), time.Minute}}
	s.x = exchange{
		id: "lost", path: standin.StreamPath, node: &s.node, reused: true, deadline: 10 * time.Second,
		sent: at(2.5), ended: at(4.5), err: io.EOF,
	}
	return s
}

// record has a target run the request until the caller closes the connection.
func (s *lossCase) record(t *testing.T) {
	e := standin.NewEngine(t, "i-1", standin.ModelPool, "zone-1", s.journal)
	conn, err := net.Dial("tcp", e.Addr())
	is.New(t).NoErr(err)
	_, err = fmt.Fprintf(conn, "GET /stream/ HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: lost\r\n%s: 60000\r\n\r\n", standin.FirstHeader)
	is.New(t).NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	is.New(t).NoErr(err)
	is.New(t).NoErr(conn.Close())
	for len(s.journal.Runs("lost")) == 0 || !s.journal.Runs("lost")[0].Canceled {
		time.Sleep(time.Millisecond)
	}
}

func TestLostRequests(t *testing.T) {
	stopped := func(s *lossCase) { s.node.stopSignals.spans = during(0, 0) }
	for name, c := range map[string]struct {
		change           func(s *lossCase)
		lost, unanswered bool
	}{
		"nothing happened":                  {change: func(*lossCase) {}, lost: true, unanswered: true},
		"answer begun":                      {change: func(s *lossCase) { s.x.anyByte = true }, lost: true},
		"first of its connection":           {change: func(s *lossCase) { s.x.reused = false }, lost: true},
		"not passed on":                     {change: func(s *lossCase) { s.run = false }},
		"store disrupted":                   {change: func(s *lossCase) { s.storeFaults.spans = during(1, 2) }},
		"at its deadline":                   {change: func(s *lossCase) { s.x.deadline = 2 * time.Second }, unanswered: true},
		"stop, sent early, cut late":        {change: stopped},
		"stop, sent early, cut early":       {change: func(s *lossCase) { stopped(s); s.x.ended = at(4.1) }, lost: true},
		"stop, sent late":                   {change: func(s *lossCase) { stopped(s); s.x.sent = at(3.1) }, lost: true, unanswered: true},
		"stop, sent late, at its deadline":  {change: func(s *lossCase) { stopped(s); s.x.sent, s.x.deadline = at(3.1), time.Second }, unanswered: true},
		"stop, target disrupted":            {change: func(s *lossCase) { stopped(s); s.x.sent = at(3.1); s.target.spans = during(1, 1.2) }},
		"stop, node frozen":                 {change: func(s *lossCase) { stopped(s); s.x.sent = at(3.1); s.node.disrupted.spans = during(3, 4) }},
		"stop, machine stalled":             {change: func(s *lossCase) { stopped(s); s.x.sent = at(3.1); s.stalls.spans = during(3, 4) }},
		"stop, not read":                    {change: func(s *lossCase) { stopped(s); s.run, s.x.ended = false, at(2.6) }},
		"stop, not passed on, slowly ended": {change: func(s *lossCase) { stopped(s); s.run, s.x.ended = false, at(2.8) }, lost: true},
		"stop, queued and not passed on":    {change: func(s *lossCase) { stopped(s); s.run, s.x.queued = false, true }},
		"stop, store disrupted, stream":     {change: func(s *lossCase) { stopped(s); s.x.sent = at(3.1); s.storeFaults.spans = during(1, 2) }},
		"stop, store disrupted, plain": {change: func(s *lossCase) {
			stopped(s)
			s.x.sent, s.x.path = at(3.1), standin.SafePath
			s.storeFaults.spans = during(1, 2)
		}, lost: true},
		"long after a stop":              {change: func(s *lossCase) { s.node.stopSignals.spans = during(-4, -4) }, lost: true, unanswered: true},
		"reload":                         {change: func(s *lossCase) { s.node.reloads.spans = during(1, 1) }, lost: true, unanswered: true},
		"change of the configuration":    {change: func(s *lossCase) { s.configChanges.spans = during(2, 2) }, lost: true, unanswered: true},
		"change, most of its time used":  {change: func(s *lossCase) { s.configChanges.spans = during(2, 2); s.x.deadline = 2500 * time.Millisecond }, unanswered: true},
		"change, as often cut at others": {change: func(s *lossCase) { s.configChanges.spans = during(2, 2); s.other = ratio{1, 2} }, unanswered: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newLossCase()
			c.change(s)
			if s.run {
				s.record(t)
			}
			s.observe(&s.x)
			broken, findings := s.finish()
			is.Equal(len(broken) > 0, c.lost)
			is.Equal(len(findings) > 0, c.unanswered)
		})
	}
}

func TestTimelineRecordsEndedSpans(t *testing.T) {
	is := is.New(t)
	var line timeline
	line.add(at(1), at(1.5))
	line.add(at(3), at(4))
	is.Equal(line.total(), 1500*time.Millisecond)
	is.True(line.overlaps(at(0), at(1)))
	is.True(!line.overlaps(at(1.6), at(2.9)))
}

func TestTooManyUnansweredBreakPromise(t *testing.T) {
	is := is.New(t)
	s := newLossCase()
	s.x.deadline = 2 * time.Second // if cut before its deadline, each one alone would break a promise
	s.record(t)
	for range maxUnanswered {
		s.observe(&s.x)
	}
	broken, _ := s.finish()
	is.Equal(len(broken), 0)
	s.observe(&s.x)
	broken, _ = s.finish()
	is.Equal(len(broken), 1)
}

func TestShortestTimeoutInForce(t *testing.T) {
	is := is.New(t)
	h := timeoutHistory{all: []timeoutAt{{at(0), time.Second}, {at(10), 4 * time.Second}, {at(20), 2 * time.Second}}}
	is.Equal(h.shortest(at(1), at(2)), time.Second)
	is.Equal(h.shortest(at(11), at(12)), time.Second) // the change may not be in force yet
	is.Equal(h.shortest(at(13), at(14)), 4*time.Second)
	is.Equal(h.shortest(at(19), at(21)), 2*time.Second)
}

// The caller must distinguish a node that closes a connection from one that keeps it open beyond the
// deadline.
func TestExchangeReportsHowItEnded(t *testing.T) {
	for name, c := range map[string]struct {
		answer           string
		status           int
		anyByte, whole   bool
		timedOut, usable bool
	}{
		"whole":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, anyByte: true, whole: true, usable: true},
		"closing": {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", status: 200, anyByte: true, whole: true},
		"cut":     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", status: 200, anyByte: true},
		"nothing": {},
		"late":    {timedOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			go func() {
				_, _ = io.WriteString(far, c.answer) // the checks of the exchange show an incomplete write
				if !c.timedOut {
					_ = far.Close()
				}
			}()
			x := exchange{deadline: time.Minute}
			if c.timedOut {
				x.deadline = -readSlack + time.Millisecond
			}
			is.Equal(x.read(near, bufio.NewReader(near)), c.usable)
			is.Equal(x.status, c.status)
			is.Equal(x.anyByte, c.anyByte)
			is.Equal(x.err == nil, c.whole)
			is.Equal(x.timedOut(), c.timedOut)
			is.Equal(errors.Is(x.err, io.EOF), name == "nothing")
		})
	}
}
