// Package dispatch wraps the decision module. It turns typed messages into the module's events and the module's actions into typed
// commands, and keeps the table of jobs and their upstream requests. It does no I/O, reads no clock and knows no protocol, so that
// several protocols can share the same decisions and rules.
package dispatch

import (
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// Key identifies an upstream request: attempt number Attempt of a job.
type Key struct {
	Job     uint64
	Attempt int
}

// Message is an event that the network layer reports.
type Message interface{ message() }

// JobArrived reports a new job. Its deadline is At + Budget.
type JobArrived struct {
	Job           uint64
	Class, Tenant int // Tenant -1: none
	At            time.Duration
	Budget, Size  time.Duration // Size 0: no hint
	Slots         int
	Retry         bool

	Name, Client    string        // the job's id and the client that sent it, for gates
	Bytes           int           // size of the body
	Wait            *Wait         // what the job asks of the waiting room; nil: nothing
	EarlierAttempts int           // attempts made before this arrival; attempt numbers in Keys continue from here
	Waited          time.Duration // part of Budget that the job waited at its client's request
	Key             uint64        // what the job concerns, equal in all retries of its client; valid if Keyed
	Keyed           bool
}

// Wait is what a job asks of the waiting room.
type Wait struct {
	NotBefore time.Duration // relative to the arrival
	Due       time.Duration // relative to when the job is ready; 0: the default of the settings
	After     []string      // names of earlier jobs that must end first
	Detached  bool          // the job goes on if its client disconnects
}

// ClientGone reports that the client has disconnected: the job needs no answer any more.
type ClientGone struct{ Job uint64 }

// JobStarted reports that a job has begun to run.
type JobStarted struct{ Key }

// JobProgress reports what share of a job is done.
type JobProgress struct {
	Key
	Share float64
}

// AttemptEnded is the outcome of an upstream request. Each Send has exactly one.
type AttemptEnded struct {
	Key
	Result policy.Result
	Load   *policy.Load // nil: the response had no load report
	Body   []byte       // of an OK response, for gates that store it
}

// ProbeEnded is the outcome of a Probe.
type ProbeEnded struct {
	Worker uint32
	Result policy.Result
	Took   time.Duration
	Load   *policy.Load
}

// HostList is the cluster's list of hosts (Whole), or changes to it.
type HostList struct {
	Version uint64
	Whole   bool
	Stale   bool // a copy from before this process started
	Hosts   []Host
}

// ListLost reports that a request for the list has failed or that the watch was interrupted.
type ListLost struct{}

// JobQuery asks about a job that waits or has waited, or about all of them if Name is empty. The answer is one QueryResult.
type JobQuery struct{ waiting.Query }

// QueryCancelled reports that the client of a JobQuery has gone.
type QueryCancelled struct{ Query uint64 }

// Shutdown reports that the program ends and sends answers until Deadline.
type Shutdown struct{ Deadline time.Duration }

// WaitingLimits brings new limits of the waiting room.
type WaitingLimits struct{ Limits waiting.Limits }

func (JobQuery) message()       {}
func (QueryCancelled) message() {}
func (Shutdown) message()       {}
func (WaitingLimits) message()  {}
func (JobArrived) message()     {}
func (ClientGone) message()     {}
func (JobStarted) message()     {}
func (JobProgress) message()    {}
func (AttemptEnded) message()   {}
func (ProbeEnded) message()     {}
func (HostList) message()       {}
func (ListLost) message()       {}

// Host is an entry of the cluster's list.
type Host struct {
	Name, Addr string
	Zone, Kind int // -1: not in the settings
	Cell       int
	State      policy.State
	Scale      float64
	StartedAt  time.Duration // last start, on the clock of Step; 0: long ago
}

// Command is an operation for the network layer.
type Command interface{ command() }

// Send starts an upstream request, which is given up at Deadline.
type Send struct {
	Key
	Addr     string
	Deadline time.Duration
}

// CancelSend cancels an upstream request.
type CancelSend struct{ Key }

// CancelUnsent cancels an upstream request if its last byte has not been written yet, because its host must get no new jobs. A request
// that has been written goes on.
type CancelUnsent struct{ Key }

// LocalReply is the final answer to a job that no upstream host has served. Refused promises that a repeat is harmless. Only then may
// RetryAfter advise when to retry.
type LocalReply struct {
	Job        uint64
	Refused    bool
	RetryAfter time.Duration
	Status     int    // HTTP status; 0: derived from Refused
	Reason     string // for the client, in words
}

// Accepted confirms that a job goes on if its client disconnects.
type Accepted struct{ Job uint64 }

// QueryResult answers a JobQuery.
type QueryResult struct {
	Query  uint64
	Status int
	Info   *waiting.Info    // of one job
	Board  *waiting.JobList // of all jobs
}

// Probe asks an upstream host for its load.
type Probe struct {
	Worker uint32
	Addr   string
}

// Watch asks the cluster for all changes after Version.
type Watch struct{ Version uint64 }

// Log is a line for the log. Warn is set if an operator should see it.
type Log struct {
	Text string
	Warn bool
}

func (Send) command()         {}
func (CancelSend) command()   {}
func (CancelUnsent) command() {}
func (LocalReply) command()   {}
func (Probe) command()        {}
func (Watch) command()        {}
func (Log) command()          {}
func (Accepted) command()     {}
func (QueryResult) command()  {}
