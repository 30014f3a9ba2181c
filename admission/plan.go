package admission

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// inputs are the snapshots that a plan is computed from.
type inputs struct {
	settings *settings.Snapshot
	view     *membership.View
	targets  *targets.Snapshot
}

// plan has the pools' cells, the targets of each cell and the cells' owners, as computed
// from this node's inputs. Its inputs never change. The groups of a pool in a region and the
// owners of a region's cells are computed on first use, since a node uses few of the fleet's
// targets.
type plan struct {
	inputs     inputs
	region     string
	pools      map[string]poolConfig
	candidates map[string]ownerCandidates // by region

	mu     sync.Mutex
	groups map[groupKey]*group
	owners map[string]map[holds.CellKey]membership.Node // by region
}

// poolConfig is the configuration of a pool, merged from all settings documents. If they
// differ, the strictest bound and the largest number of cells are used, so that every node
// gets the same result.
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
	index  map[string]int   // target ID to its index in live
}

// ownerCandidates are the nodes of a region that may own cells.
type ownerCandidates struct {
	nodes  []membership.Node
	hashes []uint64
}

// newPlan returns the plan of a node in the given region. Nodes for which left returns true
// own no cells, even if the view lists them as possible owners.
func newPlan(in inputs, region string, left func(membership.Node) bool) *plan {
	p := &plan{
		inputs: in, region: region, pools: poolConfigs(in.settings),
		groups: make(map[groupKey]*group), candidates: make(map[string]ownerCandidates),
		owners: make(map[string]map[holds.CellKey]membership.Node),
	}
	for _, n := range in.view.Nodes {
		if _, ok := p.candidates[n.Region]; !ok {
			p.candidates[n.Region] = newOwnerCandidates(in.view.Eligible(n.Region), left)
		}
	}
	return p
}

func poolConfigs(s *settings.Snapshot) map[string]poolConfig {
	pools := make(map[string]poolConfig)
	if s == nil {
		return pools
	}
	merge := func(ref settings.ResolvedPool, ok bool) {
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

func configOf(ref settings.ResolvedPool) poolConfig {
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

// groupIn returns a pool's targets in one region.
func (p *plan) groupIn(pool, region string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := groupKey{pool, region}
	g := p.groups[k]
	if g == nil {
		g = newGroup(p.inputs.targets.Pool(pool), region, p.pools[pool].cells)
		p.groups[k] = g
	}
	return g
}

func newGroup(pool []targets.Target, region string, cells int) *group {
	g := &group{index: make(map[string]int)}
	for _, t := range pool {
		if t.Region != region {
			continue
		}
		g.all = append(g.all, t)
		if t.Leaving {
			continue
		}
		g.index[t.ID] = len(g.live)
		g.live = append(g.live, t)
		g.hashes = append(g.hashes, routing.Hash(t.ID))
		g.cells = append(g.cells, cell.IndexOf(t.ID, cells))
	}
	return g
}

func newOwnerCandidates(nodes []membership.Node, left func(membership.Node) bool) ownerCandidates {
	var d ownerCandidates
	for _, n := range nodes {
		if left(n) {
			continue
		}
		d.nodes = append(d.nodes, n)
		d.hashes = append(d.hashes, routing.Hash(n.ID))
	}
	return d
}

// owner returns the node that owns a cell. The cells of a region are assigned to its
// candidates by rendezvous hashing with a bound on the number of cells for each node.
func (p *plan) owner(k holds.CellKey) (membership.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	owners, ok := p.owners[k.Region]
	if !ok {
		owners = p.assign(k.Region)
		p.owners[k.Region] = owners
	}
	n, ok := owners[k]
	return n, ok
}

func (p *plan) assign(region string) map[holds.CellKey]membership.Node {
	var keys []holds.CellKey
	var names []uint64
	for _, pool := range slices.Sorted(maps.Keys(p.pools)) {
		for _, k := range p.keys(pool, region) {
			keys = append(keys, k)
			names = append(names, routing.Hash(k.Pool+"/"+strconv.Itoa(k.Cell)))
		}
	}
	owners := make(map[holds.CellKey]membership.Node, len(keys))
	d := p.candidates[region]
	for i, n := range routing.Assign(names, d.hashes) {
		owners[keys[i]] = d.nodes[n]
	}
	return owners
}

// keys returns the cells of a pool in one region.
func (p *plan) keys(pool, region string) []holds.CellKey {
	cells := p.pools[pool].cells
	out := make([]holds.CellKey, cells)
	for i := range out {
		out[i] = holds.CellKey{Pool: pool, Region: region, Cell: i, Of: cells}
	}
	return out
}

// cellTargets returns the targets of a cell, including those that are leaving.
func (p *plan) cellTargets(k holds.CellKey) []cell.Target {
	var out []cell.Target
	for _, t := range p.groupIn(k.Pool, k.Region).all {
		if cell.IndexOf(t.ID, k.Of) == k.Cell {
			out = append(out, cell.Target{ID: t.ID, Capacity: t.Capacity, Leaving: t.Leaving, Incarnation: t.Incarnation})
		}
	}
	return out
}

// nearest returns a pool's targets in this node's region if any is live there. Otherwise it
// returns those of the region that ranks first in the pool's rendezvous order among the
// regions with live targets.
func (p *plan) nearest(pool string) (*group, string) {
	if g := p.groupIn(pool, p.region); len(g.live) > 0 {
		return g, p.region
	}
	var region string
	var score uint64
	for _, t := range p.inputs.targets.Pool(pool) {
		s := routing.Score(routing.Hash(pool), routing.Hash(t.Region))
		if !t.Leaving && (region == "" || s > score) {
			region, score = t.Region, s
		}
	}
	return p.groupIn(pool, region), region
}

// stale reports whether the pool now has another number of cells than k.
func (p *plan) stale(k holds.CellKey) bool {
	c, ok := p.pools[k.Pool]
	return ok && c.cells != k.Of
}

// keyOf returns the cell to which a target of k belongs now.
func (p *plan) keyOf(k holds.CellKey, target string) holds.CellKey {
	k.Of = p.pools[k.Pool].cells
	k.Cell = cell.IndexOf(target, k.Of)
	return k
}

// liveTarget returns a target that isn't leaving.
func (p *plan) liveTarget(k holds.CellKey, id string) (targets.Target, bool) {
	g := p.groupIn(k.Pool, k.Region)
	i, ok := g.index[id]
	if !ok {
		return targets.Target{}, false
	}
	return g.live[i], true
}
