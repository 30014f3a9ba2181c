package capacity

import (
	"runtime"
	"time"
)

// settleTime lets goroutines that are about to block do so.
const settleTime = 200 * time.Millisecond

// heapOf returns the live heap bytes that the value made by build holds.
func heapOf[T any](build func() T) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// liveMemory returns the live heap and the goroutines' stacks in bytes.
func liveMemory() uint64 {
	time.Sleep(settleTime)
	heap := liveHeap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + m.StackInuse
}
