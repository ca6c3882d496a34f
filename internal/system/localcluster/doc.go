// Package localcluster runs the whole system on the loopback interface of one machine. Both programs run as real processes. Scale runs
// put many dispatchers into one process. The simulated (hollow) workers, the platform's worker list, the operator and the clients run
// in the calling process. The package checks the commands that workers receive, injects troubles, and measures the resource usage of
// each role.
//
// Every simulated machine has its own address in 127.0.0.0/8. All machines can therefore use the same ports, as in a deployment.
package localcluster
