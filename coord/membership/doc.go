// Package membership runs peer sampling and gossip between processes: in each round a node exchanges state with a peer, now and
// then shuffles views with one, and pushes on what it learns.
//
// Guarantees: a subscriber sees the versions of a key in rising order, one after the other; Stop leaves no goroutine behind; no node has
// more than a few exchanges out at once. docs/library/membership.md says more.
package membership
