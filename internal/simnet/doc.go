// Package simnet is a network of simulated connections between hosts, for tests that run in a testing/synctest bubble.
//
// A Network carries byte streams with TCP's promises and none beyond them: bytes come in order or not at all, after a latency that
// a seed draws; an end that closes with unread bytes, or is sent bytes after its close, resets the connection. The faults are those of
// real networks and hosts:
//
//   - Cut holds everything that goes one way between two hosts until Heal; dials wait, nothing is refused or reset.
//   - Refuse resets the connections between two hosts and refuses dials until Heal.
//   - Freeze silences a host both ways until Thaw; its connections survive.
//   - Stop is a stopped process (SIGSTOP): its host still takes connections and bytes, its own calls wait until Resume.
//   - Kill is the end of a process: its listeners close and its connections are reset.
//   - Reset breaks the connections between two hosts at once; what was under way is lost.
//   - SetPlan gives each new connection its own fate: an ending of either direction at an exact byte.
//
// All waiting is on sync.Cond and timers, so a bubble takes it for durably blocked. Under one seed a run repeats itself as far as the
// order of the goroutines that call does.
package simnet
