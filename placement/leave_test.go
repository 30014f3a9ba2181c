package placement

import (
	"testing"

	"github.com/matryer/is"
)

// twoDomainPool returns a pool in two failure domains, a and b, with the same number of
// requests in progress at each target.
func twoDomainPool(n, running int) []Candidate {
	cands := pool(n)
	for i := range cands {
		cands[i].FailureDomain = []string{"a", "b"}[i%2]
		cands[i].Running = running
	}
	return cands
}

// Copies stay in the failure domain of their holders until that domain is busier than the
// service by more than random variation. A full holder alone doesn't make it busy.
func TestCopyAvoidsABusyDomain(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int // running at the other targets of the holder's domain
		want   string
	}{
		{"like the others", 4, "b"},
		{"a little busier", 5, "b"},
		{"busy", 16, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, cands := is.New(t), twoDomainPool(12, 4)
			for i := range cands {
				cands[i].Slots = 40
				if cands[i].FailureDomain == "b" {
					cands[i].Running = c.others
				}
			}
			setCached(&cands[1], 1000)
			cands[1].Running = 30
			copied := pick(t, cands, Request{Key: 7, Shared: 1000, FailureDomain: "b"})
			is.Equal(copied.Target.FailureDomain, c.want)
			is.Equal(copied.FetchFrom, cands[1].Target)
			is.Equal(copied.Reason, OverBound)
		})
	}
}

// A copy goes to a target below the mean load, not to one close to the limit. A key that no
// target caches goes by rank alone, which is the same on all nodes.
func TestCopyGoesWhereThereIsRoom(t *testing.T) {
	const key = 7
	is, cands := is.New(t), twoDomainPool(12, 6)
	for i := range cands {
		cands[i].Slots = 40
	}
	home := pick(t, cands, Request{Key: key}).Target
	ranked := byID(cands, home.ID)
	holder := &cands[0]
	for i := range cands { // any other target in the home's domain
		if cands[i].FailureDomain == home.FailureDomain && cands[i].Target != home {
			holder = &cands[i]
		}
	}
	ranked.Running = 7
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, home)
	setCached(holder, 1000)
	holder.Running = 15
	room := &cands[0]
	for i := range cands {
		if c := &cands[i]; c.FailureDomain == home.FailureDomain && c != holder && c != ranked {
			room = c
		}
	}
	room.Running = 1
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, room.Target)
	room.Running = 6
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, home) // none is below the copy limit
}
