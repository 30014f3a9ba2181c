package holds_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// BenchmarkGrant measures one grant at the owner of 36 places: an ask of one of 64 nodes that reports
// the end of another place, and the settlement. In the steady state each ask waits for as long as
// that many others take.
func BenchmarkGrant(b *testing.B) {
	const nodes, workspaces = 64, 24
	for _, waiting := range []int{0, 100, 300, 600} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			queue := cell.DefaultQueueConfig()
			o := holds.NewOwner(cell.Config{MaxInFlight: 1, Queue: &queue})
			var targets []cell.Target
			for i := range 6 {
				targets = append(targets, cell.Target{ID: fmt.Sprint("service-", i), Capacity: 6})
			}
			o.SetTargets(targets)
			var asks []holds.Acquire
			for i := range nodes * 3 {
				asks = append(asks, holds.Acquire{
					From: holds.From{Node: fmt.Sprint("node-", i%nodes), Incarnation: 1}, CellKey: key,
					Workspace: fmt.Sprint("workspace-", i%workspaces), Urgency: i % 3, Domain: "b",
				})
			}
			var ends []holds.EndedPlaces // the places held, oldest first
			var holders []cell.Holder
			grants, now := 0, start
			ask := func(i int) {
				m := asks[i%len(asks)]
				m.Seq = uint64(i + 1)
				if r := o.Acquire(now, m); r.Code == holds.Granted {
					ends, holders = append(ends, holds.EndedPlaces{CellKey: key, Seqs: holds.Seqs{m.Seq}}), append(holders, m.Holder())
					grants++
				}
				for _, d := range o.Settle(now) {
					if d.Reply.Code == holds.Granted {
						ends, holders = append(ends, holds.EndedPlaces{CellKey: key, Seqs: holds.Seqs{d.Seq}}), append(holders, d.Holder)
						grants++
					}
				}
			}
			next := 0
			for ; next < 36+waiting; next++ {
				ask(next)
			}
			b.ReportAllocs()
			grants = 0
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				o.ReleaseWithResults(now, holders[0], ends[0])
				ends, holders = ends[1:], holders[1:]
				ask(next)
				if next++; next%500 == 0 { // each second the nodes' resyncs remove the ended asks
					for _, m := range asks[:nodes] {
						o.Resync(now, holds.Resync{From: m.From, CellKey: key, At: uint64(max(next-2000, 1))})
					}
				}
			}
			b.ReportMetric(float64(grants)/float64(b.N), "grants/op")
			b.ReportMetric(float64(o.QueueLength()), "waiting")
		})
	}
}
