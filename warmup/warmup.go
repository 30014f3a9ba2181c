// Package warmup limits the rate of requests to targets that have just started (slow start). A
// cold target can handle only a few requests per second from all nodes together and may end if
// it gets more. A node counts its own requests at once, but those of the many other nodes only
// when their reports arrive. The package has no clock and does no I/O: the caller passes the
// time. A RateShare is not safe for concurrent use.
//
// It handles targets and whole failure domains that come back at once, which look idle to every
// node, and keys that get a large part of the traffic.
package warmup

import (
	"math"
	"time"
)

// Limit is the load that a cold target of a service can handle. The zero value means no limit.
type Limit struct {
	// PerSecond is the number of requests per second that a cold target can handle from all
	// nodes together, 0 for no limit.
	PerSecond float64
	// Duration is how long a target is cold after it starts.
	Duration time.Duration
}

// window is the time over which requests are counted.
const window = time.Second

// buckets is the number of buckets that are counted: those of the window and the one in progress.
const buckets = 8 + 1

// bucketTime is the time of a bucket.
const bucketTime = window / (buckets - 1)

// RateShare is one node's share of a cold target's rate, a token bucket of size 1. If all nodes
// use their shares, the target gets PerSecond requests in total. The shares of different nodes
// become due at different times, from the moment the nodes learn of the target. An unused share
// is kept, but no node accumulates more than one.
type RateShare struct {
	tokens     float64 // requests that may be sent now, at most 1
	refilledAt time.Time

	bucket int64 // number of the newest bucket
	sent   [buckets]int
}

// NewRateShare returns the share of a node. phase, from 0 to 1, is the initial fill of the token
// bucket when the target is first seen. It differs between nodes and targets.
func NewRateShare(phase float64, now time.Time) *RateShare {
	return &RateShare{tokens: min(phase, 1), refilledAt: now}
}

// Allow reports whether the node may send a request now. nodes is the number of nodes that may
// send, others the number of requests that the other nodes sent in the last second, by their
// reports.
func (s *RateShare) Allow(l Limit, nodes, others int, now time.Time) bool {
	s.refill(l, nodes, now)
	return s.tokens >= 1 && s.Remaining(l, others, now) > 0
}

// Remaining returns how many more requests the target can handle, given those of the last second.
func (s *RateShare) Remaining(l Limit, others int, now time.Time) int {
	return max(int(l.PerSecond)-others-s.SentLastSecond(now), 0)
}

func (s *RateShare) refill(l Limit, nodes int, now time.Time) {
	s.tokens += now.Sub(s.refilledAt).Seconds() * l.PerSecond / float64(max(nodes, 1))
	s.tokens = min(s.tokens, 1)
	s.refilledAt = now
}

// RecordSent records a request that is sent now.
func (s *RateShare) RecordSent(now time.Time) {
	s.tokens = max(s.tokens-1, 0)
	s.roll(now)
	s.sent[s.bucket%buckets]++
}

// SentLastSecond returns the number of requests that the node sent in the last second.
func (s *RateShare) SentLastSecond(now time.Time) int {
	s.roll(now)
	sum := 0
	for _, n := range s.sent {
		sum += n
	}
	return sum
}

func (s *RateShare) roll(now time.Time) {
	slot := now.UnixNano() / int64(bucketTime)
	if slot-s.bucket >= buckets {
		s.sent = [buckets]int{}
		s.bucket = slot
	}
	for s.bucket < slot {
		s.bucket++
		s.sent[s.bucket%buckets] = 0
	}
}

// Phase returns the phase of a node for a target from a hash of both.
func Phase(hash uint64) float64 { return float64(hash) / math.MaxUint64 }
