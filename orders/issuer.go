package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/store"
)

// readTimeout bounds one read of an engine's state.
const readTimeout = time.Second

// readsPerTick is the maximum number of reads in a tick; with readTimeout it bounds
// how long slow engines can delay a tick.
const readsPerTick = 4

// Holder is the lease on the duty of a pool's issuer, as seen by this node.
type Holder interface {
	// Held returns the current term, checked against the clock now.
	Held() (lease.Term, bool)
	// Invalidate ends the term because an engine has seen a greater number.
	Invalidate(seen int64)
	// FenceCompare returns the compare that ties a store write to a term.
	FenceCompare(fence int64) store.Compare
}

// Issuer issues the orders of one pool while its node holds the pool's lease. It
// isn't safe for concurrent use.
type Issuer struct {
	name    string // of the node
	poolID  string
	key     string // of the record
	pool    *Pool
	holder  Holder
	store   store.Store
	client  EngineClient
	metrics *Metrics
	log     *log.Logger
	now     func() time.Time
	waiting Reason              // last logged
	retried map[RetryReason]int // retries already counted in the metrics
}

// IssuerConfig holds the dependencies of an Issuer.
type IssuerConfig struct {
	Node    string
	Region  string
	Limits  Limits
	Store   store.Store
	Client  EngineClient
	Metrics *Metrics
	Log     *log.Logger
	Now     func() time.Time
}

// NewIssuer returns the issuer of a pool.
func NewIssuer(d IssuerConfig, pool string, h Holder) *Issuer {
	return &Issuer{
		name: d.Node, poolID: pool, key: RecordKey(d.Region, pool), pool: NewPool(d.Limits),
		holder: h, store: d.Store, client: d.Client,
		metrics: d.Metrics, log: d.Log.With("pool", pool), now: d.Now,
		retried: make(map[RetryReason]int),
	}
}

// Tick reads some engines' states, sends at most one order and writes the record if
// that is due. While the lease isn't held, it only stores spec and targets.
func (i *Issuer) Tick(ctx context.Context, s Spec, targets []Target) {
	i.pool.SetSpec(s)
	i.pool.SetTargets(targets)
	if !i.refresh() {
		return
	}
	i.readRecord(ctx)
	i.writeRecord(ctx)
	i.readEngines(ctx)
	i.order(ctx)
	i.report()
}

// refresh passes the holder's term to the pool and reports whether it is held.
func (i *Issuer) refresh() bool {
	t, ok := i.holder.Held()
	i.pool.SetTerm(t, ok, i.now())
	return ok
}

func (i *Issuer) readRecord(ctx context.Context) {
	if !i.pool.RecordReadDue(i.now()) {
		return
	}
	kv, ok, err := i.store.Get(ctx, i.key)
	i.metrics.records.WithLabelValues("read", storeOutcome(true, err)).Inc()
	if err != nil {
		i.pool.RecordFailed(false, i.now())
		return
	}
	var r Record
	if ok {
		if r, err = ParseRecord(kv); err != nil {
			i.log.Error("invalid record is replaced", "err", err)
		}
	}
	i.pool.RecordRead(r, kv.ModRevision)
}

// writeRecord writes the record if one is due. The write succeeds only if the lease
// in the store is still in this term and the record hasn't changed meanwhile.
func (i *Issuer) writeRecord(ctx context.Context) {
	r, replaces, ok := i.pool.NextRecord(i.now())
	if !ok {
		return
	}
	r.Issuer, r.WrittenUnix = i.name, i.now().Unix()
	raw, err := json.Marshal(r)
	if err != nil {
		i.log.Error("encoding the record failed", "err", err)
		return
	}
	revision, ok, err := i.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{i.holder.FenceCompare(r.Fence), {Key: i.key, ModRevision: replaces}},
		Ops:      []store.Op{{Key: i.key, Value: raw}},
	})
	i.metrics.records.WithLabelValues("write", storeOutcome(ok, err)).Inc()
	if err != nil || !ok {
		i.pool.RecordFailed(!errors.Is(err, store.ErrUnavailable), i.now())
		return
	}
	i.pool.RecordWritten(r, revision, i.now())
	i.log.Info("record written", "fence", r.Fence, "version", r.Spec.Desired.Version,
		"done", r.Progress.Done, "engines", r.Progress.Engines, "halted", r.Halted)
}

func (i *Issuer) readEngines(ctx context.Context) {
	for range readsPerTick {
		t, ok := i.pool.NextRead(i.now())
		if !ok {
			return
		}
		s, err := i.read(ctx, t.Addr)
		i.metrics.reads.WithLabelValues(outcome(err)).Inc()
		i.pool.ReadDone(t.ID, s, err, i.now())
	}
}

func (i *Issuer) read(ctx context.Context, addr string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return i.client.Read(ctx, addr)
}

// order sends the next order, if there is one. The term is checked again here and by
// the guard, because reading the engines and the record took time.
func (i *Issuer) order(ctx context.Context) {
	if !i.refresh() {
		return
	}
	t, o, ok := i.pool.NextOrder(i.now())
	if !ok {
		return
	}
	o.Issuer = i.name
	err := i.send(ctx, t, o)
	i.metrics.sent.WithLabelValues(outcome(err)).Inc()
	i.log.Info("order sent", "engine", t.ID, "fence", o.Fence, "version", o.Desired.Version,
		"role", o.Desired.Role, "outcome", outcome(err))
	i.pool.OrderDone(t.ID, err, i.now())
	if i.pool.Fenced() {
		i.holder.Invalidate(i.pool.SeenFence())
	}
}

func (i *Issuer) send(ctx context.Context, t Target, o Order) error {
	now := i.now()
	notAfter := now.Add(i.pool.limits.OrderTimeout)
	if until := i.pool.term.ValidUntil; until.Before(notAfter) {
		notAfter = until
	}
	ctx, cancel := context.WithTimeout(ctx, notAfter.Sub(now))
	defer cancel()
	return i.client.Apply(ctx, t.Addr, o, func() error { return i.check(o.Fence, notAfter) })
}

// check is the Guard of an order: the term must still be held, and the time before
// notAfter.
func (i *Issuer) check(fence int64, notAfter time.Time) error {
	t, ok := i.holder.Held()
	switch {
	case !ok || t.Fence != fence:
		return errors.Wrap(ErrNotSent, "the lease has expired")
	case !i.now().Before(notAfter):
		return errors.Wrap(ErrNotSent, "the order's deadline has passed")
	}
	return nil
}

// report updates the metrics and logs a change of the reason for waiting.
func (i *Issuer) report() {
	i.metrics.setProgress(i.poolID, i.pool.snapshot().Progress)
	for why, n := range i.pool.retries {
		i.metrics.retries.WithLabelValues(string(why)).Add(float64(n - i.retried[why]))
		i.retried[why] = n
	}
	why := i.pool.Waiting()
	if why == i.waiting {
		return
	}
	i.waiting = why
	if why == ReasonNone {
		return
	}
	i.metrics.waits.WithLabelValues(string(why)).Inc()
	i.log.Info("orders are waiting", "reason", why, "halted", i.pool.halted)
}
