package replica

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/store"
)

// fakeSource is a store with a settable revision. It counts lists.
type fakeSource struct {
	revision int64
	lists    int
	// listTimeout is the time until the deadline of the last list.
	listTimeout time.Duration
}

func (s *fakeSource) Revision(context.Context) (int64, error) { return s.revision, nil }

func (s *fakeSource) List(ctx context.Context, _ string, _ func(context.Context, int64) error) (store.ListResult, error) {
	s.lists++
	if end, ok := ctx.Deadline(); ok {
		s.listTimeout = time.Until(end)
	}
	return store.ListResult{Revision: s.revision}, nil
}

func (s *fakeSource) Watch(context.Context, string, int64) (<-chan store.WatchBatch, error) {
	return make(chan store.WatchBatch), nil
}

func (s *fakeSource) Put(context.Context, string, []byte) error { return nil }

// stubPeers has no newer versions and no confirmations.
type stubPeers struct{ announced int }

func (*stubPeers) Ahead(int64, int64) (string, bool)       { return "", false }
func (*stubPeers) ConfirmedAt(int64) time.Time             { return time.Time{} }
func (*stubPeers) LaterConfirmedAt(int64) time.Time        { return time.Time{} }
func (*stubPeers) WatcherRank(bool) (rank, discovered int) { return 9, 300 }
func (*stubPeers) KnownRank() (rank, known, heard int)     { return 9, 300, 300 }
func (*stubPeers) AnnounceToAll(context.Context)           {}
func (p *stubPeers) Announce()                             { p.announced++ }
func (*stubPeers) Handle(string, peer.Handler)             {}
func (*stubPeers) LimitConcurrency(string, int)            {}
func (*stubPeers) Call(context.Context, string, string, any, any) error {
	return nil
}

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func fakeReplica(s *fakeSource) (*Replica, *stubPeers, *clock) {
	p, c := &stubPeers{}, &clock{now: start}
	r := newTestReplica(s, p, c)
	r.applyBatch(store.WatchBatch{Revision: s.revision})
	return r, p, c
}

// newTestReplica returns an empty replica.
func newTestReplica(s Source, p *stubPeers, c *clock) *Replica {
	r := New(s, testSchema{}, p, p, log.New(io.Discard), prometheus.NewRegistry())
	r.now = func() time.Time { return c.now }
	return r
}

// runAuditIfDue runs an audit if one is due and reports whether it did.
func runAuditIfDue(r *Replica) bool {
	if !r.auditDue() {
		return false
	}
	r.audit(context.Background())
	return true
}

// A change that is still spreading from node to node must not make this node list the store,
// since hundreds of nodes would list it at once.
func TestNodeWaitsForPropagatingChange(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, c := fakeReplica(s)
	s.revision = 8
	c.advance(3 * time.Second)
	is.True(runAuditIfDue(r))
	is.True(!r.consumeStale())
	is.True(!runAuditIfDue(r)) // not again at once

	r.applyBatch(store.WatchBatch{Revision: 8})
	c.advance(recheckDelay)
	is.True(!runAuditIfDue(r)) // the change has arrived
	is.Equal(r.confirmed, start.Add(3*time.Second))
}

// A node that no other node sends the change to lists the store in time for the change to be in
// force within 2 s.
func TestNodeThatStaysBehindListsStore(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, c := fakeReplica(s)
	s.revision = 8
	for c.now.Sub(start) < 2*time.Second && !r.stale {
		c.advance(checkInterval)
		runAuditIfDue(r)
	}
	is.True(r.stale)
	t.Logf("after %v", c.now.Sub(start))
	is.NoErr(r.listStore(context.Background()))
	is.Equal(r.revision(), int64(8))
	is.True(s.listTimeout > 4*time.Second) // many pages, each with its own timeout
}

// Each new revision is announced to other nodes, even if no change in it concerns the copy.
func TestEachRevisionIsAnnounced(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, _ := fakeReplica(s)
	<-r.announce
	r.applyBatch(store.WatchBatch{Revision: 7})
	is.Equal(len(r.announce), 0)
	r.applyBatch(store.WatchBatch{Revision: 8})
	is.Equal(len(r.announce), 1)
}

// Watchers audit first, then a few backup auditors, then all others, so that the number of
// audits doesn't grow with the fleet. Even the last nodes audit within 2.1 s of the latest
// confirmation, whichever nodes have failed.
func TestAuditDelayByRank(t *testing.T) {
	is := is.New(t)
	is.Equal(auditDelay(2, true), time.Duration(0))
	is.Equal(auditDelay(watcherCount+watcherHysteresis-1, true), time.Duration(0))
	is.Equal(auditDelay(watcherCount, false), backupAuditDelay)
	is.Equal(auditDelay(watcherCount+backupAuditors-1, false), backupAuditDelay)
	is.Equal(auditDelay(watcherCount+backupAuditors, false), 2*backupAuditDelay)
	is.True(auditAfter+auditJitter+auditDelay(300, false) <= 2100*time.Millisecond)
}

// In a fleet of 66 nodes where confirmations take half a second to spread, a few nodes audit,
// and not each node that the confirmation has not reached yet.
func TestDelayedConfirmationsCauseFewAudits(t *testing.T) {
	is := is.New(t)
	const nodes, spread, length = 66, 500 * time.Millisecond, time.Minute
	var replicas []*Replica
	gossip := &delayedConfirmations{delay: spread}
	for rank := range nodes {
		r, _, _ := fakeReplica(&fakeSource{revision: 7})
		r.peers, r.rank, r.watching = gossip, rank, rank < watcherCount
		r.now = func() time.Time { return gossip.now }
		replicas = append(replicas, r)
	}
	audits := 0
	for gossip.now = start; gossip.now.Before(start.Add(length)); gossip.now = gossip.now.Add(checkInterval) {
		for _, r := range replicas {
			if runAuditIfDue(r) {
				audits++
				gossip.confirmed = append(gossip.confirmed, gossip.now)
			}
		}
	}
	// 214 to 240 audits; 813 to 1,113 if all nodes but the watchers are backup auditors.
	is.True(audits < 5*int(length/time.Second))
}

// delayedConfirmations delivers each confirmation to all nodes after a delay.
type delayedConfirmations struct {
	stubPeers
	now       time.Time
	delay     time.Duration
	confirmed []time.Time
}

func (d *delayedConfirmations) ConfirmedAt(int64) time.Time {
	for i := len(d.confirmed) - 1; i >= 0; i-- {
		if !d.confirmed[i].After(d.now.Add(-d.delay)) {
			return d.confirmed[i]
		}
	}
	return time.Time{}
}

// While many targets change one after the other, each node is at a different revision, so that
// none confirms another's. As long as a node that is ahead has its revision confirmed, this
// node must not audit the store, and its watch, if any, must go on.
func TestNoAuditWhileNodesAheadAreConfirmed(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, c := fakeReplica(s)
	peers := &aheadPeers{clock: c}
	r.peers = peers
	s.revision = 1 << 20
	for range 50 {
		c.advance(checkInterval)
		peers.confirmed = c.now.Add(-checkInterval)
		is.True(!runAuditIfDue(r))
	}
	// The node ahead has failed, or gets no more confirmations.
	for range 2500 * time.Millisecond / checkInterval {
		c.advance(checkInterval)
		runAuditIfDue(r)
	}
	is.True(r.stale)
}

// aheadPeers are at later revisions.
type aheadPeers struct {
	stubPeers
	clock     *clock
	confirmed time.Time
}

func (p *aheadPeers) LaterConfirmedAt(int64) time.Time { return p.confirmed }

// A node that is behind but advancing doesn't list the store, however far behind it is; one
// that doesn't advance lists it.
func TestNodeThatCatchesUpDoesNotListStore(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, c := fakeReplica(s)
	c.advance(3 * time.Second)
	audits := 0
	for revision := int64(8); revision < 30; revision++ {
		s.revision = 100 * revision
		if runAuditIfDue(r) {
			audits++
		}
		is.True(!r.consumeStale())
		r.applyBatch(store.WatchBatch{Revision: revision})
		c.advance(checkInterval)
	}
	is.True(audits <= 2+int(22*checkInterval/catchUpDelay))
	for c.now.Before(start.Add(10 * time.Second)) {
		c.advance(checkInterval)
		runAuditIfDue(r)
	}
	is.True(r.consumeStale())
}
