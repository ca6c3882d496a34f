// Package replica is the core of a replicated state machine: it combines chain replication (package chain) with views that a majority
// agrees on (package view). Inputs go in through Step and Propose; messages to send, records to store and entries to apply come out in an
// Output. The core does no I/O, reads no clock and starts no goroutine; all times are readings of one monotonic clock. A Replica is used
// by one goroutine.
// Guarantees under crashes, power losses, lost disks, partitions, and any loss, duplication and reordering of messages: an entry that was
// delivered as committed is on the disks of at least f+1 replicas, is delivered by every replica in the same order and is never revoked,
// as long as no more than f disks are lost at once; two replicas never both act as the head, by their own clocks. There are no guarantees
// for disks that lose synced data or for processes that lie. docs/library/replica.md has the details.
package replica
