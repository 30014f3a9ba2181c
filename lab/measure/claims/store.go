package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// Delays of a call to the store, one way, its timeout, and the share of calls that a
// lossy store loses.
const (
	storeDelayMin  = 500 * time.Microsecond
	storeDelayMax  = 3 * time.Millisecond
	slowDelayMax   = 4 * time.Second
	storeTimeout   = 1500 * time.Millisecond
	lossPercentage = 0.6
)

// faultyStore is a memory store whose calls take time and can fail.
type faultyStore struct {
	*clock
	store *memory.Store
	// The times until which the store refuses calls, is slow, or loses calls and answers.
	outUntil, slowUntil, lossyUntil time.Duration
	noCompare                       bool // for mutateNoCompare: commits ignore compares

	reads, writes int
}

func newFaultyStore(c *clock) *faultyStore {
	return &faultyStore{clock: c, store: memory.New(func() time.Time { return time.Time{} })}
}

// delay returns the time that a call takes one way.
func (p *faultyStore) delay() time.Duration {
	if p.now < p.slowUntil {
		return p.between(storeDelayMin, slowDelayMax)
	}
	return p.between(storeDelayMin, storeDelayMax)
}

// call runs effect at the store, then the function that effect returns in the node's
// process. If the call fails, it calls failed there instead: with store.ErrUnavailable
// during an outage, with store.ErrUncertain after storeTimeout, in which case the
// effect may still take place.
func (p *faultyStore) call(n *node, effect func() func(), failed func(error)) {
	var over bool
	finish := func(f func()) func() {
		return func() {
			if !over {
				over = true
				f()
			}
		}
	}
	p.on(n, storeTimeout, finish(func() { failed(store.ErrUncertain) }))
	p.after(p.delay(), func() {
		if p.now < p.outUntil {
			p.on(n, p.delay(), finish(func() { failed(store.ErrUnavailable) }))
			return
		}
		lost := p.now < p.lossyUntil && p.chance(lossPercentage)
		if lost && p.chance(0.5) {
			return // lost on the way to the store
		}
		done := effect()
		if !lost {
			p.on(n, p.delay(), finish(done))
		}
	})
}

func (p *faultyStore) list(n *node, prefix string, done func(store.ListResult, error)) {
	p.reads++
	p.call(n, func() func() {
		page, err := p.store.List(context.Background(), prefix)
		return func() { done(page, err) }
	}, func(err error) { done(store.ListResult{}, err) })
}

func (p *faultyStore) commit(n *node, t store.Txn, done func(int64, bool, error)) {
	p.writes++
	if p.noCompare {
		t.Compares = nil
	}
	p.call(n, func() func() {
		revision, ok, err := p.store.Commit(context.Background(), t)
		return func() { done(revision, ok, err) }
	}, func(err error) { done(0, false, err) })
}
