// Package waiting decides about jobs that wait: for a set time, for the end of earlier jobs, or for both. It says
// when such a job comes before the decision module, paces what becomes ready together, lets nothing starve behind
// fresh traffic, and keeps one final state of each job for a while.
//
// A Room does no I/O, reads no clock and starts no goroutine: equal calls give equal Actions. It is not safe for use
// by more than one goroutine. Times are on the caller's clock; it never goes back.
package waiting

import (
	"fmt"
	"time"
)

// State is what has become of a job.
type State uint8

// The states. From Served on they are final: a job has exactly one of these, once.
const (
	Waiting   State = iota // for its time or for an earlier job
	Ready                  // may run; waits for its turn
	Released               // before the decision module, or out at a host
	Served                 // a host gave its result
	Refused                // it never ran, or may be repeated: trying again is harmless
	Failed                 // no promise is made
	Cancelled              // called off before it went out
)

var stateNames = [...]string{"waiting", "ready", "released", "served", "refused", "failed", "cancelled"}

func (s State) String() string { return stateNames[s] }

// Final tells whether nothing more becomes of a job.
func (s State) Final() bool { return s >= Served }

// Statuses of final jobs, as HTTP has them.
const (
	StatusServed     = 200
	StatusUnknown    = 404 // of an Ask: no such job, or forgotten
	StatusConflict   = 409 // an id used twice, an unknown predecessor, a cancel that came too late
	StatusCancelled  = 410
	StatusDependency = 424 // a job that it waited for was not served
	StatusRefused    = 429
	StatusFailed     = 500
	StatusFull       = 503 // there is no room
)

// Limits bound a Room. They are set by the operators and may change while it is in use.
type Limits struct {
	MaxJobs      int           // jobs that wait, are ready or are out, at once
	MaxKept      int           // final ones remembered; the oldest are forgotten first, before their time if need be
	MaxBytes     int64         // bodies that wait and results that are kept, together
	Retention    time.Duration // how long a final state is kept
	DefaultDue   time.Duration // due time of a job that names none
	MaxDue       time.Duration
	MaxDelay     time.Duration // how far ahead a set time may lie
	Share        float64       // of the fleet, that waiting jobs may claim while fresh ones are refused; 0 to 1
	ClientShare  float64       // of MaxJobs, that one client may hold; 0 to 1
	RunOnFailure bool          // a job whose predecessor was not served runs all the same; else it fails with 424
	Fresh        bool          // jobs that do not wait are remembered too, so that others can wait for them
}

// Defaults are the limits where the settings name none.
func Defaults() Limits {
	return Limits{MaxJobs: 10_000, MaxKept: 10_000, MaxBytes: 4 << 20, Retention: 10 * time.Minute,
		DefaultDue: 30 * time.Second, MaxDue: time.Hour, MaxDelay: 24 * time.Hour, Share: 0.5, ClientShare: 0.25,
		Fresh: true}
}

// Check finds limits that make no sense. The error begins with the key as the settings file has it.
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

// Fleet is what a Room has to know of the program round it.
type Fleet struct {
	Replicas    int // dispatchers that share the hosts
	MaxAttempts int // sends of one job, over all its turns
	Classes     []Class
}

// Class is a class of jobs.
type Class struct {
	Name       string
	Deadline   time.Duration // what a client waits over all its tries
	Repeatable bool          // a second run does no harm
}

// Job is a job to be held, or one that goes on at once (Fresh).
type Job struct {
	Number   uint64 // the program's, never used twice
	Name     string // the client's id
	Client   string // whose share it counts for
	Class    int
	Tenant   int
	Size     time.Duration
	Slots    int
	Arrived  time.Duration
	Deadline time.Duration // when its client gives up; of an attached job
	Bytes    int           // of its body

	Attached  bool          // its client waits on its connection, and no longer than Deadline
	NotBefore time.Duration // absolute; 0: none
	After     []string
	Due       time.Duration // from when it is ready; 0: the default
}

// ActionKind says which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	Release  ActionKind = iota // Job, Budget, Tried, Waited: it goes before the decision module now
	Accept                     // Job: it is held and lives on without its connection
	Answer                     // Job, Status, Why, After: its final answer; a detached one's goes nowhere
	Withdraw                   // Job: it is held by the module and must not go out any more
	Tell                       // Ask, Status, Info: the answer to an Ask
)

// Action is one thing for the program to do, in the order given.
type Action struct {
	Kind   ActionKind
	Job    Job // of Release whole, without After; else its Number only
	Budget time.Duration
	Tried  int           // sends in earlier turns
	Waited time.Duration // of an attached job's time, by its own wish
	Status int
	Why    string
	After  time.Duration // advice when to come back; 0: none
	Ask    uint64
	Info   *Info  // nil where Status says that there is none
	Board  *Board // of a list
}

// Board is a list of jobs, and what the room holds in all.
type Board struct {
	Jobs  []Info
	Stats Stats
}

// Outcome is how one send ended.
type Outcome uint8

// The outcomes.
const (
	OK        Outcome = iota // with the result
	NeverRan                 // proved
	MayHave                  // run
	TurnedOff                // the host will not take a job like this one, now or later
)

// Info is what is told of a job.
type Info struct {
	Name     string
	State    State
	Class    string
	Due      time.Duration
	Waited   time.Duration // from ready to its last send, or to now
	Attempts int
	Status   int // of a final one
	Result   string
	Shed     bool // there was a result, but no room to keep it
}

// Ask is a question about one job, or about all.
type Ask struct {
	Number uint64 // the asker's
	Name   string // empty: a list
	Until  time.Duration
	Cancel bool
	Most   int    // of a list: how many jobs are told
	From   string // of a list: the id after which it goes on
}

// Stats counts what a Room holds and has done.
type Stats struct {
	Waiting  int   `json:"waiting"`
	Ready    int   `json:"ready"`
	Released int   `json:"released"`
	Kept     int   `json:"kept"` // final ones remembered
	Bytes    int64 `json:"bytes"`
	Window   int   `json:"window"` // how many may be released at once

	Submitted uint64 `json:"submitted"`
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Full      uint64 `json:"full"`  // turned away for want of room
	Fresh     uint64 `json:"fresh"` // that did not ask to wait

	Turns     uint64  `json:"turns"`
	TurnsBack uint64  `json:"turns_back"` // refused by the module, and taken back
	Overdue   uint64  `json:"overdue"`    // sent later than their due time
	Longest   float64 `json:"longest"`    // wait of those sent, in due times

	ForgottenEarly uint64 `json:"forgotten_early"` // before their retention was over, by max_kept
	ResultsShed    uint64 `json:"results_shed"`    // by max_bytes
}
