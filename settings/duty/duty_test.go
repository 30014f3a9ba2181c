package duty

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/membership"
)

func view(domains, perDomain int) *membership.View {
	v := &membership.View{}
	for d := range domains {
		for n := range perDomain {
			v.Nodes = append(v.Nodes, membership.Node{ID: fmt.Sprintf("d%02d-n%02d", d, n), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	return v
}

func TestRelaysAreOfTheFailureDomainAndMayHoldADuty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		v := view(3, rapid.IntRange(0, 6).Draw(rt, "nodes"))
		eligible := 0
		for i := range v.Nodes {
			v.Nodes[i].State = rapid.SampledFrom([]membership.State{
				membership.Alive, membership.Suspect, membership.Leaving, membership.Dead,
			}).Draw(rt, "state")
			if v.Nodes[i].FailureDomain == "d1" && v.Nodes[i].State <= membership.Suspect {
				eligible++
			}
		}
		relays := Relays(v, "d1")
		is.Equal(len(relays), min(Holders, eligible))
		for _, n := range relays {
			is.Equal(n.FailureDomain, "d1")
			is.True(n.State <= membership.Suspect)
		}
	})
}

func TestLeavingPromotesTheStandby(t *testing.T) {
	is := is.New(t)
	v := view(2, 5)
	before := Acceptors(v)
	for i := range v.Nodes {
		if v.Nodes[i].ID == before[0].ID {
			v.Nodes[i].State = membership.Leaving
		}
	}
	after := Acceptors(v)
	is.Equal(after[0].ID, before[1].ID)
	is.Equal(Position(after, before[0].ID), -1)
}
