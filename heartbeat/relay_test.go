package heartbeat

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// subscriber returns a node of one of two groups that has four relays of the other in its view.
func subscriber(t *testing.T) (*Machine, []string) {
	t.Helper()
	m := NewMachine(DefaultConfig(), "10.0.0.1:1", 1, rand.New(rand.NewPCG(1, 1)))
	m.view.Regroup(2)
	var relays []string
	for i := 0; len(relays) < 4; i++ {
		name := nodeName(i)
		if groupOf(groupKey(name), 2) != m.view.group {
			relays = append(relays, name)
			m.view.AddNodes(start, name)
			m.view.Receive(report(name, 1), start)
		}
	}
	return m, relays
}

// A relay's lease is renewed maxRenewals times, then the next relay takes over. All relays are
// asked equally often.
func TestRelayRotates(t *testing.T) {
	is := is.New(t)
	m, relays := subscriber(t)
	asked := make(map[string]int)
	now := start
	const leases = maxRenewals + 1
	for i := range 8 * leases {
		due := m.subs.renew(m.view, now)
		is.Equal(len(due), 1)
		is.Equal(len(due[0].relays), 1)
		is.Equal(due[0].reason == relayRenewed, i%leases > 0)
		relay := due[0].relays[0]
		asked[relay]++
		sub := m.subs.all[due[0].group]
		for now.Before(sub.until) {
			is.Equal(len(m.subs.renew(m.view, now)), 0)
			is.True(m.subs.deliver(relay, due[0].group, false, now))
			now = now.Add(DefaultConfig().Interval)
		}
	}
	is.Equal(len(asked), len(relays))
	for _, n := range asked {
		is.Equal(n, 2*leases)
	}
}

func TestSilentRelaysAreReplaced(t *testing.T) {
	is := is.New(t)
	m, _ := subscriber(t)
	now := start
	first := m.subs.renew(m.view, now)[0]
	is.Equal(first.reason, relayFirst)
	// No relay answers, so more are asked each time, up to all of them.
	for _, want := range []int{2, 4, 4, 4} {
		now = now.Add(DefaultConfig().Interval)
		due := m.subs.renew(m.view, now)[0]
		is.Equal(due.reason, relaySilent)
		is.Equal(len(due.relays), want)
	}
	sub := m.subs.all[first.group]
	relay := sub.relays[1]
	is.True(m.subs.deliver(relay, first.group, false, now))
	is.Equal(sub.relays, []string{relay}) // the first one that answered
	// A relay that has delivered is given more time than a new one.
	now = now.Add(DefaultConfig().Interval)
	is.Equal(len(m.subs.renew(m.view, now)), 0)
	now = now.Add(2 * DefaultConfig().Interval)
	is.Equal(m.subs.renew(m.view, now)[0].reason, relaySilent)
}

// A sum of the previous relay is accepted only until the next relay delivers.
func TestSumOfPreviousRelayIsRejected(t *testing.T) {
	is := is.New(t)
	m, _ := subscriber(t)
	a := m.subs.renew(m.view, start)[0]
	is.True(m.subs.deliver(a.relays[0], a.group, false, start))
	later := start.Add(DefaultConfig().Lease)
	m.subs.all[a.group].renewals = maxRenewals
	is.True(m.subs.deliver(a.relays[0], a.group, false, later))
	b := m.subs.renew(m.view, later)[0]
	is.Equal(b.reason, relayRotated)
	is.True(m.subs.deliver(a.relays[0], a.group, false, later))
	is.True(m.subs.deliver(b.relays[0], b.group, false, later))
	is.True(!m.subs.deliver(a.relays[0], a.group, false, later))
	is.True(!m.subs.deliver("10.9.9.9:1", a.group, false, later))
	is.True(!m.subs.deliver(b.relays[0], m.view.group, false, later))
}

// A relay whose sum lacks a node, whether its first sum or a later one, is replaced until one
// is found whose sum lacks none.
func TestRelayWhoseSumLacksANodeIsReplaced(t *testing.T) {
	is := is.New(t)
	m, relays := subscriber(t)
	a := m.subs.renew(m.view, start)[0]
	is.True(m.subs.deliver(a.relays[0], a.group, false, start))
	is.Equal(len(m.subs.renew(m.view, start)), 0)
	is.True(m.subs.deliver(a.relays[0], a.group, true, start))
	asked := a.relays[0]
	for range len(relays) - 1 {
		next := m.subs.renew(m.view, start)[0]
		is.Equal(next.reason, relayLacksNode)
		is.Equal(len(next.relays), 1)
		is.True(next.relays[0] != asked)
		asked = next.relays[0]
		is.True(m.subs.deliver(asked, next.group, true, start))
	}
	last := m.subs.renew(m.view, start)[0]
	is.True(m.subs.deliver(last.relays[0], last.group, false, start))
	is.Equal(len(m.subs.renew(m.view, start)), 0)
}

// A sum lacks a node if its nodes get reports from more nodes than it contains.
func TestSumThatLacksANode(t *testing.T) {
	for _, tt := range []struct {
		nodes, heard int
		lacks        bool
	}{{3, 6, false}, {3, 7, true}, {1, 0, false}, {1, 1, true}, {22, 22*21 + 1, true}, {22, 22 * 21, false}} {
		counts := sums{}
		counts.addReports([]TargetReport{nodesHeardReport(tt.heard), {Target: 7, Running: 900}}, 1)
		unpacked, err := unpack(counts.pack())
		is := is.New(t)
		is.NoErr(err)
		is.Equal(lacksNode(tt.nodes, unpacked), tt.lacks)
		is.True(!lacksNode(tt.nodes, nil)) // sum of a release that doesn't report the number
	}
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
