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
	// watchRenewal is the time after which a waiting watch counts as another
	// call; assumed.
	watchRenewal = 5 * time.Second
)

// Size is a fleet to measure.
type Size struct{ Nodes, Domains, Regions, Teams int }

// way is a way to bring a revision to the nodes.
type way interface {
	// start begins a node's work; it has no settings yet.
	start(n *node)
	// committed says that the store has a new revision.
	committed()
}

// simulation is one run of a way at a size.
type simulation struct {
	clock *clock
	rnd   *rand.Rand
	fleet *fleet
	way   way

	truth       accepted.State // what the store holds
	newest      accepted.Delta // the last acceptance
	recordBytes int
	outage      bool
	pending     []string // teams with a change not accepted yet
	grouping    bool

	reads    int64
	writes   int64
	bytes    int64     // between nodes
	changes  []*change // all, in the order written
	open     []*change // those not in force everywhere
	reverted int
	last     []int64 // highest revision served by a slot's VMs
}

// change is one operator's write.
type change struct {
	written  time.Duration
	revision int64
	missing  map[*node]bool // nodes that lived then and don't serve it yet
	took     time.Duration  // until the last of them served it
}

func newSimulation(size Size, seed uint64, newWay func(*simulation) way) *simulation {
	const stream = 6
	c := &clock{}
	rnd := rand.New(rand.NewPCG(seed, stream))
	s := &simulation{clock: c, rnd: rnd, fleet: newFleet(c, rnd, size), last: make([]int64, size.Nodes)}
	s.way = newWay(s)
	s.fleet.onStart, s.fleet.onEnd = s.way.start, s.settle
	all := accepted.Delta{Through: 1}
	for i := range size.Teams {
		all.Records = append(all.Records, accepted.Record{Team: teamName(i), Revision: 1, Document: document()})
	}
	raw, _ := json.Marshal(all.Records[0])
	s.recordBytes = len(raw) + 1
	s.truth.Apply(all)
	s.newest = all
	for _, n := range s.fleet.nodes {
		n.state.Apply(all)
		s.serve(n)
		s.way.start(n)
	}
	s.fleet.churn(replacedShare)
	s.operate(size)
	return s
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// document is a team's document of the usual size.
func document() []byte {
	t := settings.Team{Workspaces: make(map[string]settings.Workspace)}
	for i := range workspacesPerTeam {
		name := fmt.Sprintf("workspace-%02d", i)
		t.Workspaces[name] = settings.Workspace{KeysSHA256: []string{settings.KeyDigest(name)}}
	}
	raw, _ := json.Marshal(t)
	return raw
}

// operate writes changes at random times and in bursts.
func (s *simulation) operate(size Size) {
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
	if !s.grouping {
		s.grouping = true
		s.clock.after(acceptor.BatchDelay, s.accept)
	}
}

// accept commits what is pending if the node with the duty or its standby
// lives; else the next view decides.
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
	d := accepted.Delta{Since: s.truth.Head(), Through: s.truth.Head() + 1}
	for _, team := range group {
		d.Records = append(d.Records, accepted.Record{Team: team, Revision: d.Through, Document: document()})
	}
	s.truth.Apply(d)
	s.newest = d
	s.writes++
	for i := len(s.changes) - len(s.pending); i < len(s.changes)-len(s.pending)+len(group); i++ {
		s.changes[i].revision = d.Through
	}
	s.pending = s.pending[len(group):]
	s.way.committed()
	if s.grouping = len(s.pending) > 0; s.grouping {
		s.clock.after(commitTime, s.commit)
	}
}

// read asks the store; the answer comes after readTime unless it is out.
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

// serve puts in force what a node holds and notes the changes that reached it.
func (s *simulation) serve(n *node) {
	revision := n.state.Head()
	if revision <= n.served {
		return
	}
	if revision < s.last[n.slot] {
		s.reverted++
	}
	n.served = revision
	s.last[n.slot] = max(s.last[n.slot], revision)
	s.settle(n)
}

// settle notes which open changes no longer wait for a node.
func (s *simulation) settle(n *node) {
	s.open = slices.DeleteFunc(s.open, func(c *change) bool {
		if !c.missing[n] || n.alive && (c.revision == 0 || n.served < c.revision) {
			return false
		}
		delete(c.missing, n)
		if n.alive {
			c.took = s.clock.now - c.written
		}
		return len(c.missing) == 0 && c.revision > 0
	})
}
