package localcluster

import (
	"slices"
	"sync"
	"time"
)

// outcome is what a client was told of a job.
type outcome uint8

const (
	outcomeUnknown  outcome = iota // no clear answer yet
	outcomeAccepted                // it is kept
	outcomeRefused                 // it surely never runs
	outcomeDone                    // shown as completed
	outcomeFailed                  // shown as failed or cancelled
	outcomeLost                    // once accepted, now unknown
)

// jobRecord is what a client knows of one job.
type jobRecord struct {
	outcome    outcome
	kind       jobKind
	sent       time.Duration
	accepted   time.Duration
	started    time.Duration // its first start at a worker; 0: none yet
	finished   time.Duration
	tries      int
	notAwaited bool // tasks that outlast the run: nobody waits for its end
}

// jobTracker keeps the clients' jobs. It is safe for concurrent use.
type jobTracker struct {
	mutex         sync.Mutex
	startTime     time.Time
	records       map[string]*jobRecord
	starts        int
	notVisibleYet int
}

func newJobTracker() *jobTracker {
	return &jobTracker{startTime: time.Now(), records: make(map[string]*jobRecord)}
}

func (l *jobTracker) now() time.Duration { return time.Since(l.startTime) }

func (l *jobTracker) add(id string, kind jobKind) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records[id] = &jobRecord{kind: kind, sent: l.now(), notAwaited: kind == kindResident}
}

// countTry counts one try to hand a job in.
func (l *jobTracker) countTry(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records[id].tries++
}

// setOutcome takes note of what a client was told. What is over stays as it is.
func (l *jobTracker) setOutcome(id string, reported outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.records[id]
	if record == nil || record.outcome > outcomeAccepted {
		return
	}
	record.outcome = reported
	if reported == outcomeAccepted {
		record.accepted = l.now()
		return
	}
	record.finished = l.now()
}

// visibilityDelay is how long after its acknowledgement a job may still be unknown somewhere.
const visibilityDelay = 3 * time.Second

// markUnknown takes note that a job was told to be unknown, and tells whether that settles it: soon after its acknowledgement it only
// isn't known there yet.
func (l *jobTracker) markUnknown(id string) bool {
	l.mutex.Lock()
	record := l.records[id]
	if l.now()-record.accepted <= visibilityDelay {
		l.notVisibleYet++
		l.mutex.Unlock()
		return false
	}
	l.mutex.Unlock()
	l.setOutcome(id, outcomeLost)
	return true
}

// markStarted takes note of a start that a worker took.
func (l *jobTracker) markStarted(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts++
	if record := l.records[id]; record != nil && record.started == 0 {
		record.started = l.now()
	}
}

// Jobs counts what became of the jobs that clients handed in.
type Jobs struct {
	Sent          int `json:"sent"`
	Accepted      int `json:"accepted"`
	Refused       int `json:"refused"`
	InDoubt       int `json:"in_doubt"` // never clearly answered
	Done          int `json:"done"`
	Failed        int `json:"failed"`
	Lost          int `json:"lost"`            // accepted, and unknown or not done at the end
	NotVisibleYet int `json:"not_visible_yet"` // answers that an accepted job is unknown, soon after its acknowledgement
	Tries         int `json:"tries"`
	Starts        int `json:"starts"` // that workers took
}

// count sums up; final tells that whatever isn't done now counts as lost.
func (l *jobTracker) count(final bool) Jobs {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	jobs := Jobs{Sent: len(l.records), Starts: l.starts, NotVisibleYet: l.notVisibleYet}
	for _, record := range l.records {
		jobs.Tries += record.tries
		jobs.add(record, final)
	}
	return jobs
}

func (j *Jobs) add(record *jobRecord, final bool) {
	switch record.outcome {
	case outcomeUnknown:
		j.InDoubt++
	case outcomeRefused:
		j.Refused++
	case outcomeAccepted:
		j.Accepted++
		if final && !record.notAwaited {
			j.Lost++
		}
	case outcomeDone:
		j.Accepted++
		j.Done++
	case outcomeFailed:
		j.Accepted++
		j.Failed++
	case outcomeLost:
		j.Accepted++
		j.Lost++
	}
}

// unfinished is how many accepted jobs somebody still waits for.
func (l *jobTracker) unfinished() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, record := range l.records {
		if record.outcome == outcomeAccepted && !record.notAwaited {
			count++
		}
	}
	return count
}

// Latency is a distribution of spans, in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newLatency(spans []time.Duration) Latency {
	if len(spans) == 0 {
		return Latency{}
	}
	slices.Sort(spans)
	quantile := func(share float64) float64 {
		return milliseconds(spans[min(len(spans)-1, int(share*float64(len(spans))))])
	}
	return Latency{Count: len(spans), P50: quantile(0.5), P90: quantile(0.9), P99: quantile(0.99), Max: quantile(1)}
}

// Latencies are the times that clients saw, from the first send of each job.
type Latencies struct {
	Accepted Latency `json:"accepted"`    // until it was acknowledged
	Started  Latency `json:"first_start"` // until a worker took its first start
	Done     Latency `json:"done"`        // until it was shown as completed
}

// latencies sums up the jobs sent from a moment on; residents don't count.
func (l *jobTracker) latencies(from time.Duration) Latencies {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var accepted, started, over []time.Duration
	for _, record := range l.records {
		if record.sent < from || record.kind == kindResident {
			continue
		}
		if record.accepted > 0 {
			accepted = append(accepted, record.accepted-record.sent)
		}
		if record.started > 0 {
			started = append(started, record.started-record.sent)
		}
		if record.outcome == outcomeDone {
			over = append(over, record.finished-record.sent)
		}
	}
	return Latencies{newLatency(accepted), newLatency(started), newLatency(over)}
}
