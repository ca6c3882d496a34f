// Package view defines the agreed view of the cluster: which replicas vote, and which are in the chain and in which order. It
// also contains what is needed to agree on the next view: an acceptor and a proposer of one single-decree Paxos instance per
// epoch, and the head's lease. It does no I/O, reads no clock and starts no goroutine.
//
// Guarantees, provided that an acceptor's state is on disk before its answers are sent: for each epoch at most one view is
// decided, whichever messages are lost, duplicated or delayed, whichever replicas restart, and however many of them propose. A
// head's lease ends before any other replica can be elected, provided that monotonic clocks drift apart by less than a tenth.
// Progress is not guaranteed without a majority of the voters. Nothing is guaranteed if a voter's disk returns with older
// content under the same identity. See docs/library/view.md.
package view
