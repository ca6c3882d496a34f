// Package peersampling keeps a small random sample of the live processes by shuffling partial views (Cyclon): each process now
// and then swaps a part of its view with the peer that it has known for longest. The overlay of all views stays connected and
// balanced under churn, and descriptions of dead peers run out.
//
// The package is a pure core: it does no I/O, reads no clock and isn't safe for concurrent use. Its unit of time is the own
// shuffle.
//
// Guarantees: a view never holds its own process, nor two descriptions of one address, nor more peers than its size. That the overlay of
// all views stays connected is likely, not certain; seeds mend it. docs/library/peersampling.md says more.
package peersampling
