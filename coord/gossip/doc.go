// Package gossip spreads a small number of versioned values with an epidemic protocol. A newly learned value is pushed to some peers once
// (rumor). Pairwise exchanges of state deliver the rest (anti-entropy, push and pull). Two peers with the same state exchange only one
// hash. Long values are announced and sent only to peers that request them. During one run of a process no key returns to an older version.
//
// The package is a pure core: it does no I/O, reads no clock and is not safe for concurrent use. Times are those of a monotonic clock.
//
// Guarantees: a store never replaces a version of a key by an older one. After one complete exchange both stores have the newest version
// that either had. All stores receive a value with high probability within a few rounds. The caller that sets values must give each version
// exactly one content. docs/library/gossip.md has more details.
package gossip
