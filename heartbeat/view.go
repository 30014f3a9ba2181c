// Package heartbeat is the gossip between the nodes of a fleet. By datagrams they exchange
// liveness, the versions of their configuration and list of targets, and their load on and
// observations of each target.
package heartbeat

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// peer is the state of another node.
type peer struct {
	report Report
	// heard is when the last message from it was received, listed when another node last listed
	// it as live, with listedLast taken from Member.Last.
	heard, listed time.Time
	listedLast    bool
	// addressSeen is when the address was last seen in any source: a message from it, a list of
	// nodes or the seeds.
	addressSeen time.Time
	// ended are the incarnations before that of report, newest first.
	ended []int64
	// watchOrder is its position in the order of watchers, key determines its group.
	watchOrder, key uint64
}

// maxEnded is the number of ended incarnations kept per node, so that a late datagram of one of
// them doesn't restore its counts.
const maxEnded = 4

// groupCounts is the sum of another group.
type groupCounts struct {
	counts []targetSum
	at     time.Time
}

// View is a node's view of the other nodes. It has no clock of its own: the caller passes the
// time. It is not safe for concurrent use.
//
// The nodes are divided into groups by a hash of their addresses. A node receives reports from
// each other node of its group and, for each other group, the sum from one of that group's
// nodes. Since all nodes agree on each node's group, none is counted twice. A small fleet is a
// single group.
type View struct {
	cfg  Config
	self string
	// groups is the number of groups, group the one of this node, determined by key.
	groups, group int
	key           uint64
	peers         map[string]*peer
	// sums covers all other nodes, ownGroup only those of this node's group.
	sums, ownGroup sums
	otherGroups    map[int]groupCounts
}

// NewView returns an empty view for the node self.
func NewView(cfg Config, self string) *View {
	return &View{
		cfg: cfg, self: self, groups: 1, key: groupKey(self), peers: make(map[string]*peer),
		sums: make(sums), ownGroup: make(sums), otherGroups: make(map[int]groupCounts),
	}
}

// AddNodes adds addresses at which nodes may be.
func (v *View) AddNodes(now time.Time, nodes ...string) {
	for _, n := range nodes {
		if n == v.self || n == "" {
			continue
		}
		p, ok := v.peers[n]
		if !ok {
			p = &peer{watchOrder: watchHash(n), key: groupKey(n)}
			v.peers[n] = p
		}
		p.addressSeen = now
	}
}

// Receive processes a report. It returns false if the report is not newer than the last one.
func (v *View) Receive(r Report, now time.Time) bool {
	if r.Node == v.self || r.Node == "" {
		return false
	}
	v.AddNodes(now, r.Node)
	p := v.peers[r.Node]
	if !p.isNewReport(r) {
		return false
	}
	if p.report.Incarnation != r.Incarnation && !p.heard.IsZero() {
		v.endIncarnation(p)
	}
	switch {
	case r.Brief:
		r.Targets, r.SharesStreams = p.report.Targets, p.report.SharesStreams
	case v.inOwnGroup(p):
		v.updateCounts(p.report.Targets, -1)
		v.updateCounts(r.Targets, 1)
	default:
		r.Targets = nil // they are included in the sum of its group
	}
	p.report, p.heard = r, now
	for _, n := range r.Nodes {
		if _, known := v.peers[n]; !known {
			v.AddNodes(now, n)
		}
	}
	return true
}

// endIncarnation drops the counts of a node's previous incarnation: its connections ended with
// the process.
func (v *View) endIncarnation(p *peer) {
	v.updateCounts(p.report.Targets, -1)
	p.report.Targets, p.report.SharesStreams = nil, false
	p.ended = slices.Insert(p.ended, 0, p.report.Incarnation)
	p.ended = p.ended[:min(len(p.ended), maxEnded)]
}

// isNewReport reports whether r is newer than the last report.
func (p *peer) isNewReport(r Report) bool {
	if p.report.Incarnation == r.Incarnation {
		return r.Sequence > p.report.Sequence
	}
	return !slices.Contains(p.ended, r.Incarnation)
}

// updateCounts adds (sign 1) or subtracts (sign -1) the report of a node of this node's group.
func (v *View) updateCounts(targets []TargetReport, sign int) {
	v.ownGroup.addReports(targets, sign)
	v.sums.addReports(targets, sign)
}

// takesStreams reports whether a node of this node's group takes records of streams.
func (v *View) takesStreams(node string) bool {
	p, ok := v.peers[node]
	return ok && v.inOwnGroup(p) && p.report.SharesStreams
}

func (v *View) inOwnGroup(p *peer) bool { return groupOf(p.key, v.groups) == v.group }

// Regroup divides the nodes into another number of groups. Counts of other groups are dropped;
// they arrive again within an interval or two.
func (v *View) Regroup(groups int) {
	v.groups, v.group = groups, groupOf(v.key, groups)
	clear(v.sums)
	clear(v.ownGroup)
	clear(v.otherGroups)
	for _, p := range v.peers {
		if !v.inOwnGroup(p) {
			p.report.Targets = nil
		}
		v.updateCounts(p.report.Targets, 1)
	}
}

// receiveSum replaces the sum of another group.
func (v *View) receiveSum(group int, counts []targetSum, now time.Time) {
	v.dropSum(group)
	v.otherGroups[group] = groupCounts{counts: counts, at: now}
	v.sums.addCounts(counts, 1)
}

func (v *View) dropSum(group int) {
	v.sums.addCounts(v.otherGroups[group].counts, -1)
	delete(v.otherGroups, group)
}

// receiveMembers records the live nodes of a group as listed by one of its nodes.
func (v *View) receiveMembers(members []Member, now time.Time) {
	for _, m := range members {
		node := unpackAddress(m.Address)
		if node == v.self || node == "" {
			continue
		}
		v.AddNodes(now, node)
		p := v.peers[node]
		p.listed, p.listedLast = now, m.Last
	}
}

// members returns the live nodes of this node's group from which it gets reports itself.
func (v *View) members(now time.Time) []Member {
	var out []Member
	lost := v.cfg.lostTimeout(v.interval())
	for n, p := range v.peers {
		if v.inOwnGroup(p) && p.heardWithin(lost, now) {
			out = append(out, Member{Address: packAddress(n), Last: p.watchesLast()})
		}
	}
	return out
}

// countedNodes returns the number of other nodes of this node's group whose counts are current.
func (v *View) countedNodes(now time.Time) int {
	n := 0
	fresh := v.cfg.countTTL(v.interval())
	for _, p := range v.peers {
		if v.inOwnGroup(p) && p.heardWithin(fresh, now) {
			n++
		}
	}
	return n
}

// HasReported reports whether a report of the node was ever received.
func (v *View) HasReported(node string) bool {
	p, ok := v.peers[node]
	return ok && !p.heard.IsZero()
}

// Expire drops the counts of nodes and groups that have fallen silent, and the addresses of
// nodes that were lost long ago.
func (v *View) Expire(now time.Time) {
	fresh := v.cfg.countTTL(v.interval())
	for addr, p := range v.peers {
		if !p.heardWithin(fresh, now) && p.report.Targets != nil {
			v.updateCounts(p.report.Targets, -1)
			p.report.Targets = nil
		}
		if now.Sub(p.addressSeen) > v.cfg.AddressTTL {
			delete(v.peers, addr)
		}
	}
	sumFresh := v.cfg.sumTTL(v.interval())
	for group, c := range v.otherGroups {
		if now.Sub(c.at) > sumFresh {
			v.dropSum(group)
		}
	}
}

// Target returns the sum of the other nodes' reports about the target incarnation with the
// given hash.
func (v *View) Target(hash uint64) Sum { return v.sums[uint32(hash)] }

// LiveNodes returns the number of live nodes, including this one.
func (v *View) LiveNodes(now time.Time) int {
	n := 1
	v.live(now, func(string, *peer) { n++ })
	return n
}

// size returns the number of known nodes, including this one. Recently lost nodes are included,
// so that a set of nodes that leaves and returns has little effect.
func (v *View) size() int { return len(v.peers) + 1 }

// interval returns the time between two messages to the same node.
func (v *View) interval() time.Duration { return v.cfg.IntervalFor(v.size()) }

// listedTTLFactor is how many times longer a node counts as live after another node listed it
// than after a message of its own: lists come with every other sum only, and one may be lost.
const listedTTLFactor = 2

// live reports whether a message from the node came within lost, or another node listed it as
// live within listedTTLFactor times lost.
func (p *peer) live(lost time.Duration, now time.Time) bool {
	return p.heardWithin(lost, now) || !p.listed.IsZero() && now.Sub(p.listed) <= listedTTLFactor*lost
}

func (p *peer) heardWithin(d time.Duration, now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= d
}

// watchesLast reports whether the node comes last in the order of watchers.
func (p *peer) watchesLast() bool {
	if p.listed.After(p.heard) {
		return p.listedLast
	}
	return p.report.StoreUnreachable || p.report.Leaving
}

// isLive reports whether the node is live.
func (v *View) isLive(node string, now time.Time) bool {
	p, ok := v.peers[node]
	return ok && p.live(v.cfg.lostTimeout(v.interval()), now)
}

// live calls f for each live node.
func (v *View) live(now time.Time, f func(node string, p *peer)) {
	lost := v.cfg.lostTimeout(v.interval())
	for n, p := range v.peers {
		if p.live(lost, now) {
			f(n, p)
		}
	}
}

// Addresses returns the addresses of all known nodes, including recently lost ones.
func (v *View) Addresses() []string {
	out := make([]string, 0, len(v.peers))
	for addr := range v.peers {
		out = append(out, addr)
	}
	return out
}

// LiveAddresses returns up to limit addresses of live nodes.
func (v *View) LiveAddresses(now time.Time, limit int) []string {
	var out []string
	v.live(now, func(node string, _ *peer) {
		if len(out) < limit {
			out = append(out, node)
		}
	})
	return out
}

// Behind returns up to limit known nodes that aren't known to have the given versions, live ones
// first, without those in skip.
func (v *View) Behind(catalog, position int64, limit int, skip map[string]bool, now time.Time) []string {
	var live, others []string
	lost := v.cfg.lostTimeout(v.interval())
	for node, p := range v.peers {
		switch {
		case skip[node], p.report.Catalog >= catalog && p.report.Position() >= position:
		case p.live(lost, now):
			live = append(live, node)
		default:
			others = append(others, node)
		}
	}
	all := append(live, others...)
	return all[:min(limit, len(all))]
}

// Ahead returns a live node with a newer configuration than catalog or newer targets than
// those at position; ok is false if there is none. It picks the newer of two random ones: if all nodes
// that are behind asked the newest node, that node would have to serve them all.
func (v *View) Ahead(catalog, position int64, now time.Time, rng *rand.Rand) (node string, ok bool) {
	var picked [2]string
	var reports [2]Report
	ahead := 0
	v.live(now, func(addr string, p *peer) {
		r := p.report
		if r.Catalog <= catalog && r.Position() <= position {
			return
		}
		ahead++
		at := ahead - 1
		if ahead > len(picked) {
			at = rng.IntN(ahead)
		}
		if at < len(picked) {
			picked[at], reports[at] = addr, r
		}
	})
	if ahead > 1 && reports[1].isNewer(reports[0]) {
		return picked[1], true
	}
	return picked[0], ahead > 0
}

// isNewer reports whether the sender of r has a newer copy of the store than the sender of o.
func (r Report) isNewer(o Report) bool {
	return r.Catalog > o.Catalog || r.Catalog == o.Catalog && r.Position() > o.Position()
}

// ConfirmedAt returns when a node at the given position last confirmed that it is the store's
// newest. It is zero if none has.
func (v *View) ConfirmedAt(position int64) time.Time {
	var newest time.Time
	for _, p := range v.peers {
		if p.report.Position() != position {
			continue
		}
		if at, ok := p.confirmedAt(); ok && at.After(newest) {
			newest = at
		}
	}
	return newest
}

// LaterConfirmedAt returns when a live node at a later position than the given one last
// confirmed that its position is the store's newest. It is zero if none has.
func (v *View) LaterConfirmedAt(position int64, now time.Time) time.Time {
	var newest time.Time
	v.live(now, func(_ string, p *peer) {
		if p.report.Position() <= position {
			return
		}
		if at, ok := p.confirmedAt(); ok && at.After(newest) {
			newest = at
		}
	})
	return newest
}

// confirmedAt returns when the node last confirmed that its revision is the store's newest; ok
// is false if it never has.
func (p *peer) confirmedAt() (at time.Time, ok bool) {
	if p.heard.IsZero() || p.report.ConfirmedAge < 0 {
		return time.Time{}, false
	}
	return p.heard.Add(-time.Duration(p.report.ConfirmedAge) * time.Millisecond), true
}

// WatcherRank returns the number of live nodes that precede this one in an order on which all nodes
// agree: nodes that reach the store and are not leaving come first, and within both classes
// nodes are ordered by hash. heard is the number of other live nodes.
func (v *View) WatcherRank(storeUnreachable, leaving bool, now time.Time) (rank, heard int) {
	own := watchOrder{storeUnreachable || leaving, watchHash(v.self)}
	v.live(now, func(_ string, p *peer) {
		heard++
		if (watchOrder{p.watchesLast(), p.watchOrder}).precedes(own) {
			rank++
		}
	})
	return rank, heard
}

// KnownRank returns how many known nodes, live or not, precede this one in the order by hash, how
// many other nodes are known, and from how many of these a message was received.
func (v *View) KnownRank() (rank, known, heard int) {
	own := watchHash(v.self)
	for _, p := range v.peers {
		if p.watchOrder < own {
			rank++
		}
		if !p.heard.IsZero() {
			heard++
		}
	}
	return rank, len(v.peers), heard
}

type watchOrder struct {
	last bool
	hash uint64
}

func (a watchOrder) precedes(b watchOrder) bool {
	if a.last != b.last {
		return b.last
	}
	return a.hash < b.hash
}

func watchHash(addr string) uint64 { return routing.Hash("watch " + addr) }
