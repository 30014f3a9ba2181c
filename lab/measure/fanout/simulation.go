package fanout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/acceptor"
	"github.com/knapweedgw/knapweedgw/settings/duty"
)

const (
	changesPerDay     = 26000
	burstSize         = 50
	burstInterval     = 5 * time.Minute
	replacedShare     = 0.05
	commitTime        = 10 * time.Millisecond
	readTime          = 5 * time.Millisecond
	workspacesPerTeam = 10
	// watchRenewal is the interval at which a waiting watch counts as another
	// call to the store; assumed.
	watchRenewal = 5 * time.Second
)

// Size is the size of a simulated fleet.
type Size struct{ Nodes, Domains, Regions, Teams int }

// strategy is a way to distribute revisions to the nodes.
type strategy interface {
	// start starts a node. Only the first nodes of a fleet have settings at that time.
	start(n *node)
	// onCommit is called after the store has committed a new revision.
	onCommit()
}

// simulation is one run of a strategy with a fleet of one size.
type simulation struct {
	clock    *clock
	rnd      *rand.Rand
	fleet    *fleet
	strategy strategy

	committedState  accepted.State // what the store holds
	newest          accepted.Delta // the records of the last committed revision
	recordBytes     int
	outage          bool
	pending         []string // teams with a change that isn't accepted yet
	acceptScheduled bool

	reads      int64
	writes     int64
	bytes      int64     // sent and received by nodes
	changes    []*change // all, in the order written
	open       []*change // those not served by every node yet
	reverted   int
	lastServed []int64 // highest revision served by a slot's VMs
}

// change is one write by an operator.
type change struct {
	written  time.Duration
	revision int64
	missing  map[*node]bool // nodes that were alive when it was written and don't serve it yet
	duration time.Duration  // from the write until the last of them served it
}

func newSimulation(size Size, seed uint64, newStrategy func(*simulation) strategy) *simulation {
	const stream = 6
	c := &clock{}
	rnd := rand.New(rand.NewPCG(seed, stream))
	s := &simulation{clock: c, rnd: rnd, fleet: newFleet(c, rnd, size), lastServed: make([]int64, size.Nodes)}
	s.strategy = newStrategy(s)
	s.fleet.onStart, s.fleet.onEnd = s.strategy.start, s.updateOpen
	all := accepted.Delta{Through: 1}
	for i := range size.Teams {
		all.Records = append(all.Records, accepted.Record{Team: teamName(i), Revision: 1, Document: document()})
	}
	raw, _ := json.Marshal(all.Records[0])
	s.recordBytes = len(raw) + 1
	s.committedState.Apply(all)
	s.newest = all
	for _, n := range s.fleet.nodes {
		n.state.Apply(all)
		s.serve(n)
		s.strategy.start(n)
	}
	s.fleet.churn(replacedShare)
	s.scheduleChanges(size)
	return s
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// document returns a team's settings document of typical size.
func document() []byte {
	t := settings.Team{Workspaces: make(map[string]settings.Workspace)}
	for i := range workspacesPerTeam {
		name := fmt.Sprintf("workspace-%02d", i)
		t.Workspaces[name] = settings.Workspace{KeysSHA256: []string{settings.KeyDigest(name)}}
	}
	raw, _ := json.Marshal(t)
	return raw
}

// scheduleChanges schedules operators' writes, at random times and in bursts.
func (s *simulation) scheduleChanges(size Size) {
	const day = 24 * time.Hour
	mean := float64(day) / changesPerDay
	s.clock.every(func() time.Duration { return time.Duration(s.rnd.ExpFloat64() * mean) }, func() bool {
		s.write(teamName(s.rnd.IntN(size.Teams)))
		return true
	})
	s.clock.every(func() time.Duration { return burstInterval }, func() bool {
		for i := range burstSize {
			s.write(teamName(i % size.Teams))
		}
		return true
	})
}

func (s *simulation) write(team string) {
	if s.outage {
		return
	}
	s.writes++
	s.reads++ // the operator reads first
	c := &change{written: s.clock.now, missing: make(map[*node]bool)}
	for _, n := range s.fleet.nodes {
		if n.alive {
			c.missing[n] = true
		}
	}
	s.changes = append(s.changes, c)
	s.open = append(s.open, c)
	s.pending = append(s.pending, team)
	if !s.acceptScheduled {
		s.acceptScheduled = true
		s.clock.after(acceptor.BatchDelay, s.accept)
	}
}

// accept schedules the commit of the pending changes by the first acceptor or, if it
// is down, by its standby. If both are down it retries after a second with the view
// of that time.
func (s *simulation) accept() {
	const reads = 2 // the first acceptor's and the standby's watch
	holders := duty.Acceptors(s.fleet.view(s.fleet.nodes[0]))
	for i, h := range holders {
		if n, ok := s.fleet.byID[h.ID]; ok && n.alive && !s.outage {
			s.reads += reads
			s.clock.after(time.Duration(i)*acceptor.StandbyDelay+commitTime, s.commit)
			return
		}
	}
	s.clock.after(time.Second, s.accept)
}

func (s *simulation) commit() {
	if s.outage {
		s.clock.after(time.Second, s.accept)
		return
	}
	group := s.pending[:min(len(s.pending), acceptor.MaxBatchTeams)]
	d := accepted.Delta{Since: s.committedState.Head(), Through: s.committedState.Head() + 1}
	for _, team := range group {
		d.Records = append(d.Records, accepted.Record{Team: team, Revision: d.Through, Document: document()})
	}
	s.committedState.Apply(d)
	s.newest = d
	s.writes++
	for i := len(s.changes) - len(s.pending); i < len(s.changes)-len(s.pending)+len(group); i++ {
		s.changes[i].revision = d.Through
	}
	s.pending = s.pending[len(group):]
	s.strategy.onCommit()
	if s.acceptScheduled = len(s.pending) > 0; s.acceptScheduled {
		s.clock.after(commitTime, s.commit)
	}
}

// read reads from the store and calls then after readTime, or failed during an outage.
// It calls neither if the node has ended by then.
func (s *simulation) read(n *node, then, failed func()) {
	s.reads++
	s.clock.after(readTime, func() {
		switch {
		case !n.alive:
		case s.outage:
			failed()
		default:
			then()
		}
	})
}

// serve makes a node serve the revision that it holds and updates the open changes.
func (s *simulation) serve(n *node) {
	revision := n.state.Head()
	if revision <= n.served {
		return
	}
	if revision < s.lastServed[n.slot] {
		s.reverted++
	}
	n.served = revision
	s.lastServed[n.slot] = max(s.lastServed[n.slot], revision)
	s.updateOpen(n)
}

// updateOpen removes a node from the open changes that it serves, or from all if it has
// ended, and closes the changes that no node misses anymore.
func (s *simulation) updateOpen(n *node) {
	s.open = slices.DeleteFunc(s.open, func(c *change) bool {
		if !c.missing[n] || n.alive && (c.revision == 0 || n.served < c.revision) {
			return false
		}
		delete(c.missing, n)
		if n.alive {
			c.duration = s.clock.now - c.written
		}
		return len(c.missing) == 0 && c.revision > 0
	})
}
