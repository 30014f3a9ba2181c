package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// begin is the virtual time at which the tests begin.
var begin = time.Unix(1000, 0)

// open adds a connection in a phase.
func open(t interface{ Fatal(args ...any) }, l *Ledger, p Phase, now time.Time) *Holder {
	h := &Holder{}
	if _, ok := l.Open(h, now); !ok {
		t.Fatal("no room for the connection")
	}
	l.Enter(h, p, now)
	return h
}

// Guards against connections that hold their places for ever: the one that has waited for its client for longest makes
// room, whatever the client is to do.
func TestStalledConnectionMakesRoom(t *testing.T) {
	for _, p := range []Phase{Silent, Header, Body} {
		is := is.New(t)
		l := NewLedger(Limits{Conns: 3})
		later, first := open(t, l, p, begin.Add(time.Millisecond)), open(t, l, Serving, begin)
		l.Enter(first, p, begin.Add(2*time.Millisecond))
		serving := open(t, l, Serving, begin)

		_, ok := l.Open(&Holder{}, begin.Add(sendStillTime/2))
		is.True(!ok) // nobody has stood still for long
		evicted, ok := l.Open(&Holder{}, begin.Add(2*sendStillTime))
		is.True(ok)
		is.Equal(evicted, later)
		is.True(evicted.Evicted())
		is.True(!first.Evicted() && !serving.Evicted())
		is.Equal(l.Conns(), 3)
	}
}

// Guards against the end of a connection whose request is in progress, or whose client is quick.
func TestOnlyWaitingConnectionsAreEvicted(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Conns: 2})
	open(t, l, Serving, begin)
	body := open(t, l, Body, begin)
	now := begin
	for range 10 {
		now = now.Add(sendStillTime / 2)
		l.Progress(body, now)
		_, ok := l.Open(&Holder{}, now)
		is.True(!ok)
	}
}

// Guards against stalled clients that are evicted before idle connections, whose callers open another at once.
func TestIdleConnectionIsEvictedFirst(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Conns: 2})
	open(t, l, Silent, begin)
	idle := open(t, l, Idle, begin.Add(time.Hour))
	evicted, ok := l.Open(&Holder{}, begin.Add(time.Hour))
	is.True(ok)
	is.Equal(evicted, idle)
	is.True(!idle.Evicted()) // a request that begins to arrive on it is served
}
