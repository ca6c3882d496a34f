// Package dispatch is the core round the decision module: it turns typed messages into the module's events
// and the module's actions into typed commands, and keeps the table of jobs and their upstream requests.
// It does no I/O, reads no clock and knows no protocol, so that a second protocol can go through the same
// decisions and keep the same rules.
package dispatch

import (
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// Key names one upstream request: the attempt with number Attempt of a job.
type Key struct {
	Job     uint64
	Attempt int
}

// Message is one thing that the sockets saw.
type Message interface{ message() }

// JobArrived tells of a new job. Its deadline is Budget after At.
type JobArrived struct {
	Job           uint64
	Class, Tenant int // Tenant -1: none
	At            time.Duration
	Budget, Size  time.Duration // Size 0: no hint
	Slots         int
	Retry         bool

	Name, Client    string        // its id and who sent it, for gates
	Bytes           int           // of its body
	Wait            *Wait         // what it asks of the waiting room; nil: nothing
	EarlierAttempts int           // sends of it in earlier turns: its Keys count on from there
	Waited          time.Duration // of Budget, spent by its client's own wish
	Key             uint64        // of what it concerns, alike in all of its client's tries; Keyed: there is one
	Keyed           bool
}

// Wait is what a job asks of the waiting room.
type Wait struct {
	NotBefore time.Duration // from its arrival
	Due       time.Duration // from when it is ready; 0: as the settings say
	After     []string      // names of earlier jobs
	Detached  bool          // it lives on without its connection
}

// ClientGone tells that the downstream client has gone: nothing is owed to it any more.
type ClientGone struct{ Job uint64 }

// JobStarted tells that a job has begun to run.
type JobStarted struct{ Key }

// JobProgress tells how much of a job is done.
type JobProgress struct {
	Key
	Share float64
}

// AttemptEnded is the outcome of an upstream request; each Send has exactly one.
type AttemptEnded struct {
	Key
	Result policy.Result
	Load   *policy.Load // nil: none came along
	Body   []byte       // of OK, for gates that keep it
}

// ProbeEnded is the outcome of a Probe.
type ProbeEnded struct {
	Worker uint32
	Result policy.Result
	Took   time.Duration
	Load   *policy.Load
}

// HostList brings the cluster's list or its changes.
type HostList struct {
	Version uint64
	Whole   bool
	Stale   bool // a copy from before this start
	Hosts   []Host
}

// ListLost tells that a call for the list failed or that the watch broke.
type ListLost struct{}

// JobQuery is a question about a job that waits or has waited, or with no Name about all. It is answered by one Told.
type JobQuery struct{ waiting.Query }

// QueryCancelled tells that the one who asked has gone.
type QueryCancelled struct{ Query uint64 }

// Shutdown tells that the program ends and gives answers until By.
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

// Host is one entry of the cluster's list.
type Host struct {
	Name, Addr string
	Zone, Kind int // -1: not in the settings
	Cell       int
	State      policy.State
	Scale      float64
	StartedAt  time.Duration // last start, on the clock of Step; 0: long ago
}

// Command is one thing for the sockets to do.
type Command interface{ command() }

// Send starts an upstream request, to be given up at Until.
type Send struct {
	Key
	Addr     string
	Deadline time.Duration
}

// CancelSend gives up an upstream request.
type CancelSend struct{ Key }

// CancelUnsent gives up an upstream request whose last byte has not been written: its host is to get nothing new. One that has
// been sent goes on.
type CancelUnsent struct{ Key }

// LocalReply is the final answer to a job that no upstream host served. Refused promises that a repeat is
// harmless, and only then may RetryAfter advise when to come back.
type LocalReply struct {
	Job        uint64
	Refused    bool
	RetryAfter time.Duration
	Status     int    // what HTTP calls it; 0: as Refused says
	Reason     string // in words
}

// Accepted promises that a job lives on without its connection.
type Accepted struct{ Job uint64 }

// QueryResult is the answer to an Asked.
type QueryResult struct {
	Query  uint64
	Status int
	Info   *waiting.Info    // of one job
	Board  *waiting.JobList // of all
}

// Probe asks an upstream host for its load.
type Probe struct {
	Worker uint32
	Addr   string
}

// Watch asks the cluster for all changes after Version.
type Watch struct{ Version uint64 }

// Log is a line for the log; Warn: one that somebody should see.
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
