package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/store"
)

// pollInterval is the maximum time between two checks of the Machine while no call is due.
const pollInterval = 200 * time.Millisecond

// Keeper is a candidate for a duty and holds it once acquired. It is safe for concurrent use.
type Keeper struct {
	store   store.Store
	duty    string
	holder  string
	metrics *Metrics
	now     func() time.Time

	mu      sync.Mutex
	machine *Machine
}

// NewKeeper returns a candidate for the duty. holder is the name written to the duty's key and
// now is the clock.
func NewKeeper(s store.Store, cfg Config, duty, holder string, m *Metrics, now func() time.Time) *Keeper {
	return &Keeper{
		store: s, duty: duty, holder: holder, metrics: m, now: now,
		machine: NewMachine(cfg, uuid.NewString),
	}
}

// Held returns the current term. ok is false if there is none or it has expired on the holder's
// clock.
func (k *Keeper) Held() (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Held(k.now())
}

// Invalidate ends the term because a newer fencing number was seen. The keeper then tries to
// acquire the duty again with a newer number.
func (k *Keeper) Invalidate(seen int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Invalidate(seen)
}

// FenceCompare returns the compare that makes a store transaction fail unless the term with this
// fencing number still holds the duty.
func (k *Keeper) FenceCompare(fence int64) store.Compare {
	k.mu.Lock()
	defer k.mu.Unlock()
	return store.Compare{Key: Key(k.duty), ModRevision: k.machine.revisionOf(fence)}
}

// Run acquires and renews the duty until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.wait(ctx, k.Step(ctx))
	}
}

// Release revokes the lease of the duty. Run must have returned. Release tries once: if the store
// doesn't answer, the lease expires by itself.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.machine.Release()
	k.mu.Unlock()
	k.Step(ctx)
}

// Step performs the machine's next action and returns when to call Step again; the zero time
// means at once.
func (k *Keeper) Step(ctx context.Context) time.Time {
	k.mu.Lock()
	action := k.machine.Next(k.now())
	k.mu.Unlock()
	k.reportMetrics()
	if action.Call == CallNone {
		return action.At
	}
	r := k.execute(ctx, action)
	k.metrics.call(action.Call, r.Err)
	k.mu.Lock()
	k.machine.Observe(r)
	k.mu.Unlock()
	k.reportMetrics()
	return time.Time{}
}

func (k *Keeper) reportMetrics() {
	k.mu.Lock()
	_, held := k.machine.Held(k.now())
	loss := k.machine.LastLoss()
	k.mu.Unlock()
	k.metrics.term(k.duty, held, loss)
}

func (k *Keeper) wait(ctx context.Context, until time.Time) {
	d := min(until.Sub(k.now()), pollInterval)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (k *Keeper) execute(ctx context.Context, a Action) Result {
	r := Result{Action: a, Sent: k.now()}
	switch a.Call {
	case CallProbe, CallReadBack:
		r.Record, r.Found, r.Err = k.read(ctx)
	case CallGrant:
		r.Lease, r.Err = k.store.Grant(ctx, k.machine.cfg.TTL)
	case CallCreate:
		r.Revision, r.Created, r.Err = k.create(ctx, a)
	case CallRenew:
		r.Err = k.store.Renew(ctx, a.Lease)
	case CallRevoke:
		r.Err = k.store.Revoke(ctx, a.Lease)
	}
	r.Done = k.now()
	return r
}

func (k *Keeper) read(ctx context.Context) (Record, bool, error) {
	kv, ok, err := k.store.Get(ctx, Key(k.duty))
	if err != nil || !ok {
		return Record{}, false, err
	}
	rec, err := ParseRecord(kv)
	return rec, true, err
}

func (k *Keeper) create(ctx context.Context, a Action) (int64, bool, error) {
	raw, err := json.Marshal(Record{Holder: k.holder, WriteID: a.WriteID, MinFence: a.Fence})
	if err != nil {
		return 0, false, errors.Wrap(err, "lease: encode duty record")
	}
	return k.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: Key(k.duty)}},
		Ops:      []store.Op{{Key: Key(k.duty), Value: raw, Lease: a.Lease}},
	})
}

// ParseRecord decodes the value of a duty's key. It returns an error if the value is no JSON
// object of a Record.
func ParseRecord(kv store.KV) (Record, error) {
	var rec Record
	err := json.Unmarshal(kv.Value, &rec)
	rec.Revision = kv.ModRevision
	return rec, errors.Wrapf(err, "lease: %s holds no duty record; delete the key", kv.Key)
}
