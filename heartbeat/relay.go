package heartbeat

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/routing"
)

// subscription is this node's way to the sum of another group.
type subscription struct {
	// relays are the nodes that are asked since since, until until: one, or several
	// after others were silent.
	relays       []string
	since, until time.Time
	// delivered says that a sum of theirs came, the last at heard. Until then those of
	// the previous relays are taken.
	delivered bool
	heard     time.Time
	previous  []string
	// lacks says that the last sum was without a node that others of its group hear.
	lacks bool
	// silent counts the changes in a row because of silence.
	silent int
	// turn counts the relays that were asked, renewals the leases of the relay but the
	// first.
	turn, renewals int
}

// relayChange says why a node asks another relay.
type relayChange string

// The reasons.
const (
	relayFirst  relayChange = "first"
	relaySilent relayChange = "silent"
	// relayLacks: there is a node that it can't hear and others of its group can.
	relayLacks   relayChange = "lacks_node"
	relayRotated relayChange = "rotated"
	// relayRenewed asks the same relay for another lease.
	relayRenewed relayChange = "renewed"
)

const (
	// mostSilent is the number of silences up to which the relays asked at the same
	// moment double, to 8. When a failure domain is cut off, 15 of 18 nodes of a group
	// may be silent on its side.
	mostSilent = 3
	// mostRenewals is how often a lease is renewed before the next relay takes over, so
	// that no node carries more subscribers than others for long. Each relay that takes
	// over sends beside the one before until that one's lease ends, and its first sum may
	// be lost.
	mostRenewals = 3
	// renewSpread: the last part of a lease, one in so many, is when the next relay is
	// asked.
	renewSpread = 8
)

// due says why the next relay is to be asked, empty if it isn't. A new subscriber is
// served in the next batch or the one after it: a relay which takes three quarters of
// an interval for its first sum did not get the subscription, or is gone.
func (s *subscription) due(interval, silent time.Duration, now time.Time) relayChange {
	switch {
	case len(s.relays) == 0:
		return relayFirst
	case !s.delivered && now.Sub(s.since) > interval*3/4, s.delivered && now.Sub(s.heard) > silent:
		return relaySilent
	case s.lacks:
		return relayLacks
	case !now.Before(s.until) && s.renewals < mostRenewals:
		return relayRenewed
	case !now.Before(s.until):
		return relayRotated
	}
	return ""
}

// deliver notes a sum and says whether it is to be taken: one of an earlier relay would
// put older counts in the place of newer ones. lacks says that a node is not in it which
// others of the group hear.
func (s *subscription) deliver(node string, lacks bool, now time.Time) bool {
	if !slices.Contains(s.relays, node) {
		return !s.delivered && slices.Contains(s.previous, node)
	}
	// Of several that were asked, the first that answers is the relay.
	s.relays = []string{node}
	s.delivered, s.heard, s.lacks, s.silent = true, now, lacks, 0
	return true
}

// change has the next relays take over.
func (s *subscription) change(relays []string, until, now time.Time) {
	if s.delivered {
		s.previous = s.relays
	}
	s.relays, s.delivered, s.lacks, s.renewals = relays, false, false, 0
	s.since, s.until = now, until
}

// subscriptions are this node's, by group.
type subscriptions struct {
	cfg Config
	rng *rand.Rand
	all map[int]*subscription
}

// asked are relays to be asked for the sum of their group, and why.
type asked struct {
	group          int
	relays, before []string
	reason         relayChange
}

// renew returns the relays to be asked now. Relays change with every lease, so that
// a node which one of them can't hear is left out for the length of a lease at most,
// and since subscriptions end by themselves, one that hears nothing relays nothing.
func (s *subscriptions) renew(v *View, now time.Time) []asked {
	interval := v.interval()
	silent := s.cfg.silentFor(interval)
	var out []asked
	for group := range v.groups {
		if group == v.group {
			continue
		}
		sub, ok := s.all[group]
		if !ok {
			sub = &subscription{}
			s.all[group] = sub
		}
		reason := sub.due(interval, silent, now)
		if reason == "" {
			continue
		}
		next := s.choose(reason, v.relays(group, now), sub)
		if len(next) == 0 {
			continue
		}
		out = append(out, asked{group, next, sub.relays, reason})
		// The next relay is asked before the lease ends, at times that are spread, or
		// all nodes would ask at once.
		until := now.Add(s.cfg.Lease - time.Duration(s.rng.Int64N(int64(s.cfg.Lease/renewSpread))))
		if reason == relayRenewed {
			sub.until = until
			sub.renewals++
			continue
		}
		sub.change(next, until, now)
	}
	return out
}

// choose returns the relays to ask for a reason: the more, the more were silent.
func (s *subscriptions) choose(reason relayChange, relays []relay, sub *subscription) []string {
	switch reason {
	case relaySilent:
		sub.silent = min(sub.silent+1, mostSilent)
	case relayRenewed:
		return sub.relays
	}
	return s.next(relays, sub, 1<<sub.silent)
}

// next returns up to n relays after those of a subscription, in an order of this
// node's own: the nodes of a group are asked about equally often.
func (s *subscriptions) next(relays []relay, sub *subscription, n int) []string {
	slices.SortFunc(relays, func(a, b relay) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for range min(n, len(relays)) {
		sub.turn++
		out = append(out, relays[sub.turn%len(relays)].node)
	}
	return out
}

// deliver notes a sum and says whether it is to be taken.
func (s *subscriptions) deliver(node string, group int, lacks bool, now time.Time) bool {
	sub, ok := s.all[group]
	return ok && sub.deliver(node, lacks, now)
}

// relay is a node that may be asked for the sum of its group, with its place in the
// order in which this node asks.
type relay struct {
	node string
	rank uint64
}

// relays returns the nodes that may be asked for the sum of a group: the live ones, all
// known ones if none is.
func (v *View) relays(group int, now time.Time) []relay {
	var live, known []relay
	lost := v.cfg.lostFor(v.interval())
	for n, p := range v.peers {
		if groupOf(p.key, v.groups) != group {
			continue
		}
		r := relay{n, routing.Rank(v.key, p.key)}
		known = append(known, r)
		if p.live(lost, now) && !p.report.Leaving {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return known
	}
	return live
}

// maxSubscribers bounds the memory for the nodes that one relay serves. The last node
// of a group serves all others of the fleet, slowly, see outboundSlack.
const maxSubscribers = 512

// lease is a node's right to the sums of this node's group.
type lease struct {
	until time.Time
	// sent is the number of sums that it got.
	sent int
}

// leases are by subscriber.
type leases map[string]*lease

// add takes a subscription.
func (s leases) add(node string, until time.Time) {
	l, ok := s[node]
	if !ok {
		if len(s) >= maxSubscribers {
			return
		}
		l = &lease{}
		s[node] = l
	}
	l.until = until
}

// expire ends leases.
func (s leases) expire(now time.Time) {
	for n, l := range s {
		if !now.Before(l.until) {
			delete(s, n)
		}
	}
}

// maxGroupUses bounds the uses of parts in one sum, about 10 bytes each.
const maxGroupUses = 200

// usesSlack is how much later than an interval after the last one a sum may go out.
const usesSlack = 50 * time.Millisecond

// groupUses are the uses of parts that the other nodes of the group told lately, each
// with the time when it came first. They go into the sums of an interval, so that
// each subscriber gets them once.
type groupUses map[affinity.Use]time.Time

func (g groupUses) add(uses []affinity.Use, now time.Time) {
	for _, u := range uses {
		if _, ok := g[u]; !ok {
			g[u] = now
		}
	}
}

// expire drops the uses that every subscriber has been told.
func (g groupUses) expire(interval time.Duration, now time.Time) {
	for u, at := range g {
		if now.Sub(at) > interval+usesSlack {
			delete(g, u)
		}
	}
}

// with returns own uses with those of the group, at most maxGroupUses.
func (g groupUses) with(own []affinity.Use) []affinity.Use {
	out := slices.Clone(own)
	for u := range g {
		if len(out) >= maxGroupUses {
			break
		}
		if !slices.Contains(own, u) {
			out = append(out, u)
		}
	}
	return out
}
