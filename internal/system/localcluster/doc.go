// Package localcluster runs the whole system on one machine's loopback: real processes of both programs, many dispatchers to a
// process where the run is about scale, hollow workers and the platform's list in this process, an operator and clients. It checks
// what workers were told, causes troubles, and measures what each role costs.
//
// Every machine has an address of its own in 127.0.0.0/8, so that ports are alike on all of them, as they are where the system is
// deployed.
package localcluster
