package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkNodeSecond runs a fleet without faults and reports the processor time per
// node and second, and the heap memory per node. Both include the simulated network but
// no JSON encoding.
func BenchmarkNodeSecond(b *testing.B) {
	for _, nodes := range []int{8, 53, 370} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(nodes, 1)
			f.Run(time.Minute)
			used := heapBytes() - before
			for b.Loop() {
				f.Run(time.Second)
			}
			b.ReportMetric(float64(used)/float64(nodes), "heap-B/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(nodes), "ns/node-second")
		})
	}
}

// heapBytes returns the bytes of allocated heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
