package admission

import (
	"strconv"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// inputs are the snapshots that a plan is made of.
type inputs struct {
	settings *settings.Snapshot
	view     *membership.View
	targets  *targets.Snapshot
}

// plan says which cells there are, which targets they hold and who owns them,
// as this node sees it. It is immutable.
type plan struct {
	inputs inputs
	region string
	pools  map[string]poolConfig
	groups map[groupKey]*group
	ids    map[string]struct{} // of all targets
	duty   map[string]duty     // by region
}

// poolConfig is what all settings documents together say of a pool. If they
// differ, the strictest bound and the most cells hold, so that every node
// comes to the same.
type poolConfig struct {
	cell  cell.Config
	cells int
}

type groupKey struct{ pool, region string }

// group is a pool's targets in one region.
type group struct {
	all    []targets.Target
	live   []targets.Target // not leaving
	hashes []uint64         // of live
	cells  []int            // of live
	index  map[string]int   // target ID to its place in live
}

// duty is the nodes of a region that may own cells.
type duty struct {
	nodes  []membership.Node
	hashes []uint64
}

// newPlan returns the plan of a node in the given region. Nodes that left
// hand their cells over although the view has them.
func newPlan(in inputs, region string, left func(membership.Node) bool) *plan {
	p := &plan{
		inputs: in, region: region, pools: poolConfigs(in.settings),
		groups: make(map[groupKey]*group), ids: make(map[string]struct{}),
		duty: make(map[string]duty),
	}
	for _, pool := range in.targets.Pools {
		for _, t := range pool {
			p.addTarget(t)
		}
	}
	for _, n := range in.view.Nodes {
		if _, ok := p.duty[n.Region]; !ok {
			p.duty[n.Region] = newDuty(in.view.Duty(n.Region), left)
		}
	}
	return p
}

func poolConfigs(s *settings.Snapshot) map[string]poolConfig {
	pools := make(map[string]poolConfig)
	if s == nil {
		return pools
	}
	merge := func(ref settings.PoolRef, ok bool) {
		if ok {
			pools[ref.Pool] = strictest(pools[ref.Pool], configOf(ref))
		}
	}
	for team, doc := range s.Teams {
		for name := range doc.Models {
			merge(s.Model(team, name))
		}
		for name := range doc.Services {
			merge(s.Service(team, name))
		}
	}
	return pools
}

func configOf(ref settings.PoolRef) poolConfig {
	return poolConfig{
		cell:  cell.Config{LoadFactor: ref.LoadFactor, MaxInFlight: ref.MaxInFlight},
		cells: max(ref.Cells, 1),
	}
}

func strictest(a, b poolConfig) poolConfig {
	if a.cells == 0 {
		return b
	}
	a.cell.LoadFactor = min(a.cell.LoadFactor, b.cell.LoadFactor)
	a.cell.MaxInFlight = min(a.cell.MaxInFlight, b.cell.MaxInFlight)
	a.cells = max(a.cells, b.cells)
	return a
}

func (p *plan) addTarget(t targets.Target) {
	k := groupKey{t.Pool, t.Region}
	g := p.groups[k]
	if g == nil {
		g = &group{index: make(map[string]int)}
		p.groups[k] = g
	}
	g.all = append(g.all, t)
	p.ids[t.ID] = struct{}{}
	if t.Leaving {
		return
	}
	g.index[t.ID] = len(g.live)
	g.live = append(g.live, t)
	g.hashes = append(g.hashes, routing.Hash(t.ID))
	g.cells = append(g.cells, cell.Of(t.ID, p.pools[t.Pool].cells))
}

func newDuty(nodes []membership.Node, left func(membership.Node) bool) duty {
	var d duty
	for _, n := range nodes {
		if left(n) {
			continue
		}
		d.nodes = append(d.nodes, n)
		d.hashes = append(d.hashes, routing.Hash(n.ID))
	}
	return d
}

// owner returns the node that owns a cell: the first of the region's duty
// nodes in the rendezvous order of the cell.
func (p *plan) owner(k holds.Key) (membership.Node, bool) {
	d := p.duty[k.Region]
	if len(d.nodes) == 0 {
		return membership.Node{}, false
	}
	name := routing.Hash(k.Pool + "/" + strconv.Itoa(k.Cell))
	return d.nodes[routing.Top(make([]int, 0, 1), name, d.hashes, 1)[0]], true
}

// keys returns the cells of a pool in one region.
func (p *plan) keys(pool, region string) []holds.Key {
	cells := p.pools[pool].cells
	out := make([]holds.Key, cells)
	for i := range out {
		out[i] = holds.Key{Pool: pool, Region: region, Cell: i, Of: cells}
	}
	return out
}

// cellTargets returns the targets of a cell, the leaving ones included.
func (p *plan) cellTargets(k holds.Key) []cell.Target {
	var out []cell.Target
	g := p.groups[groupKey{k.Pool, k.Region}]
	if g == nil {
		return nil
	}
	for _, t := range g.all {
		if cell.Of(t.ID, k.Of) == k.Cell {
			out = append(out, cell.Target{ID: t.ID, Capacity: t.Capacity, Leaving: t.Leaving})
		}
	}
	return out
}

// group returns a pool's targets in this node's region, else in the region
// whose targets come first in the rendezvous order of the pool.
func (p *plan) group(pool string) (*group, string) {
	if g := p.groups[groupKey{pool, p.region}]; g != nil && len(g.live) > 0 {
		return g, p.region
	}
	var best *group
	var region string
	var score uint64
	for k, g := range p.groups {
		if k.pool != pool || len(g.live) == 0 {
			continue
		}
		s := routing.Score(routing.Hash(pool), routing.Hash(k.region))
		if best == nil || s > score {
			best, region, score = g, k.region, s
		}
	}
	return best, region
}

// stale says that the pool is divided otherwise now.
func (p *plan) stale(k holds.Key) bool {
	c, ok := p.pools[k.Pool]
	return ok && c.cells != k.Of
}

// keyOf returns the cell that a target of k is in now.
func (p *plan) keyOf(k holds.Key, target string) holds.Key {
	k.Of = p.pools[k.Pool].cells
	k.Cell = cell.Of(target, k.Of)
	return k
}

// liveTarget returns a target that isn't leaving.
func (p *plan) liveTarget(k holds.Key, id string) (targets.Target, bool) {
	g := p.groups[groupKey{k.Pool, k.Region}]
	if g == nil {
		return targets.Target{}, false
	}
	i, ok := g.index[id]
	if !ok {
		return targets.Target{}, false
	}
	return g.live[i], true
}

// hasTarget says whether any group holds a target.
func (p *plan) hasTarget(id string) bool {
	_, ok := p.ids[id]
	return ok
}
