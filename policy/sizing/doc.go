// Package sizing has the independent parts of size-based scheduling: an estimator of sizes from hints, a map from sizes to
// ranges of workers, the EDF demand test for a set of lanes, and the queue of held tasks.
//
// The package is deterministic: nothing reads a clock, does I/O or starts a goroutine. Times are readings of one monotonic
// clock and sizes are lengths of runs, both as time.Duration. Nothing is safe for concurrent use.
//
// Package policy, which decides for the dispatchers in service, implements the same rules on its own state.
package sizing
