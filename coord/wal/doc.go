// Package wal keeps an append-only log of checksummed records in a folder.
//
// A log is a sequence of generation files, name-000001.log and up, of which one counts: the highest that is complete. A
// generation starts with a header that tells how many bytes of records it was made with, and is complete when all of
// those are there and valid; later appends follow. Rewrite makes the next generation, syncs it and its folder, and only
// then removes the older ones. No name is ever changed, so that no lost rename or removal can bring old content back
// over newer content. Each file draws a random number that goes into every checksum, so that stale bytes of another file
// are never taken for records.
package wal
