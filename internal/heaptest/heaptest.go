// Package heaptest tells tests what the heap of this process holds.
package heaptest

import "runtime"

// LiveBytes is how many bytes are reachable.
func LiveBytes() int64 {
	var figures runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&figures)
	return int64(figures.HeapAlloc)
}
