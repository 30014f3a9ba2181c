// Package warmup bounds how often targets that have just started are sent requests. A
// cold target bears few a second, from all nodes together, and may end when it gets
// more; each of many nodes sees only what it sends itself at once, and what the others
// sent by their reports. It is pure: the caller passes the time, and one goroutine at a
// time may use a Sender.
//
// It answers targets and whole failure domains that come back at once, which look idle
// to every node, and keys that get much of the traffic.
package warmup

import (
	"math"
	"time"
)

// Limit is what the cold targets of a service bear. The zero Limit is none.
type Limit struct {
	// PerSecond is how many requests a second a cold target bears from all nodes
	// together, 0 for no limit.
	PerSecond float64
	// For is how long a target is cold after it starts.
	For time.Duration
}

// window is the time over which arrivals are counted.
const window = time.Second

// buckets is the number of parts of the window.
const buckets = 8

// Sender is one node's share of a cold target. Each node may send a request as often as
// leaves the target PerSecond of them if all do; the shares of different nodes are due
// at different times, from the moment on at which the nodes learn of the target. A
// share is kept until it is used, and no node saves up more than one.
type Sender struct {
	level float64 // requests that may be sent now, at most 1
	at    time.Time

	slot int64 // number of the newest bucket
	sent [buckets]int
}

// NewSender returns the share of a node. phase, from 0 to 1, is different for each node
// and target: it is how far the node's first share has come when the target is first
// seen.
func NewSender(phase float64, now time.Time) *Sender {
	return &Sender{level: min(phase, 1), at: now}
}

// May says whether the node may send a request now. nodes is the number of nodes that
// may send, others is how many requests they sent in the last second, by their reports.
func (s *Sender) May(l Limit, nodes, others int, now time.Time) bool {
	s.refill(l, nodes, now)
	return s.level >= 1 && s.Room(l, others, now) > 0
}

// Room is how many more requests than in the last second the target bears.
func (s *Sender) Room(l Limit, others int, now time.Time) int {
	return max(int(l.PerSecond)-others-s.LastSecond(now), 0)
}

func (s *Sender) refill(l Limit, nodes int, now time.Time) {
	s.level += now.Sub(s.at).Seconds() * l.PerSecond / float64(max(nodes, 1))
	s.level = min(s.level, 1)
	s.at = now
}

// Send notes a request that is sent now.
func (s *Sender) Send(now time.Time) {
	s.level = max(s.level-1, 0)
	s.roll(now)
	s.sent[s.slot%buckets]++
}

// LastSecond returns how many requests the node sent in the last second.
func (s *Sender) LastSecond(now time.Time) int {
	s.roll(now)
	sum := 0
	for _, n := range s.sent {
		sum += n
	}
	return sum
}

func (s *Sender) roll(now time.Time) {
	slot := now.UnixNano() / int64(window/buckets)
	if slot-s.slot >= buckets {
		s.sent = [buckets]int{}
		s.slot = slot
	}
	for s.slot < slot {
		s.slot++
		s.sent[s.slot%buckets] = 0
	}
}

// Phase returns the phase of a node for a target from a hash of both.
func Phase(hash uint64) float64 { return float64(hash) / math.MaxUint64 }
