package policy

import (
	"math/rand/v2"
	"time"
)

// What a scheduler remembers. Types only: what is done with them begins in step.go.

// attempt is one send of a job.
type attempt struct {
	job                   *job
	w                     *worker
	n                     int
	sent, began, patience time.Duration // began 0: not known to run; a longer silence is a surprise
	heard, moved          time.Duration // last news of it; no other place is looked for before
	clean, full           bool          // sent to what looked like an idle lane; filled the model's last lane
	done, late            bool          // its wait was counted before it ended
}

// job is one request that is owed an answer, or whose attempts are still out.
type job struct {
	id                uint64
	class, part       int           // its range's first list in near
	slots, out, asked int           // lanes it takes; attempts without an outcome; probes it waits for
	rounds            int           // times that a worker was found for it, asked or sent to
	came, due, until  time.Duration // came; worth nothing later; waits for probes no longer
	hint, size, value float64       // size in nanoseconds of a standard core
	bulk              float64       // what a cold worker has to bear, if more: the hint, while few are measured
	atts              []*attempt
	mayRun            *attempt // the first that may have run
	on, left          *worker  // where it is held; the last that it was moved away from
	closed, tipped    bool     // tipped: an attempt ended as a cold worker went down
}

// worker is what this scheduler believes of one worker.
type worker struct {
	Worker
	listed, suspect, active       bool    // active: in Dispatcher.active
	lanes, errs                   int     // errs: jobs that must end well before it is no more suspect
	speed, runs, rank, place      float64 // size done a lane and time; runs behind it; order, warm and now
	wait, busy, lag, coldSent     float64 // of peers: backlog, lanes, delay; cold budget used
	waitAt, busyAt, lagAt, coldAt time.Duration
	net, seen, trial              time.Duration // from send to start when idle; sign of life
	probed, told, mute            time.Duration // last asked; last answered; not asked before
	askers                        []*job        // that wait for its probe
	out                           []*attempt    // by time of send
	held                          []*job        // by due
}

// zone is what is seen of the workers of one zone together.
type zone struct {
	silent   float64       // share of its late probes without an answer
	silentAt time.Duration // when that last was over a half
}

// Dispatcher decides for one scheduler. See New and Step.
type Dispatcher struct {
	cfg                             Config
	rng                             *rand.Rand
	act                             []Action
	jobs                            map[uint64]*job
	workers                         map[uint32]*worker
	order, active                   []*worker       // listed and ready, by id; with attempts out or jobs held
	near                            [4][]*worker    // per range own zone's and then others', in own order
	asking, queue                   []*job          // that wait for probes; scratch
	fit                             []fit           // per class
	firstTry, lanes                 []time.Duration // per class: a first try's budget; scratch
	kindLog                         []float64       // per kind: log of speed
	meanLag                         []float64       // delay by peers, per zone (the first: none known) and kind
	bound, meanRun, worth           float64         // between the two size ranges; means of a run, of a job's worth
	noise                           float64         // mean of a surprise
	gap, roomy                      float64         // mean time between arrivals; share of reports with a free lane
	spare                           float64         // repeats that the budget has left
	zones                           []zone          // the first: none known
	now, last, armed, wake, watchAt time.Duration
	timer                           uint64
	ranges, failures                int
	watching, slotsTold             bool
}
