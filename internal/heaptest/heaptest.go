// Package heaptest measures the heap of a test process.
package heaptest

import "runtime"

// Held returns the number of reachable bytes, after a garbage collection.
func Held() int64 {
	var figures runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&figures)
	return int64(figures.HeapAlloc)
}
