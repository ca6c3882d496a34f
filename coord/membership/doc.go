// Package membership runs peer sampling and gossip between processes. In each round a node exchanges state with a peer. In some rounds it
// also shuffles its view with a peer. It pushes newly learned values to other peers.
//
// Guarantees: a subscriber receives the versions of a key in increasing order, in sequential calls. After Stop no goroutine of the node is
// left. A node has only a bounded number of exchanges in progress. docs/library/membership.md has more details.
package membership
