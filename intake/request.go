package intake

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Request.ReadBody. A request that fails with one of them was not passed on.
var (
	// ErrTooLarge: the body is over the limit.
	ErrTooLarge = errors.New("the body is over the limit")
	// ErrTooSlow: the body stood still for too long, or its connection was evicted.
	ErrTooSlow = errors.New("the body arrived too slowly")
	// ErrNoRoom: as many bytes are held for callers as may be.
	ErrNoRoom = errors.New("no room for the body")
)

// smallRest is the largest announced body, in bytes, whose unread rest is read so that its connection can be kept.
const smallRest = 64 << 10

// A client that still sends when it is refused reads the refusal only once it has sent all, and a connection closed
// before that is reset. The rest of its body is therefore discarded, within bounds.
const (
	lingerBytes = 16 << 20
	lingerTime  = 5 * time.Second
)

// Request is what is kept for one request in progress. A nil Request keeps no account.
type Request struct {
	tracker *Tracker
	conn    *Conn   // nil if the server has no listener of the tracker
	holder  *Holder // nil with conn
	w       http.ResponseWriter
	rc      *http.ResponseController
	r       *http.Request
	// whole means that the request was completely received.
	whole bool
	// bodyBytes is the number of bytes granted for the body.
	bodyBytes int64
}

// Handler returns a handler that accounts for each request while next serves it.
func (t *Tracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := t.begin(w, r)
		defer q.finish()
		if q.isEvicted() {
			panic(http.ErrAbortHandler) // the header's end crossed the eviction; nothing was passed on
		}
		next.ServeHTTP(w, r)
	})
}

// Of returns what is kept for a request that a Handler serves.
func Of(w http.ResponseWriter, r *http.Request) *Request {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		if q := c.request.Load(); q != nil {
			return q
		}
	}
	return newRequest(nil, w, r)
}

func newRequest(t *Tracker, w http.ResponseWriter, r *http.Request) *Request {
	return &Request{
		tracker: t, w: w, r: r, rc: http.NewResponseController(w),
		whole: r.ContentLength == 0 || r.Body == nil,
	}
}

func (t *Tracker) begin(w http.ResponseWriter, r *http.Request) *Request {
	q := newRequest(t, w, r)
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return q
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.holder = t.conns[c]; q.holder == nil {
		return q
	}
	q.conn = c
	c.request.Store(q)
	c.beforeRequest.Store(false)
	t.revive(q.holder)
	if q.whole {
		t.ledger.Enter(q.holder, Serving, t.now())
	} else {
		t.ledger.Enter(q.holder, Body, t.now())
	}
	return q
}

// finish ends the accounting of the request. net/http then reads on to the end of its body.
func (q *Request) finish() {
	if !q.whole {
		_ = q.rc.SetReadDeadline(time.Now().Add(sendStillTime)) // fails only without a connection
	}
	if q.conn == nil {
		return
	}
	t := q.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Release(q.holder, q.holder.bytes)
	t.ledger.Join(q.holder, "")
	t.publish()
	q.conn.request.Store(nil)
}

// ReadBody reads the whole body. Before it keeps more of it than every request may, it calls authorize, which returns
// the workspace for which the bytes count, or why the request is refused. It returns ErrTooLarge, ErrTooSlow,
// ErrNoRoom, the error of authorize or that of the connection.
func (q *Request) ReadBody(l BodyLimits, authorize func() (workspace string, err error)) ([]byte, error) {
	if q.whole {
		return nil, nil
	}
	if l.Bytes > 0 && q.r.ContentLength > l.Bytes {
		return nil, ErrTooLarge
	}
	if l.Total > 0 {
		_ = q.rc.SetReadDeadline(time.Now().Add(l.Total)) // fails only without a connection
	}
	body, err := newBodyReader(q, l, authorize).readAll()
	if err != nil {
		return nil, q.readError(err)
	}
	_ = q.rc.SetReadDeadline(time.Time{})
	q.whole, q.bodyBytes = true, int64(cap(body))
	if !q.beginServing() {
		return nil, ErrTooSlow
	}
	return body, nil
}

// readError returns ErrTooSlow for the error of a read whose deadline expired.
func (q *Request) readError(err error) error {
	var timeout interface{ Timeout() bool }
	if q.isEvicted() || errors.As(err, &timeout) && timeout.Timeout() {
		return ErrTooSlow
	}
	return err
}

func (q *Request) isEvicted() bool {
	if q.conn == nil {
		return false
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	return q.holder.evicted
}

// beginServing notes that the request is whole. It reports whether its connection can still be answered.
func (q *Request) beginServing() bool {
	q.withLedger(func(l *Ledger, now time.Time) { l.Enter(q.holder, Serving, now) })
	return !q.isEvicted()
}

// progress notes that a part of the body has arrived.
func (q *Request) progress() {
	q.withLedger(func(l *Ledger, now time.Time) { l.Progress(q.holder, now) })
}

// Join makes what is kept for the request count for a workspace.
func (q *Request) Join(workspace string) {
	q.withLedger(func(l *Ledger, _ time.Time) { l.Join(q.holder, workspace) })
}

func (q *Request) withLedger(f func(l *Ledger, now time.Time)) {
	if q == nil || q.conn == nil {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	f(q.tracker.ledger, q.tracker.now())
}

// Acquire grants n more bytes for the request. It reports whether there is room.
func (q *Request) Acquire(n int64) bool {
	if q == nil || q.conn == nil {
		return true
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	defer q.tracker.publish()
	return q.tracker.acquire(q.holder, n)
}

// DropBody gives back what was granted for the body, which is no longer kept.
func (q *Request) DropBody() {
	if q != nil {
		q.release(q.bodyBytes)
		q.bodyBytes = 0
	}
}

// release gives back n granted bytes.
func (q *Request) release(n int64) {
	q.withLedger(func(l *Ledger, _ time.Time) { l.Release(q.holder, n) })
}

// PrepareRefusal sets the header of a refusal if the body wasn't read whole: net/http reads a part of the rest before
// it sends the header, and waits for it without a deadline.
func (q *Request) PrepareRefusal(h http.Header) {
	if q.whole {
		return
	}
	if q.r.ContentLength < 0 || q.r.ContentLength > smallRest || q.isEvicted() {
		h.Set("Connection", "close")
	}
	_ = q.rc.SetReadDeadline(time.Now().Add(sendStillTime)) // fails only without a connection
}

// Linger sends a refusal that was written and discards the rest of the request's body, so that a client that still
// sends gets to read it. It ends early if nothing arrives for sendStillTime.
func (q *Request) Linger() {
	if q.whole || q.isEvicted() || q.r.Header.Get("Expect") != "" {
		return
	}
	if err := q.rc.Flush(); err != nil {
		return
	}
	q.withLedger(func(l *Ledger, _ time.Time) { l.Release(q.holder, q.holder.bytes) })
	var scratch [firstBuffer]byte
	end, left := time.Now().Add(lingerTime), lingerBytes
	for left > 0 && time.Now().Before(end) {
		_ = q.rc.SetReadDeadline(time.Now().Add(sendStillTime))
		n, err := q.r.Body.Read(scratch[:])
		left -= n
		if errors.Is(err, io.EOF) {
			q.whole = true
			return
		}
		if err != nil {
			return
		}
	}
	_ = q.rc.SetReadDeadline(pastDeadline) // net/http reads no further
}
