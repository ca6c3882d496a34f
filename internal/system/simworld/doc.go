// Package simworld holds the tests of the whole system. They run the code of both programs in one testing/synctest bubble, over the
// simulated network of package simnet and the simulated disks of coord/wal, with hollow workers, the platform's list, operators, and
// clients that record histories. The package holds only tests; docs/design/control-safety/simulated-world.md describes them.
package simworld
