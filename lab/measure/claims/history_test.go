package claims

import (
	"testing"

	"github.com/matryer/is"
)

func sum(results [faultCount]result) (all result) {
	for _, r := range results {
		all.add(r)
	}
	return all
}

// TestHistories runs every pair of faults ten times and checks that no key runs twice,
// that no request runs whose caller was told that it didn't, and that every outcome is
// recorded in the end.
func TestHistories(t *testing.T) {
	is := is.New(t)
	all := sum(runAll(1, 10*int(faultCount*faultCount), mutateNothing))
	is.Equal(all.Doubled, 0)
	is.Equal(all.FalseNotRun, 0)
	is.Equal(all.UnrecordedEnds, 0) // every outcome is recorded once the faults are over
	for kind, n := range all.Responses {
		is.True(n > 0) // every kind of response occurs
		t.Logf("response %d: %d", kind, n)
	}
	t.Logf("%+v", all)
}

// TestHistoriesCatchBrokenProtocols checks that histories detect each mutation.
func TestHistoriesCatchBrokenProtocols(t *testing.T) {
	for _, tc := range []struct {
		name     string
		mutation mutation
		caught   func(result) int
	}{
		{"no compare in the store", mutateNoCompare, func(r result) int { return r.Doubled }},
		{"late grants are used", mutateLateGrant, func(r result) int { return r.FalseNotRun }},
		{"a lost answer releases the key", mutateLostIsNotRun, func(r result) int { return r.Doubled }},
		{"refused claims are run", mutateFailOpen, func(r result) int { return r.Doubled }},
		{"claims are deleted too soon", mutateRetention, func(r result) int { return r.Doubled }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n := tc.caught(sum(runAll(1, 3*int(faultCount*faultCount), tc.mutation)))
			t.Logf("caught %d", n)
			is.True(n > 0)
		})
	}
}

// TestSameSeedGivesSameHistories checks that histories depend on the seed only.
func TestSameSeedGivesSameHistories(t *testing.T) {
	is := is.New(t)
	is.Equal(runAll(7, 50, mutateNothing), runAll(7, 50, mutateNothing))
}
