package placement

import (
	"testing"

	"github.com/matryer/is"
)

func TestEvacuatedTargetsAreNoLastResort(t *testing.T) {
	is := is.New(t)
	cands := pool(3)
	cands[0].Evacuated = true
	cands[1].Unreachable, cands[1].Suspended = true, true
	cands[2].Fallback = true
	is.Equal(pick(t, cands, Request{Key: 7}).Target.ID, "engine-1")
	cands[1].Draining = true
	is.Equal(pick(t, cands, Request{}).Target.ID, "engine-2")
	cands[2].Excluded = true
	_, ok := NewService(cands, DefaultPolicy()).Pick(Request{Key: 7}, rng())
	is.True(!ok)
	is.Equal(len(NewService(cands, DefaultPolicy()).Eligible()), 0) // no target for admission control
}

// Guards against using a target as a last resort after it has announced its shutdown in a
// response.
func TestLeavingTargetsAreNoLastResort(t *testing.T) {
	is := is.New(t)
	cands := pool(2)
	cands[0].Leaving = true
	cands[1].Unreachable, cands[1].Suspended = true, true
	is.Equal(pick(t, cands, Request{Key: 7}).Target.ID, "engine-1")
	cands[1].Excluded = true
	is.Equal(len(NewService(cands, DefaultPolicy()).Eligible()), 0) // no target for admission control
}

// Guards against ignoring a Retry-After together with suspensions, which are ignored when most
// of a service is suspended.
func TestTargetsWithRetryAfterAreNoLastResort(t *testing.T) {
	is := is.New(t)
	cands := pool(3)
	cands[0].CoolingDown, cands[1].CoolingDown = true, true
	cands[0].CachedTokens, cands[0].Prefilled = 100, true
	c := pick(t, cands, Request{Key: 7, Shared: 100})
	is.Equal(c.Target.ID, "engine-2")
	is.Equal(c.FetchFrom, nil) // serving a transfer is load as well
	cands[2].CoolingDown = true
	is.Equal(len(NewService(cands, DefaultPolicy()).Eligible()), 0) // no target for admission control
}

// Targets outside the allowed regions get no request and no transfer.
func TestTargetsOutsideTheRegions(t *testing.T) {
	is := is.New(t)
	cands := pool(2)
	cands[0].OutsideRegion, cands[0].CachedTokens, cands[0].Prefilled = true, 100, true
	c := pick(t, cands, Request{Key: 7, Shared: 100})
	is.Equal(c.Target.ID, "engine-1")
	is.Equal(c.FetchFrom, nil)
	cands[1].Excluded = true
	_, ok := NewService(cands, DefaultPolicy()).Pick(Request{Key: 7}, rng())
	is.True(!ok)
}

// The bound doesn't grow when targets get no requests for a while.
func TestBoundCountsTargetsThatGetNothing(t *testing.T) {
	is := is.New(t)
	cands := pool(4)
	for i := range cands {
		cands[i].Running = 10
	}
	before := pick(t, cands, Request{Key: 7}).Limit
	cands[0].Evacuated, cands[0].Running = true, 0
	is.True(pick(t, cands, Request{Key: 7}).Limit < before)
	cands[0].Evacuated, cands[0].CoolingDown = false, true
	is.True(pick(t, cands, Request{Key: 7}).Limit < before)
}

func TestColdTargetGetsNoMoreThanItsShare(t *testing.T) {
	is := is.New(t)
	cands := pool(2)
	cands[0].Running = 20
	cands[1].Cold, cands[1].CachedTokens, cands[1].ColdCapacity = true, 100, 5
	for range 20 {
		is.Equal(pick(t, cands, Request{Key: 7, Shared: 100}).Target.ID, "engine-0")
		is.Equal(pick(t, cands, Request{}).Target.ID, "engine-0")
	}
	cands[1].MaySend = true
	is.Equal(pick(t, cands, Request{Key: 7, Shared: 100}).Target.ID, "engine-1")
	is.Equal(pick(t, cands, Request{}).Target.ID, "engine-1")
}

// If all targets are cold, requests are spread by the capacity left at each, and refused when
// none has any.
func TestAllTargetsCold(t *testing.T) {
	is := is.New(t)
	cands := pool(3)
	for i := range cands {
		cands[i].Cold, cands[i].ColdCapacity = true, i
	}
	seen := make(map[string]int)
	r := rng()
	for range 300 {
		c, ok := NewService(cands, DefaultPolicy()).Pick(Request{Key: 7, Shared: 10}, r)
		is.True(ok)
		seen[c.Target.ID]++
	}
	is.Equal(seen["engine-0"], 0)
	is.True(seen["engine-1"] > 50 && seen["engine-2"] > seen["engine-1"])
	cands[1].ColdCapacity, cands[2].ColdCapacity = 0, 0
	_, ok := NewService(cands, DefaultPolicy()).Pick(Request{}, r)
	is.True(!ok)
}
