package intake

import (
	"testing"
	"time"
)

// way is a way to decide who may keep bytes, built from the ledger's parts.
type way struct {
	name string
	// evicts means that stalled connections make room, shares that bytes are shared among workspaces, and announced
	// that a body is granted whole on arrival.
	evicts, shares, announced bool
}

// sender is a client in the model.
type sender struct {
	holder    *Holder
	workspace string
	size      int64 // of the body, in bytes
	rate      int64 // bytes a tick
	stopsAt   int64 // what it sends before it stops, size if it doesn't
	sent      int64
	served    time.Time // when it is whole and was served
	failed    bool
}

const (
	tick     = 10 * time.Millisecond
	modelRun = 20 * time.Second
	service  = 500 * time.Millisecond // for which a whole request is kept
	mb       = 1 << 20
)

// The callers of the model: small bodies that arrive at once, large ones that take a second, and attackers.
var (
	smallBody = sender{workspace: "honest", size: 40 << 10, rate: 40 << 10, stopsAt: 40 << 10}
	largeBody = sender{workspace: "honest", size: 2 * mb, rate: 2 * mb / 100, stopsAt: 2 * mb}
	stalling  = sender{workspace: "attacker", size: 4 * mb, rate: 64 << 10, stopsAt: 4*mb - 1}
	trickling = sender{workspace: "attacker", size: 4 * mb, rate: 64, stopsAt: 4 * mb}
	// colleague stalls with a key of the workspace whose bodies are counted.
	colleague = sender{workspace: "honest", size: 4 * mb, rate: 64 << 10, stopsAt: 4*mb - 1}
)

// model plays callers against a node of 284 MB and returns the shares of honest bodies that found room.
func model(w way, attacker sender, attackers int) (small, large float64) {
	limits, now := NewLimits(284*mb, 0), begin
	if !w.shares {
		limits.Bytes += limits.Bytes / groupFactor // of which a single workspace gets what is the limit otherwise
	}
	l := NewLedger(limits)
	var active []*sender
	total, served := map[int64]int{}, map[int64]int{}
	add := func(s sender) {
		s.holder = &Holder{}
		l.Open(s.holder, now)
		l.Enter(s.holder, Body, now)
		l.Join(s.holder, s.workspace)
		if !w.shares {
			l.Join(s.holder, "")
		}
		if w.announced {
			_, ok := l.Acquire(s.holder, s.size, begin)
			s.failed = !ok
		}
		if s.honest() {
			total[s.size]++
		}
		active = append(active, &s)
	}
	for i := range int(modelRun / tick) {
		now = now.Add(tick)
		if i%10 == 0 {
			add(smallBody)
		}
		if i%50 == 0 {
			add(largeBody)
		}
		for n := range attackers {
			if i%100 == n%100 {
				add(attacker)
			}
		}
		var rest []*sender
		for _, s := range active {
			s.step(l, w, now)
			if !s.failed && !s.holder.Evicted() && (s.served.IsZero() || now.Before(s.served)) {
				rest = append(rest, s)
				continue
			}
			l.Close(s.holder)
			if !s.served.IsZero() && s.honest() {
				served[s.size]++
			}
		}
		active = rest
	}
	for _, s := range active { // not yet ended
		if s.honest() {
			total[s.size]--
		}
	}
	share := func(size int64) float64 { return float64(served[size]) / float64(total[size]) }
	return share(smallBody.size), share(largeBody.size)
}

func (s *sender) honest() bool { return s.size < stalling.size }

// step plays a tick of a client.
func (s *sender) step(l *Ledger, w way, now time.Time) {
	if s.failed || s.holder.Evicted() || !s.served.IsZero() || s.sent == s.stopsAt {
		return
	}
	n := min(s.rate, s.stopsAt-s.sent)
	if !w.announced {
		at := now
		if !w.evicts {
			at = begin // nobody has stood still by then
		}
		if _, ok := l.Acquire(s.holder, n, at); !ok {
			s.failed = true
			return
		}
	}
	if s.sent/progressBytes != (s.sent+n)/progressBytes {
		l.Progress(s.holder, now)
	}
	if s.sent += n; s.sent == s.size {
		s.served = now.Add(service)
		l.Enter(s.holder, Serving, now)
	}
}

// Guards against clients that stop sending, or send a byte now and then, and keep the bodies of others out. The other ways
// show what eviction and the shares of workspaces are worth each.
func TestHonestBodiesFindRoomBesideACrowd(t *testing.T) {
	kept := way{"kept", true, true, false}
	others := []way{
		{"a limit alone", false, false, false}, {"announced lengths", false, false, true},
		{"shares of workspaces alone", false, true, false}, {"eviction alone", true, false, false},
	}
	crowds := []struct {
		name     string
		attacker sender
		number   int // a second
	}{{"nobody", stalling, 0}, {"stalling", stalling, 20}, {"trickling", trickling, 400}, {"of the same workspace", colleague, 2}}
	for _, c := range crowds {
		small, large := model(kept, c.attacker, c.number)
		t.Logf("%s, %s: %.2f of the small bodies, %.2f of the large ones", c.name, kept.name, small, large)
		if small < 1 || large < 1 {
			t.Errorf("%s: honest bodies found no room", c.name)
		}
		for _, w := range others {
			s, l := model(w, c.attacker, c.number)
			t.Logf("%s, %s: %.2f of the small bodies, %.2f of the large ones", c.name, w.name, s, l)
		}
	}
}
