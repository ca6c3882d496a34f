// Package simworld holds the tests of the whole: both programs' own code in one testing/synctest bubble, over the simulated network of
// package simnet and the simulated disks of coord/wal, with hollow workers, the platform's list, operators and clients that keep
// histories. It has nothing but tests; docs/design/control-safety/simulated-world.md describes them.
package simworld
