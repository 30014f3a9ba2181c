package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/store"
)

// startFleet is a fleet of replicas on virtual time, with fakes of the store and the network.
type startFleet struct {
	mu    sync.Mutex
	rng   *rand.Rand
	begin time.Time
	nodes map[string]*startNode
	all   []*startNode
	// answers reports whether the store answers a call that a node begins now, the given time
	// after the start. Other calls hang until their timeout. delay is the time of an answer.
	answers func(node int, at time.Duration) bool
	delay   time.Duration
	// pages is the number of pages of a list.
	pages int
	// skew is the maximum deviation of the nodes' clocks.
	skew time.Duration
	// targets is the number of targets.
	targets int
	// restored is the time at which the store comes back from an older copy, 0 for never; see storeAt. Watches in
	// progress are cut then, unless they hang.
	restored      time.Duration
	watchesHang   bool
	audits        bool
	copies, bytes int
	// onConfigured, if set, is called with each version of the configuration that a node has, once its copy has
	// changed.
	onConfigured func(version int64, at time.Duration)
	// isolated nodes receive no datagrams.
	isolated func(node int) bool
	// calls are the times of the calls to the store, answered that of its first answer.
	calls    []time.Duration
	answered time.Duration
}

const (
	netDelay = 1400 * time.Microsecond
	// replyTime is the time of a copy of 10 kB on a link of 20 Mbit/s, which the copies from a
	// node share.
	replyTime = 4 * time.Millisecond
	// callTimeout is the timeout of a call that the store doesn't answer, as in platform.
	callTimeout = time.Second
	// startSpread is the time within which all nodes start.
	startSpread  = 100 * time.Millisecond
	fleetTargets = 93
)

// startNode is a node with its own view of the others.
type startNode struct {
	*Replica
	fleet    *startFleet
	index    int
	name     string
	mu       sync.Mutex
	rng      *rand.Rand
	started  bool
	view     *heartbeat.View
	sequence uint64
	serving  int
	linkFree time.Time
	handler  peer.Handler
	// ready is when the node had a configuration and all targets, -1 before.
	ready time.Duration
	// source is where its first configuration came from.
	source string
}

func (f *startFleet) since() time.Duration { return time.Since(f.begin) }

func nodeAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:7340", i%3, i/250, i%250+1) }

// runFleet runs n nodes for d and returns the fleet.
func runFleet(t *testing.T, n int, d time.Duration, seed uint64, configure func(*startFleet)) *startFleet {
	t.Helper()
	f := &startFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*startNode), delay: 2 * netDelay, pages: 1, targets: fleetTargets,
		isolated: func(int) bool { return false }, answered: -1,
	}
	configure(f)
	synctest.Test(t, func(t *testing.T) {
		f.begin = time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		for i := range n {
			f.add(i, n)
		}
		for _, node := range f.all {
			go node.run(ctx, f.random(startSpread))
		}
		time.Sleep(d)
		cancel()
		synctest.Wait()
	})
	return f
}

func (f *startFleet) add(i, n int) {
	node := &startNode{fleet: f, index: i, name: nodeAddress(i), ready: -1}
	node.view = heartbeat.NewView(heartbeat.DefaultConfig(), node.name)
	for s := range min(3, n) {
		node.view.AddNodes(f.begin, nodeAddress(s))
	}
	l := log.New(io.Discard)
	l.SetLevel(log.FatalLevel)
	node.Replica = New(node, testSchema{}, node, node, l, prometheus.NewRegistry())
	if f.skew > 0 {
		skew := f.random(2*f.skew) - f.skew
		node.now = func() time.Time { return time.Now().Add(skew) }
	}
	node.rng = rand.New(rand.NewPCG(f.rng.Uint64(), 3))
	node.Replica.rng = rand.New(rand.NewPCG(f.rng.Uint64(), 2))
	f.nodes[node.name] = node
	f.all = append(f.all, node)
}

func (f *startFleet) random(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d)))
}

func (n *startNode) run(ctx context.Context, delay time.Duration) {
	time.Sleep(delay)
	n.locked(func() { n.started = true })
	_ = n.Start(ctx)
	go func() {
		select {
		case <-n.Initialized():
			if n.Ready() {
				n.ready = n.fleet.since()
			}
			n.source = sourcePeer
			if testutil.ToFloat64(n.metrics.firstConfiguration.WithLabelValues(sourceStore)) > 0 {
				n.source = sourceStore
			}
		case <-ctx.Done():
		}
	}()
	// As in heartbeat, a node has messages of about 2*sqrt(n) others in an interval.
	if n.fleet.onConfigured != nil {
		go n.followVersions(ctx)
	}
	for i := 0; ctx.Err() == nil; i++ {
		n.mu.Lock()
		known := n.view.Addresses()
		interval := heartbeat.DefaultConfig().IntervalFor(len(known) + 1)
		n.mu.Unlock()
		slices.Sort(known)
		n.fleet.mu.Lock()
		n.fleet.rng.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		n.fleet.mu.Unlock()
		n.send(known[:min(len(known), max(15, int(2*math.Sqrt(float64(len(known))))))], i < 5 || i%20 == 0)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// followVersions calls onConfigured with each new version of the configuration.
func (n *startNode) followVersions(ctx context.Context) {
	last := int64(0)
	for ctx.Err() == nil {
		if v, _ := n.Versions(); v != last {
			last = v
			n.fleet.mu.Lock()
			n.fleet.onConfigured(v, n.fleet.since())
			n.fleet.mu.Unlock()
		}
		pause.Sleep(ctx, 10*time.Millisecond)
	}
}

// send sends a report to other nodes.
func (n *startNode) send(to []string, names bool) {
	r := heartbeat.Report{Node: n.name, Incarnation: 1, Brief: true, ConfirmedAge: -1}
	catalogVersion, position := n.Versions()
	r.Catalog = catalogVersion
	r.SetPosition(position)
	if age, ok := n.ConfirmedAge(n.now()); ok && n.fleet.audits {
		r.ConfirmedAge = age.Milliseconds()
	}
	r.StoreUnreachable = n.StoreUnreachable()
	n.mu.Lock()
	n.sequence++
	r.Sequence += n.sequence
	if names {
		r.Nodes = n.view.LiveAddresses(time.Now(), 60)
	}
	n.mu.Unlock()
	for _, address := range to {
		if other := n.fleet.nodes[address]; !n.fleet.isolated(other.index) {
			time.AfterFunc(netDelay, func() { other.receive(r) })
		}
	}
}

func (n *startNode) receive(r heartbeat.Report) {
	n.mu.Lock()
	if !n.started {
		n.mu.Unlock()
		return
	}
	isNew := !n.view.HasReported(r.Node)
	n.view.Receive(r, time.Now())
	n.mu.Unlock()
	if isNew {
		n.send([]string{r.Node}, true)
	}
	n.HandlePeerVersions(r.Catalog, r.Position())
}

func (n *startNode) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *startNode) Ahead(catalog, revision int64) (node string, ok bool) {
	n.locked(func() { node, ok = n.view.Ahead(catalog, revision, time.Now(), n.rng) })
	return node, ok
}

func (n *startNode) WatcherRank(unreachable bool) (rank, heard int) {
	n.locked(func() { rank, heard = n.view.WatcherRank(unreachable, false, time.Now()) })
	return rank, heard
}

func (n *startNode) KnownRank() (rank, known, heard int) {
	n.locked(func() { rank, known, heard = n.view.KnownRank() })
	return rank, known, heard
}

func (n *startNode) Announce() {
	var to []string
	n.locked(func() { to = n.view.LiveAddresses(time.Now(), 8) })
	n.send(to, false)
}

func (n *startNode) AnnounceToAll(context.Context) {
	sent := make(map[string]bool)
	for {
		catalog, revision := n.Versions()
		var to []string
		n.locked(func() { to = n.view.Behind(catalog, revision, 12, sent, time.Now()) })
		if len(to) == 0 {
			return
		}
		for _, address := range to {
			sent[address] = true
		}
		n.send(to, false)
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *startNode) ConfirmedAt(position int64) (at time.Time) {
	if !n.fleet.audits {
		return time.Now()
	}
	n.locked(func() { at = n.view.ConfirmedAt(position) })
	return at
}

func (n *startNode) LaterConfirmedAt(position int64) (at time.Time) {
	if n.fleet.audits {
		n.locked(func() { at = n.view.LaterConfirmedAt(position, time.Now()) })
	}
	return at
}

func (n *startNode) Handle(_ string, f peer.Handler) { n.handler = f }
func (*startNode) LimitConcurrency(string, int)      {}

// Call copies from another node, which serves maxConcurrentCopies at once over one link.
func (n *startNode) Call(ctx context.Context, addr, _ string, params, result any) error {
	other := n.fleet.nodes[addr]
	time.Sleep(netDelay)
	busy := false
	var wait time.Duration
	other.locked(func() {
		if busy = other.serving >= maxConcurrentCopies; busy {
			return
		}
		other.serving++
		now := time.Now()
		if other.linkFree.Before(now) {
			other.linkFree = now
		}
		other.linkFree = other.linkFree.Add(replyTime)
		wait = other.linkFree.Sub(now)
	})
	if busy {
		time.Sleep(netDelay)
		return peer.ErrBusy
	}
	time.Sleep(wait)
	other.locked(func() { other.serving-- })
	raw, _ := json.Marshal(params)
	reply, err := other.handler(ctx, raw)
	if err != nil {
		return err
	}
	time.Sleep(netDelay)
	got := reply.(CopyReply)
	n.fleet.mu.Lock()
	n.fleet.copies++
	n.fleet.bytes += len(got.Packed)
	n.fleet.mu.Unlock()
	*result.(*CopyReply) = got
	return ctx.Err()
}

// call makes one call to the store.
func (n *startNode) call(ctx context.Context) error {
	f := n.fleet
	at := f.since()
	f.mu.Lock()
	f.calls = append(f.calls, at)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !f.answers(n.index, at) {
		<-ctx.Done()
		return errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.delay):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered < 0 {
		f.answered = f.since() - netDelay
	}
	return nil
}

// storeAt returns the store's position and the version of the configuration in it. After a restore it is 80
// revisions lower, and a new configuration is written restoreWrite later.
func (f *startFleet) storeAt(at time.Duration) (position, version int64) {
	switch {
	case f.restored == 0:
		return int64(f.targets) + 7, 1
	case at < f.restored:
		return store.Position(1, int64(f.targets)+90), 1
	case at < f.restored+restoreWrite:
		return store.Position(2, int64(f.targets)+10), 1
	}
	return store.Position(2, int64(f.targets)+11), 2
}

// restoreWrite is the time between a restore and the next configuration.
const restoreWrite = 50 * time.Millisecond

func (n *startNode) Revision(ctx context.Context) (int64, error) {
	err := n.call(ctx)
	position, _ := n.fleet.storeAt(n.fleet.since())
	return position, err
}

func (n *startNode) List(ctx context.Context, _ string, next func(context.Context, int64) error) (store.ListResult, error) {
	position, version := n.fleet.storeAt(n.fleet.since())
	out := store.ListResult{Revision: position}
	for page := range n.fleet.pages {
		if page > 0 {
			if err := next(ctx, out.Revision); err != nil {
				return out, err
			}
		}
		if err := n.call(ctx); err != nil {
			return out, err
		}
	}
	era := store.EraOf(position)
	out.KVs = []store.KV{{Key: "config", Value: []byte(fmt.Sprint(version)), ModRevision: store.Position(era, version)}}
	for i := range n.fleet.targets {
		out.KVs = append(out.KVs, store.KV{
			Key: fmt.Sprint("t/", i), Value: []byte(typicalValue(i)), ModRevision: store.Position(era, int64(i+3)),
		})
	}
	return out, nil
}

// Watch delivers the changes of a restored store, and ends at a restore.
func (n *startNode) Watch(ctx context.Context, _ string, from int64) (<-chan store.WatchBatch, error) {
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		f := n.fleet
		var b store.WatchBatch
		switch newest, version := f.storeAt(f.restored + restoreWrite); {
		case f.restored == 0 || f.watchesHang && store.EraOf(from) < store.EraOf(newest):
			<-ctx.Done()
			return
		case store.EraOf(from) < store.EraOf(newest):
			pause.Sleep(ctx, f.restored-f.since())
			b.Err = store.ErrRestored
		case from <= newest:
			pause.Sleep(ctx, f.restored+restoreWrite-f.since())
			change := store.KV{Key: "config", Value: []byte(fmt.Sprint(version)), ModRevision: newest}
			b.Events, b.Revision = []store.Event{{KV: change}}, newest
		default:
			<-ctx.Done()
			return
		}
		_ = n.call(ctx)
		select {
		case out <- b:
		case <-ctx.Done():
		}
		<-ctx.Done()
	}()
	return out, nil
}

func (*startNode) Put(context.Context, string, []byte) error { return nil }

// readyAfter returns when half of the nodes and all of them were ready, from the given time on.
func (f *startFleet) readyAfter(t *testing.T, from time.Duration) (half, all time.Duration) {
	t.Helper()
	var times []time.Duration
	for _, n := range f.all {
		if n.ready < 0 {
			t.Errorf("node %d is not ready", n.index)
		}
		times = append(times, n.ready-from)
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], times[len(times)-1]
}

// callsWithin returns the number of calls to the store that began from the first to the second time.
func (f *startFleet) callsWithin(from, to time.Duration) int {
	n := 0
	for _, at := range f.calls {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
