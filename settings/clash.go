package settings

import (
	"fmt"
	"maps"
	"slices"
)

// poolLimits are the settings that must be equal in all definitions that use the
// same pool.
type poolLimits struct {
	loadFactor  float64
	maxInFlight int
	cells       int
}

// definition is the place where a team defined a key, name or pool.
type definition struct{ team, path string }

// Index maps what must be consistent across teams to its first definition: an
// API key and a shared name may be defined once, and the limits of a pool must
// be equal wherever it is used. It is built from valid documents.
type Index struct {
	keys   map[string]definition
	shared map[string]definition
	pools  map[string]poolDefinition
}

type poolDefinition struct {
	definition
	limits poolLimits
}

// NewIndex indexes the documents of all teams except the excluded one, in the
// order of their names.
func NewIndex(teams map[string]Team, excluded string) *Index {
	x := &Index{keys: make(map[string]definition), shared: make(map[string]definition), pools: make(map[string]poolDefinition)}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if team != excluded {
			x.add(team, teams[team])
		}
	}
	return x
}

// Clashes returns a fault for each definition in the team's document that
// conflicts with an indexed one or with an earlier one in the same document. It
// adds the document to the index.
func (x *Index) Clashes(team string, doc Team) []Fault { return x.add(team, doc) }

// add indexes a document and returns a fault for each conflicting definition.
func (x *Index) add(team string, doc Team) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(doc.Workspaces)) {
		path := "workspaces." + name + ".keys_sha256"
		for _, digest := range doc.Workspaces[name].KeysSHA256 {
			faults = append(faults, defineOnce(x.keys, digest, definition{team, path}, "API key "+digest[:8]+"…", "make a new key")...)
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

// addPool indexes a model's or service's shared name and the limits of its pool,
// and returns a fault for each conflict.
func (x *Index) addPool(team, path string, shared bool, ref ResolvedPool) []Fault {
	var faults []Fault
	if shared {
		faults = defineOnce(x.shared, path, definition{team, path}, "shared name", "choose another name or don't share it")
	}
	limits := poolLimits{ref.LoadFactor, ref.MaxInFlight, ref.Cells}
	use, defined := x.pools[ref.Pool]
	if !defined {
		x.pools[ref.Pool] = poolDefinition{definition{team, path}, limits}
		return faults
	}
	if use.limits == limits {
		return faults
	}
	return append(faults, Fault{
		ReasonClash, path,
		fmt.Sprintf("pool %q has other limits in team %s, %s", ref.Pool, use.team, use.path),
		fmt.Sprintf("set load_factor %s, max_in_flight %d and cells %d as there, or agree with that team",
			formatNumber(use.limits.loadFactor), use.limits.maxInFlight, use.limits.cells),
	})
}

// defineOnce indexes the definition of a name, or returns a fault if the name is
// defined already.
func defineOnce(defined map[string]definition, name string, by definition, what, remedy string) []Fault {
	other, ok := defined[name]
	if !ok {
		defined[name] = by
		return nil
	}
	return []Fault{{ReasonClash, by.path, fmt.Sprintf("%s is already defined by team %s, %s", what, other.team, other.path), remedy}}
}
