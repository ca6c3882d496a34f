// Package replica combines the agreed view and the chain to one core: what it is told goes in by Step and Propose,
// what is to be sent, stored and applied comes out. It does no I/O, reads no clock and starts no goroutine; all
// times are on one steady clock. A Replica is used by one goroutine.
//
// Guarantees under crashes, losses of power, lost disks, cuts and any loss, doubling and reordering of messages: what came out as
// committed is on the disks of f+1 replicas at least, comes out at every replica in the same order and is never taken back, as long as
// no more than f disks are lost at once; of two replicas never both may act as the head, by their own clocks. Nothing is promised
// against disks that lose what they have synced, nor against processes that lie. docs/library/replica.md says more.
package replica
