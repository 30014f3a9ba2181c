package replica

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/store"
)

// copySource is a node that is ahead and replies from its state.
type copySource struct {
	stubPeers
	state *copyState
	calls int
}

func (s *copySource) Ahead(_, revision int64) (string, bool) {
	return "source", s.state.revision > revision
}

func (s *copySource) Call(_ context.Context, _, _ string, params, result any) error {
	s.calls++
	packed, err := s.state.replyTo(params.(CopyRequest)).packEntries()
	*result.(*CopyReply) = packed
	return err
}

// A change that comes alone is copied at once; changes that follow within minCopyInterval are
// copied together after it. Parts of one copy don't wait for each other.
func TestConsecutiveChangesAreCopiedTogether(t *testing.T) {
	is, c := is.New(t), &clock{now: start}
	g := &copySource{state: newState(t)}
	r := New(&fakeSource{}, testSchema{}, g, g, log.New(io.Discard), prometheus.NewRegistry())
	r.now = func() time.Time { return c.now }
	write := func(name string) {
		revision := g.state.revision + 1
		g.state.applyChange(target(name, "1", revision), start)
		g.state.advance(revision)
	}
	write("a")
	is.Equal(r.catchUp(t.Context()), time.Duration(0))
	is.Equal(r.revision(), int64(1))
	write("b")
	is.Equal(r.catchUp(t.Context()), minCopyInterval)
	write("c")
	c.advance(minCopyInterval)
	is.Equal(r.catchUp(t.Context()), time.Duration(0))
	is.Equal(r.revision(), int64(3))
	is.Equal(g.calls, 2)

	for i := range 2*maxPartEntries + 1 {
		write(fmt.Sprint("more", i))
	}
	c.advance(minCopyInterval)
	for range 3 {
		is.Equal(r.catchUp(t.Context()), time.Duration(0))
	}
	is.Equal(r.revision(), g.state.revision)
	is.Equal(g.calls, 5)
}

// A reply carries the age of the sender's confirmation, so that confirmations reach all nodes
// even while each revision is soon followed by the next.
func TestCopyCarriesConfirmationAge(t *testing.T) {
	is, c := is.New(t), &clock{now: start}
	source, _, sourceClock := fakeReplica(&fakeSource{revision: 7}) // confirmed by the store at start
	sourceClock.advance(300 * time.Millisecond)
	got := source.buildReply(CopyRequest{Parts: true})
	is.Equal(*got.ConfirmedAge, int64(300))

	p := &stubPeers{}
	r := newTestReplica(&fakeSource{revision: 7}, p, c)
	c.advance(time.Minute)
	apply := func(got CopyReply) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.state.applyReply(got, c.now)
		r.adoptConfirmation(got)
	}
	part := got
	part.More = true
	apply(part)
	is.True(r.confirmed.IsZero()) // a part carries no confirmation
	apply(got)
	is.Equal(r.confirmed, c.now.Add(-300*time.Millisecond))
	r.applyBatch(store.WatchBatch{Revision: 8})
	confirmed := r.confirmed
	c.advance(time.Second)
	apply(got)
	is.Equal(r.confirmed, confirmed) // the reply is about an earlier revision
}
