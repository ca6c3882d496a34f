package policy

import (
	"math/rand/v2"
	"time"
)

// What a scheduler remembers. Types only: what is done with them begins in step.go.

// attempt is one send of a job.
type attempt struct {
	job                    *job
	w                      *worker
	index                  int
	sent, started, timeout time.Duration // started 0: not known to run; a longer silence is suspect
	lastEvent, nextMove    time.Duration // last news of it; no other place is looked for before
	idleLane, lastLane     bool          // sent to what looked like an idle lane; filled the model's last lane
	done, delayCounted     bool          // its wait was counted before it ended
}

// job is one request that is owed an answer, or whose attempts are still out.
type job struct {
	id                          uint64
	class, firstList            int           // index in Dispatcher.candidates
	slots, inFlight, pending    int           // lanes it takes; attempts without an outcome; probes it waits for
	rounds                      int           // times that a worker was found for it, asked or sent to
	arrived, due, probeDeadline time.Duration // came; worth nothing later; waits for probes no longer
	hint, size, value           float64       // size in nanoseconds of a standard core
	coldSize                    float64       // what a cold worker has to bear, if more: the hint, while few are measured
	attempts                    []*attempt
	mayRun                      *attempt // the first that may have run
	heldFor, movedFrom          *worker  // where it is held; the last that it was moved away from
	closed, lostOnCold          bool     // lostOnCold: an attempt ended as a cold worker went down
}

// worker is this scheduler's model of one worker.
//
// coldSent is the work sent to the worker that still counts against this scheduler's part of the cold budget, which a cold
// worker can be sent within OverloadFor without falling over (Config.TipMultiple). Normally only the schedulers that own the
// worker (Dispatcher.owns) have a part: divided among all, a part would hold no job. All schedulers that see a free lane may
// send where that is safe: the lanes, filled all at once, can't push the worker over, and too few jobs arrive within the age
// of a report, or too many workers have a free lane, for a crowd to meet on the one that is free.
type worker struct {
	Worker
	listed, suspect, active         bool    // active: in Dispatcher.active
	lanes, errs                     int     // errs: jobs that must end well before it is no more suspect
	speed, runs, rank, order        float64 // size done a lane and time; runs behind it; order, warm and now
	wait, busy, delay, coldSent     float64 // of peers: backlog, lanes, delay; cold budget used
	waitAt, busyAt, delayAt, coldAt time.Duration
	latency, aliveAt, trialAt       time.Duration // from send to start when idle; sign of life
	probedAt, reportAt, muteUntil   time.Duration // last asked; last answered; not asked before
	waiters                         []*job        // that wait for its probe
	inFlight                        []*attempt    // by time of send
	held                            []*job        // by due
}

// zone is what is seen of the workers of one zone together.
type zone struct {
	silentShare float64       // share of its late probes without an answer
	silentAt    time.Duration // when that last was over a half
}

// Dispatcher decides for one scheduler. See New and Step.
type Dispatcher struct {
	cfg                                        Config
	rng                                        *rand.Rand
	actions                                    []Action
	jobs                                       map[uint64]*job
	workers                                    map[uint32]*worker
	ready, active                              []*worker       // listed and ready, by id; with attempts out or jobs held
	candidates                                 [4][]*worker    // per range own zone's and then others', in own order
	probing, queue                             []*job          // that wait for probes; scratch
	estimators                                 []sizeEstimator // per class
	maxBudget, laneTimes                       []time.Duration // per class: a first try's budget; scratch
	logSpeed                                   []float64       // per kind: log of speed
	meanDelay                                  []float64       // delay by peers, per zone (the first: none known) and kind
	sizeBound, meanRun, meanWorth              float64         // between the two size ranges; means of a run, of a job's worth
	meanError                                  float64         // mean of a surprise
	meanGap, freeShare                         float64         // mean time between arrivals; share of reports with a free lane
	repeatBudget                               float64         // repeats that the budget has left
	zones                                      []zone          // the first: none known
	now, lastArrival, timerAt, wakeAt, watchAt time.Duration
	timer                                      uint64
	ranges, listFailures                       int
	watching, slotsKnown                       bool
}
