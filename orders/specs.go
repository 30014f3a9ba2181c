package orders

import (
	"maps"
	"slices"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// contenders is the number of nodes that contend for the lease of a pool: the
// issuer and a standby.
const contenders = 2

// specs returns the desired state of each pool that has one. If several models
// share a pool with different desired states, the first in lexical order of team
// and model name is used; conflicts lists these pools.
func specs(s *settings.Snapshot) (byPool map[string]Spec, conflicts []string) {
	byPool = make(map[string]Spec)
	for _, team := range slices.Sorted(maps.Keys(s.Teams)) {
		models := s.Teams[team].Models
		for _, name := range slices.Sorted(maps.Keys(models)) {
			m := models[name]
			if m.Version == "" {
				continue
			}
			pool := m.Pool
			if pool == "" {
				pool = name
			}
			next := specOf(s.Revision, name, m)
			cur, taken := byPool[pool]
			switch {
			case !taken:
				byPool[pool] = next
			case cur.Hash() != next.Hash():
				conflicts = append(conflicts, pool)
			}
		}
	}
	return byPool, conflicts
}

func specOf(revision int64, name string, m settings.Model) Spec {
	s := Spec{
		Revision: revision,
		Desired:  Desired{Model: name, Version: m.Version, Adapters: m.Adapters, Role: m.Role},
		Fencing:  m.Fencing, Attempt: m.RollOut, LoadsPerMinute: m.LoadsPerMinute,
	}
	if s.Desired.Role == "" {
		s.Desired.Role = RoleBoth
	}
	if s.Fencing == "" {
		s.Fencing = FencingIgnored
	}
	return s
}

// contends reports whether a node contends for a duty: it is among the
// highest-ranked nodes of the region by rendezvous hashing. If the nodes' views of
// the membership differ, more nodes contend, which costs store calls only: the
// lease alone decides the issuer.
func contends(v *membership.View, region, duty, node string) bool {
	nodes := v.Eligible(region)
	hashes := make([]uint64, len(nodes))
	for i, n := range nodes {
		hashes[i] = routing.Hash(n.ID)
	}
	for _, i := range routing.Top(nil, routing.Hash(duty), hashes, contenders) {
		if nodes[i].ID == node {
			return true
		}
	}
	return false
}

// engines returns the engines of a region that orders can be sent to: those that
// aren't leaving.
func engines(pool []targets.Target, region string) []Target {
	var out []Target
	for _, t := range pool {
		if t.Region == region && t.Role == vmlist.RoleEngine && !t.Leaving {
			out = append(out, Target{ID: t.ID, Addr: t.Addr, Incarnation: t.Incarnation})
		}
	}
	return out
}
