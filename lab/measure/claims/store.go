package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// Times of a call to the store, each way.
const (
	storeDelayMin  = 500 * time.Microsecond
	storeDelayMax  = 3 * time.Millisecond
	slowDelayMax   = 4 * time.Second
	storeTimeout   = 1500 * time.Millisecond
	lossPercentage = 0.6
)

// platform is the store with the time its calls take and the faults that
// befall them.
type platform struct {
	*clock
	store *memory.Store
	// The times until which the store refuses, is slow, or loses answers.
	outUntil, slowUntil, lossyUntil time.Duration
	noCompare                       bool // a mutation: the store arbitrates nothing

	reads, writes int
}

func newPlatform(c *clock) *platform {
	return &platform{clock: c, store: memory.New(func() time.Time { return time.Time{} })}
}

// delay is the time that a call takes one way.
func (p *platform) delay() time.Duration {
	if p.now < p.slowUntil {
		return p.between(storeDelayMin, slowDelayMax)
	}
	return p.between(storeDelayMin, storeDelayMax)
}

// call runs effect at the store and passes its result to done in the node's
// process, or an error. Without a result in time the node gives up, and the
// effect may still come.
func (p *platform) call(n *node, effect func() func(), failed func(error)) {
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

func (p *platform) list(n *node, prefix string, done func(store.ListResult, error)) {
	p.reads++
	p.call(n, func() func() {
		page, err := p.store.List(context.Background(), prefix)
		return func() { done(page, err) }
	}, func(err error) { done(store.ListResult{}, err) })
}

func (p *platform) commit(n *node, t store.Txn, done func(int64, bool, error)) {
	p.writes++
	if p.noCompare {
		t.Compares = nil
	}
	p.call(n, func() func() {
		revision, ok, err := p.store.Commit(context.Background(), t)
		return func() { done(revision, ok, err) }
	}, func(err error) { done(0, false, err) })
}
