package heartbeat

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/routing"
)

// subscription is this node's subscription to the sum of another group.
type subscription struct {
	// relays are the nodes that were asked at askedAt for a lease until until. It is one node,
	// or several after previous relays were silent.
	relays         []string
	askedAt, until time.Time
	// delivered reports whether one of relays has sent a sum, the last one at heard. Until then
	// sums of the previous relays are accepted.
	delivered bool
	heard     time.Time
	previous  []string
	// lacksNode reports whether the last sum lacked a node from which others of its group get
	// reports.
	lacksNode bool
	// silentChanges counts consecutive relay changes that were due to silence.
	silentChanges int
	// requestCount counts the relays that were asked, renewals the renewals of the current
	// lease.
	requestCount, renewals int
}

// relayChange is the reason for a request to a relay.
type relayChange string

// Reasons for a request to a relay. The values are used as metric labels.
const (
	relayFirst  relayChange = "first"
	relaySilent relayChange = "silent"
	// relayLacksNode: the relay gets no reports from a node of its group that reaches others
	// there.
	relayLacksNode relayChange = "lacks_node"
	relayRotated   relayChange = "rotated"
	// relayRenewed: the same relay is asked for another lease.
	relayRenewed relayChange = "renewed"
)

const (
	// maxSilentDoublings is the number of silent relay changes up to which the number of relays
	// asked at the same time doubles, to 8. When a failure domain is cut off, 15 of the 18
	// nodes of a group may be unreachable from inside it.
	maxSilentDoublings = 3
	// maxRenewals is how often a lease is renewed before the next relay takes over, so that no
	// node serves more subscribers than others for long. Rotating more often costs messages: a
	// new relay sends in addition to the previous one until that one's lease ends, and its
	// first sum may be lost.
	maxRenewals = 3
	// renewSpread is the divisor that gives the last part of a lease (1/renewSpread of it) over
	// which the requests to the next relay are spread.
	renewSpread = 8
)

// due returns the reason to ask a relay now, or "" if there is none. A relay serves a new
// subscriber in its next batch or the one after: if its first sum takes longer than three
// quarters of an interval, it did not get the subscription or is gone.
func (s *subscription) due(interval, silent time.Duration, now time.Time) relayChange {
	switch {
	case len(s.relays) == 0:
		return relayFirst
	case !s.delivered && now.Sub(s.askedAt) > interval*3/4, s.delivered && now.Sub(s.heard) > silent:
		return relaySilent
	case s.lacksNode:
		return relayLacksNode
	case !now.Before(s.until) && s.renewals < maxRenewals:
		return relayRenewed
	case !now.Before(s.until):
		return relayRotated
	}
	return ""
}

// deliver records a sum and reports whether it is to be accepted. A sum of an earlier relay is
// rejected once a current relay has delivered, since it would replace newer counts by older
// ones. lacksNode reports whether the sum lacks a node from which others of its group get
// reports.
func (s *subscription) deliver(node string, lacksNode bool, now time.Time) bool {
	if !slices.Contains(s.relays, node) {
		return !s.delivered && slices.Contains(s.previous, node)
	}
	// The first of the relays that answers becomes the only one.
	s.relays = []string{node}
	s.delivered, s.heard, s.lacksNode, s.silentChanges = true, now, lacksNode, 0
	return true
}

// switchTo replaces the current relays.
func (s *subscription) switchTo(relays []string, until, now time.Time) {
	if s.delivered {
		s.previous = s.relays
	}
	s.relays, s.delivered, s.lacksNode, s.renewals = relays, false, false, 0
	s.askedAt, s.until = now, until
}

// subscriptions holds this node's subscriptions by group.
type subscriptions struct {
	cfg Config
	rng *rand.Rand
	all map[int]*subscription
}

// relayRequest holds the relays to be asked for the sum of their group, and the reason.
type relayRequest struct {
	group            int
	relays, previous []string
	reason           relayChange
}

// renew returns the relays to be asked now. Relays rotate, so that a node that one of them
// can't receive from is missing for a limited time only. Subscriptions expire, so that a node
// that receives nothing doesn't act as a relay.
func (s *subscriptions) renew(v *View, now time.Time) []relayRequest {
	interval := v.interval()
	silent := s.cfg.relayTimeout(interval)
	var out []relayRequest
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
		next := s.choose(reason, v.relayCandidates(group, now), sub)
		if len(next) == 0 {
			continue
		}
		out = append(out, relayRequest{group, next, sub.relays, reason})
		// The next relay is asked before the lease ends, with jitter, so that not all nodes ask
		// at the same time.
		until := now.Add(s.cfg.Lease - time.Duration(s.rng.Int64N(int64(s.cfg.Lease/renewSpread))))
		if reason == relayRenewed {
			sub.until = until
			sub.renewals++
			continue
		}
		sub.switchTo(next, until, now)
	}
	return out
}

// choose returns the relays to ask. Their number doubles with each consecutive silent relay
// change.
func (s *subscriptions) choose(reason relayChange, relays []relayCandidate, sub *subscription) []string {
	switch reason {
	case relaySilent:
		sub.silentChanges = min(sub.silentChanges+1, maxSilentDoublings)
	case relayRenewed:
		return sub.relays
	}
	return s.next(relays, sub, 1<<sub.silentChanges)
}

// next returns up to n relays that follow those of the subscription in this node's own order of
// relays, so that the nodes of a group are asked about equally often.
func (s *subscriptions) next(relays []relayCandidate, sub *subscription, n int) []string {
	slices.SortFunc(relays, func(a, b relayCandidate) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for range min(n, len(relays)) {
		sub.requestCount++
		out = append(out, relays[sub.requestCount%len(relays)].node)
	}
	return out
}

// deliver records a sum of a group and reports whether it is to be accepted.
func (s *subscriptions) deliver(node string, group int, lacksNode bool, now time.Time) bool {
	sub, ok := s.all[group]
	return ok && sub.deliver(node, lacksNode, now)
}

// relayCandidate is a node that may be asked for the sum of its group. rank is its position in
// this node's order of relays.
type relayCandidate struct {
	node string
	rank uint64
}

// relayCandidates returns the nodes that may be asked for the sum of a group: the live ones
// that are not leaving, or all known ones if there are none.
func (v *View) relayCandidates(group int, now time.Time) []relayCandidate {
	var live, known []relayCandidate
	lost := v.cfg.lostTimeout(v.interval())
	for n, p := range v.peers {
		if groupOf(p.key, v.groups) != group {
			continue
		}
		r := relayCandidate{n, routing.Rank(v.key, p.key)}
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

// maxSubscribers bounds the memory for subscribers. The last remaining node of a group serves
// all other nodes of the fleet, at a reduced rate (see outboundSlack).
const maxSubscribers = 512

// lease is a subscriber's right to the sums of this node's group.
type lease struct {
	until time.Time
	// sent is the number of sums sent to the subscriber.
	sent int
}

// leases are this node's leases by subscriber.
type leases map[string]*lease

// add adds or extends the lease of a subscriber.
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

// expire removes the leases that have ended.
func (s leases) expire(now time.Time) {
	for n, l := range s {
		if !now.Before(l.until) {
			delete(s, n)
		}
	}
}

// maxGroupUses bounds the uses of prompt parts in one sum, about 10 bytes each.
const maxGroupUses = 200

// usesSlack is how much later than an interval after the previous one a sum may be sent.
const usesSlack = 50 * time.Millisecond

// groupUses holds the uses of prompt parts that the other nodes of the group reported recently,
// each with the time of its first report. They are included in the sums of one interval, so
// that each subscriber receives them once.
type groupUses map[affinity.Use]time.Time

func (g groupUses) add(uses []affinity.Use, now time.Time) {
	for _, u := range uses {
		if _, ok := g[u]; !ok {
			g[u] = now
		}
	}
}

// expire removes the uses that have been sent to every subscriber.
func (g groupUses) expire(interval time.Duration, now time.Time) {
	for u, at := range g {
		if now.Sub(at) > interval+usesSlack {
			delete(g, u)
		}
	}
}

// with returns own together with the group's uses, at most maxGroupUses in total.
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
