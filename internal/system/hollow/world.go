// Package hollow simulates the workers and the platform. Hollow workers implement the worker protocol but run no real work; one
// process can hold any number of them. The platform lists them. They share a World, which holds the clock, the jobs, the gangs and the
// checker of the rules for orders. Tests use it with a ManualClock, scale runs with a SteadyClock.
package hollow

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Settings are the time limits and other parameters of a world.
type Settings struct {
	MaxHold time.Duration // longest hold that workers grant
	Stop    time.Duration // duration of a stop
	Gang    time.Duration // how long a gang member waits for the others
	Save    time.Duration // work between two checkpoints
	Restore time.Duration // duration of a restore from a checkpoint
	Cancel  time.Duration // no task of a job may start later than this after its cancellation
	Early   time.Duration // how long before its due time a task may start
	Far     float64       // slowdown of work far from its data
	Seed    uint64        // seed of the random failures of workers
}

// DefaultSettings returns limits like those of a usual site.
func DefaultSettings() Settings {
	return Settings{
		MaxHold: 6 * time.Second,
		Stop:    400 * time.Millisecond,
		Gang:    3 * time.Second,
		Save:    time.Second,
		Restore: 600 * time.Millisecond,
		Cancel:  3 * time.Second,
		Early:   250 * time.Millisecond,
		Far:     3,
		Seed:    1,
	}
}

// World is the state that all hollow workers and platforms of a run share. It is safe for concurrent use.
type World struct {
	settings Settings
	clock    Clock

	mutex           sync.Mutex
	now             time.Duration
	events          eventQueue
	alarmAt         time.Duration
	alarmNumber     uint64 // number of the latest alarm
	cancelAlarm     func()
	random          *rand.Rand
	workers         []*Worker
	instances       int
	jobs            map[string]*job
	gangs           map[gangKey]*execution
	platforms       []*Platform
	checker         checker
	cancelAllowance time.Duration // how much longer than usual a cancelled run may continue
	stats           Stats
	waitingHolds    int // number of holds that wait for an end
	unansweredCalls int // number of calls in progress that get no answer
	waitChanged     *sync.Cond
	closed          chan struct{}
}

// NewWorld returns a world without workers and jobs.
func NewWorld(settings Settings, clock Clock) *World {
	world := &World{
		settings: settings,
		clock:    clock,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		jobs:     make(map[string]*job),
		gangs:    make(map[gangKey]*execution),
		closed:   make(chan struct{}),
	}
	world.waitChanged = sync.NewCond(&world.mutex)
	return world
}

// Close releases every waiting call and cancels the world's alarm. It does not close the servers of workers and platforms.
func (world *World) Close() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	select {
	case <-world.closed:
		return
	default:
	}
	close(world.closed)
	if world.cancelAlarm != nil {
		world.cancelAlarm()
		world.cancelAlarm = nil
	}
	world.waitChanged.Broadcast()
}

// lock locks the world and executes the events that are due by its clock.
func (world *World) lock() {
	world.mutex.Lock()
	now := world.clock.Now()
	for due := world.events.popDue(now); due != nil; due = world.events.popDue(now) {
		world.now = max(world.now, due.at)
		due.action()
	}
	world.now = max(world.now, now)
}

// unlock sets the alarm for the next event and unlocks the world.
func (world *World) unlock() {
	world.setAlarm()
	world.mutex.Unlock()
}

func (world *World) setAlarm() {
	first := world.events.first()
	if first == nil || world.isClosed() {
		return
	}
	if world.cancelAlarm != nil {
		if world.alarmAt <= first.at {
			return
		}
		world.cancelAlarm()
	}
	world.alarmAt = first.at
	world.alarmNumber++
	number := world.alarmNumber
	world.cancelAlarm = world.clock.Alarm(first.at, func() { world.handleAlarm(number) })
}

// handleAlarm is called by the clock. An alarm whose cancellation came too late has an old number.
func (world *World) handleAlarm(number uint64) {
	world.lock()
	if number == world.alarmNumber {
		world.cancelAlarm = nil
	}
	world.unlock()
}

func (world *World) isClosed() bool {
	select {
	case <-world.closed:
		return true
	default:
		return false
	}
}

// after schedules action to run once span has passed.
func (world *World) after(span time.Duration, action func()) *event {
	return world.events.add(world.now+span, action)
}

// AddJob adds a job. From now on its tasks may be started.
func (world *World) AddJob(added Job) {
	world.lock()
	defer world.unlock()
	world.jobs[added.ID] = &job{Job: added, tasks: make(map[taskKey]*task), added: world.now}
}

// CancelJob records that the cancellation of a job was acknowledged.
func (world *World) CancelJob(id string) {
	world.lock()
	defer world.unlock()
	job := world.jobs[id]
	if job == nil || job.cancelled {
		return
	}
	job.cancelled = true
	job.cancelledAt = world.now
	world.after(world.settings.Cancel+world.settings.Stop+world.cancelAllowance, func() { world.checkCancelled(job) })
}

// SetCancelAllowance sets how much longer than usual a run may continue after a cancellation from now on. During faults a run may continue until
// its hold lapses.
func (world *World) SetCancelAllowance(longer time.Duration) {
	world.lock()
	defer world.unlock()
	world.cancelAllowance = longer
}

// Now returns the time of the world's clock.
func (world *World) Now() time.Duration { return world.clock.Now() }

// RefuseJob records that every attempt to submit a job was refused. From now on each start of it is a violation.
func (world *World) RefuseJob(id string) {
	world.lock()
	defer world.unlock()
	if job := world.jobs[id]; job != nil {
		job.refused = true
	}
}

// AwaitWaiting blocks until at least count holds wait for an end, or the world is closed.
func (world *World) AwaitWaiting(count int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for world.waitingHolds < count && !world.isClosed() {
		world.waitChanged.Wait()
	}
}

// AwaitUnanswered blocks until at least count calls are held without an answer, or the world is closed.
func (world *World) AwaitUnanswered(count int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for world.unansweredCalls < count && !world.isClosed() {
		world.waitChanged.Wait()
	}
}

func (world *World) addUnanswered(by int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.unansweredCalls += by
	world.waitChanged.Broadcast()
}

// Stats returns the counters so far.
func (world *World) Stats() Stats {
	world.lock()
	defer world.unlock()
	return world.stats
}

// Stats count the orders to the workers and their outcomes.
type Stats struct {
	Starts       int // runs started
	Busy         int // calls refused with status 503
	StartsFence  int
	StartsOld    int
	StartsLate   int
	StartsRoom   int
	Stops        int
	Holds        int
	OtherLife    int
	Ends         [endReasonCount]int // by endReason
	WastedCPU    time.Duration       // core time of lost work
	GangWaitCPU  time.Duration       // core time that gang members spent waiting
	ListCalls    int
	ListRejected int
}
