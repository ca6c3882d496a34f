// Package view holds the agreed view of the cluster: who votes, who is in the chain and in which order, and
// the parts by which the next view is agreed: an acceptor and a proposer of one single-decree Paxos instance an
// epoch, and the head's lease. It does no I/O, reads no clock and starts no goroutine.
//
// Guarantees, as long as acceptors' states are on disk before their answers leave: of each epoch there is one view at most, whatever
// is lost, doubled, late or restarted, and however many propose. A head's lease ends before any other replica can be elected, as long
// as steady clocks drift apart by less than a tenth. Nothing is promised about progress without a majority of the voters, nor
// if a voter's disk comes back with an older content under the same identity. docs/library/view.md says more.
package view
