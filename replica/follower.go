package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/store"
)

const (
	// storeTimeout bounds one call to the store, which normally answers in milliseconds, and in
	// a quarter of a second when it is slow.
	storeTimeout = time.Second
	// listTimeout bounds a list of the store. Thousands of targets take several calls, and
	// hundreds of nodes that start at once share the store's link: 2 to 3 s for 3,000 targets
	// and 300 nodes.
	listTimeout = 6 * time.Second
)

// storeBackoff spreads the nodes' attempts to reach an unavailable store. Each attempt is a
// billed call; meanwhile nodes that can reach the store pass changes on to the others.
var storeBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}

// follow keeps the copy up to date with the store. It lists the store once (see readFirst) and,
// while this node is a watcher, watches it from that revision. It lists the store again if the
// store no longer has the events since the copy's revision.
func (r *Replica) follow(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failures, relists := 0, 0
	if !r.readFirst(ctx) {
		r.awaitNoteRead(ctx)
		r.setStale()
	}
	for ctx.Err() == nil {
		var err error
		if r.consumeStale() {
			if err = r.listStore(ctx); err != nil {
				r.setStale()
			}
		} else if failures > 0 {
			// A watch would show that the store is back only with its next event.
			err = r.probeStore(ctx)
		}
		if err == nil {
			failures = 0
			r.awaitWork(ctx)
			err = r.watch(ctx)
		}
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
			relists++
			r.log.Info("the store no longer has the events since the copy's revision; listing it again",
				"revision", store.RevisionOf(r.revision()), "era", store.EraOf(r.revision()), "in_succession", relists, "err", err)
			r.setStale()
			pause.Sleep(ctx, relistPause(relists, rng))
			continue
		}
		relists = 0
		if err != nil && ctx.Err() == nil {
			failures++
			r.storeFailed(err)
			pause.Sleep(ctx, storeBackoff.Pause(failures, rng))
		}
	}
}

// relistPause returns the time between the nth watch in succession that the store couldn't serve and the next
// list. The first list follows at once, since a store that has discarded its history, or has been restored, is
// listed once.
func relistPause(n int, rng *rand.Rand) time.Duration {
	if n <= 1 {
		return 0
	}
	return storeBackoff.Pause(n-1, rng)
}

// hasCopy reports whether the node holds a complete copy; before its first list, one from another
// node.
func (r *Replica) hasCopy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.revision > 0 && !r.state.incomplete
}

func (r *Replica) setStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = true
}

// consumeStale reports whether the copy was found to lack changes, and resets the flag.
func (r *Replica) consumeStale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := r.stale
	r.stale = false
	return stale
}

func (r *Replica) revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.revision
}

// listStore lists the store. If that takes several pages, it stops early once this node has
// received a copy that is as new from another node.
func (r *Replica) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout+maxTurnDelay)
	defer cancel()
	r.mu.Lock()
	r.listStarted = r.now()
	r.mu.Unlock()
	next, end := r.trackPages()
	defer end()
	page, err := r.store.List(ctx, r.schema.Prefix(), next)
	if errors.Is(err, errListSuperseded) {
		r.storeAnswered()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.deliverNotes(page, InPart)
		return nil
	}
	if err != nil {
		return err
	}
	r.storeAnswered()
	r.applyList(page)
	return nil
}

func (r *Replica) probeStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := r.store.Revision(ctx); err != nil {
		return err
	}
	r.storeAnswered()
	return nil
}

// watch applies changes until the watch fails or is cancelled for a restart.
func (r *Replica) watch(ctx context.Context) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancelWatch = cancel
	from := r.state.revision + 1
	due := r.watching && !r.stale
	r.mu.Unlock()
	if !due {
		return nil
	}
	batches, err := r.store.Watch(watching, r.schema.Prefix(), from)
	if err != nil {
		return err
	}
	for b := range batches {
		if watching.Err() != nil {
			break
		}
		if b.Err != nil {
			return b.Err
		}
		r.storeAnswered()
		if err := r.applyBatch(b); err != nil {
			return err
		}
	}
	return ctx.Err()
}
