package orders

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

func TestSpecs(t *testing.T) {
	is := is.New(t)
	snap := settings.NewSnapshot(9, map[string]settings.Team{
		"b": {Models: map[string]settings.Model{
			"other": {Pool: "p", Version: "2"},
			"same":  {Pool: "q", Version: "1"},
		}},
		"a": {Models: map[string]settings.Model{
			"m":    {Pool: "p", Version: "1", Adapters: []string{"x"}, Role: RoleDecode, Fencing: FencingChecked, RollOut: 3, LoadsPerMinute: 6},
			"none": {},
			"own":  {Version: "5"},
		}},
	})
	got, conflicts := specs(snap)
	is.Equal(conflicts, []string{"p"})
	is.Equal(got["p"], Spec{
		Revision: 9, Fencing: FencingChecked, Attempt: 3, LoadsPerMinute: 6,
		Desired: Desired{Model: "m", Version: "1", Adapters: []string{"x"}, Role: RoleDecode},
	})
	is.Equal(got["own"].Desired.Role, RoleBoth)
	is.Equal(got["own"].Fencing, FencingIgnored)
	is.Equal(len(got), 3) // p, q and own
}

func TestHashLeavesOutRevisionAndPace(t *testing.T) {
	is := is.New(t)
	a := spec(1, "2", FencingChecked)
	b := a
	b.Revision, b.LoadsPerMinute = 7, 3
	is.Equal(a.Hash(), b.Hash())
	b.Attempt = 1
	is.True(a.Hash() != b.Hash())
}

func TestContends(t *testing.T) {
	is := is.New(t)
	v := &membership.View{Nodes: []membership.Node{
		{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "r"},
		{ID: "d", Region: "other"}, {ID: "e", Region: "r", State: membership.Leaving},
	}}
	n := 0
	for _, node := range v.Nodes {
		if contends(v, "r", LeaseName("r", "p"), node.ID) {
			is.True(node.Region == "r" && node.State != membership.Leaving)
			n++
		}
	}
	is.Equal(n, contenders)
}

func TestEngines(t *testing.T) {
	is := is.New(t)
	got := engines([]targets.Target{
		{ID: "a", Addr: "1", Region: "r", Role: vmlist.RoleEngine, Incarnation: 4},
		{ID: "b", Region: "r", Role: vmlist.RoleEngine, Leaving: true},
		{ID: "c", Region: "other", Role: vmlist.RoleEngine},
		{ID: "d", Region: "r", Role: vmlist.RoleService},
	}, "r")
	is.Equal(got, []Target{{ID: "a", Addr: "1", Incarnation: 4}})
}
