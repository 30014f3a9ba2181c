package placement

import (
	"testing"

	"github.com/matryer/is"
)

// spreadPool is a pool in two failure domains, a and b, each target with as many
// requests in progress.
func spreadPool(n, running int) []Candidate {
	cands := pool(n)
	for i := range cands {
		cands[i].FailureDomain = []string{"a", "b"}[i%2]
		cands[i].Running = running
	}
	return cands
}

// A copy goes to a target below the mean, not to one that is nearly at the limit
// itself. A key that nobody keeps goes by its rank alone, on which all nodes agree.
func TestCopyGoesWhereThereIsRoom(t *testing.T) {
	const key = 7
	is, cands := is.New(t), spreadPool(12, 6)
	for i := range cands {
		cands[i].Slots = 40
	}
	home := pick(t, cands, Request{Key: key}).Target
	ranked := byID(cands, home.ID)
	keeper := &cands[0]
	for i := range cands { // any other one in the home's domain
		if cands[i].FailureDomain == home.FailureDomain && cands[i].Target != home {
			keeper = &cands[i]
		}
	}
	ranked.Running = 7
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, home)
	keep(keeper, 1000)
	keeper.Running = 15
	room := &cands[0]
	for i := range cands {
		if c := &cands[i]; c.FailureDomain == home.FailureDomain && c != keeper && c != ranked {
			room = c
		}
	}
	room.Running = 1
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, room.Target)
	room.Running = 6
	is.Equal(pick(t, cands, Request{Key: key, Shared: 1000}).Target, home) // none has room
}
