package claims

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// Assumptions of the cost measurement. The brief of the product gives a one-way
// latency of 0.5 ms between failure domains and a store that answers in milliseconds
// and accepts several hundred writes a second; the latency between regions is assumed.
const (
	nearOneWay    = 500 * time.Microsecond
	farOneWay     = 25 * time.Millisecond
	jitterOneWay  = time.Millisecond
	writeService  = 2500 * time.Microsecond // 400 writes a second
	requestsPerS  = 4600
	nodesInRegion = 53
	costTime      = 60 * time.Second
	costWarmUp    = 30 * time.Second
	costRetention = 20 * time.Second
	runTimeMin    = 100 * time.Millisecond
	runTimeMax    = 5 * time.Second
	// keysPerTrim is the most keys that etcd's default limit lets one
	// transaction delete.
	keysPerTrim = 128
)

// load is the load and the faults of one run of the cost measurement.
type load struct {
	nodes int
	share float64 // of the requests that may not be repeated
	// splitViews is the share of entry nodes whose view names another owner.
	splitViews float64
	// The store refuses every call in [outageFrom, outageUntil).
	outageFrom, outageUntil time.Duration
}

func (l load) claimsPerS() float64 { return requestsPerS * l.share }
func (l load) regions() int        { return (l.nodes + nodesInRegion - 1) / nodesInRegion }

// cost holds the results of one run of the cost measurement, after the warm-up.
type cost struct {
	writes, reads, conflicts, trims int
	latencies, refusals             []time.Duration
	values, valueBytes, maxValue    int
	sentBytes                       int
	storeKeys, storeBytes           int
	firstGrant                      time.Duration // from the end of the outage until the last shard grants
}

// costSimulation runs a load on virtual time.
type costSimulation struct {
	*clock
	load    load
	store   *memory.Store
	freeAt  time.Duration // time at which the store has finished its queued writes
	cost    cost
	granted [core.Shards]bool // whether a shard has granted since the outage ended
}

func newCostSimulation(seed uint64, l load) *costSimulation {
	return &costSimulation{clock: newClock(seed, 0), load: l, store: memory.New(func() time.Time { return time.Time{} })}
}

func (b *costSimulation) measured() bool { return b.now >= costWarmUp }

// oneWay returns the latency of a message from one region to another.
func (b *costSimulation) oneWay(from, to int) time.Duration {
	d := nearOneWay
	if from != to {
		d = farOneWay
	}
	return d + b.between(0, jitterOneWay)
}

func (b *costSimulation) region(node int) int { return node % b.load.regions() }

func (b *costSimulation) inOutage() bool {
	return b.now >= b.load.outageFrom && b.now < b.load.outageUntil
}

// The store is in region 0.

func (b *costSimulation) list(region int, prefix string, done func(store.ListResult, error)) {
	if b.measured() {
		b.cost.reads++
	}
	b.after(b.oneWay(region, 0), func() {
		page, err := b.store.List(context.Background(), prefix)
		if b.inOutage() {
			page, err = store.ListResult{}, store.ErrUnavailable
		}
		b.after(b.oneWay(0, region), func() { done(page, err) })
	})
}

// commit queues one transaction at the store, which takes writeService for each.
func (b *costSimulation) commit(region int, t store.Txn, done func(int64, bool, error)) {
	if b.measured() {
		b.count(t)
	}
	b.after(b.oneWay(region, 0), func() {
		if b.inOutage() {
			b.after(b.oneWay(0, region), func() { done(0, false, store.ErrUnavailable) })
			return
		}
		b.freeAt = max(b.freeAt, b.now) + writeService
		b.after(b.freeAt-b.now, func() {
			revision, ok, err := b.store.Commit(context.Background(), t)
			b.after(b.oneWay(0, region), func() { done(revision, ok, err) })
		})
	})
}

func (b *costSimulation) count(t store.Txn) {
	b.cost.writes++
	for _, op := range t.Ops {
		b.cost.sentBytes += len(op.Key) + len(op.Value)
		if op.Delete {
			b.cost.trims++
			continue
		}
		b.cost.values++
		b.cost.valueBytes += len(op.Value)
		b.cost.maxValue = max(b.cost.maxValue, len(op.Value))
	}
}

// arrivals calls f with a new claim request and its entry node, as Poisson arrivals.
func (b *costSimulation) arrivals(f func(entry int, a core.ClaimRequest)) {
	var next func()
	n := uint64(0)
	next = func() {
		n++
		a := core.ClaimRequest{Attempt: core.AttemptID(n), Holder: core.Holder{Node: "entry-0123", Incarnation: 1 << 60}}
		binary.BigEndian.PutUint64(a.Key[:], b.rng.Uint64())
		binary.BigEndian.PutUint64(a.Key[8:], n)
		a.Fingerprint = core.Fingerprint(a.Key)
		f(b.rng.IntN(b.load.nodes), a)
		b.after(time.Duration(b.rng.ExpFloat64()/b.load.claimsPerS()*float64(time.Second)), next)
	}
	next()
}

func (b *costSimulation) latency(since time.Duration) {
	if b.measured() {
		b.cost.latencies = append(b.cost.latencies, b.now-since)
	}
}

// countStored records the keys and bytes that the store holds at the end.
func (b *costSimulation) countStored() {
	page, _ := b.store.List(context.Background(), "")
	b.cost.storeKeys = len(page.KVs)
	for _, kv := range page.KVs {
		b.cost.storeBytes += len(kv.Key) + len(kv.Value)
	}
}

// recordPerKey measures claims with one record per key: it is created by the claim,
// replaced when the request ends, and deleted after the retention in one transaction
// with others of the same entry node.
func recordPerKey(seed uint64, l load) cost {
	b := newCostSimulation(seed, l)
	expired := make([][]string, l.nodes)
	b.arrivals(func(entry int, a core.ClaimRequest) {
		region, began := b.region(entry), b.now
		key := "k/" + strconv.FormatUint(uint64(a.Attempt), 16) + string(a.Key[:])
		value := make([]byte, claimBytes)
		create := store.Txn{Compares: []store.Compare{{Key: key}}, Ops: []store.Op{{Key: key, Value: value}}}
		b.commit(region, create, func(int64, bool, error) {
			b.latency(began)
			b.after(b.between(runTimeMin, runTimeMax), func() {
				end := store.Txn{Ops: []store.Op{{Key: key, Value: value}}}
				b.commit(region, end, func(int64, bool, error) {})
			})
			b.after(costRetention, func() {
				expired[entry] = append(expired[entry], key)
				if len(expired[entry]) == keysPerTrim {
					b.commit(region, deleteAll(expired[entry]), func(int64, bool, error) {})
					expired[entry] = nil
				}
			})
		})
	})
	b.run(costTime)
	b.countStored()
	return b.cost
}

// claimBytes is the size of a claim's record, which core.TestRecordSizes measures.
const claimBytes = 71

func deleteAll(keys []string) (t store.Txn) {
	for _, k := range keys {
		t.Ops = append(t.Ops, store.Op{Key: k, Delete: true})
	}
	return t
}

// grouped measures claims that core.Shard, the product's state machine, records in
// groups.
func grouped(seed uint64, l load) cost {
	b := newCostSimulation(seed, l)
	owners := make([][2]costShard, core.Shards)
	for i := range owners {
		for j := range owners[i] {
			owners[i][j] = newCostShard(b, i, j)
		}
	}
	b.arrivals(func(entry int, a core.ClaimRequest) {
		region, began := b.region(entry), b.now
		view := 0
		if float64(entry) < l.splitViews*float64(l.nodes) {
			view = 1
		}
		o := owners[a.Key.Shard()][view]
		b.after(b.oneWay(region, o.region), func() {
			o.ask(a, core.DefaultAttemptLimits().Wait, func(r core.Reply) {
				b.after(b.oneWay(o.region, region), func() { b.replied(a, r, began) })
				if r.Status != core.Decided {
					return
				}
				b.after(b.between(runTimeMin, runTimeMax), func() {
					o.record(b, core.OutcomeRecord{Key: a.Key, Attempt: a.Attempt, Outcome: core.Ran})
				})
			})
		})
	})
	b.run(costTime)
	b.countStored()
	for _, pair := range owners {
		b.cost.conflicts += pair[0].shard.Counts.Conflicts + pair[1].shard.Counts.Conflicts
	}
	return b.cost
}

func (b *costSimulation) replied(a core.ClaimRequest, r core.Reply, began time.Duration) {
	if r.Status != core.Decided {
		b.cost.refusals = append(b.cost.refusals, b.now-began)
		return
	}
	b.latency(began)
	shard := a.Key.Shard()
	if b.load.outageUntil > 0 && b.now >= b.load.outageUntil && !b.granted[shard] {
		b.granted[shard] = true
		b.cost.firstGrant = max(b.cost.firstGrant, b.now-b.load.outageUntil)
	}
}

// costEnv is the environment of a shard whose owner is in the given region.
type costEnv struct {
	b      *costSimulation
	region int
}

func (o costEnv) time() core.Instant                 { return o.b.now }
func (o costEnv) schedule(d time.Duration, f func()) { o.b.after(d, f) }

func (o costEnv) list(prefix string, done func(store.ListResult, error)) {
	o.b.list(o.region, prefix, done)
}

func (o costEnv) commit(t store.Txn, done func(int64, bool, error)) { o.b.commit(o.region, t, done) }

// costShard is a shard and the region of its owner.
type costShard struct {
	*stepper
	region int
}

func newCostShard(b *costSimulation, number, view int) costShard {
	cfg := core.DefaultConfig()
	cfg.Retention, cfg.GrantAge = costRetention, 0 // costRow scales the stored bytes to the real retention
	owner := int(routing.Hash(strconv.Itoa(number+core.Shards*view)) % uint64(b.load.nodes))
	region := b.region(owner)
	s := core.NewShard(number, cfg, func(core.Holder) bool { return true })
	return costShard{newStepper(costEnv{b, region}, s), region}
}

// record sends an outcome to the owner, again after a second until it is recorded.
func (o costShard) record(b *costSimulation, e core.OutcomeRecord) {
	o.end(e, endWait, func(r core.Reply) {
		if r.Status != core.Recorded {
			b.after(time.Second, func() { o.record(b, e) })
		}
	})
}
