package localcluster

import (
	"slices"
	"sync"
	"time"
)

// outcome is the result of a job as reported to its client.
type outcome uint8

const (
	outcomeUnknown  outcome = iota // no definite answer yet
	outcomeAccepted                // acknowledged
	outcomeRefused                 // definitely never runs
	outcomeDone                    // reported as completed
	outcomeFailed                  // reported as failed or cancelled
	outcomeLost                    // accepted before, now unknown
)

// jobRecord is what a client knows about one job. Times are relative to the tracker's start.
type jobRecord struct {
	outcome    outcome
	kind       jobKind
	sent       time.Duration
	accepted   time.Duration
	started    time.Duration // first start at a worker; 0 if none yet
	finished   time.Duration
	tries      int
	notAwaited bool // its tasks outlast the run, so no client waits for its end
}

// jobTracker records the clients' jobs. It is safe for concurrent use.
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

// countTry counts one attempt to submit a job.
func (l *jobTracker) countTry(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records[id].tries++
}

// setOutcome records what a client was told. A final outcome does not change any more.
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

// visibilityDelay is how long after its acknowledgement a job may still be unknown to some dispatchers.
const visibilityDelay = 3 * time.Second

// markUnknown records an answer that a job is unknown. It reports whether the job thereby counts as lost. Shortly after the
// acknowledgement the job may just not be visible at that dispatcher yet.
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

// markStarted records a start that a worker accepted.
func (l *jobTracker) markStarted(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts++
	if record := l.records[id]; record != nil && record.started == 0 {
		record.started = l.now()
	}
}

// hasStarted reports whether a worker has accepted a start of a job that was added.
func (l *jobTracker) hasStarted(id string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.records[id]
	return record != nil && record.started > 0
}

// Jobs counts the submitted jobs by outcome.
type Jobs struct {
	Sent          int `json:"sent"`
	Accepted      int `json:"accepted"`
	Refused       int `json:"refused"`
	InDoubt       int `json:"in_doubt"` // never answered definitely
	Done          int `json:"done"`
	Failed        int `json:"failed"`
	Lost          int `json:"lost"`            // accepted, but unknown or unfinished at the end
	NotVisibleYet int `json:"not_visible_yet"` // answers that an accepted job is unknown, shortly after its acknowledgement
	Tries         int `json:"tries"`
	Starts        int `json:"starts"` // accepted by workers
}

// count sums up the jobs. If final is set, accepted jobs that are not finished count as lost.
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

// unfinished returns the number of accepted jobs that a client still waits for.
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

// Latency is a distribution of durations, in milliseconds.
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

// Latencies are the durations that clients saw, measured from the first submission of each job.
type Latencies struct {
	Accepted Latency `json:"accepted"`    // until the acknowledgement
	Started  Latency `json:"first_start"` // until a worker accepted its first start
	Done     Latency `json:"done"`        // until it was reported as completed
}

// latencies summarizes the jobs submitted at or after from, except resident jobs.
func (l *jobTracker) latencies(from time.Duration) Latencies {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var accepted, started, done []time.Duration
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
			done = append(done, record.finished-record.sent)
		}
	}
	return Latencies{newLatency(accepted), newLatency(started), newLatency(done)}
}
