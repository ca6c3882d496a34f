// Package peersampling keeps a small random sample of the live processes by shuffling partial views (Cyclon): each process periodically
// exchanges a part of its view with the oldest peer of its view. The overlay of all views stays connected and balanced under churn, and
// descriptions of dead peers expire.
//
// The package is a pure core: it does no I/O, reads no clock and is not safe for concurrent use. Its unit of time is one shuffle of its own
// process.
//
// Guarantees: a view never contains its own process, two descriptions of one address, or more peers than its size. The overlay of all views
// stays connected with high probability, but not with certainty; seeds reconnect it. docs/library/peersampling.md has more details.
package peersampling
