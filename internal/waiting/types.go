// Package waiting holds jobs that wait for a set time, for the end of earlier jobs, or for both. It decides when a
// waiting job is passed to the decision module, paces jobs that become ready together, keeps waiting jobs from starving
// behind fresh traffic, and remembers the final state of each job for a limited time.
//
// The queue does no I/O, reads no clock and starts no goroutine: equal calls produce equal actions. It is not safe for
// concurrent use. Times are readings of the caller's clock, which must not go backwards.
package waiting

import (
	"fmt"
	"time"
)

// State is the state of a job.
type State uint8

// The states. Served and all later ones are final: a job enters exactly one of them, once.
const (
	Waiting   State = iota // waits for its set time or for an earlier job
	Ready                  // may run; waits for its turn
	Released               // passed to the decision module, or sent to a host
	Served                 // a host returned its result
	Refused                // it did not run, or its class is safe to repeat: a retry does no harm
	Failed                 // it may or may not have run
	Cancelled              // cancelled before it was sent
)

var stateNames = [...]string{"waiting", "ready", "released", "served", "refused", "failed", "cancelled"}

func (s State) String() string { return stateNames[s] }

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Served }

// Final statuses of jobs, as HTTP status codes.
const (
	StatusServed     = 200
	StatusUnknown    = 404 // reply to a query: no such job, or already forgotten
	StatusConflict   = 409 // an id used twice, an unknown predecessor, or a cancellation that came too late
	StatusCancelled  = 410
	StatusDependency = 424 // a predecessor was not served
	StatusRefused    = 429
	StatusFailed     = 500
	StatusFull       = 503 // a limit on jobs or bytes is reached, or the program is stopping
)

// Limits are the operators' limits for the queue. They may change while it is in use.
type Limits struct {
	MaxJobs       int           // jobs that are waiting, ready or released at any one time
	MaxKept       int           // final jobs remembered; beyond this the oldest are forgotten before their retention ends
	MaxBytes      int64         // bodies of waiting jobs and kept results together
	Retention     time.Duration // how long a final state is kept
	DefaultDue    time.Duration // due time of a job that sets none
	MaxDue        time.Duration
	MaxDelay      time.Duration // how far in the future a set time may lie
	Share         float64       // part of the fleet that waiting jobs may claim while fresh jobs are refused; 0 to 1
	ClientShare   float64       // part of MaxJobs that one client may hold; 0 to 1
	RunOnFailure  bool          // run a job even if a predecessor was not served; otherwise it fails with 424
	RememberFresh bool          // remember jobs that do not wait too, so that others can wait for them
}

// Defaults returns the limits that apply where the settings set none.
func Defaults() Limits {
	return Limits{MaxJobs: 10_000, MaxKept: 10_000, MaxBytes: 4 << 20, Retention: 10 * time.Minute,
		DefaultDue: 30 * time.Second, MaxDue: time.Hour, MaxDelay: 24 * time.Hour, Share: 0.5, ClientShare: 0.25,
		RememberFresh: true}
}

// Check validates the limits. The error begins with the key as it stands in the settings file.
func (l *Limits) Check() error {
	for _, c := range []struct {
		key  string
		good bool
		want string
	}{
		{"max_jobs", l.MaxJobs >= 1 && l.MaxJobs <= 10_000_000, "1 to 10000000"},
		{"max_kept", l.MaxKept >= 1 && l.MaxKept <= 10_000_000, "1 to 10000000"},
		{"max_bytes", l.MaxBytes >= 64<<10, "65536 at least, one body"},
		{"retention", l.Retention >= time.Second, "1s at least"},
		{"default_due", l.DefaultDue >= 100*time.Millisecond && l.DefaultDue <= l.MaxDue, "100ms to max_due"},
		{"max_due", l.MaxDue <= 30*24*time.Hour, "720h at most"},
		{"max_delay", l.MaxDelay > 0 && l.MaxDelay <= 366*24*time.Hour, "more than 0s and 8784h at most"},
		{"share", l.Share > 0 && l.Share < 1, "more than 0 and less than 1"},
		{"client_share", l.ClientShare > 0 && l.ClientShare <= 1, "more than 0 and 1 at most"},
	} {
		if !c.good {
			return fmt.Errorf("%s: out of range, %s", c.key, c.want)
		}
	}
	return nil
}

// Fleet describes the dispatchers and job classes around the queue.
type Fleet struct {
	Replicas    int // dispatchers that share the hosts
	MaxAttempts int // sends of one job, over all its turns
	Classes     []Class
}

// Class is a class of jobs.
type Class struct {
	Name       string
	Deadline   time.Duration // how long a client waits over all its attempts
	Repeatable bool          // a second run does no harm
}

// Job is a job to hold, or a fresh one that is passed on at once.
type Job struct {
	Number   uint64 // assigned by the program, never reused
	Name     string // the client's id
	Client   string // the client whose quota it counts against
	Class    int
	Tenant   int
	Size     time.Duration
	Slots    int
	Arrived  time.Duration
	Deadline time.Duration // when the client of an attached job gives up
	Bytes    int           // size of its body

	Attached  bool          // its client waits on its connection, until Deadline at most
	NotBefore time.Duration // absolute; 0: none
	After     []string
	Due       time.Duration // counted from when the job is ready; 0: the default
}

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of actions. Each comment names the fields that are set.
const (
	Release  ActionKind = iota // Job, Budget, Tried, Waited: pass the job to the decision module now
	Accept                     // Job: the job is held and no longer depends on its connection
	Answer                     // Job, Status, Why, After: the final answer; that of a detached job is not sent to anyone
	Withdraw                   // Job: the decision module holds the job and must not send it any more
	Reply                      // Ask, Status, Info: the reply to a query
)

// Action is something that the program has to do. Actions are carried out in order.
type Action struct {
	Kind       ActionKind
	Job        Job // for Release the whole job except After; otherwise only its Number
	Budget     time.Duration
	Attempts   int           // sends in earlier turns
	Waited     time.Duration // time that an attached job has waited at its own request
	Status     int
	Reason     string
	RetryAfter time.Duration // value for Retry-After; 0: none
	Query      uint64
	Info       *Info    // nil if Status says that there is none
	List       *JobList // of a list
}

// JobList is a list of jobs, with the counts of the whole queue.
type JobList struct {
	Jobs  []Info
	Stats Stats
}

// Outcome is the outcome of one send.
type Outcome uint8

// The outcomes.
const (
	OK         Outcome = iota // the host returned the result
	NeverRan                  // the job provably did not run
	MayHaveRun                // the job may have run
	Rejected                  // the host will not accept a job like this one, now or later
)

// Info describes a job to those who query it.
type Info struct {
	Name       string
	State      State
	Class      string
	Due        time.Duration
	Waited     time.Duration // from ready to its last send, or until now
	Attempts   int
	Status     int // of a final job
	Result     string
	ResultShed bool // there was a result, but it was dropped for lack of space
}

// Query is a query about one job or about all, or the cancellation of a job.
type Query struct {
	Number     uint64 // assigned by the caller
	Name       string // empty: a list
	Deadline   time.Duration
	Cancel     bool
	MaxJobs    int    // of a list: maximum number of jobs
	StartAfter string // of a list: the id after which it starts
}

// Stats counts what the queue holds and has done.
type Stats struct {
	Waiting  int   `json:"waiting"`
	Ready    int   `json:"ready"`
	Released int   `json:"released"`
	Kept     int   `json:"kept"` // final jobs that are remembered
	Bytes    int64 `json:"bytes"`
	Window   int   `json:"window"` // how many jobs may be released at once

	Submitted uint64 `json:"submitted"`
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Full      uint64 `json:"full"`  // rejected because a limit was reached
	Fresh     uint64 `json:"fresh"` // jobs that did not ask to wait

	Turns     uint64  `json:"turns"`
	TurnsBack uint64  `json:"turns_back"` // refused by the decision module and queued again
	Overdue   uint64  `json:"overdue"`    // sent after their due time
	Longest   float64 `json:"longest"`    // longest wait of a sent job, as a multiple of its due time

	ForgottenEarly uint64 `json:"forgotten_early"` // before their retention ended, because of max_kept
	ResultsShed    uint64 `json:"results_shed"`    // because of max_bytes
}
