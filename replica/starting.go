package replica

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/store"
)

// noteSpread is the time over which nodes whose first configuration came from another node list
// the store, which has the note: without a spread, a silent store that answers again would get a
// list from each node at once.
const noteSpread = time.Second

// startReads are the reads of the store by a node without a configuration.
type startReads struct {
	// begun counts all reads, inProgress those not yet ended.
	begun, inProgress int
	lastBegun         time.Time
	// checked is when it was last decided whether a read is due.
	checked time.Time
	ended   chan error
}

// readFirst reads the store until one read is complete or this node has a copy of another node
// and no read is in progress. It reports whether a read is complete.
func (r *Replica) readFirst(ctx context.Context) (listed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	s := &startReads{ended: make(chan error), checked: r.now()}
	r.beginRead(ctx, s)
	for {
		select {
		case <-ctx.Done():
			return false
		case err := <-s.ended:
			s.inProgress--
			if err == nil {
				return true
			}
			r.storeFailed(err)
		case <-tick.C:
		}
		switch copied := r.hasCopy(); {
		case copied && s.inProgress == 0:
			return false
		case !copied && r.startReadDue(s):
			r.beginRead(ctx, s)
		}
	}
}

// startReadDue reports whether a node without a copy begins another read now. While a read
// receives pages, the store answers.
func (r *Replica) startReadDue(s *startReads) bool {
	turn := probeTurnOf(r.peers.KnownRank())
	now := r.now()
	last := s.checked
	s.checked = now
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pagedReads == 0 && now.Sub(s.lastBegun) >= minProbeGap && turn.begins(last, now)
}

// beginRead begins a read in its own goroutine, which sends the result to s.ended.
func (r *Replica) beginRead(ctx context.Context, s *startReads) {
	s.begun++
	s.inProgress++
	s.lastBegun = r.now()
	r.mu.Lock()
	r.startReadsBegun = s.begun
	r.mu.Unlock()
	go func() {
		err := r.listStore(ctx)
		if ctx.Err() == nil {
			r.metrics.startReads.WithLabelValues(readResult(err)).Inc()
		}
		select {
		case s.ended <- err:
		case <-ctx.Done():
		}
	}()
}

func readResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// awaitNoteRead waits for this node's time to list the store after its first configuration came
// from another node. The wait doesn't delay changes: a node watches the store watchDelay after
// its start at the earliest, and copies from other nodes meanwhile.
func (r *Replica) awaitNoteRead(ctx context.Context) {
	r.mu.Lock()
	wait := time.Duration(r.rng.Int64N(int64(noteSpread)))
	r.mu.Unlock()
	pause.Sleep(ctx, wait)
}

// recordStart records the first configuration. If it came from the store after more than one
// read, other nodes probably wait for it, and all of them are told. A node whose first read is
// answered tells only a few, as with any change: if all nodes start while the store answers,
// hundreds of them would tell hundreds. Callers must hold r.mu.
func (r *Replica) recordStart(source string) {
	waited := r.now().Sub(r.startedAt)
	r.metrics.firstConfiguration.WithLabelValues(source).Inc()
	r.metrics.startSeconds.Set(waited.Seconds())
	r.announceToAll = source == sourceStore && r.startReadsBegun > 1
	r.log.Info("first configuration in force", "source", source, "waited_ms", waited.Milliseconds(),
		"reads", r.startReadsBegun, "revision", store.RevisionOf(r.state.revision), "announced_to_all", r.announceToAll)
}

// WithoutConfiguration returns for how long this node has been running without a configuration;
// 0 if it has one.
func (r *Replica) WithoutConfiguration() time.Duration {
	if r.Catalog() != nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.startedAt)
}

// OtherNodeAhead reports whether a live node is known to have a newer copy than this one.
func (r *Replica) OtherNodeAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ahead := r.peers.Ahead(r.versions())
	return ahead
}

// announceVersions announces this node's versions: to all nodes after the first configuration,
// if recordStart requested it, and otherwise to a few.
func (r *Replica) announceVersions(ctx context.Context) {
	r.mu.Lock()
	toAll := r.announceToAll
	r.announceToAll = false
	r.mu.Unlock()
	if toAll {
		go r.peers.AnnounceToAll(ctx)
		return
	}
	r.peers.Announce()
}

// trackPages wraps awaitTurn for one read of the store. While a read is past its first page, no
// further ones begin, and this node counts as one that reaches the store, so that it precedes
// those that don't in the order of turns. end must be called when the read has ended.
func (r *Replica) trackPages() (next func(context.Context, int64) error, end func()) {
	paged := false
	count := func(n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pagedReads += n
	}
	next = func(ctx context.Context, revision int64) error {
		if !paged {
			paged = true
			count(1)
			r.storeAnswered()
		}
		return r.awaitTurn(ctx, revision)
	}
	end = func() {
		if paged {
			count(-1)
		}
	}
	return next, end
}
