// Package gossip spreads few versioned values epidemically: a newly learned value is pushed to some peers once (rumor), and
// pairwise exchanges of state bring the rest (anti-entropy, push and pull). Two peers with the same state exchange one hash only,
// long values are announced and sent only to those who want them, and nothing goes back to an older version within a life.
//
// The package is a pure core: it does no I/O, reads no clock and isn't safe for concurrent use. Times are on a steady clock.
//
// Guarantees: a store never goes back to an older version of a key; after one whole exchange both sides have the newest of either.
// That all have a value is a matter of rounds, and likely within few. Whoever sets a value has to give each version one content.
// docs/library/gossip.md says more.
package gossip
