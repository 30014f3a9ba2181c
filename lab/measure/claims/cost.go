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

// Assumptions of the cost measurement. The brief gives 0.5 ms one way between
// failure domains and a store that answers in milliseconds and takes several
// hundred writes a second; the way between regions is assumed.
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

// load is what a run of the cost measurement is asked to carry.
type load struct {
	nodes int
	share float64 // of the requests, that may not be repeated
	// splitViews is the share of entries that take another node for the owner.
	splitViews float64
	// The store refuses every call in [outFrom, outUntil).
	outFrom, outUntil time.Duration
}

func (l load) claimsPerS() float64 { return requestsPerS * l.share }
func (l load) regions() int        { return (l.nodes + nodesInRegion - 1) / nodesInRegion }

// cost is what a run of the cost measurement showed, after the warm-up.
type cost struct {
	writes, reads, conflicts, trims int
	latencies, refusals             []time.Duration
	values, valueBytes, maxValue    int
	sentBytes                       int
	keysKept, bytesKept             int
	firstGrant                      time.Duration // after the outage, of the last shard
}

// bench carries a load on virtual time.
type bench struct {
	*clock
	load    load
	store   *memory.Store
	freeAt  time.Duration // when the store's writer is free
	cost    cost
	granted [core.Shards]bool // since the outage ended
}

func newBench(seed uint64, l load) *bench {
	return &bench{clock: newClock(seed, 0), load: l, store: memory.New(func() time.Time { return time.Time{} })}
}

func (b *bench) measured() bool { return b.now >= costWarmUp }

// oneWay is the time from a region to another.
func (b *bench) oneWay(from, to int) time.Duration {
	d := nearOneWay
	if from != to {
		d = farOneWay
	}
	return d + b.between(0, jitterOneWay)
}

func (b *bench) region(node int) int { return node % b.load.regions() }

func (b *bench) out() bool { return b.now >= b.load.outFrom && b.now < b.load.outUntil }

// The store is in region 0.

func (b *bench) list(region int, prefix string, done func(store.ListResult, error)) {
	if b.measured() {
		b.cost.reads++
	}
	b.after(b.oneWay(region, 0), func() {
		page, err := b.store.List(context.Background(), prefix)
		if b.out() {
			page, err = store.ListResult{}, store.ErrUnavailable
		}
		b.after(b.oneWay(0, region), func() { done(page, err) })
	})
}

// commit writes one transaction after those that wait at the store.
func (b *bench) commit(region int, t store.Txn, done func(int64, bool, error)) {
	if b.measured() {
		b.count(t)
	}
	b.after(b.oneWay(region, 0), func() {
		if b.out() {
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

func (b *bench) count(t store.Txn) {
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

// arrivals calls f with a fresh ask and its entry node, as Poisson arrivals.
func (b *bench) arrivals(f func(entry int, a core.ClaimRequest)) {
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

func (b *bench) latency(since time.Duration) {
	if b.measured() {
		b.cost.latencies = append(b.cost.latencies, b.now-since)
	}
}

// kept counts what the store holds at the end.
func (b *bench) kept() {
	page, _ := b.store.List(context.Background(), "")
	b.cost.keysKept = len(page.KVs)
	for _, kv := range page.KVs {
		b.cost.bytesKept += len(kv.Key) + len(kv.Value)
	}
}

// recordPerKey claims by creating a record for each key, replaces it at the
// end, and deletes it after the retention with others of its node.
func recordPerKey(seed uint64, l load) cost {
	b := newBench(seed, l)
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
	b.kept()
	return b.cost
}

// claimBytes is the size of a claim's record (core.TestRecordSizes).
const claimBytes = 71

func deleteAll(keys []string) (t store.Txn) {
	for _, k := range keys {
		t.Ops = append(t.Ops, store.Op{Key: k, Delete: true})
	}
	return t
}

// grouped claims by the real Shard state machines.
func grouped(seed uint64, l load) cost {
	b := newBench(seed, l)
	owners := make([][2]benchShard, core.Shards)
	for i := range owners {
		for j := range owners[i] {
			owners[i][j] = newBenchShard(b, i, j)
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
	b.kept()
	for _, pair := range owners {
		b.cost.conflicts += pair[0].shard.Counts.Conflicts + pair[1].shard.Counts.Conflicts
	}
	return b.cost
}

func (b *bench) replied(a core.ClaimRequest, r core.Reply, began time.Duration) {
	if r.Status != core.Decided {
		b.cost.refusals = append(b.cost.refusals, b.now-began)
		return
	}
	b.latency(began)
	shard := a.Key.Shard()
	if b.load.outUntil > 0 && b.now >= b.load.outUntil && !b.granted[shard] {
		b.granted[shard] = true
		b.cost.firstGrant = max(b.cost.firstGrant, b.now-b.load.outUntil)
	}
}

// benchIO is what a shard runs in whose owner is in a region.
type benchIO struct {
	b      *bench
	region int
}

func (o benchIO) time() core.Instant             { return o.b.now }
func (o benchIO) wake(d time.Duration, f func()) { o.b.after(d, f) }

func (o benchIO) list(prefix string, done func(store.ListResult, error)) {
	o.b.list(o.region, prefix, done)
}

func (o benchIO) commit(t store.Txn, done func(int64, bool, error)) { o.b.commit(o.region, t, done) }

// benchShard is a shard and the region of its owner.
type benchShard struct {
	*stepper
	region int
}

func newBenchShard(b *bench, number, view int) benchShard {
	cfg := core.DefaultConfig()
	cfg.Retention, cfg.GrantAge = costRetention, 0 // the rows scale with the retention
	owner := int(routing.Hash(strconv.Itoa(number+core.Shards*view)) % uint64(b.load.nodes))
	region := b.region(owner)
	s := core.NewShard(number, cfg, func(core.Holder) bool { return true })
	return benchShard{newStepper(benchIO{b, region}, s), region}
}

// record records an outcome; it is sent again while the store is out.
func (o benchShard) record(b *bench, e core.OutcomeRecord) {
	o.end(e, endWait, func(r core.Reply) {
		if r.Status != core.Recorded {
			b.after(time.Second, func() { o.record(b, e) })
		}
	})
}
