package holds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// TestEmptyCellWithoutOwnerIsForgotten: a cell that no node owns any more, since the number of cells
// has changed or the pool is no longer dispatched, would otherwise be reported in vain four times a
// second for ever.
func TestEmptyCellWithoutOwnerIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := holds.NewTable(sender(0), timing)
	owner := id(1)
	ownerOf := func(holds.CellKey) (cell.Holder, bool) { return owner, true }
	resync := func() int {
		now = now.Add(timing.Interval)
		due := table.DueResyncs(now, ownerOf)
		for _, d := range due {
			table.ResyncAnswered(now, d.Owner, table.BuildResync(d.Key, d.Owner), holds.ResyncReply{NotOwner: true})
		}
		return len(due)
	}
	q := table.Begin(now, key, owner)
	table.Grant(now, key, owner, holds.Place{Seq: q, Target: "a"})
	is.Equal(resync(), 1)
	is.Equal(resync(), 1) // a place is held
	table.Release(key, q)
	is.Equal(resync(), 1) // reports that nothing is held
	is.Equal(resync(), 0)
}
