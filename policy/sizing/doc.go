// Package sizing holds the parts of size-based scheduling that stand by themselves: an estimator of sizes from hints,
// a map from sizes to ranges of workers, the EDF demand test of a set of lanes, and the queue of held tasks.
//
// Everything here is pure: nothing reads a clock, does I/O or starts a goroutine. Times are readings of one steady clock
// and sizes are lengths of runs, both as time.Duration. Nothing is safe for use by several goroutines at once.
//
// Package policy, which decides for the dispatchers in service, states the same rules over its own state.
package sizing
