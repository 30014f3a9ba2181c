package fanout

import (
	"encoding/json"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/follower"
)

const (
	// envelopeBytes is what JSON-RPC, its framing and TCP/IP headers add to
	// the parameters or the result of a call.
	envelopeBytes      = 52 + 1 + 70
	regionLatency      = 500 * time.Microsecond
	crossRegionLatency = 20 * time.Millisecond // assumed
	messageLoss        = 0.01
)

// head is the message of an announcement or a pull in the follower's encoding.
type head struct {
	Head int64  `json:"head"`
	From string `json:"from"`
}

func (s *simulation) headBytes(revision int64) int {
	raw, _ := json.Marshal(head{revision, "10.100.200.150:8081"})
	return envelopeBytes + len(raw)
}

func (s *simulation) deltaBytes(d accepted.Delta) int {
	const frame = len(`{"since":100000,"through":100000}`)
	return envelopeBytes + frame + len(d.Records)*s.recordBytes
}

// storeBytes returns the size of records read from the store, whose JSON mapping
// encodes values in base64, a factor of 4/3.
func (s *simulation) storeBytes(d accepted.Delta) int { return s.deltaBytes(d) * 4 / 3 }

func (s *simulation) latency(a, b *node) time.Duration {
	if a.member.Region == b.member.Region {
		return regionLatency
	}
	return crossRegionLatency
}

// call sends a request and its answer, each of which may be lost. answer runs
// at the other node and returns the answer's size and a function that processes
// the answer at the caller. failed, which may be nil, runs at the caller after
// follower.HintTimeout if no answer comes.
func (s *simulation) call(from *node, to membership.Node, size int, answer func(*node) (int, func()), failed func()) {
	s.count(from, size)
	other, ok := s.fleet.byID[to.ID]
	fail := func() {
		if failed != nil {
			s.clock.after(follower.HintTimeout, func() { s.alive(from, failed) })
		}
	}
	if !ok || s.lost() {
		fail()
		return
	}
	s.clock.after(s.latency(from, other), func() {
		if !other.alive {
			fail()
			return
		}
		s.count(other, size)
		answerSize, then := answer(other)
		s.count(other, answerSize)
		if s.lost() {
			fail()
			return
		}
		s.clock.after(s.latency(from, other), func() {
			s.alive(from, func() {
				s.count(from, answerSize)
				then()
			})
		})
	})
}

// count adds bytes to a node's traffic and to the total.
func (s *simulation) count(n *node, size int) {
	n.bytes += int64(size)
	s.bytes += int64(size)
}

func (s *simulation) lost() bool { return s.rnd.Float64() < messageLoss }

// alive calls do if the node is alive.
func (s *simulation) alive(n *node, do func()) {
	if n.alive {
		do()
	}
}
