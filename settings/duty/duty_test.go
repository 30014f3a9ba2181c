package duty

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/membership"
)

// view returns nodes of some failure domains, all in one region.
func view(domains, perDomain int) *membership.View {
	v := &membership.View{}
	for d := range domains {
		for n := range perDomain {
			v.Nodes = append(v.Nodes, membership.Node{ID: fmt.Sprintf("d%02d-n%02d", d, n), PeerAddr: fmt.Sprintf("%d.%d", d, n), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	return v
}

func TestRelaysAreEligibleNodesOfTheFailureDomain(t *testing.T) {
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

func TestLeavingRelayPromotesTheStandby(t *testing.T) {
	is := is.New(t)
	v := view(2, 5)
	before := Relays(v, "d1")
	for i := range v.Nodes {
		if v.Nodes[i].ID == before[0].ID {
			v.Nodes[i].State = membership.Leaving
		}
	}
	after := Relays(v, "d1")
	is.Equal(after[0].ID, before[1].ID)
	is.Equal(Position(after, before[0].ID), -1)
}

func TestLeavingNodesReceiveAnnouncements(t *testing.T) {
	is := is.New(t)
	v := view(1, 3)
	v.Self = v.Nodes[0].ID
	for i := range v.Nodes {
		v.Nodes[i].State = membership.Leaving
	}
	first, later := AnnouncementPeers(v)
	is.Equal(len(first)+len(later), 2)
	is.Equal(len(Acceptors(v)), 0)
}

func TestAcceptorsAreInDifferentRegionsOrDomains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		v := view(rapid.IntRange(1, 4).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "nodes"))
		regions := make(map[string]bool)
		domains := make(map[string]bool)
		for i := range v.Nodes {
			v.Nodes[i].Region = rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "region")
			regions[v.Nodes[i].Region] = true
			domains[v.Nodes[i].FailureDomain] = true
		}
		a := Acceptors(v)
		is.Equal(len(a), min(Holders, len(v.Nodes)))
		if len(a) < Holders {
			return
		}
		is.True(a[0].ID != a[1].ID)
		is.Equal(a[0].Region != a[1].Region, len(regions) > 1)
		is.True(a[0].FailureDomain != a[1].FailureDomain || len(domains) == 1 || len(regions) > 1)
	})
}

func TestPeersAreNeverSelfOrDead(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		v := view(rapid.IntRange(1, 3).Draw(rt, "domains"), rapid.IntRange(1, 4).Draw(rt, "nodes"))
		v.Self = rapid.SampledFrom(v.Nodes).Draw(rt, "self").ID
		others := 0
		for i := range v.Nodes {
			if v.Nodes[i].ID == v.Self {
				continue
			}
			v.Nodes[i].State = rapid.SampledFrom([]membership.State{membership.Alive, membership.Dead}).Draw(rt, "state")
			if v.Nodes[i].State == membership.Alive {
				others++
			}
		}
		peer, ok := AntiEntropyPeer(v, rapid.IntRange(0, 1).Draw(rt, "round"), rnd)
		is.Equal(ok, others > 0)
		first, later := AnnouncementPeers(v)
		announcees := append(first, later...)
		is.Equal(len(announcees) > 0, others > 0) // a revision is announced to another node if there is one
		is.Equal(len(Seeds(v, rnd)), others)      // all nodes are in one region
		for _, n := range append(append(announcees, Seeds(v, rnd)...), peer) {
			is.True(n.ID != v.Self && n.State != membership.Dead)
			is.Equal(IsSeed(v, n.PeerAddr), others > 0)
		}
	})
}

func TestRelaysSplitAnnouncements(t *testing.T) {
	is := is.New(t)
	v := view(2, 18)
	announced := make(map[string]int)
	for _, r := range Relays(v, "d1") {
		first, later := AnnouncementPeers(&membership.View{Self: r.ID, Nodes: v.Nodes})
		is.Equal(len(first)+len(later), 17)
		for _, n := range first {
			announced[n.ID]++
		}
	}
	for _, n := range v.Nodes {
		if n.FailureDomain == "d1" && Position(Relays(v, "d1"), n.ID) < 0 {
			is.Equal(announced[n.ID], 1) // announced at once by exactly one relay
		}
	}
}
