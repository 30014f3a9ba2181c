package settings

import "slices"

// WorkspaceRef identifies a workspace and its team, and holds its weight.
type WorkspaceRef struct {
	Team, Name string
	Weight     float64
}

// ResolvedPool is a model or service resolved to the pool that serves it, with
// defaults applied.
type ResolvedPool struct {
	Name        string
	Pool        string
	LoadFactor  float64
	MaxInFlight int
	Cells       int
	Service     *Service // nil for a model
}

// Snapshot is an immutable view of all teams' accepted settings.
type Snapshot struct {
	// Revision is the fleet's revision through which the snapshot is complete;
	// a later snapshot has a higher one.
	Revision int64
	Teams    map[string]Team

	byKey map[string]WorkspaceRef // by the digest of an API key
}

// NewSnapshot returns a snapshot of the teams' documents, with API keys indexed
// by digest.
func NewSnapshot(revision int64, teams map[string]Team) *Snapshot {
	s := &Snapshot{Revision: revision, Teams: teams, byKey: make(map[string]WorkspaceRef)}
	for team, doc := range teams {
		for name, ws := range doc.Workspaces {
			ref := WorkspaceRef{Team: team, Name: name, Weight: orDefault(ws.Weight, 1)}
			for _, digest := range ws.KeysSHA256 {
				s.byKey[digest] = ref
			}
		}
	}
	return s
}

// Workspace returns the workspace that an API key belongs to.
func (s *Snapshot) Workspace(key string) (WorkspaceRef, bool) {
	ref, ok := s.byKey[KeyDigest(key)]
	return ref, ok
}

// Model resolves a model name for a team: to the team's own model, otherwise to
// a model that another team shares.
func (s *Snapshot) Model(team, name string) (ResolvedPool, bool) {
	if m, ok := s.Teams[team].Models[name]; ok {
		return m.ref(name), true
	}
	for _, doc := range s.Teams {
		if m, ok := doc.Models[name]; ok && m.Shared {
			return m.ref(name), true
		}
	}
	return ResolvedPool{}, false
}

// Service resolves a service name for a team: to the team's own service,
// otherwise to a service that another team shares.
func (s *Snapshot) Service(team, name string) (ResolvedPool, bool) {
	if svc, ok := s.Teams[team].Services[name]; ok {
		return svc.ref(name), true
	}
	for _, doc := range s.Teams {
		if svc, ok := doc.Services[name]; ok && svc.Shared {
			return svc.ref(name), true
		}
	}
	return ResolvedPool{}, false
}

// Models returns the sorted names of the models that a team may use: its own
// and the shared ones.
func (s *Snapshot) Models(team string) []string {
	var names []string
	for owner, doc := range s.Teams {
		for name, m := range doc.Models {
			if owner == team || m.Shared {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (m Model) ref(name string) ResolvedPool {
	return ResolvedPool{
		Name: name, Pool: orDefault(m.Pool, name),
		LoadFactor:  orDefault(m.LoadFactor, DefaultLoadFactor),
		MaxInFlight: orDefault(m.MaxInFlight, DefaultMaxInFlight),
		Cells:       orDefault(m.Cells, 1),
	}
}

func (s Service) ref(name string) ResolvedPool {
	return ResolvedPool{
		Name: name, Pool: orDefault(s.Pool, name),
		LoadFactor:  orDefault(s.LoadFactor, DefaultLoadFactor),
		MaxInFlight: orDefault(s.MaxInFlight, DefaultMaxInFlight),
		Cells:       orDefault(s.Cells, 1),
		Service:     &s,
	}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
