package store

import (
	"cmp"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a revision of an earlier era that counts as newer than one of a later era.
func TestPositionsCompareByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Int64Range(0, maxEra), rapid.Int64Range(0, maxRevision)
		e1, r1 := era.Draw(t, "era"), revision.Draw(t, "revision")
		e2, r2 := era.Draw(t, "other era"), revision.Draw(t, "other revision")
		want := cmp.Or(cmp.Compare(e1, e2), cmp.Compare(r1, r2))
		p := Position(e1, r1)
		if got := cmp.Compare(p, Position(e2, r2)); got != want {
			t.Fatalf("%d, not %d", got, want)
		}
		if EraOf(p) != e1 || RevisionOf(p) != r1 {
			t.Fatalf("%d is era %d, revision %d", p, EraOf(p), RevisionOf(p))
		}
	})
}

// Guards against numbers of a faulty store that spill over into the other half of a position.
func TestPositionOfNumbersOutOfRange(t *testing.T) {
	is := is.New(t)
	is.Equal(Position(2, math.MaxInt64), Position(2, maxRevision))
	is.Equal(Position(math.MaxInt64, 5), Position(maxEra, 5))
	is.Equal(Position(-1, -1), int64(0))
	is.Equal(Position(0, 17), int64(17)) // what releases that know no eras compare
}
