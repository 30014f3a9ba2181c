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

// mode is how a caller uses its connections.
type mode int

const (
	// pausing waits between a response and the next request.
	pausing mode = iota
	// eager sends the next request as soon as a response ends.
	eager
	// pipelining sends two requests at once.
	pipelining
	// halfClosing closes its sending side after its second request.
	halfClosing
)

func (m mode) String() string {
	return [...]string{"pausing", "eager", "pipelining", "half_closing"}[m]
}

const (
	// callerPause is the mean pause of a pausing caller, and of every caller after a failure and
	// between two connections.
	callerPause = 25 * time.Millisecond
	// dialTimeout limits the setup of a new connection.
	dialTimeout = time.Second
	// readSlack is how long after its deadline a caller keeps reading, to distinguish a node that
	// closes the connection at that point from one that never answers.
	readSlack = time.Second
	// inFlight is the number of requests that a pipelining caller sends at once.
	inFlight = 2
)

// exchange is one request and its outcome.
type exchange struct {
	id, path string
	node     *process
	mode     mode
	// reused is set if the connection had served a request before, queued if the request was sent
	// before the response to the previous one.
	reused, queued bool
	deadline       time.Duration
	request        *http.Request
	// sent is when the last byte of the request was sent, ended when the response or the
	// connection ended. For a queued request sent is when the previous response ended.
	sent, ended time.Time
	status      int
	header      http.Header
	body        string
	// anyByte is set if at least one byte of the response arrived.
	anyByte bool
	// err is why the response is incomplete, nil if it is complete.
	err error
}

// timedOut reports whether the connection was still open when the caller stopped reading.
func (x *exchange) timedOut() bool {
	t, ok := x.err.(net.Error)
	return ok && t.Timeout()
}

// elapsed returns how long the request took.
func (x *exchange) elapsed() time.Duration { return x.ended.Sub(x.sent) }

// caller sends requests on persistent connections until the node closes them.
type caller struct {
	nodes   []*process
	rng     *rand.Rand
	mode    mode
	observe func(*exchange)
	// uneven means that most connections go to one node at a time.
	uneven bool
}

const (
	// unevenFor is how long one node gets most connections, and evenPart the part of them that goes to any node.
	unevenFor = 4 * time.Second
	evenPart  = 0.1
)

// node returns the node of a new connection.
func (c *caller) node() *process {
	if c.uneven && c.rng.Float64() >= evenPart {
		return c.nodes[int(time.Now().UnixNano()/int64(unevenFor))%len(c.nodes)]
	}
	return c.nodes[c.rng.IntN(len(c.nodes))]
}

// loop sends requests until the context ends.
func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		n := c.node()
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

// use sends requests on one connection until it ends or the node sends Connection: close.
func (c *caller) use(ctx context.Context, n *process, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for sent := 0; ctx.Err() == nil; {
		batch := c.newBatch(n, sent)
		if !c.send(conn, batch, c.mode == halfClosing && sent > 0) {
			return
		}
		for _, x := range batch {
			ok := x.read(conn, r)
			c.observe(x)
			if !ok {
				return
			}
		}
		sent += len(batch)
		if c.mode == halfClosing && sent > 1 {
			return
		}
		if c.mode == pausing || batch[0].status != http.StatusOK {
			c.pause()
		}
	}
}

// newBatch returns the requests that are sent next on a connection that has sent some already.
func (c *caller) newBatch(n *process, sent int) []*exchange {
	count := 1
	if c.mode == pipelining {
		count = inFlight
	}
	batch := make([]*exchange, count)
	for i := range batch {
		batch[i] = c.newExchange(n)
		batch[i].reused, batch[i].queued = sent+i > 0, i > 0
	}
	return batch
}

var paths = []string{standin.StreamPath, standin.ResumePath, standin.UnsafePath, standin.SafePath}

var deadlines = []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second}

// How long targets work on a request. A slow request takes up to the grace time. Eager callers send
// more slow requests, so that one follows another while the node stops.
const (
	fastBefore = 20 * time.Millisecond
	slowPart   = 0.15
	eagerSlow  = 0.5
	slowWait   = grace * time.Second
	slowPace   = grace * time.Second / standin.DefaultEvents
)

func (c *caller) newExchange(n *process) *exchange {
	x := &exchange{
		id: standin.NewID(), path: paths[c.rng.IntN(len(paths))], node: n, mode: c.mode,
		deadline: deadlines[c.rng.IntN(len(deadlines))],
	}
	r := standin.Request{Path: x.path, ID: x.id, Deadline: x.deadline, Header: make(http.Header)}
	if x.path != standin.SafePath {
		r.Body = "the body"
	}
	set := func(name string, limit time.Duration) {
		r.Header.Set(name, fmt.Sprint(c.rng.Int64N(limit.Milliseconds())))
	}
	set(standin.BeforeHeader, fastBefore)
	slow := slowPart
	if c.mode == eager {
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

// send writes all requests of the batch at once, and reports whether everything was written.
// With halfClose it then closes the sending side of the connection.
func (c *caller) send(conn net.Conn, batch []*exchange, halfClose bool) bool {
	var out strings.Builder
	for _, x := range batch {
		if err := x.request.Write(&out); err != nil {
			return false
		}
	}
	if _, err := io.WriteString(conn, out.String()); err != nil {
		return false // a request that wasn't sent completely needs no response
	}
	if halfClose {
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

// read reads the response, and reports whether the connection can be reused.
func (x *exchange) read(conn net.Conn, r *bufio.Reader) bool {
	defer func() { x.ended = time.Now() }()
	if x.queued {
		x.sent = time.Now() // the node starts on it after the previous response
	}
	if x.err = conn.SetReadDeadline(time.Now().Add(x.deadline + readSlack)); x.err != nil {
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
