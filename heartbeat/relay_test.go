package heartbeat

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// subscriber is a node of the first of two groups with relays of the second.
func subscriber(t *testing.T) (*Machine, []string) {
	t.Helper()
	m := NewMachine(DefaultConfig(), "10.0.0.1:1", 1, rand.New(rand.NewPCG(1, 1)))
	m.view.Regroup(2)
	var relays []string
	for i := 0; len(relays) < 4; i++ {
		name := nodeName(i)
		if groupOf(groupKey(name), 2) != m.view.group {
			relays = append(relays, name)
			m.view.Know(start, name)
			m.view.Receive(report(name, 1), start)
		}
	}
	return m, relays
}

func TestRelayRotatesWithItsLease(t *testing.T) {
	is := is.New(t)
	m, relays := subscriber(t)
	asked := make(map[string]int)
	now := start
	for range 8 {
		due := m.subs.renew(m.view, now)
		is.Equal(len(due), 1)
		is.Equal(len(due[0].relays), 1)
		relay := due[0].relays[0]
		asked[relay]++
		sub := m.subs.all[due[0].group]
		for now.Before(sub.until) {
			is.Equal(len(m.subs.renew(m.view, now)), 0)
			is.True(m.subs.deliver(relay, due[0].group, 3, now))
			now = now.Add(DefaultConfig().Interval)
		}
	}
	is.Equal(len(asked), len(relays))
	for _, n := range asked {
		is.Equal(n, 2)
	}
}

func TestSilentRelaysAreLeft(t *testing.T) {
	is := is.New(t)
	m, _ := subscriber(t)
	now := start
	first := m.subs.renew(m.view, now)[0]
	is.Equal(first.reason, relayFirst)
	// Nothing comes at all: soon more are asked at a time.
	for _, want := range []int{2, 4, 4, 4} {
		now = now.Add(DefaultConfig().Interval)
		due := m.subs.renew(m.view, now)[0]
		is.Equal(due.reason, relaySilent)
		is.Equal(len(due.relays), want)
	}
	sub := m.subs.all[first.group]
	relay := sub.relays[1]
	is.True(m.subs.deliver(relay, first.group, 3, now))
	is.Equal(sub.relays, []string{relay}) // the first that answers
	// One that has delivered has more time.
	now = now.Add(DefaultConfig().Interval)
	is.Equal(len(m.subs.renew(m.view, now)), 0)
	now = now.Add(2 * DefaultConfig().Interval)
	is.Equal(m.subs.renew(m.view, now)[0].reason, relaySilent)
}

// A sum of an earlier relay is taken only until the next one delivers.
func TestLateSumIsLeft(t *testing.T) {
	is := is.New(t)
	m, _ := subscriber(t)
	a := m.subs.renew(m.view, start)[0]
	is.True(m.subs.deliver(a.relays[0], a.group, 3, start))
	later := start.Add(DefaultConfig().Lease)
	is.True(m.subs.deliver(a.relays[0], a.group, 3, later))
	b := m.subs.renew(m.view, later)[0]
	is.Equal(b.reason, relayRotated)
	is.True(m.subs.deliver(a.relays[0], a.group, 3, later))
	is.True(m.subs.deliver(b.relays[0], b.group, 3, later))
	is.True(!m.subs.deliver(a.relays[0], a.group, 3, later))
	is.True(!m.subs.deliver("10.9.9.9:1", a.group, 3, later))
	is.True(!m.subs.deliver(b.relays[0], m.view.group, 3, later))
}

// A relay whose first sum is of fewer nodes is left for the one before; when that one's
// own sum is of fewer, a node is dead.
func TestRelayThatCannotHearANodeIsLeft(t *testing.T) {
	is := is.New(t)
	m, _ := subscriber(t)
	a := m.subs.renew(m.view, start)[0]
	now := start.Add(DefaultConfig().Lease)
	is.True(m.subs.deliver(a.relays[0], a.group, 3, now))
	b := m.subs.renew(m.view, now)[0]
	is.True(m.subs.deliver(b.relays[0], b.group, 2, now))
	back := m.subs.renew(m.view, now)[0]
	is.Equal(back.reason, relayFewer)
	is.Equal(back.relays, a.relays)
	is.True(m.subs.deliver(a.relays[0], a.group, 2, now))
	is.Equal(len(m.subs.renew(m.view, now)), 0)
}

func TestSubscribersAreBounded(t *testing.T) {
	is, l := is.New(t), make(leases)
	until := start.Add(time.Second)
	for i := range 2 * maxSubscribers {
		l.add(nodeName(i), until)
	}
	is.Equal(len(l), maxSubscribers)
	l.add(nodeName(0), until.Add(time.Second))
	l.expire(until)
	is.Equal(len(l), 1)
}
