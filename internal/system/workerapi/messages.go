// Package workerapi calls the workers (start, stop, hold) and reads the platform's list of them, over net/http.
//
// Every call on a worker tells by its Outcome what is certain: whether an order was carried out, surely wasn't, or may yet
// be. A caller must take Unknown for both. Connections are kept, as each handshake is priced; a call whose context ends
// before its answer costs its connection, so contexts ought to outlast the answer.
package workerapi

// Worker names one life of a worker process and where it listens.
type Worker struct {
	Instance string
	Address  string
}

// StartOrder asks for one run of a task. DueAtMs is on the worker's clock, in milliseconds. Checkpoint is empty for none.
type StartOrder struct {
	Task       string
	Attempt    int
	Spec       string
	DueAtMs    int64
	FenceToken uint64
	Checkpoint string
}

// StopOrder asks to end one run of a task.
type StopOrder struct {
	Task       string
	Attempt    int
	FenceToken uint64
}

// HoldOrder renews the hold of all that runs on a worker and asks for its lists. DueAtMs is on the worker's clock and 0
// renews nothing; ends up to LastSeen are acknowledged; the answer waits WaitMs for an end (MaxWaitMs at most).
type HoldOrder struct {
	DueAtMs    int64
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64
}

// MaxWaitMs is the longest time that a worker waits for an end before it answers a hold.
const MaxWaitMs = 2000

// MaxFinished is the number of ends that a worker lists at a time: with so many, there may be more.
const MaxFinished = 500

// Reply is the answer to a start or a stop. ClockMs is the worker's clock, 0 if the answer told none.
type Reply struct {
	Outcome Outcome
	ClockMs int64
}

// HoldReply is the answer to a hold. The lists are whole only if Outcome is Done. RemainingMs is what a draining worker
// says that it has left, 0 if it says nothing.
type HoldReply struct {
	Outcome     Outcome
	ClockMs     int64
	RemainingMs int64
	Running     []RunningTask
	Finished    []FinishedTask
}

// RunningTask is one run that is present on a worker. Percent is its progress.
type RunningTask struct {
	Task       string
	Attempt    int
	Checkpoint string
	Percent    int
}

// FinishedTask is one end. N rises from 1 within each life of the worker.
type FinishedTask struct {
	N          uint64
	Task       string
	Attempt    int
	How        EndReason
	Checkpoint string
}
