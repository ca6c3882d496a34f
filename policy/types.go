// Package policy decides, for one scheduler among several, which worker each job goes to and when,
// and which jobs are held, refused or failed. It is RT-ClassBased of Gamini Abhaya, Tari and Bertok,
// extended where a fleet with failing workers and unseen peers breaks the paper's assumptions.
//
// This file is the interface: settings, events, actions. The decisions begin in step.go.
// A Dispatcher is single-threaded and deterministic: it reads no clock, does no I/O and starts no
// goroutine; equal settings, seed and events give equal actions.
package policy

import (
	"errors"
	"math"
	"time"
)

// Effect says what a second execution of a job of a class would do.
type Effect uint8

// The kinds of effect.
const (
	Repeatable Effect = iota // may run any number of times
	Keyed                    // workers of one group drop repeats for a while
	Unsafe                   // must never run twice
)

// Group names the workers that drop each other's repeats of a keyed job.
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
	OnTime   time.Duration // worth something until OnTime + Stretch x size after arrival
	Stretch  float64
	Deadline time.Duration // what a client waits over all its tries
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

// Config is what a scheduler is told at its start. Zero values mean absent; New fills in defaults.
type Config struct {
	Ordinal, Replicas int // this scheduler's number and how many there are
	Zone              int // own zone
	Zones             int
	Kinds             int
	Classes           []Class
	Tenants           []Tenant
	Ask               bool          // the worker list comes only on request
	TellsStart        bool          // workers tell when a job starts
	Progress          time.Duration // how often they tell of progress; 0: never
	Probes, Cancel    bool          // what the scheduler may do
	SecondCopies      bool
	MaxAttempts       int
	MaxRetryAfter     time.Duration
	ConnectTimeout    time.Duration
	WorthByWork       bool
	OverShareWorth    float64
	PriceCross        float64 // per send that crosses zones, as a share of a mean job's worth
	PriceWaste        float64 // per unit of work that serves no answer, likewise
	PriceProbe        float64 // per probe, likewise
	ReportInAnswers   bool    // load comes with answers
	ReportInProbes    bool    // load comes with probes
	DrainGrace        time.Duration
	AskWithin         time.Duration
	AnswerGrace       time.Duration
	ColdFrom          float64 // a started worker's least share of its capacity
	WarmUp            time.Duration
	TipMultiple       float64 // a cold worker falls over when sent this many times its capacity
	OverloadFor       time.Duration
	// Questions is how often all schedulers together ask a worker in the length of a run, for each standard
	// lane, while no answer tells of a free one: eight ask then, the same whoever runs, in equal parts. The
	// interval falls with the square of the answers' share that tells of none; up to a half, all ask in equal
	// parts. 0: there is no bound.
	Questions float64
	KeepLanes bool // while most answers tell of no free lane, one that an own job frees is taken unasked
	// Margin is how many times the delay that peers have caused at a worker a job's slack must be for it to
	// be let onto that worker while no answer tells of a free lane; less in proportion where some do, half
	// of it at least. 0: half of it, always.
	Margin float64
	// Repeats is how many sends beyond a job's first are allowed for each first send. A scheduler begins with
	// none and saves up one, so those of all together are at most Repeats x first sends. 0: no bound.
	Repeats float64
}

// check finds settings that make no sense and fills in what is absent.
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
			return errors.New("policy: class " + k.Name + ": a negative figure, or a kind that is not there")
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

// Load is a worker's report of itself; a field below zero was not reported.
type Load struct {
	FreeSlots, Queue, InFlight, Busy float64
	Latency                          time.Duration
}

// State is what the list says of a worker.
type State uint8

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Gone
)

// Worker is one entry of the list. Since is when its process started, 0: long ago.
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
	Rejected // the worker will not take a job like this one, which says nothing about the worker
)

// NeverRan tells whether a result proves that the job did not run.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NeverSent }

// Harmless tells whether a repeat of a job does no harm though it may have run.
func (c *Class) Harmless() bool {
	return c.Effect == Repeatable || c.Effect == Keyed && c.Group == GroupAll
}

// EventKind says which fields of an Event count.
type EventKind uint8

// The events.
const (
	JobArrived   EventKind = iota // Job, Class, Tenant, Budget, Waited, Size (0: no hint), Slots, Retry
	ClientGone                    // Job: nothing is owed any more
	AttemptEnded                  // Job, Attempt, Worker, Result, Took, Finished, Load
	JobStarted                    // Job, Attempt, Worker
	JobProgress                   // Job, Attempt, Worker, Share
	AnswerBegun                   // Job, Attempt, Worker: the attempt now belongs to the client
	WorkerList                    // Workers, Whole (else changes), Stale (a copy from before a restart)
	ListLost                      // a call for the list failed or the subscription broke
	ProbeEnded                    // Worker, Result, Took, Load
	TimerFired                    // Timer
)

// Event is one thing that the scheduler saw. Events of a Step happened at its time, in order.
type Event struct {
	Kind          EventKind
	Job           uint64
	Class, Tenant int // Tenant -1: none
	Budget, Size  time.Duration
	Waited        time.Duration // of its client's time, spent by the client's own wish
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

// ActionKind says which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	Send   ActionKind = iota // Job, Worker, After (time-out; 0: until the client gives up)
	Cancel                   // Job, Attempt
	Refuse                   // Job, After (advice to stay away): trying again is harmless
	Fail                     // Job: promises nothing
	Probe                    // Worker
	Timer                    // After, Timer: give back a TimerFired
	Watch                    // ask for the list and its changes
	Log                      // Text
)

// Action is one thing for the scheduler to do, in the order given, at the time of the Step.
type Action struct {
	Kind    ActionKind
	Job     uint64
	Attempt int
	Worker  uint32
	After   time.Duration
	Timer   uint64
	Text    string
}
