package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// TestRequeue: ended places whose message got lost would stay counted until the next resync, and out of
// order they can't be encoded.
func TestRequeue(t *testing.T) {
	is := is.New(t)
	k := holds.CellKey{Pool: "pool", Of: 1}
	r := NewEnded()
	r.Add("a", k, 2, cell.Failed)
	r.Add("b", k, 9, cell.Answered)
	lost := r.TakeFor("a")
	is.Equal(len(r.TakeFor("a")), 0)
	<-r.Wake()
	r.Add("a", k, 1, cell.Unknown)
	<-r.Wake()
	r.Requeue("a", lost)
	<-r.Wake()
	all := r.Take()
	is.Equal(all["a"], []holds.EndedPlaces{{CellKey: k, Seqs: holds.Seqs{1, 2}, Failed: holds.Seqs{2}, Unknown: holds.Seqs{1}}})
	is.Equal(all["b"], []holds.EndedPlaces{{CellKey: k, Seqs: holds.Seqs{9}}})
	is.Equal(len(r.Take()), 0)
}
