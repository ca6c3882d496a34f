// Package simnet is a network of simulated connections between hosts, for tests that run in a testing/synctest bubble.
//
// A Network carries byte streams with the guarantees of TCP and no others: bytes arrive in order or not at all, after a latency that is
// drawn from a seeded generator. An end that closes with unread bytes, or receives bytes after its close, resets the connection. The
// faults are those of real networks and hosts:
//
//   - Cut holds all data in one direction between two hosts until Heal; dials wait, nothing is refused or reset.
//   - Refuse resets the connections between two hosts and refuses dials until Heal.
//   - Freeze holds all data from and to a host until Thaw; its connections survive.
//   - Stop is a stopped process (SIGSTOP): its host still accepts connections and bytes, its own calls wait until Resume.
//   - Kill is the end of a process: its listeners close and its connections are reset.
//   - Reset resets the connections between two hosts at once; data in flight is lost.
//   - SetPlan can end either direction of each new connection at an exact byte.
//
// All waiting is on sync.Cond and timers, so a bubble regards waiting goroutines as durably blocked. Runs with the same seed are equal
// as far as the order in which goroutines call the network is equal.
package simnet
