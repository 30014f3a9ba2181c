// Package rejectlimit decides which requests may be sent to targets that terminate when they have to
// reject more than a certain number of requests in a second for want of capacity.
//
// The limit is one of the whole fleet on one target, while a node knows the others' requests only by
// counts that are up to a second old, by which all nodes would take the same free slot. While a limit is in
// force, each node therefore has a quota of each target's slots, which needs no counts. The package is
// pure: the caller passes the time.
package rejectlimit

import "time"

// MaxLimit is the largest limit that is distinguished, in rejections per second.
const MaxLimit = 1 << 14

const (
	// announcementTTL is how long an announcement holds: targets repeat it in each response.
	announcementTTL = 2 * time.Second
	// safety divides the limit between the rejections that nodes cause with what they know and those
	// of nodes that don't know the limit yet.
	safety = 2
	// minHold is the minimum time without requests to a target after one of its rejections.
	minHold = time.Second
	// maxHold bounds the hold in a large fleet, in which one node rarely has a quota of the same target
	// as another.
	maxHold = 5 * time.Second
)

// Announcement is the limit that the targets of a service have announced to this node. The zero value
// holds none.
type Announcement struct {
	limit  int
	toldAt time.Time
}

// Record records a limit that a response announced. The lowest one of those in force applies.
func (a *Announcement) Record(limit int, now time.Time) {
	if current, ok := a.Limit(now); ok {
		limit = min(limit, current)
	}
	a.limit, a.toldAt = limit, now
}

// Limit returns the limit in force; ok is false if there is none.
func (a *Announcement) Limit(now time.Time) (limit int, ok bool) {
	return a.limit, !a.toldAt.IsZero() && now.Sub(a.toldAt) < announcementTTL
}

// Quota returns the number of a target's slots that are one node's alone, given the number of nodes and
// the node's position, from 0, in an order of the nodes for that target on which they agree.
func Quota(slots, nodes, position int) int {
	if nodes <= 0 {
		return 0
	}
	if position < slots%nodes {
		return slots/nodes + 1
	}
	return slots / nodes
}

// Share is this node's use of one target. The zero value is ready to use.
type Share struct{ holdUntil time.Time }

// Allow reports whether a request may be sent to the target, of which this node has running requests in
// progress and the given quota.
func (s *Share) Allow(running, quota int, now time.Time) bool {
	return !now.Before(s.holdUntil) && running < quota
}

// Rejected records that the target rejected a request of this node, since its slots were taken by requests
// beyond the quotas: of nodes with another view of the fleet, or that don't know the limit. If each of the
// nodes causes one rejection per hold, the fleet causes limit/safety in a second.
func (s *Share) Rejected(limit, nodes int, now time.Time) {
	hold := time.Duration(float64(safety*nodes) / float64(max(limit, 1)) * float64(time.Second))
	s.holdUntil = now.Add(min(max(hold, minHold), maxHold))
}
