package cell

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{18, 196, 786, 5500} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			c := evenlyLoadedCell(n, 18)
			h := Holder{Node: "bench"}
			requests := make([]string, 64)
			for i := range requests {
				requests[i] = fmt.Sprint("request-", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := requests[i%len(requests)]
				c.Release(h, r)
				// A new chat each time, so that no remembered target shortens the scan.
				c.Acquire(epoch, AcquireRequest{Holder: h, Request: r, Chat: uint64(i), Workspace: "w", Urgency: 3})
			}
		})
	}
}

// evenlyLoadedCell returns a cell of n targets with the same number of requests on each.
func evenlyLoadedCell(n, each int) *Cell {
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 64})
	targets := make([]Target, n)
	var places []Place
	for i := range targets {
		targets[i] = Target{ID: fmt.Sprintf("engine-%04d", i), Capacity: 1}
		for j := range each {
			places = append(places, Place{Request: fmt.Sprint(i, "/", j), Target: targets[i].ID, Chat: uint64(i*each + j)})
		}
	}
	c.SetTargets(targets)
	c.Resync(Holder{Node: "load"}, places)
	return c
}

// BenchmarkMemory reports the heap bytes of one remembered chat.
func BenchmarkMemory(b *testing.B) {
	const chats = 1 << 17
	for b.Loop() {
		before := heapBytes()
		m := NewLastTargets(chats)
		for i := range uint64(chats) {
			m.Put(epoch, i*0x9e3779b97f4a7c15, "engine-0001")
		}
		after := heapBytes()
		b.ReportMetric(float64(after-before)/chats, "B/chat")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
