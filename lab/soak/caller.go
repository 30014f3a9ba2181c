package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// habit is how a caller uses its connections.
type habit int

const (
	// pausing waits a moment between an answer and the next request.
	pausing habit = iota
	// eager sends the next request in the moment in which an answer ends.
	eager
	// pipelining sends two requests at once.
	pipelining
	// halfClosing closes its sending side after its second request.
	halfClosing
)

func (h habit) String() string {
	return [...]string{"pausing", "eager", "pipelining", "half_closing"}[h]
}

const (
	// callerPause is the mean pause of a caller that pauses, and of all after a
	// failure or between two connections.
	callerPause = 25 * time.Millisecond
	// dialTimeout is how long a new connection may take.
	dialTimeout = time.Second
	// lateness is how long after its deadline a caller still reads: a node that
	// closes the connection then is told from one that never answers.
	lateness = time.Second
	// inFlight is how many requests a pipelining caller sends at once.
	inFlight = 2
)

// exchange is one request and what came of it.
type exchange struct {
	id, path string
	node     *process
	habit    habit
	// kept says that the connection had served a request before, queued that the
	// request was sent behind another.
	kept, queued bool
	deadline     time.Duration
	request      *http.Request
	// sent is when its last byte was, ended when its answer or its connection
	// did.
	sent, ended time.Time
	status      int
	header      http.Header
	body        string
	// anyByte says that a byte of an answer came.
	anyByte bool
	// err is how the answer broke off; nil if it is complete.
	err error
}

// gaveUp says that the connection was still open when the caller left.
func (x *exchange) gaveUp() bool {
	t, ok := x.err.(net.Error)
	return ok && t.Timeout()
}

// elapsed is how long the request took.
func (x *exchange) elapsed() time.Duration { return x.ended.Sub(x.sent) }

// caller sends requests on connections that it keeps until the node ends them.
type caller struct {
	nodes []*process
	rng   *rand.Rand
	habit habit
	note  func(*exchange)
}

// loop sends requests until the context ends.
func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		n := c.nodes[c.rng.IntN(len(c.nodes))]
		conn, err := net.DialTimeout("tcp", n.front, dialTimeout)
		if err == nil {
			c.use(ctx, n, conn)
		}
		c.pause()
	}
}

func (c *caller) pause() {
	time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
}

// use sends requests on one connection until it ends or the node asks to close.
func (c *caller) use(ctx context.Context, n *process, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for sent := 0; ctx.Err() == nil; {
		batch := c.draw(n, sent)
		if !c.send(conn, batch, c.habit == halfClosing && sent > 0) {
			return
		}
		for _, x := range batch {
			ok := x.read(conn, r)
			c.note(x)
			if !ok {
				return
			}
		}
		sent += len(batch)
		if c.habit == halfClosing && sent > 1 {
			return
		}
		if c.habit == pausing || batch[0].status != http.StatusOK {
			c.pause()
		}
	}
}

// draw returns the requests that are sent next.
func (c *caller) draw(n *process, sent int) []*exchange {
	count := 1
	if c.habit == pipelining {
		count = inFlight
	}
	batch := make([]*exchange, count)
	for i := range batch {
		batch[i] = c.newExchange(n)
		batch[i].kept, batch[i].queued = sent+i > 0, i > 0
	}
	return batch
}

var paths = []string{standin.StreamPath, standin.ResumePath, standin.UnsafePath, standin.SafePath}

var deadlines = []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second}

// Lengths of a run. A slow one lasts up to the grace time; an eager caller has
// many of these, so that one follows the other while its node stops.
const (
	fastBefore = 20 * time.Millisecond
	slowPart   = 0.15
	eagerSlow  = 0.5
	slowWait   = grace * time.Second
	slowPace   = grace * time.Second / standin.DefaultEvents
)

func (c *caller) newExchange(n *process) *exchange {
	x := &exchange{
		id: standin.NewID(), path: paths[c.rng.IntN(len(paths))], node: n, habit: c.habit,
		deadline: deadlines[c.rng.IntN(len(deadlines))],
	}
	r := standin.Request{Path: x.path, ID: x.id, Deadline: x.deadline, Header: make(http.Header)}
	if x.path != standin.SafePath {
		r.Body = "the body"
	}
	set := func(name string, most time.Duration) {
		r.Header.Set(name, fmt.Sprint(c.rng.Int64N(most.Milliseconds())))
	}
	set(standin.BeforeHeader, fastBefore)
	slow := slowPart
	if c.habit == eager {
		slow = eagerSlow
	}
	if c.rng.Float64() < slow {
		switch c.rng.IntN(3) {
		case 0:
			set(standin.BeforeHeader, slowWait)
		case 1:
			set(standin.FirstHeader, slowWait)
		default:
			set(standin.PaceHeader, slowPace)
		}
	}
	x.request = standin.Front(n.front).NewRequest(context.Background(), r)
	return x
}

// send writes the requests at once, and reports whether all of it was taken.
func (c *caller) send(conn net.Conn, batch []*exchange, closes bool) bool {
	var out strings.Builder
	for _, x := range batch {
		if err := x.request.Write(&out); err != nil {
			return false
		}
	}
	if _, err := io.WriteString(conn, out.String()); err != nil {
		return false // what isn't sent whole isn't owed an answer
	}
	if closes {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return false
		}
	}
	now := time.Now()
	for _, x := range batch {
		x.sent = now
	}
	return true
}

// read takes the answer, and reports whether the connection can be used on.
func (x *exchange) read(conn net.Conn, r *bufio.Reader) bool {
	defer func() { x.ended = time.Now() }()
	if x.queued {
		x.sent = time.Now() // its turn comes with the end of the answer before
	}
	if x.err = conn.SetReadDeadline(time.Now().Add(x.deadline + lateness)); x.err != nil {
		return false
	}
	if _, x.err = r.Peek(1); x.err != nil {
		return false
	}
	x.anyByte = true
	resp, err := http.ReadResponse(r, x.request)
	if err != nil {
		x.err = err
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	x.status, x.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	x.body, x.err = string(body), err
	return err == nil && !resp.Close
}
