package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// ServiceID is the name of the Replica in the kernel.
const ServiceID kernel.ID = "replica.copy"

const (
	// checkInterval is the time between two checks of other nodes' versions and of targets
	// whose grace period has ended.
	checkInterval = 200 * time.Millisecond
)

// Source is the part of the platform's store that a replica uses.
type Source interface {
	// Revision returns the store's newest revision.
	Revision(ctx context.Context) (int64, error)
	// List reads all keys under prefix. Before each page but the first it calls next with the
	// revision of the first page; an error from next ends the list, and what was read so far is
	// returned with that error.
	List(ctx context.Context, prefix string, next func(ctx context.Context, revision int64) error) (store.ListResult, error)
	Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error)
	// Put writes a key unconditionally.
	Put(ctx context.Context, key string, value []byte) error
}

// Peers provides the versions that other nodes have.
type Peers interface {
	// Ahead returns a live node whose versions are newer than those given.
	Ahead(catalog, revision int64) (node string, ok bool)
	// ConfirmedAt returns when a node at the given revision last confirmed that it is the store's
	// newest; zero for never.
	ConfirmedAt(revision int64) time.Time
	// LaterConfirmedAt returns when a live node at a later revision last confirmed that its
	// revision is the store's newest; zero for never.
	LaterConfirmedAt(revision int64) time.Time
	// WatcherRank returns how many live nodes precede this one in the order of watchers; nodes that
	// can't reach the store come last. discovered is the number of other nodes from which
	// heartbeats were received.
	WatcherRank(storeUnreachable bool) (rank, discovered int)
	// KnownRank returns how many known nodes precede this one in a fixed order, live or not, how
	// many other nodes are known, and from how many of these heartbeats were received.
	KnownRank() (rank, known, heard int)
	// Announce sends this node's versions to some other nodes at once.
	Announce()
	// AnnounceToAll sends this node's versions to all known nodes that aren't known to have them.
	// It returns when the last one is sent or ctx ends.
	AnnounceToAll(ctx context.Context)
}

// Network carries calls between nodes.
type Network interface {
	Handle(method string, f peer.Handler)
	// LimitConcurrency bounds the concurrently served calls of a method.
	LimitConcurrency(method string, limit int)
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Replica holds a node's copy of the configuration and the targets and keeps it up to date.
type Replica struct {
	store   Source
	schema  Schema
	peers   Peers
	network Network
	log     *log.Logger
	now     func() time.Time
	metrics *metrics

	catalog atomic.Pointer[catalog.Catalog]
	// targets is the number of targets without the withdrawn ones.
	targets atomic.Int64

	mu               sync.Mutex
	state            *copyState
	behindSince      time.Time
	storeUnreachable bool
	answers          answers
	// copyDue is the earliest time of the next copy, copyFailures the number of copies that
	// failed while this node had no configuration; only the goroutine of check uses them.
	copyDue      time.Time
	copyFailures int
	// confirmed is when the copy was last confirmed to be as new as the store.
	confirmed   time.Time
	nextAuditAt time.Time
	// behindStoreSince is when an audit found that the store is at storeRevision and the copy
	// behind it; zero if the copy isn't known to be behind.
	behindStoreSince time.Time
	storeRevision    int64
	// behindRevision is the revision of the copy at behindStoreSince.
	behindRevision int64
	// stale means that the copy lacks changes which the watch did not deliver.
	stale bool
	// listStarted is when the current list of the store began.
	listStarted time.Time
	// mustList means that a list of the store can't be replaced by another node's copy.
	mustList bool
	// lastListed is when the store was last listed completely.
	lastListed time.Time
	// publishedDomains are the evacuated failure domains that were published last.
	publishedDomains map[string]bool
	rng              *rand.Rand
	// informed means that another node has told what it knows better than the store, asking that one is being asked,
	// and questions is how many were asked, the last one at lastQuestion.
	informed, asking bool
	questions        int
	lastQuestion     time.Time
	// cancelWatch ends the current watch.
	cancelWatch context.CancelFunc
	onTargets   []func([]roster.TargetChange)
	// watching means that this node watches the store; wakeup wakes follow when that changes or
	// a list is due.
	watching  bool
	rank      int
	startedAt time.Time
	// startReadsBegun is the number of reads of the store before its first answer, pagedReads the
	// number of those in progress that have received their first page.
	startReadsBegun, pagedReads int
	// announceToAll means that the next announcement goes to all nodes.
	announceToAll  bool
	onNote         [notes][]func([]byte, NoteState)
	notesDelivered bool
	logLimiter     logLimiter

	// initialized is closed by initOnce when the first configuration is in force.
	initialized chan struct{}
	initOnce    sync.Once
	wakeup      chan struct{}
	announce    chan struct{}
	checkNow    chan struct{}
}

// New returns an empty replica.
func New(st Source, s Schema, p Peers, n Network, l *log.Logger, reg prometheus.Registerer) *Replica {
	r := &Replica{
		store: st, schema: s, peers: p, network: n, log: l, now: time.Now, metrics: newMetrics(reg),
		rng:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		initialized: make(chan struct{}),
		wakeup:      make(chan struct{}, 1), announce: make(chan struct{}, 1), checkNow: make(chan struct{}, 1),
	}
	r.state = newCopyState(s, r.reportInvalidValue, r.reportUnusableEntry)
	r.state.onRestored = r.recordRestoration
	n.Handle(copyMethod, r.serveCopy)
	n.LimitConcurrency(copyMethod, maxConcurrentCopies)
	return r
}

// ID implements kernel.Service.
func (r *Replica) ID() kernel.ID { return ServiceID }

// Catalog returns the configuration in force, or nil before the first one.
func (r *Replica) Catalog() *catalog.Catalog { return r.catalog.Load() }

// OnTargets registers f to be called with each change of the targets. It must be called before
// Start; f must not call the replica.
func (r *Replica) OnTargets(f func([]roster.TargetChange)) { r.onTargets = append(r.onTargets, f) }

// Versions returns the version of the configuration and the revision of the targets, 0 for
// none. The revision is 0 until the first copy is complete, since a partial copy must not be
// passed on.
func (r *Replica) Versions() (catalogVersion, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	catalogVersion, revision = r.versions()
	if r.state.incomplete {
		revision = 0
	}
	return catalogVersion, revision
}

func (r *Replica) versions() (catalogVersion, revision int64) {
	if r.state.catalog != nil {
		catalogVersion = r.state.catalog.Version()
	}
	return catalogVersion, r.state.revision
}

// Ready reports whether the node has a configuration and a complete, non-empty copy of the
// targets.
func (r *Replica) Ready() bool {
	return r.Catalog() != nil && r.targets.Load() > 0 && !r.isIncomplete()
}

// isIncomplete reports whether the node holds only parts of its first copy.
func (r *Replica) isIncomplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.incomplete
}

// Start implements kernel.Starter.
func (r *Replica) Start(ctx context.Context) error {
	r.mu.Lock()
	r.startedAt = r.now()
	r.mu.Unlock()
	go r.follow(ctx)
	go r.check(ctx)
	return nil
}

func (r *Replica) reportInvalidValue(key string, revision int64, err error) {
	r.metrics.invalid.Inc()
	r.log.Error("value in the store is unusable; the last good one stays in force",
		"key", key, "revision", store.RevisionOf(revision), "err", err)
}

// applyList replaces the copy by a complete list of the store.
func (r *Replica) applyList(p store.ListResult) {
	entries := make([]Entry, 0, len(p.KVs))
	for _, kv := range p.KVs {
		entries = append(entries, entryOf(kv))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Revision < r.state.revision {
		r.log.Info("list is older than the copy and is ignored", "era", store.EraOf(p.Revision), "revision", store.RevisionOf(p.Revision),
			"own_era", store.EraOf(r.state.revision), "own_revision", store.RevisionOf(r.state.revision))
	}
	if store.EraOf(p.Revision) >= store.EraOf(r.state.revision) {
		r.confirmed = r.now()
	}
	r.deliverNotes(p, AtStart)
	r.lastListed, r.mustList = r.now(), false
	all := CopyReply{Entries: entries, Revision: p.Revision, Whole: true, Evacuations: true}
	r.publish(r.state.replaceAll(all, r.now()), sourceStore)
}

// applyBatch applies a batch of events from a watch. It returns store.ErrRestored if the batch is of a later era
// than the copy.
func (r *Replica) applyBatch(b store.WatchBatch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.isRestored(b.Revision) {
		return store.ErrRestored
	}
	var all changes
	outdated := store.EraOf(b.Revision) < store.EraOf(r.state.revision)
	for _, ev := range b.Events {
		all.add(r.state.applyChange(changeOf(ev), r.now()))
		if !ev.Deleted && !outdated {
			r.deliverNoteChange(ev.KV)
		}
	}
	advanced := b.Revision > r.state.revision
	r.state.advance(b.Revision)
	if !outdated {
		r.confirmed = r.now()
	}
	r.publish(all, sourceStore)
	if advanced {
		// Revisions without changes to this copy are announced as well. Otherwise nodes that
		// audit the store would take their copies for outdated.
		r.requestAnnounce()
	}
	return nil
}

// recordRestoration logs that the copy was replaced by a list of a restored store, and tells what the nodes keep
// in the store that it may be gone. What was confirmed was so in the earlier era. Callers must hold r.mu.
func (r *Replica) recordRestoration(d restoration) {
	r.metrics.restorations.Inc()
	r.log.Warn("the store returned from a copy", "era_before", store.EraOf(d.before), "era", store.EraOf(d.after),
		"revision_before", store.RevisionOf(d.before), "revision", store.RevisionOf(d.after),
		"targets_lacked", d.lacked, "entries_older", d.older, "held", d.held)
	r.requestAnnounce()
	for n := range notes {
		for _, f := range r.onNote[n] {
			f(nil, Restored)
		}
	}
}

// publish makes changes visible to readers and other nodes. Callers must hold r.mu.
func (r *Replica) publish(ch changes, source string) {
	if ch.catalog {
		r.publishCatalog(source)
	}
	if ch.evacuations {
		r.publishEvacuations(source)
	}
	if ch.targets {
		r.publishTargets(source)
	}
	if r.state.catalog != nil {
		r.initOnce.Do(func() {
			r.recordStart(source)
			close(r.initialized)
		})
	}
}

// Initialized returns a channel that is closed when the first configuration and the data that came
// with it are in force.
func (r *Replica) Initialized() <-chan struct{} { return r.initialized }

// publishEvacuations publishes the evacuated failure domains. Callers must hold r.mu.
func (r *Replica) publishEvacuations(source string) {
	now := r.state.evacuatedDomains()
	for domain := range now {
		if !r.publishedDomains[domain] {
			r.logEvacuation("failure domain evacuated", domain, source)
		}
	}
	for domain := range r.publishedDomains {
		if !now[domain] {
			r.logEvacuation("failure domain taken back", domain, source)
		}
	}
	r.publishedDomains = now
	r.metrics.evacuated.Set(float64(len(now)))
	r.metrics.changes.WithLabelValues("evacuations", source).Inc()
	r.requestAnnounce()
}

// logEvacuation logs a change with the domain's number of targets: a domain without targets may
// be a misspelt name. Callers must hold r.mu.
func (r *Replica) logEvacuation(msg, domain, source string) {
	r.log.Info(msg, "failure_domain", domain, "targets", r.state.registry.CountInDomain(domain),
		"revision", store.RevisionOf(r.state.revision), "source", source)
}

// publishCatalog publishes the configuration. Callers must hold r.mu.
func (r *Replica) publishCatalog(source string) {
	c := r.state.catalog
	r.catalog.Store(c)
	r.metrics.changes.WithLabelValues("catalog", source).Inc()
	r.requestAnnounce()
	routes, services := c.Counts()
	r.log.Info("configuration in force", "version", c.Version(), "revision", store.RevisionOf(r.state.catalogEntry.Revision),
		"era", store.EraOf(r.state.catalogEntry.Revision),
		"source", source, "routes", routes, "services", services)
}

// publishTargets publishes the targets. Callers must hold r.mu.
func (r *Replica) publishTargets(source string) {
	changed := r.state.registry.TakeChanges()
	count := r.state.registry.Count()
	r.logTargets(changed, source)
	r.targets.Store(int64(count))
	r.metrics.changes.WithLabelValues("targets", source).Inc()
	r.requestAnnounce()
	r.log.Info("targets in force", "revision", store.RevisionOf(r.state.revision), "source", source, "count", count)
	for _, f := range r.onTargets {
		f(changed)
	}
}

// Up to maxTargetLines changes published together are logged on a line each. More are logged on
// one line for each kind of change, with the first sampleSize targets.
const (
	maxTargetLines = 8
	sampleSize     = 3
)

// logTargets logs changes of targets. Callers must hold r.mu.
func (r *Replica) logTargets(changed []roster.TargetChange, source string) {
	if len(changed) <= maxTargetLines {
		for _, d := range changed {
			r.log.Info("target changed", "target", d.Target.ID, "service", d.Target.Service, "addr", d.Target.Addr,
				"change", d.Change, "version", d.Target.Version, "revision", store.RevisionOf(r.state.revision), "source", source)
		}
		return
	}
	kinds := make(map[roster.Change][]string)
	for _, d := range changed {
		kinds[d.Change] = append(kinds[d.Change], d.Target.ID)
	}
	for change, ids := range kinds {
		r.log.Info("targets changed", "change", change, "count", len(ids), "first", ids[:min(len(ids), sampleSize)],
			"revision", store.RevisionOf(r.state.revision), "source", source)
	}
}

// requestAnnounce makes check announce this node's versions to other nodes. The announcement
// reads the replica's versions under r.mu, which the caller holds, so it runs on another
// goroutine.
func (r *Replica) requestAnnounce() {
	select {
	case r.announce <- struct{}{}:
	default:
	}
}

// check copies from nodes that are ahead, expires targets whose grace period has ended, updates
// the watcher role and starts audits.
func (r *Replica) check(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.announce:
			r.announceVersions(ctx)
			continue
		case <-r.checkNow:
		case <-due:
		case <-tick.C:
			r.expire()
			r.updateWatcherRole()
			if r.auditDue() {
				go r.audit(ctx)
			}
		}
		if node, due := r.questionDue(); due {
			go r.ask(ctx, node)
		}
		if wait := r.catchUp(ctx); wait > 0 {
			due = time.After(wait)
		}
	}
}

// HandlePeerVersions handles the versions that another node reports. If that node is ahead, or the first to be asked
// what it knows, check looks at once whether to call it.
func (r *Replica) HandlePeerVersions(catalogVersion, revision int64) {
	r.mu.Lock()
	ownCatalog, ownRevision := r.versions()
	ask := r.questions == 0 && r.isQuestionDue(r.now())
	r.mu.Unlock()
	if !ask && catalogVersion <= ownCatalog && revision <= ownRevision {
		return
	}
	r.triggerCheck()
}

func (r *Replica) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutage()
	r.publish(r.state.releaseHolds(r.now()), sourceGrace)
	if r.state.registry.Expire(r.now()) {
		r.publishTargets(sourceGrace)
	}
}
