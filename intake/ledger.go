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
	// Writing: a write of an answer is in progress.
	Writing
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
	// bytes is what it keeps, charged the part of it that counts toward the limit.
	bytes, charged int64
	// group is the workspace that the charged bytes count for, empty while it isn't known.
	group string
	// position is the holder's element in one of the ledger's lists, nil for none.
	position *list.Element
	open     bool
	evicted  bool
}

// Phase returns the phase of the connection.
func (h *Holder) Phase() Phase { return h.phase }

// Evicted reports whether the connection is ended in favor of another.
func (h *Holder) Evicted() bool { return h.evicted }

// Ledger decides which connections a process keeps for callers and how many bytes they may hold, and which connection
// is ended if another needs the room. It is a pure data structure on the time that its caller passes; it is not safe
// for concurrent use.
//
// The bytes of a group are bounded by groupFactor times those that are still free (the dynamic thresholds of Choudhury and
// Hahne), so that one group alone gets two thirds of them and some are always left for another.
type Ledger struct {
	limits Limits
	conns  int
	bytes  int64
	groups map[string]int64
	// idle holds the connections between two requests, sending those whose client is to send, and reading those whose
	// client is to read. In each the one that has made no progress for longest is first.
	idle, sending, reading *list.List
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{
		limits: l, groups: make(map[string]int64), idle: list.New(), sending: list.New(), reading: list.New(),
	}
}

// Conns returns the number of open connections, Bytes that of the bytes that count toward the limit.
func (l *Ledger) Conns() int { return l.conns }

// Bytes returns the number of bytes that count toward the limit.
func (l *Ledger) Bytes() int64 { return l.bytes }

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
	return l.stalled(now, func(*Holder) bool { return true })
}

// stalled returns the connection that has waited for its client for longest and satisfies a condition, nil for none.
// Clients that are to send come first: the others have been served.
func (l *Ledger) stalled(now time.Time, condition func(*Holder) bool) *Holder {
	if h := stillest(l.sending, now.Add(-sendStillTime), condition); h != nil {
		return h
	}
	return stillest(l.reading, now.Add(-ReadStillTime), condition)
}

// stillest returns the first connection of a list that satisfies a condition and has made no progress since a time.
func stillest(holders *list.List, since time.Time, condition func(*Holder) bool) *Holder {
	for e := holders.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Holder)
		if h.since.After(since) {
			return nil
		}
		if condition(h) {
			return h
		}
	}
	return nil
}

// evict takes everything from a connection. Its owner ends it, unless a request begins to arrive on an idle one.
func (l *Ledger) evict(h *Holder) {
	l.Close(h)
	h.evicted = h.phase != Idle
}

// EvictStalled evicts all connections whose client is to send and has made no progress for long enough. It returns them.
func (l *Ledger) EvictStalled(now time.Time) []*Holder {
	var evicted []*Holder
	all := func(*Holder) bool { return true }
	for h := stillest(l.sending, now.Add(-sendStillTime), all); h != nil; h = stillest(l.sending, now.Add(-sendStillTime), all) {
		l.evict(h)
		evicted = append(evicted, h)
	}
	return evicted
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
	case Writing:
		return l.reading
	case Serving:
	}
	return nil
}

// Progress notes that the client of a connection has done its part.
func (l *Ledger) Progress(h *Holder, now time.Time) { l.Enter(h, h.phase, now) }

// Join makes the bytes of a connection count for a group.
func (l *Ledger) Join(h *Holder, group string) {
	l.charge(h, -h.charged)
	h.group = group
	l.charge(h, countedBytes(h.bytes))
}

// Acquire grants n more bytes to a connection. While there is no room, it evicts connections that have waited for
// their clients for longest. It returns these, and whether the bytes are granted.
func (l *Ledger) Acquire(h *Holder, n int64, now time.Time) (evicted []*Holder, ok bool) {
	if !h.open {
		return nil, false
	}
	more := countedBytes(h.bytes+n) - h.charged
	for !l.fits(h, more) {
		v := l.stalled(now, func(v *Holder) bool { return v != h && v.charged > 0 })
		if v == nil {
			return evicted, false
		}
		l.evict(v)
		evicted = append(evicted, v)
	}
	h.bytes += n
	l.charge(h, more)
	return evicted, true
}

// groupFactor is how many times the bytes that are free one group may take.
const groupFactor = 2

// fits reports whether a connection may be charged more bytes. One that is the only one to hold any may take all.
func (l *Ledger) fits(h *Holder, more int64) bool {
	if l.limits.Bytes == 0 || more <= 0 {
		return true
	}
	left := l.limits.Bytes - l.bytes - more
	return left >= 0 && (l.groups[h.group]+more <= groupFactor*left || l.bytes == h.charged)
}

// Release takes back n granted bytes.
func (l *Ledger) Release(h *Holder, n int64) {
	if !h.open {
		return
	}
	h.bytes -= n
	l.charge(h, countedBytes(h.bytes)-h.charged)
}

func (l *Ledger) charge(h *Holder, n int64) {
	h.charged += n
	l.bytes += n
	if l.groups[h.group] += n; l.groups[h.group] == 0 {
		delete(l.groups, h.group)
	}
}

// Close removes a connection with all that it holds.
func (l *Ledger) Close(h *Holder) {
	if !h.open {
		return
	}
	l.unlist(h)
	l.charge(h, -h.charged)
	h.open, h.bytes = false, 0
	l.conns--
}

// countedBytes returns how many of the bytes that a connection keeps count toward the limit.
func countedBytes(kept int64) int64 { return max(kept-freeBytes, 0) }
