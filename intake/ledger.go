package intake

import (
	"container/list"
	"time"
)

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Silent: nothing was received yet.
	Silent Phase = iota
	// Header: the header of a request is arriving.
	Header
	// Body: the body of a request is arriving.
	Body
	// Serving: a whole request is in progress.
	Serving
	// Idle: the connection is between two requests.
	Idle
)

// precedesRequest reports whether no request is in progress in the phase.
func (p Phase) precedesRequest() bool { return p == Silent || p == Header || p == Idle }

// Holder is what one connection holds. The zero value holds nothing and isn't open.
type Holder struct {
	phase Phase
	// since is when the phase began or the connection last made progress.
	since time.Time
	// position is the holder's element in one of the ledger's lists, nil for none.
	position *list.Element
	open     bool
	evicted  bool
}

// Phase returns the phase of the connection.
func (h *Holder) Phase() Phase { return h.phase }

// Evicted reports whether the connection is ended in favor of another.
func (h *Holder) Evicted() bool { return h.evicted }

// Ledger decides which connections a process keeps for callers, and which one is ended if another needs the room. It
// is a pure data structure on the time that its caller passes; it is not safe for concurrent use.
type Ledger struct {
	limits Limits
	conns  int
	// idle holds the connections between two requests, sending those whose client is to send. In each the one that has
	// made no progress for longest is first.
	idle, sending *list.List
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, idle: list.New(), sending: list.New()}
}

// Conns returns the number of open connections.
func (l *Ledger) Conns() int { return l.conns }

// Open adds a connection. If that exceeds the limit, it evicts an idle connection or, if there is none, the one that
// has waited for its client for longest. It returns the evicted connection, nil for none, and whether there is room.
func (l *Ledger) Open(h *Holder, now time.Time) (evicted *Holder, ok bool) {
	if l.limits.Conns > 0 && l.conns >= l.limits.Conns {
		if evicted = l.evictable(now); evicted == nil {
			return nil, false
		}
		l.evict(evicted)
	}
	l.conns++
	h.open = true
	l.Enter(h, Silent, now)
	return evicted, true
}

func (l *Ledger) evictable(now time.Time) *Holder {
	if e := l.idle.Front(); e != nil {
		return e.Value.(*Holder)
	}
	return l.stalled(now)
}

// stalled returns the connection that has waited for its client for longest, nil if none has for sendStillTime.
func (l *Ledger) stalled(now time.Time) *Holder {
	e := l.sending.Front()
	if e == nil {
		return nil
	}
	if h := e.Value.(*Holder); now.Sub(h.since) >= sendStillTime {
		return h
	}
	return nil
}

// evict takes everything from a connection. Its owner ends it, unless a request begins to arrive on an idle one.
func (l *Ledger) evict(h *Holder) {
	l.Close(h)
	h.evicted = h.phase != Idle
}

// reopen takes back the eviction of an idle connection, whatever the limit is.
func (l *Ledger) reopen(h *Holder, now time.Time) {
	l.conns++
	h.open = true
	l.Enter(h, Idle, now)
}

// Enter begins a phase of a connection.
func (l *Ledger) Enter(h *Holder, p Phase, now time.Time) {
	if !h.open {
		return
	}
	l.unlist(h)
	h.phase, h.since = p, now
	if q := l.queue(p); q != nil {
		h.position = q.PushBack(h)
	}
}

func (l *Ledger) unlist(h *Holder) {
	if h.position != nil {
		l.queue(h.phase).Remove(h.position)
		h.position = nil
	}
}

// queue returns the list of the connections in a phase, nil for none.
func (l *Ledger) queue(p Phase) *list.List {
	switch p {
	case Idle:
		return l.idle
	case Silent, Header, Body:
		return l.sending
	case Serving:
	}
	return nil
}

// Progress notes that the client of a connection has done its part.
func (l *Ledger) Progress(h *Holder, now time.Time) { l.Enter(h, h.phase, now) }

// Close removes a connection.
func (l *Ledger) Close(h *Holder) {
	if !h.open {
		return
	}
	l.unlist(h)
	h.open = false
	l.conns--
}
