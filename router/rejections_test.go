package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/heartbeat"
)

// announce makes a target of the pool announce a rejection limit to this node.
func announce(p *testPool, id string, limit int) {
	m := p.members[id]
	p.recordRejectionLimit(assignment{member: m, target: m.target, service: service}, limit)
}

// taken returns how many requests the node may send at once.
func taken(p *testPool) int {
	n := 0
	for {
		if _, _, ok := p.acquire(criteria{service: service}); !ok {
			return n
		}
		n++
	}
}

// While targets announce a limit, each node uses its quota of the slots only: the others send to the same
// free slots by old counts.
func TestNodeKeepsToItsQuotaWhileALimitIsAnnounced(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(3)...)
	announce(p, "t0", 4)
	is.Equal(taken(p), 3*4) // of 3 x 8 slots, by two nodes
	d := p.noTargetReason(criteria{service: service})
	is.Equal(d, errAtQuota)
	// The owner of the places isn't bound by its own quota.
	_, ok := p.acquireGranted(criteria{service: service, only: "t1", granted: true})
	is.True(ok)
}

// Guards against a node that has not been answered since targets announce a limit: the other nodes' reports
// tell it. The entry of several nodes is a sum.
func TestNodesTellEachOtherALimit(t *testing.T) {
	is := is.New(t)
	teller := newTestPool(targetsAt(3)...)
	announce(teller, "t0", 6)
	var r heartbeat.Report
	teller.fillReport(&r, teller.clock)
	p := newTestPool(targetsAt(3)...)
	for _, node := range []string{"one", "two"} {
		r.Node, r.Sequence = node, 1
		p.fleet.view.Receive(r, p.clock)
	}
	limit, ok := p.rejectionLimit(service, p.clock)
	is.True(ok)
	is.Equal(limit, 6)
	is.Equal(taken(p), 3*4)
	is.Equal(len(p.limitReports(p.clock)), 0) // it was not told itself: reports must not keep each other alive
	_, ok = p.rejectionLimit("another", p.clock)
	is.True(!ok)
}

func TestLimitEndsWithItsAnnouncements(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(3)...)
	announce(p, "t0", 4)
	p.clock = p.clock.Add(3 * time.Second)
	_, ok := p.rejectionLimit(service, p.clock)
	is.True(!ok)
	is.True(taken(p) > 3*4)
	is.Equal(len(p.limits), 0)
}

// Guards against a rejection at one target after the other, each of which counts at its target: a target
// that has rejected a request gets none of this node for a while.
func TestTargetThatRejectsIsLeftAlone(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(3)...)
	announce(p, "t0", 4)
	m := p.members["t1"]
	p.recordRejection(assignment{member: m, target: m.target, service: service})
	is.Equal(taken(p), 2*4)
	p.clock = p.clock.Add(1500 * time.Millisecond)
	announce(p, "t0", 4)
	is.Equal(taken(p), 4)
}

// Guards against innocent requests being quarantined since a target ended that had to reject too much.
func TestTargetThatEndsUnderALimitMakesNoSuspects(t *testing.T) {
	is := is.New(t)
	p := newTestPool(targetsAt(1)...)
	p.dial = func(string) error { return errDialRefused }
	announce(p, "t0", 4)
	s := closedRequest(p, 1)
	<-p.connectionClosed(p.members["t0"], s)
	is.Equal(strikes(p, s), 0)
}
