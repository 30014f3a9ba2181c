package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
)

// BenchmarkAcquire measures acquiring and releasing a place, including the encoding of
// messages at both ends.
func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ nodes, engines int }{{8, 18}, {53, 196}, {53, 786}} {
		b.Run(fmt.Sprintf("nodes=%d/engines=%d", size.nodes, size.engines), func(b *testing.B) {
			f := newFleet(size.nodes, size.engines, 1)
			before := f.bytes()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				g, err := f.acquire(i%size.nodes, uint64(i))
				if err != nil {
					b.Fatal(err)
				}
				g.Release(Answered)
				if i%100 == 0 {
					f.advance(releaseDelay)
				}
			}
			b.ReportMetric(float64(f.bytes()-before)/float64(b.N), "bytes/request")
		})
	}
}

// BenchmarkPlan measures computing the plan with one pool of the node's region, as at each
// change of views, targets or settings.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ nodes, engines int }{{8, 18}, {53, 196}, {53, 786}} {
		b.Run(fmt.Sprintf("nodes=%d/engines=%d", size.nodes, size.engines), func(b *testing.B) {
			f := newFleet(size.nodes, size.engines, 8)
			n := f.nodes[0]
			in := inputs{settings: n.settings.Snapshot(), view: n.views.View(), targets: n.targets.Snapshot()}
			b.ResetTimer()
			for range b.N {
				p := newPlan(in, testRegion, func(membership.Node) bool { return false })
				p.nearest(testPool)
			}
		})
	}
}

// BenchmarkIdleControl reports the bytes of control messages that a node sends in a second
// without new requests, at 260 requests in flight for each node.
func BenchmarkIdleControl(b *testing.B) {
	for _, cells := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			const nodes, inFlight = 53, 260
			f := newFleet(nodes, 786, cells)
			for i := range nodes * inFlight {
				if _, err := f.acquire(i%nodes, uint64(i)); err != nil {
					b.Fatal(err)
				}
			}
			f.settle()
			before := f.bytes()
			b.ResetTimer()
			for range b.N {
				f.advance(time.Second)
			}
			b.ReportMetric(float64(f.bytes()-before)/float64(b.N)/nodes, "bytes/s/node")
		})
	}
}

// BenchmarkPlaceMemory reports the heap bytes of a place, at the node that holds it and at
// the owner together, including the chat's entry in LastTargets at both.
func BenchmarkPlaceMemory(b *testing.B) {
	const nodes, inFlight = 53, 260
	for range b.N {
		f := newFleet(nodes, 786, 8)
		before := heap()
		grants := make([]Grant, 0, nodes*inFlight)
		for i := range nodes * inFlight {
			g, err := f.acquire(i%nodes, uint64(i))
			if err != nil {
				b.Fatal(err)
			}
			grants = append(grants, g)
		}
		b.ReportMetric(float64(heap()-before)/float64(len(grants)), "bytes/place")
		runtime.KeepAlive(f)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
