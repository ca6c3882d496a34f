package figures

import "time"

// bucketBounds are the inclusive upper bounds of a histogram's buckets. One more bucket counts the longer durations.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second,
}

// Histogram counts durations by size. It is not safe for concurrent use.
type Histogram struct {
	counts [len(bucketBounds) + 1]uint64
	sum    time.Duration
}

// Observe counts one duration.
func (h *Histogram) Observe(duration time.Duration) {
	at := 0
	for at < len(bucketBounds) && duration > bucketBounds[at] {
		at++
	}
	h.counts[at]++
	h.sum += duration
}

// Count returns the number of observed durations.
func (h *Histogram) Count() uint64 {
	total := uint64(0)
	for _, count := range h.counts {
		total += count
	}
	return total
}
