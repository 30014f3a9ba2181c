package claims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/store"
)

const (
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// idleLimit is the time without requests after which an owner drops its table,
	// unless it is the primary owner.
	idleLimit = time.Minute
	// primaryPoll is how often an idle owner checks whether it is now the primary owner.
	primaryPoll = time.Second
)

// owner runs one core.Shard: it queues requests, executes the steps on the store and
// delivers the replies. Each node has an owner for every shard.
type owner struct {
	number    int
	cfg       core.Config
	alive     core.Liveness
	isPrimary func(shard int) bool
	store     store.Store
	metrics   *metrics
	log       *log.Logger
	now       func() core.Instant

	wake chan struct{}

	mu      sync.Mutex
	inbox   []func(*core.Shard)
	lastRef core.Ref
	pending map[core.Ref]chan<- core.Reply

	// The fields below are used only by the goroutine of run.
	shard    *core.Shard
	reported core.Counts
	usedAt   core.Instant
	// failing is true from a failed call to the store until the next successful one.
	failing bool
}

func (o *owner) ask(ctx context.Context, a core.ClaimRequest, wait time.Duration) (core.Reply, error) {
	return o.submit(ctx, func(s *core.Shard, now core.Instant, ref core.Ref) { s.Ask(now, ref, a, now+wait) })
}

func (o *owner) end(ctx context.Context, e core.OutcomeRecord, wait time.Duration) (core.Reply, error) {
	return o.submit(ctx, func(s *core.Shard, now core.Instant, ref core.Ref) { s.End(now, ref, e, now+wait) })
}

func (o *owner) submit(ctx context.Context, enqueue func(*core.Shard, core.Instant, core.Ref)) (core.Reply, error) {
	reply := make(chan core.Reply, 1)
	now := o.now()
	o.mu.Lock()
	o.lastRef++
	ref := o.lastRef
	o.pending[ref] = reply
	o.inbox = append(o.inbox, func(s *core.Shard) { enqueue(s, now, ref) })
	o.mu.Unlock()
	o.wakeUp()
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return core.Reply{}, ctx.Err()
	}
}

func (o *owner) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run executes the steps of the shard until ctx ends.
func (o *owner) run(ctx context.Context) {
	o.resetShard()
	for ctx.Err() == nil {
		o.processInbox()
		o.shard.SetPrimary(o.isPrimary(o.number))
		step := o.shard.Next(o.now())
		o.sendReplies()
		switch step.Kind {
		case core.StepWait:
			o.wait(ctx, step.Until)
		case core.StepRead:
			o.read(ctx, step.Prefix)
		case core.StepCommit:
			o.commit(ctx, step.Txn)
		}
	}
}

func (o *owner) resetShard() {
	o.shard = core.NewShard(o.number, o.cfg, o.alive)
	o.reported = core.Counts{}
}

func (o *owner) processInbox() {
	o.mu.Lock()
	inbox := o.inbox
	o.inbox = nil
	o.mu.Unlock()
	for _, f := range inbox {
		f(o.shard)
	}
}

func (o *owner) sendReplies() {
	o.metrics.addCounts(o.shard.Counts, o.reported)
	o.reported = o.shard.Counts
	keys, _ := o.shard.Len()
	o.metrics.keys.WithLabelValues(strconv.Itoa(o.number)).Set(float64(keys))
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.shard.Replies() {
		o.pending[a.Ref] <- a.Reply
		delete(o.pending, a.Ref)
	}
}

// wait returns when a request arrives, at the given time, or after primaryPoll. It drops
// the table of a shard that has been idle for idleLimit if the Shard has no further step
// planned, as on a node that is not the primary owner. The next request reads it again.
func (o *owner) wait(ctx context.Context, until core.Instant) {
	timer := time.NewTimer(min(until-o.now(), primaryPoll))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.wake:
		o.usedAt = o.now()
	case <-ctx.Done():
	}
	keys, _ := o.shard.Len()
	if keys > 0 && until == core.Forever && o.now()-o.usedAt > idleLimit {
		o.resetShard()
	}
}

func (o *owner) read(ctx context.Context, prefix string) {
	o.callStore(func() func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		page, err := o.store.List(ctx, prefix)
		return func() {
			o.logStoreState(err)
			o.shard.Loaded(o.now(), page, err)
		}
	})
}

func (o *owner) commit(ctx context.Context, t store.Txn) {
	o.callStore(func() func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		revision, ok, err := o.store.Commit(ctx, t)
		return func() {
			o.logStoreState(err)
			o.shard.Committed(o.now(), revision, ok, err)
		}
	})
}

// callStore runs call, which calls the store, in a new goroutine, and then the function
// that it returns, which passes the result to the shard. Until then it accepts requests
// and refuses those that expire.
func (o *owner) callStore(call func() (deliver func())) {
	result := make(chan func(), 1)
	go func() { result <- call() }()
	for {
		timer := time.NewTimer(o.shard.NextExpiry() - o.now())
		select {
		case deliver := <-result:
			timer.Stop()
			deliver()
			return
		case <-o.wake:
			o.usedAt = o.now()
			o.processInbox()
		case <-timer.C:
			o.shard.Expire(o.now())
			o.sendReplies()
		}
		timer.Stop()
	}
}

// logStoreState logs the first failed call to the store, and the first successful call
// after that.
func (o *owner) logStoreState(err error) {
	switch {
	case err != nil && !o.failing:
		o.log.Warn("claims: calls to the store fail; requests with an Idempotency-Key are refused", "shard", o.number, "err", err)
	case err == nil && o.failing:
		o.log.Info("claims: calls to the store succeed again", "shard", o.number)
	}
	o.failing = err != nil
}
