package settings

import (
	"fmt"
	"maps"
	"slices"
)

// poolKnobs are the settings that a pool has but once, whoever names it.
type poolKnobs struct {
	loadFactor  float64
	maxInFlight int
	cells       int
}

// owner says where a team defined something.
type owner struct{ team, path string }

// Index holds what only one team, or one setting, may define: API keys,
// shared names and the knobs of a pool. It is built from valid documents.
type Index struct {
	keys   map[string]owner
	shared map[string]owner
	pools  map[string]poolUse
}

type poolUse struct {
	owner
	knobs poolKnobs
}

// NewIndex indexes all teams' documents but the one of the team left out.
func NewIndex(teams map[string]Team, leftOut string) *Index {
	x := &Index{keys: make(map[string]owner), shared: make(map[string]owner), pools: make(map[string]poolUse)}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if team != leftOut {
			x.add(team, teams[team])
		}
	}
	return x
}

// Clashes returns what the team's document defines against the others.
func (x *Index) Clashes(team string, doc Team) []Fault { return x.add(team, doc) }

// add indexes a document and returns its clashes.
func (x *Index) add(team string, doc Team) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(doc.Workspaces)) {
		path := "workspaces." + name + ".keys_sha256"
		for _, digest := range doc.Workspaces[name].KeysSHA256 {
			faults = append(faults, claim(x.keys, digest, owner{team, path}, "API key "+digest[:8]+"…", "make a new key")...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Models)) {
		m := doc.Models[name]
		faults = append(faults, x.addPool(team, "models."+name, m.Shared, m.ref(name))...)
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		s := doc.Services[name]
		faults = append(faults, x.addPool(team, "services."+name, s.Shared, s.ref(name))...)
	}
	return faults
}

func (x *Index) addPool(team, path string, shared bool, ref PoolRef) []Fault {
	var faults []Fault
	if shared {
		faults = claim(x.shared, path, owner{team, path}, "shared name", "choose another name or don't share it")
	}
	knobs := poolKnobs{ref.LoadFactor, ref.MaxInFlight, ref.Cells}
	use, taken := x.pools[ref.Pool]
	if !taken {
		x.pools[ref.Pool] = poolUse{owner{team, path}, knobs}
		return faults
	}
	if use.knobs == knobs {
		return faults
	}
	return append(faults, Fault{
		ReasonClash, path,
		fmt.Sprintf("pool %q has other limits in team %s, %s", ref.Pool, use.team, use.path),
		fmt.Sprintf("set load_factor %s, max_in_flight %d and cells %d as there, or agree with that team",
			formatNumber(use.knobs.loadFactor), use.knobs.maxInFlight, use.knobs.cells),
	})
}

func claim(taken map[string]owner, name string, by owner, what, remedy string) []Fault {
	other, ok := taken[name]
	if !ok {
		taken[name] = by
		return nil
	}
	return []Fault{{ReasonClash, by.path, fmt.Sprintf("%s is already defined by team %s, %s", what, other.team, other.path), remedy}}
}
