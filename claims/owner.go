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
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// idleLimit is the time without requests after which an owner forgets its
	// table.
	idleLimit = time.Minute
	// dutyPoll is how often an idle node looks whether it became the owner.
	dutyPoll = time.Second
)

// owner runs one core.Shard: it passes requests in, takes its steps on the
// store and passes the replies out.
type owner struct {
	number  int
	cfg     core.Config
	alive   core.Liveness
	onDuty  func(shard int) bool
	store   store.Store
	metrics *metrics
	log     *log.Logger
	now     func() core.Instant

	wake chan struct{}

	mu    sync.Mutex
	inbox []func(*core.Shard)
	refs  core.Ref
	waits map[core.Ref]chan<- core.Reply

	// Used by run only.
	shard  *core.Shard
	seen   core.Counts
	usedAt core.Instant
	// failing is set from a failed call to the store to the next that succeeds.
	failing bool
}

func (o *owner) ask(ctx context.Context, a core.Ask, wait time.Duration) (core.Reply, error) {
	return o.do(ctx, func(s *core.Shard, now core.Instant, ref core.Ref) { s.Ask(now, ref, a, now+wait) })
}

func (o *owner) end(ctx context.Context, e core.End, wait time.Duration) (core.Reply, error) {
	return o.do(ctx, func(s *core.Shard, now core.Instant, ref core.Ref) { s.End(now, ref, e, now+wait) })
}

func (o *owner) do(ctx context.Context, enqueue func(*core.Shard, core.Instant, core.Ref)) (core.Reply, error) {
	reply := make(chan core.Reply, 1)
	now := o.now()
	o.mu.Lock()
	o.refs++
	ref := o.refs
	o.waits[ref] = reply
	o.inbox = append(o.inbox, func(s *core.Shard) { enqueue(s, now, ref) })
	o.mu.Unlock()
	o.nudge()
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return core.Reply{}, ctx.Err()
	}
}

func (o *owner) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run takes the shard's steps until ctx ends.
func (o *owner) run(ctx context.Context) {
	o.forget()
	for ctx.Err() == nil {
		o.drain()
		o.shard.SetDuty(o.onDuty(o.number))
		step := o.shard.Next(o.now())
		o.deliver()
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

func (o *owner) forget() {
	o.shard = core.NewShard(o.number, o.cfg, o.alive)
	o.seen = core.Counts{}
}

func (o *owner) drain() {
	o.mu.Lock()
	inbox := o.inbox
	o.inbox = nil
	o.mu.Unlock()
	for _, f := range inbox {
		f(o.shard)
	}
}

func (o *owner) deliver() {
	o.metrics.addCounts(o.shard.Counts, o.seen)
	o.seen = o.shard.Counts
	keys, _ := o.shard.Len()
	o.metrics.keys.WithLabelValues(strconv.Itoa(o.number)).Set(float64(keys))
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.shard.Replies() {
		o.waits[a.Ref] <- a.Reply
		delete(o.waits, a.Ref)
	}
}

// wait returns when a request arrives, at the given time, or when it is time
// to look at the duty again. A node that is not the owner drops an idle table;
// it reads it again when asked.
func (o *owner) wait(ctx context.Context, until core.Instant) {
	timer := time.NewTimer(min(until-o.now(), dutyPoll))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.wake:
		o.usedAt = o.now()
	case <-ctx.Done():
	}
	keys, _ := o.shard.Len()
	if keys > 0 && until == core.Forever && o.now()-o.usedAt > idleLimit {
		o.forget()
	}
}

func (o *owner) read(ctx context.Context, prefix string) {
	o.await(func() func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		page, err := o.store.List(ctx, prefix)
		return func() {
			o.noteStore(err)
			o.shard.Loaded(o.now(), page, err)
		}
	})
}

func (o *owner) commit(ctx context.Context, t store.Txn) {
	o.await(func() func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		revision, ok, err := o.store.Commit(ctx, t)
		return func() {
			o.noteStore(err)
			o.shard.Committed(o.now(), revision, ok, err)
		}
	})
}

// await makes a call to the store and passes its result on. Requests whose
// time is over meanwhile are refused in time.
func (o *owner) await(call func() (pass func())) {
	result := make(chan func(), 1)
	go func() { result <- call() }()
	for {
		timer := time.NewTimer(o.shard.NextExpiry() - o.now())
		select {
		case pass := <-result:
			timer.Stop()
			pass()
			return
		case <-o.wake:
			o.usedAt = o.now()
			o.drain()
		case <-timer.C:
			o.shard.Expire(o.now())
			o.deliver()
		}
		timer.Stop()
	}
}

// noteStore logs the first failed call to the store, and the first that
// succeeds again.
func (o *owner) noteStore(err error) {
	switch {
	case err != nil && !o.failing:
		o.log.Warn("claims: the store fails; keyed requests are refused", "shard", o.number, "err", err)
	case err == nil && o.failing:
		o.log.Info("claims: the store answers again", "shard", o.number)
	}
	o.failing = err != nil
}
