// Package policy decides, for one scheduler among several, to which worker each job is sent and when, and
// which jobs are held, refused or failed. It implements RT-ClassBased of Gamini Abhaya, Tari and Bertok and
// extends it for fleets with failing workers and unseen peers, which break the paper's assumptions.
//
// This file is the interface: settings, events and actions. The decisions begin in step.go.
// A Dispatcher is single-threaded and deterministic: it reads no clock, does no I/O and starts no
// goroutine; equal settings, seed and events give equal actions.
package policy

import (
	"errors"
	"math"
	"time"
)

// Effect states what a second execution of a job does.
type Effect uint8

// The effects.
const (
	Repeatable Effect = iota // a job may run any number of times
	Keyed                    // workers of one group drop repeats for Class.KeyTTL
	Unsafe                   // a job must never run twice
)

// Group is the set of workers that drop each other's repeats of a keyed job.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is the settings of one class of jobs.
type Class struct {
	Name     string
	OnTime   time.Duration // a job is worth something until OnTime + Stretch x size after arrival
	Stretch  float64
	Deadline time.Duration // how long a client waits over all its tries
	Effect   Effect
	Group    Group
	KeyTTL   time.Duration // how long repeats of a keyed job are dropped, from the first send
	Worth    float64
	Kind     int // index of the only machine kind that runs it; -1: any
}

// Tenant is the settings of one customer; Quota is jobs a second over all schedulers.
type Tenant struct {
	Name  string
	Quota float64
}

// Config is the settings of a scheduler. Zero values mean absent; New fills in defaults.
type Config struct {
	Ordinal, Replicas int // this scheduler's number and how many there are
	Zone              int // own zone
	Zones             int
	Kinds             int
	Classes           []Class
	Tenants           []Tenant
	Ask               bool          // the worker list comes only on request
	TellsStart        bool          // workers report when a job starts
	Progress          time.Duration // how often they report progress; 0: never
	Probes, Cancel    bool          // whether the scheduler may probe and cancel
	SecondCopies      bool
	MaxAttempts       int
	MaxRetryAfter     time.Duration
	ConnectTimeout    time.Duration
	WorthByWork       bool
	OverShareWorth    float64
	PriceCross        float64 // per send that crosses zones, as a share of a mean job's worth
	PriceWaste        float64 // per unit of work that serves no answer, as such a share
	PriceProbe        float64 // per probe, as such a share
	ReportInAnswers   bool    // answers carry a load report
	ReportInProbes    bool    // probes return a load report
	DrainGrace        time.Duration
	AskWithin         time.Duration
	AnswerGrace       time.Duration
	ColdFrom          float64 // share of its capacity that a worker has at its start
	WarmUp            time.Duration
	TipMultiple       float64 // a cold worker fails when sent this many times its capacity
	OverloadFor       time.Duration
	// Questions limits the probes of a worker, as many schedulers see one freed lane and queue for it. It is
	// how many probes all schedulers together send per mean run and standard lane while no report has a free
	// lane. Then the same eight schedulers probe the worker, at equal rates. The interval falls with the
	// square of the share of reports without a free lane. While half of the reports have one, all schedulers
	// probe, at equal rates. 0: no limit.
	Questions float64
	KeepLanes bool // while most reports have no free lane, refill one that an own job freed without a probe
	// Margin sets the slack that a job needs to be admitted to a worker: the expected delay by peers there
	// times (0.5 + Margin x the share of reports without a free lane).
	Margin float64
	// Repeats is how many sends beyond a job's first are allowed for each first send. A scheduler starts with
	// none and saves up one at most, so all repeats are at most Repeats x first sends. 0: no limit.
	Repeats float64
}

// check returns an error for invalid settings and fills in defaults.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return errors.New("policy: Classes: no classes")
	}
	for i, count := range []int{c.Replicas, c.Ordinal, c.MaxAttempts, c.Kinds, c.Zones} {
		if count < 0 {
			name := []string{"Replicas", "Ordinal", "MaxAttempts", "Kinds", "Zones"}[i]
			return errors.New("policy: " + name + ": negative")
		}
	}
	c.Replicas, c.MaxAttempts, c.Kinds = max(c.Replicas, 1), max(c.MaxAttempts, 1), max(c.Kinds, 1)
	if c.Ordinal >= c.Replicas {
		return errors.New("policy: Ordinal: not under Replicas")
	}
	for _, k := range c.Classes {
		if k.Deadline < 0 || k.OnTime < 0 || k.Stretch < 0 || k.Kind >= c.Kinds {
			return errors.New("policy: class " + k.Name + ": a negative figure, or an unknown kind")
		}
	}
	if !(c.Questions >= 0) || math.IsInf(c.Questions, 0) {
		return errors.New("policy: Questions: negative, or no number")
	}
	for name, x := range map[string]float64{"Margin": c.Margin, "Repeats": c.Repeats} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return errors.New("policy: " + name + ": negative, or no number")
		}
	}
	if c.ColdFrom <= 0 || c.ColdFrom > 1 {
		c.ColdFrom = 1
	}
	return nil
}

// Load is a worker's load report. A field below zero was not reported.
type Load struct {
	FreeSlots, Queue, InFlight, Busy float64
	Latency                          time.Duration
}

// State is the state of a worker in the list.
type State uint8

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Gone
)

// Worker is one entry of the list. Since is when its process started; 0: long ago.
type Worker struct {
	ID         uint32
	Zone, Kind int
	Cell       int
	State      State
	Scale      float64
	Since      time.Duration
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; see NeverRan.
const (
	OK Result = iota
	AppError
	Full
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NeverSent
	Rejected // the worker doesn't accept such a job; this isn't the worker's fault
)

// NeverRan reports whether a result proves that the job did not run.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NeverSent }

// Harmless reports whether a job of the class may be repeated although it may have run.
func (c *Class) Harmless() bool {
	return c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

// EventKind is the kind of an Event and determines which of its fields are used.
type EventKind uint8

// The events.
const (
	JobArrived   EventKind = iota // Job, Class, Tenant, Budget, Waited, Size (0: no hint), Slots, Retry
	ClientGone                    // Job: it needs no answer any more
	AttemptEnded                  // Job, Attempt, Worker, Result, Took, Finished, Load
	JobStarted                    // Job, Attempt, Worker
	JobProgress                   // Job, Attempt, Worker, Share
	AnswerBegun                   // Job, Attempt, Worker: the attempt now belongs to the client
	WorkerList                    // Workers, Whole (else only changes), Stale (a copy from before a restart)
	ListLost                      // a call for the list failed or the subscription broke
	ProbeEnded                    // Worker, Result, Took, Load
	TimerFired                    // Timer
)

// Event is one event that the scheduler observed. The events of a Step happened at its time, in order.
type Event struct {
	Kind          EventKind
	Job           uint64
	Class, Tenant int // Tenant -1: none
	Budget, Size  time.Duration
	Waited        time.Duration // part of its client's time that the client asked to wait
	Slots         int
	Retry         bool
	Attempt       int
	Worker        uint32
	Result        Result
	Finished      bool // the job has its final answer
	Took          time.Duration
	Share         float64
	HasLoad       bool
	Load          Load
	Workers       []Worker
	Whole, Stale  bool
	Timer         uint64
}

// ActionKind is the kind of an Action and determines which of its fields are used.
type ActionKind uint8

// The actions.
const (
	Send   ActionKind = iota // Job, Worker, After (time-out; 0: until the client gives up)
	Cancel                   // Job, Attempt
	Refuse                   // Job, After (advised wait): a retry is harmless
	Fail                     // Job: it may have run
	Probe                    // Worker
	Timer                    // After, Timer: pass a TimerFired after that time
	Watch                    // request the list and its changes
	Log                      // Text
)

// Action is one action for the scheduler to carry out, in the order given, at the time of the Step.
type Action struct {
	Kind    ActionKind
	Job     uint64
	Attempt int
	Worker  uint32
	After   time.Duration
	Timer   uint64
	Text    string
}
