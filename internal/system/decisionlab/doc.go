// Package decisionlab runs the scheduler's decisions in virtual time. It runs the project's own scheduler over modelled workers, with
// calls and commits delayed as in production. On the same days it runs simple baseline policies and computes a bound that assumes full
// knowledge.
//
// A Deployment and a seed determine a day: which jobs arrive when, how long their tasks really take, and which faults occur. Another seed
// determines the durations of calls and commits, so that the same day can be played with other delays. The spread between such plays is the
// noise against which a difference is judged.
//
// The model omits accelerators and gangs, scheduled and long-running jobs, checkpoints, drains, tenants, the processor time of the head, and
// the dispatchers. The package has no I/O besides reading deployments. It starts goroutines only in PlayAll, one for each day that is played
// concurrently.
package decisionlab
