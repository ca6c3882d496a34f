// Package workerapi calls the workers (start, stop, hold) and reads the platform's list of workers, over net/http.
//
// The Outcome of a call states what is certain: the order was carried out, was certainly not carried out, or may still be
// carried out. A caller must treat Unknown as both possible. Connections are reused, because each handshake has a cost. A call
// whose context ends before the answer closes its connection, so contexts should outlast the answer.
package workerapi

// Worker identifies one instance of a worker process (a restart is a new instance) and the address at which it listens.
type Worker struct {
	Instance string
	Address  string
}

// StartOrder orders one run of a task. DueAtMs is on the worker's clock, in milliseconds. Checkpoint is empty for a start from the beginning.
type StartOrder struct {
	Task       string
	Attempt    int
	Spec       string
	DueAtMs    int64
	FenceToken uint64
	Checkpoint string
}

// StopOrder orders the end of one run of a task.
type StopOrder struct {
	Task       string
	Attempt    int
	FenceToken uint64
}

// HoldOrder renews the hold on all runs of a worker and requests its lists. DueAtMs is on the worker's clock, in milliseconds; 0
// renews nothing. Ends up to LastSeen are acknowledged. The worker waits up to WaitMs (MaxWaitMs at most) for an end before it answers.
type HoldOrder struct {
	DueAtMs    int64
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64
}

// MaxWaitMs is the longest time, in milliseconds, that a worker waits for an end before it answers a hold.
const MaxWaitMs = 2000

// MaxFinished is the maximum number of ends in one answer. If an answer lists that many, there may be more.
const MaxFinished = 500

// Reply is the answer to a start or a stop. ClockMs is the worker's clock, 0 if the answer doesn't contain it.
type Reply struct {
	Outcome Outcome
	ClockMs int64
}

// HoldReply is the answer to a hold. The lists are complete only if Outcome is Done. RemainingMs is the time that a draining
// worker has left, 0 if the answer doesn't contain it.
type HoldReply struct {
	Outcome     Outcome
	ClockMs     int64
	RemainingMs int64
	Running     []RunningTask
	Finished    []FinishedTask
}

// RunningTask is one run on a worker. Percent is its progress.
type RunningTask struct {
	Task       string
	Attempt    int
	Checkpoint string
	Percent    int
}

// FinishedTask is one ended run. N counts the ends of a worker instance from 1.
type FinishedTask struct {
	N          uint64
	Task       string
	Attempt    int
	How        EndReason
	Checkpoint string
}
