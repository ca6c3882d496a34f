// Package heaptest measures the heap of a test process.
package heaptest

import "runtime"

// LiveBytes returns the number of reachable bytes, after a garbage collection.
func LiveBytes() int64 {
	var figures runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&figures)
	return int64(figures.HeapAlloc)
}
