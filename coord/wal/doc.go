// Package wal implements a write-ahead log: an append-only log of checksummed records in a directory.
//
// A log consists of generation files, name-000001.log and up. Only one of them is current: the highest complete one. A
// generation starts with a header that says how many bytes of records it was created with. It is complete when all of
// these are present and valid; later appends follow them. Rewrite creates the next generation, syncs the file and the
// directory, and only then removes the older generations. Files are never renamed, so that no lost rename or removal can
// bring back old content in place of newer content. Each file has a random nonce that enters every checksum, so that
// stale bytes of another file are never read as records.
package wal
