// Package hollow is a stand-in for the workers and the platform: workers that keep the wire contract but run no work, any
// number of them to a process, and the platform's list of them. They share a World, which keeps the clock, the jobs, the
// gangs, and the checker of the rules that orders must keep. It serves tests (with a ManualClock) and scale runs.
package hollow

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Settings are the bounds of a world.
type Settings struct {
	MaxHold time.Duration // the longest hold that workers grant
	Stop    time.Duration // what a stop lasts
	Gang    time.Duration // what a member waits for the others
	Save    time.Duration // work between two checkpoints
	Restore time.Duration // what a start from a checkpoint takes
	Cancel  time.Duration // after a cancelling nothing starts later than that
	Early   time.Duration // how far ahead of its due time a task may start
	Far     float64       // how many times as long work takes far from its data
	Seed    uint64        // of the failures that workers draw
}

// DefaultSettings returns bounds like those of the ordinary sites.
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

// World is what all hollow workers and platforms of a run share. It is safe for concurrent use.
type World struct {
	settings Settings
	clock    Clock

	mutex           sync.Mutex
	now             time.Duration
	events          eventQueue
	alarmAt         time.Duration
	alarmNumber     uint64 // of the alarm that is set last
	cancelAlarm     func()
	random          *rand.Rand
	workers         []*Worker
	instances       int
	jobs            map[string]*job
	gangs           map[gangKey]*execution
	platforms       []*Platform
	checker         checker
	cancelAllowance time.Duration // how much longer than in calm what was cancelled may run
	stats           Stats
	waitingHolds    int // holds that wait for an end
	unansweredCalls int // calls that are kept without an answer
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

// Close frees every call that waits and ends the world's alarms. Servers are closed by whoever opened them.
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

// lock locks the world and brings it up to its clock.
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

// handleAlarm is called by the clock; an alarm that was cancelled too late to be kept from ringing is not the present one.
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

// after has action done once span has passed.
func (world *World) after(span time.Duration, action func()) *event {
	return world.events.add(world.now+span, action)
}

// AddJob makes a job known: from now on its tasks may be started.
func (world *World) AddJob(added Job) {
	world.lock()
	defer world.unlock()
	world.jobs[added.ID] = &job{Job: added, tasks: make(map[taskKey]*task), added: world.now}
}

// CancelJob notes that a job's cancelling was acknowledged.
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

// SetTrouble tells how much longer than in calm what is cancelled from now on may run: in trouble a run may last until its hold is over.
func (world *World) SetTrouble(longer time.Duration) {
	world.lock()
	defer world.unlock()
	world.cancelAllowance = longer
}

// Now is what the world's clock shows.
func (world *World) Now() time.Duration { return world.clock.Now() }

// RefuseJob notes that every try to hand a job in was refused: from now on each start of it is a finding.
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

// AwaitUnanswered blocks until at least count calls are kept without an answer, or the world is closed.
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

// Stats returns what was counted so far.
func (world *World) Stats() Stats {
	world.lock()
	defer world.unlock()
	return world.stats
}

// Stats count what workers were told and what became of it.
type Stats struct {
	Starts       int // runs begun to be present
	Busy         int // calls refused as unhealthy
	StartsFence  int
	StartsOld    int
	StartsLate   int
	StartsRoom   int
	Stops        int
	Holds        int
	OtherLife    int
	Ends         [endReasonCount]int // by How
	WastedCPU    time.Duration       // core time of work that was lost
	GangWaitCPU  time.Duration       // core time that gangs waited
	ListCalls    int
	ListRejected int
}
