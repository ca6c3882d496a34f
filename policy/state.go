package policy

import (
	"math/rand/v2"
	"time"
)

// The state of a scheduler, types only. The functions that use it begin in step.go.
//
// Constants of step.go: never is no time at all; goodEnough is the share of a job's value at which the search for a worker
// ends; owners is how many schedulers share a cold worker; minProbers is how many schedulers probe a worker while no report
// has a free lane.

// attempt is one send of a job.
type attempt struct {
	job                    *job
	w                      *worker
	index                  int           // in job.attempts
	sent, started, timeout time.Duration // started 0: not known to run; a silence longer than timeout makes w suspect
	lastEvent, nextMove    time.Duration // time of the last event; it isn't moved before nextMove
	idleLane, lastLane     bool          // w seemed to have an idle lane when it was sent; it filled w's last known lane
	done, delayCounted     bool          // delayCounted: its wait was counted as a delay before it started
}

// job is one request that needs an answer or that has attempts in flight.
type job struct {
	id                          uint64
	class, firstList            int           // firstList: index in Dispatcher.candidates of its range's first list
	slots, inFlight, pending    int           // lanes it takes; attempts without a result; probes it waits for
	rounds                      int           // times that place found a worker for it
	arrived, due, probeDeadline time.Duration // it is worth nothing after due, and waits for probes until probeDeadline
	hint, size, value           float64       // size in nanoseconds of a standard core
	coldSize                    float64       // if larger than size, its size on a cold worker: the hint, while few runs are measured
	attempts                    []*attempt
	mayRun                      *attempt // the first that may have run
	heldFor, movedFrom          *worker  // where it is held; the last worker that it was moved away from
	closed, lostOnCold          bool     // lostOnCold: an attempt failed as a cold worker went down
}

// worker is this scheduler's model of one worker.
//
// coldSent is the work sent to the worker that still counts against this scheduler's part of the cold budget: what a cold
// worker can be sent within OverloadFor without failing (Config.TipMultiple). Normally only the schedulers that own the
// worker (Dispatcher.owns) have a part: divided among all schedulers, a part would hold no job. All may send to it where
// that is safe: the lanes, even if all are filled at once, can't overload the worker; the schedulers get too few jobs within
// the age of a report for many to meet on one worker; and free lanes aren't so rare that all take the same one.
type worker struct {
	Worker
	listed, suspect, active         bool          // active: in Dispatcher.active
	lanes, errs                     int           // errs: jobs that must succeed before it is no longer suspect
	speed, runs, rank, order        float64       // size per lane and time; runs measured for it; lasting order, order in a list
	wait, busy, delay, coldSent     float64       // backlog of peers as a time; lanes held by peers; delay by peers; see above
	waitAt, busyAt, delayAt, coldAt time.Duration // when these were measured
	latency, aliveAt, trialAt       time.Duration // least time from send to start; last sign of life; a suspect gets no job before trialAt
	probedAt, reportAt, muteUntil   time.Duration // last probe sent; last report; not used before, after a failed probe
	waiters                         []*job        // jobs that wait for its probe
	inFlight                        []*attempt    // by time of send
	held                            []*job        // by due
}

// zone is what was observed of the workers of one zone together.
type zone struct {
	silentShare float64       // recent share of probes without an answer
	silentAt    time.Duration // when silentShare was last over a half at an unanswered probe
}

// Dispatcher decides for one scheduler. See New and Step.
type Dispatcher struct {
	cfg                                        Config
	rng                                        *rand.Rand
	actions                                    []Action // of the current Step
	jobs                                       map[uint64]*job
	workers                                    map[uint32]*worker
	ready, active                              []*worker       // listed as Ready, by id; with attempts in flight or jobs held
	candidates                                 [4][]*worker    // per size range: workers of the own zone, then of others
	probing, queue                             []*job          // jobs that wait for probes; scratch of admit
	estimators                                 []sizeEstimator // per class
	maxBudget, laneTimes                       []time.Duration // per class the largest budget seen, a first try's; scratch
	logSpeed                                   []float64       // per kind: mean logarithm of speed
	meanDelay                                  []float64       // delay by peers, per zone (the first: unknown) and kind
	sizeBound, meanRun, meanWorth              float64         // bound between the size ranges; mean run; mean value of a job
	meanError                                  float64         // mean error of the size estimates, as a logarithm
	meanGap, freeShare                         float64         // mean time between arrivals; share of reports with a free lane
	repeatBudget                               float64         // repeats allowed now; see Config.Repeats
	zones                                      []zone          // the first: unknown
	now, lastArrival, timerAt, wakeAt, watchAt time.Duration   // watchAt: when to request the list
	timer                                      uint64          // number of the last Timer
	ranges, listFailures                       int
	watching, slotsKnown                       bool // slotsKnown: a report had free slots
}
