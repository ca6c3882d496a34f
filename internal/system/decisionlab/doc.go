// Package decisionlab plays the scheduler's decisions in virtual time: the project's own scheduler, with its calls and commits delayed as in
// service, over modelled workers, and beside it plain policies and a bound that knows everything, on the same days.
//
// A day follows from a Deployment and a seed: which jobs come when, how long their tasks truly take, and what goes wrong. How long calls and
// commits take is drawn from another seed, so that the same day can be played with other luck: that is the noise by which a difference is judged.
//
// What it leaves out: accelerators and gangs, timed and lasting jobs, checkpoints, drains, tenants, the processor time of the head, and the
// dispatchers. It has no I/O besides reading deployments, and starts goroutines only in PlayAll, one for each day that is played at the same time.
package decisionlab
