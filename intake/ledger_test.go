package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const kb = int64(1 << 10)

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
	for _, p := range []Phase{Silent, Header, Body, Writing} {
		is := is.New(t)
		l := NewLedger(Limits{Conns: 3})
		later, first := open(t, l, p, begin.Add(time.Millisecond)), open(t, l, Serving, begin)
		l.Enter(first, p, begin.Add(2*time.Millisecond))
		serving := open(t, l, Serving, begin)

		_, ok := l.Open(&Holder{}, begin.Add(sendStillTime/2))
		is.True(!ok) // nobody has stood still for long
		evicted, ok := l.Open(&Holder{}, begin.Add(ReadStillTime+time.Second))
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

// Guards against bodies that stopped and keep others out: they make room for one that arrives, the longest still first.
func TestStalledBodiesMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 1000 * kb})
	silent := open(t, l, Silent, begin)
	var stalled []*Holder
	for i := range 10 {
		h := open(t, l, Body, begin.Add(time.Duration(i)*time.Millisecond))
		l.Join(h, "attacker")
		if _, ok := l.Acquire(h, 108*kb, begin); ok {
			stalled = append(stalled, h)
		}
	}
	is.Equal(len(stalled), 6) // a third of the bytes is left
	honest := open(t, l, Body, begin)
	l.Join(honest, "honest")
	evicted, ok := l.Acquire(honest, 508*kb, begin.Add(sendStillTime/2))
	is.True(!ok) // nobody has stood still for long
	is.Equal(len(evicted), 0)
	evicted, ok = l.Acquire(honest, 508*kb, begin.Add(2*sendStillTime))
	is.True(ok)
	is.Equal(evicted, stalled[:4]) // its workspace gets no more than twice what is left besides
	is.True(!silent.Evicted())     // it holds nothing
}

// Guards against a workspace that takes all bytes: another one's request finds room, and a third's.
func TestBytesAreSharedAmongWorkspaces(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 1024 * kb})
	take := func(workspace string) int64 {
		taken := int64(0)
		for {
			h := open(t, l, Serving, begin)
			l.Join(h, workspace)
			if _, ok := l.Acquire(h, freeBytes+kb, begin); !ok {
				return taken
			}
			taken += kb
		}
	}
	is.Equal(take("a"), 682*kb)
	is.Equal(take("b"), 228*kb)
	is.Equal(take("c"), 76*kb)
}

// Guards against small requests that are refused while large ones hold all bytes, and against a single request within
// the limits that is.
func TestRoomForSmallAndForSingleRequests(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 1024 * kb})
	single := open(t, l, Body, begin)
	l.Join(single, "a")
	_, ok := l.Acquire(single, freeBytes+1024*kb, begin)
	is.True(ok)
	small := open(t, l, Body, begin)
	_, ok = l.Acquire(small, freeBytes, begin)
	is.True(ok)
	_, ok = l.Acquire(small, 1, begin)
	is.True(!ok)
	l.Release(single, freeBytes+1024*kb)
	_, ok = l.Acquire(small, 1, begin)
	is.True(ok)
}

// Guards against an account that drifts from what the connections hold, in any order of calls, and against a limit that
// is exceeded.
func TestLedgerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Conns: rapid.IntRange(1, 6).Draw(t, "conns"), Bytes: rapid.Int64Range(1, 200).Draw(t, "bytes") * kb,
		}
		l, now := NewLedger(limits), begin
		var holders []*Holder
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if len(holders) == 0 || rapid.IntRange(0, 3).Draw(t, "add") == 0 {
				h := &Holder{}
				if _, ok := l.Open(h, now); ok {
					holders = append(holders, h)
				}
				continue
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				l.Enter(h, Phase(rapid.IntRange(int(Silent), int(Idle)).Draw(t, "phase")), now)
			case 1:
				if !rapid.Bool().Draw(t, "keep") {
					l.Close(h)
				}
			case 2:
				l.Join(h, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"))
			case 3:
				l.Acquire(h, rapid.Int64Range(0, 100).Draw(t, "more")*kb, now)
			case 4:
				l.Release(h, rapid.Int64Range(0, h.bytes).Draw(t, "less"))
			}
			checkLedger(t, l, limits, holders)
		}
	})
}

func checkLedger(t *rapid.T, l *Ledger, limits Limits, holders []*Holder) {
	conns, bytes, groups := 0, int64(0), make(map[string]int64)
	for _, h := range holders {
		if h.open {
			conns++
		}
		bytes += h.charged
		if h.charged != 0 {
			groups[h.group] += h.charged
		}
		if !h.open && h.charged != 0 {
			t.Fatalf("a closed connection is charged %d", h.charged)
		}
	}
	if conns != l.Conns() || bytes != l.Bytes() {
		t.Fatalf("%d connections and %d bytes, accounted %d and %d", conns, bytes, l.Conns(), l.Bytes())
	}
	if conns > limits.Conns || bytes > limits.Bytes {
		t.Fatalf("%d connections of %d, %d bytes of %d", conns, limits.Conns, bytes, limits.Bytes)
	}
	for g, want := range groups {
		if l.groups[g] != want {
			t.Fatalf("group %q is charged %d, its connections %d", g, l.groups[g], want)
		}
	}
}

// Guards against a stop that waits for clients which stand still, and against one that ends others.
func TestStalledSendersAreEvictedAtAStop(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{})
	header, body := open(t, l, Header, begin), open(t, l, Body, begin)
	quick := open(t, l, Body, begin.Add(sendStillTime))
	others := []*Holder{open(t, l, Serving, begin), open(t, l, Writing, begin), open(t, l, Idle, begin)}
	is.Equal(l.EvictStalled(begin.Add(sendStillTime)), []*Holder{header, body})
	is.True(!quick.Evicted())
	for _, h := range others {
		is.True(!h.Evicted())
	}
}
