package router

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/overload"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/rejectlimit"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/upstream"
	"github.com/knapweedgw/knapweedgw/warmup"
)

const (
	// idlePerTarget is the maximum number of idle connections to one target: more than a node
	// ever uses there at once, except in load surges.
	idlePerTarget = 32
	// idleTimeout is how long an idle connection is kept. Targets close idle connections too,
	// and for a request sent while the target closes the connection it is unknown whether it
	// was run. The timeout is therefore well below the shortest one that targets announce.
	idleTimeout = 3 * time.Second
	// DialTimeout is how long a target's VM may take to accept a connection: many round trips within
	// a region. Another target, or another path, may do better.
	DialTimeout = 400 * time.Millisecond
	// UnackedTimeout is how long a target's VM may be silent on an open connection, since healthy
	// targets are silent for 1.5 s at times. Keep-alive probes detect a silence up to
	// KeepAliveIdle after it has begun.
	UnackedTimeout = 1500*time.Millisecond + KeepAliveIdle + KeepAliveInterval
	// KeepAliveIdle and KeepAliveInterval are the times until the first keep-alive probe and between
	// two.
	KeepAliveIdle     = 700 * time.Millisecond
	KeepAliveInterval = 300 * time.Millisecond
	// maxUsesPerReport is the maximum number of uses of parts in one report, about 10 bytes
	// each.
	maxUsesPerReport = 100
	// reportSlack is how much later than one interval after the last report the next may be
	// sent.
	reportSlack = 50 * time.Millisecond
	// reportedLoadTTL is how long a target's own report of its load is used: as long as the
	// counts of the other nodes in a fleet of 70, with which it is compared.
	reportedLoadTTL = time.Second
	// unreachableQuorum is the number of other nodes that must report a target as unreachable
	// for this node to suspend it: a single node may itself be partitioned.
	unreachableQuorum = 2
)

// keepAlive detects a target whose network fails while it has nothing to send. On Linux, probes give up
// after UnackedTimeout, whatever their count, since that option (TCP_USER_TIMEOUT) is set too; the count
// gives the same time elsewhere.
var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval,
	Count: int((UnackedTimeout - KeepAliveIdle) / KeepAliveInterval),
}

// Fleet provides what the other nodes report about targets.
type Fleet interface {
	Targets(hashes []uint64, f func(i int, s heartbeat.Sum))
	LiveNodes() int
	// KnownNodes is the number of nodes that exist or existed recently.
	KnownNodes() int
	// LimitShares is among how many nodes a fleet-wide limit is divided, 0 if this node gets no part.
	LimitShares() int
	// Interval is the time between two reports of a node.
	Interval() time.Duration
	// CountAge is the maximum age of the other nodes' counts.
	CountAge() time.Duration
	// FleetSize is the number of nodes, this one included, that are live or were in the last
	// minute.
	FleetSize() int
	// Position is this node's position, from 0, in an order of all nodes for key on which they
	// agree, and the number of nodes.
	Position(key uint64) (position, nodes int)
}

// member is one run of a target, from one start to the next, with this node's connections to it
// and its state there.
type member struct {
	target *roster.Target
	// dialTarget opens the connections.
	dialTarget upstream.DialFunc
	// connections are opened with the first request, since most nodes send nothing to most
	// targets of a large fleet. The client is set once, by the method client.
	connections atomic.Pointer[upstream.Client]
	// The remaining fields are guarded by the pool's lock.
	// service are the members of the service that it belongs to, nil if it may not be picked;
	// listIndex is its index in their list.
	service   *serviceMembers
	listIndex int
	// generation identifies the decision that evaluated the member last, index its index there.
	generation uint64
	index      int
	running    int
	state      health.State
	// answeredAt is when the target last answered this node. trials counts the trials since it became
	// unreachable; checking means that a connection is being opened to see whether it is.
	answeredAt time.Time
	trials     int
	checking   bool
	// reported is the load that the target itself reported at reportedAt.
	reported   int
	reportedAt time.Time
	gone       bool
	// notices is the state announced by the target itself, nil for none.
	notices *notice.State
	// warmUp limits what this node sends to a cold target; nil for warm ones.
	warmUp *warmup.RateShare
	// share is this node's use of the target while a rejection limit is in force, and quota its
	// number of the target's slots then.
	share rejectlimit.Share
	quota quota
	// suspects are the requests whose connection the target closed since it last accepted one,
	// oldest first. probe is the one in progress, nil if there is none.
	suspects []quarantine.Suspect
	probe    *probe
}

// pool holds the members of all services.
type pool struct {
	fleet        Fleet
	guard        *quarantine.Guard
	healthConfig health.Config
	domain       string
	log          *log.Logger
	now          func() time.Time
	// dialTarget opens connections for requests, dial one that only shows whether a target can be
	// reached.
	dialTarget upstream.DialFunc
	dial       func(addr string) error
	paths      Paths
	// self identifies this node when the nodes' sending times to cold targets are derived.
	self uint64
	// regionOf maps each failure domain to its region.
	regionOf map[string]string
	// warmUpOf returns the limits for cold targets of a service, trafficOf its routes.
	warmUpOf  func(service string) warmup.Limit
	trafficOf func(service string) catalog.Traffic

	mu      sync.Mutex
	members map[string]*member
	// addresses counts the members with each address.
	addresses map[string]int
	// byRun maps the hash of a run to its member.
	byRun      map[uint32]*member
	services   map[string]*serviceMembers
	candidates candidateSet
	scratch    scratch
	// fullScanLimit is the largest number of members of a service that is evaluated completely.
	fullScanLimit int
	rng           *rand.Rand
	parts         *affinity.Table
	gates         map[string]*overload.Gate // by service
	// notices holds the targets' notices, including those of runs that are not members now.
	notices *notice.Book
	// pending are the uses to report to the other nodes, oldest first.
	pending []pendingUse
	// limits holds, by service, the rejection limits that targets have announced to this node.
	limits map[string]*rejectlimit.Announcement
}

// pendingUse is a use of a part, the record that a target was sent it, that is included in this
// node's reports until each other node has received one.
type pendingUse struct {
	use affinity.Use
	at  time.Time
}

func newPool(f Fleet, g *quarantine.Guard, domain string, l *log.Logger) *pool {
	p := &pool{
		fleet: f, guard: g, healthConfig: health.DefaultConfig(),
		domain: domain, log: l, now: clock.Monotonic, dialTarget: NetworkDial(),
		members: make(map[string]*member), addresses: make(map[string]int), byRun: make(map[uint32]*member),
		services: make(map[string]*serviceMembers), fullScanLimit: maxFullScan,
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		parts: affinity.NewTable(affinity.DefaultConfig()),
		gates: make(map[string]*overload.Gate), notices: notice.NewBook(notice.DefaultRuns),
		limits: make(map[string]*rejectlimit.Announcement),

		warmUpOf:  func(string) warmup.Limit { return warmup.Limit{} },
		trafficOf: func(string) catalog.Traffic { return catalog.Traffic{} },
	}
	p.dial = p.dialOnce
	p.paths = ownPath{func(addr string) error { return p.dial(addr) }}
	return p
}

// NetworkDial returns the function that connects to targets over this node's own network path.
func NetworkDial() upstream.DialFunc {
	return upstream.NetworkDial(upstream.Config{DialTimeout: DialTimeout, UnackedTimeout: UnackedTimeout, KeepAlive: keepAlive})
}

// client returns the member's connections.
func (m *member) client() *upstream.Client {
	if c := m.connections.Load(); c != nil {
		return c
	}
	m.connections.CompareAndSwap(nil, upstream.New(upstream.Config{
		Dial: m.dialTarget, MaxIdle: idlePerTarget, IdleTimeout: idleTimeout,
	}))
	return m.connections.Load()
}

// closeIdle closes the member's connections that are not in use.
func (m *member) closeIdle() {
	if c := m.connections.Load(); c != nil {
		c.CloseIdle()
	}
}

// update applies changes of the targets.
func (p *pool) update(changed []roster.TargetChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range changed {
		if d.Change == roster.Gone {
			p.drop(d.Target)
		} else {
			p.put(d.Target)
		}
	}
}

// put adds or changes a target. The caller must hold p.mu.
func (p *pool) put(t *roster.Target) {
	m, ok := p.members[t.ID]
	if ok && (!m.target.Started.Equal(t.Started) || m.target.Version != t.Version) {
		// The state and connections of the earlier run are not valid for the new one.
		p.notices.Inherit(runOf(m.target), runOf(t), p.now())
		p.end(m)
		ok = false
	}
	if !ok {
		m = &member{notices: p.notices.State(runOf(t)), dialTarget: p.dialTarget}
		p.members[t.ID] = m
	}
	reportable := p.leaveService(m)
	if ok {
		p.countAddress(m.target.Addr, -1)
	}
	p.countAddress(t.Addr, 1)
	m.target = t
	p.byRun[uint32(t.RunHash())] = m
	if t.Withdrawn {
		return
	}
	p.serviceOf(t.Service).add(m)
	if reportable {
		m.markReportable()
	}
}

// drop removes a target. The caller must hold p.mu.
func (p *pool) drop(t *roster.Target) {
	if m, ok := p.members[t.ID]; ok {
		p.end(m)
		delete(p.members, t.ID)
	}
}

// end removes a run from the pool. Its requests in progress continue; after the last of them,
// release closes the connections. The caller must hold p.mu.
func (p *pool) end(m *member) {
	p.reportSuspects(m)
	p.leaveService(m)
	p.countAddress(m.target.Addr, -1)
	if run := uint32(m.target.RunHash()); p.byRun[run] == m {
		delete(p.byRun, run)
	}
	m.gone = true
	m.closeIdle()
}

// serviceOf returns the members of a service, creating them if necessary. The caller must hold
// p.mu.
func (p *pool) serviceOf(service string) *serviceMembers {
	s, ok := p.services[service]
	if !ok {
		s = newServiceMembers()
		s.limitHash = limitHash(service)
		p.services[service] = s
	}
	return s
}

// leaveService removes a member from its service and reports whether it was reportable. The
// caller must hold p.mu.
func (p *pool) leaveService(m *member) (reportable bool) {
	s := m.service
	if s == nil {
		return false
	}
	reportable = s.remove(m)
	if len(s.list) == 0 {
		delete(p.services, m.target.Service)
	}
	return reportable
}

// recordSentParts records that the target was sent the parts, and adds new uses to the pending
// ones. The caller must hold p.mu.
func (p *pool) recordSentParts(parts []affinity.Part, t *roster.Target, now time.Time) {
	run := uint32(t.RunHash())
	for _, part := range parts {
		if p.parts.RecordSent(part.Hash, run, now) && len(p.pending) < maxUsesPerReport {
			p.pending = append(p.pending, pendingUse{affinity.Use{Part: uint32(part.Hash), Target: run}, now})
		}
	}
}

// pendingUses returns the uses of the last report interval and drops older ones, which every
// node has received. The caller must hold p.mu.
func (p *pool) pendingUses(now time.Time) []affinity.Use {
	oldest := now.Add(-p.fleet.Interval() - reportSlack)
	p.pending = slices.DeleteFunc(p.pending, func(u pendingUse) bool { return u.at.Before(oldest) })
	out := make([]affinity.Use, len(p.pending))
	for i, u := range p.pending {
		out[i] = u.use
	}
	return out
}

// receiveReport records the uses of prompt parts that another node reported.
func (p *pool) receiveReport(r heartbeat.Report) { p.recordUses(r.Uses) }

func (p *pool) recordUses(uses []affinity.Use) {
	if len(uses) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, u := range uses {
		p.parts.RecordRemote(u, now)
	}
}

func (p *pool) recentUses() []affinity.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.Recent(p.now(), maxUsesPerNote)
}

// reportedLoad returns the load that the target itself reported, 0 if the report is older than
// reportedLoadTTL.
func (m *member) reportedLoad(now time.Time) int {
	if now.Sub(m.reportedAt) < reportedLoadTTL {
		return m.reported
	}
	return 0
}

// trial checks whether an unreachable target accepts connections again.
func (p *pool) trial(m *member, addr string) {
	p.mu.Lock()
	dial := p.paths.ProbeDirect
	if m.trials%(directTrials+1) == 0 {
		dial = p.dial
	}
	m.trials++
	p.mu.Unlock()
	if p.paths.MayBePartitioned() {
		dial = p.dial
	}
	err := dial(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if upstream.IsLocal(err) {
		p.log.Warn("trial not made: no file descriptor is free", "target", m.target.ID, "err", err)
		return
	}
	if err != nil {
		m.state.Observe(p.healthConfig, health.Unreachable, p.now())
		return
	}
	m.trials = 0
	m.state.RecordReachable()
	p.log.Info("target reachable again", "target", m.target.ID)
}

// dialOnce opens a connection to a target and closes it.
func (p *pool) dialOnce(addr string) error {
	conn, err := p.dialTarget(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// observe records the outcome of a request at a target.
func (p *pool) observe(m *member, o health.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.markReportable()
	if o == health.Answered {
		m.answeredAt = p.now()
	}
	if m.state.Observe(p.healthConfig, o, p.now()) {
		p.logUnreachable(m)
		m.closeIdle()
	}
}

// logUnreachable logs that this node cannot reach a target, with what distinguishes a target that is
// down from a node that lost its network path: what the other nodes report about the target, and how
// many of its service's targets this node cannot reach. The caller must hold p.mu.
func (p *pool) logUnreachable(m *member) {
	var others heartbeat.Sum
	p.fleet.Targets([]uint64{m.target.RunHash()}, func(_ int, s heartbeat.Sum) { others = s })
	unreachable, targets := 0, 0
	if m.service != nil {
		unreachable, targets = m.service.unreachable(), len(m.service.list)
	}
	p.log.Warn("target unreachable", "target", m.target.ID, "others_answered", others.Counts.Answered,
		"others_unreachable", others.Unreachable, "counts_age_ms", p.fleet.CountAge().Milliseconds(),
		"unreachable", unreachable, "targets", targets)
}

// report records the load that a target reported in an answer.
func (p *pool) report(m *member, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.reported, m.reportedAt = running, p.now()
}

// serviceHash identifies a service in the list of targets of a report.
func serviceHash(service string) uint64 { return routing.Hash("service " + service) }

// fillReport adds the requests in progress and the outcomes at each target, and the sums of
// each service. Targets without requests in progress and without failures are omitted: they are
// the majority, and their outcomes are included in the sums.
//
// A node that may be partitioned reports no target as unreachable, since the others would suspend it.
func (p *pool) fillReport(r *heartbeat.Report, now time.Time) {
	partitioned := p.paths.MayBePartitioned()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Uses = p.pendingUses(now)
	r.Targets = append(r.Targets, p.limitReports(now)...)
	for service, s := range p.services {
		var sum health.Counts
		for m := range s.reportable {
			cold := m.arrivalsReport(now)
			r.Targets = append(r.Targets, cold...)
			c := m.state.Counts(p.healthConfig, now)
			sum = sum.Plus(c)
			unreachable := m.state.Unreachable() && !partitioned
			if m.running == 0 && c.Failed == 0 && !unreachable {
				if c == (health.Counts{}) && len(cold) == 0 {
					delete(s.reportable, m)
				}
				continue
			}
			r.Targets = append(r.Targets, heartbeat.TargetReport{
				Target: uint32(m.target.RunHash()), Running: uint16(m.running),
				Answered: uint16(c.Answered), Failed: uint16(c.Failed), Unreachable: unreachable,
			})
		}
		if sum != (health.Counts{}) {
			r.Targets = append(r.Targets, heartbeat.TargetReport{
				Target: uint32(serviceHash(service)), Answered: uint16(sum.Answered), Failed: uint16(sum.Failed),
			})
		}
	}
}
