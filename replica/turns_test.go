package replica

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
)

// When a thousand nodes start at once, only a few at a time list the store beyond the first
// page.
func TestFewNodesListStoreAtOnce(t *testing.T) {
	is := is.New(t)
	turns := make(map[time.Time]int)
	for rank := range 986 {
		from := turnStart(rank, start, start)
		is.True(!from.Before(start.Add(discoveryTime))) // the rank isn't known earlier
		is.True(!from.After(start.Add(maxTurnDelay)))
		turns[from]++
	}
	// Nodes at the maximum delay list the store regardless of the others.
	turns[start.Add(maxTurnDelay)] = 0
	for _, n := range turns {
		is.True(n <= readersPerTurn)
	}
	later := start.Add(time.Minute)
	is.Equal(turnStart(0, start, later), later) // the rank has been known for long
}

// pagedSource is a store whose list has two pages.
type pagedSource struct {
	fakeSource
	before func()
	pages  int
}

func (s *pagedSource) List(ctx context.Context, _ string, next func(context.Context, int64) error) (store.ListResult, error) {
	first := store.ListResult{Revision: s.revision, KVs: []store.KV{{Key: "note", Value: []byte("n")}}}
	s.pages++
	s.before()
	if err := next(ctx, s.revision); err != nil {
		return first, err
	}
	s.pages++
	return first, nil
}

// A node that receives another node's copy during its list reads no further pages. It still
// delivers the note from the first page.
func TestCopySupersedesPagedList(t *testing.T) {
	is := is.New(t)
	p, c := &stubPeers{}, &clock{now: start}
	s := &pagedSource{fakeSource: fakeSource{revision: 7}}
	r := newTestReplica(s, p, c)
	notes := 0
	r.OnNote(TargetsNote, func([]byte, NoteState) { notes++ })
	s.before = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.state.applyReply(CopyReply{Entries: []Entry{target("a", "1", 5)}, Revision: 8}, start)
	}
	is.NoErr(r.listStore(context.Background()))
	is.Equal(s.pages, 1)
	is.Equal(notes, 1)
	is.Equal(r.revision(), int64(8))
	is.True(!r.consumeStale())

	// An older copy doesn't replace the list, nor does any copy while mustList is set.
	s.revision, s.before = 9, func() { c.advance(maxTurnDelay) }
	is.NoErr(r.listStore(context.Background()))
	is.Equal(s.pages, 3)
	r.mustList = true
	is.NoErr(r.listStore(context.Background()))
	is.Equal(s.pages, 5)
}

// A node whose context ends before its turn stops its list.
func TestAwaitTurnReturnsOnCancel(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, _ := fakeReplica(s)
	r.listStarted = start
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(r.awaitTurn(ctx, 8), context.Canceled))
}
