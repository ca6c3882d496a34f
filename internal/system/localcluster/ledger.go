package localcluster

import (
	"slices"
	"sync"
	"time"
)

// verdict is what a client was told of a job.
type verdict uint8

const (
	verdictOpen     verdict = iota // no clear answer yet
	verdictAccepted                // it is kept
	verdictRefused                 // it surely never runs
	verdictDone                    // shown as completed
	verdictFailed                  // shown as failed or cancelled
	verdictGone                    // once accepted, now unknown
)

// entry is what a client knows of one job.
type entry struct {
	verdict   verdict
	kind      jobKind
	sent      time.Duration
	accepted  time.Duration
	started   time.Duration // its first start at a worker; 0: none yet
	over      time.Duration
	tries     int
	wontCheck bool // tasks that outlast the run: nobody waits for its end
}

// ledger keeps the clients' jobs. It is safe for concurrent use.
type ledger struct {
	mutex   sync.Mutex
	zero    time.Time
	entries map[string]*entry
	starts  int
	unseen  int
}

func newLedger() *ledger { return &ledger{zero: time.Now(), entries: make(map[string]*entry)} }

func (l *ledger) now() time.Duration { return time.Since(l.zero) }

func (l *ledger) open(id string, kind jobKind) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries[id] = &entry{kind: kind, sent: l.now(), wontCheck: kind == kindResident}
}

// tried counts one try to hand a job in.
func (l *ledger) tried(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries[id].tries++
}

// settle takes note of what a client was told. What is over stays as it is.
func (l *ledger) settle(id string, told verdict) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[id]
	if known == nil || known.verdict > verdictAccepted {
		return
	}
	known.verdict = told
	if told == verdictAccepted {
		known.accepted = l.now()
		return
	}
	known.over = l.now()
}

// visibleSpan is how long after its acknowledgement a job may still be unknown somewhere.
const visibleSpan = 3 * time.Second

// gone takes note that a job was told to be unknown, and tells whether that settles it: soon after its acknowledgement it only
// isn't known there yet.
func (l *ledger) gone(id string) bool {
	l.mutex.Lock()
	known := l.entries[id]
	if l.now()-known.accepted <= visibleSpan {
		l.unseen++
		l.mutex.Unlock()
		return false
	}
	l.mutex.Unlock()
	l.settle(id, verdictGone)
	return true
}

// started takes note of a start that a worker took.
func (l *ledger) started(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts++
	if known := l.entries[id]; known != nil && known.started == 0 {
		known.started = l.now()
	}
}

// Jobs counts what became of the jobs that clients handed in.
type Jobs struct {
	Sent     int `json:"sent"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Open     int `json:"in_doubt"` // never clearly answered
	Done     int `json:"done"`
	Failed   int `json:"failed"`
	Lost     int `json:"lost"`            // accepted, and unknown or not done at the end
	Unseen   int `json:"not_visible_yet"` // answers that an accepted job is unknown, soon after its acknowledgement
	Tries    int `json:"tries"`
	Starts   int `json:"starts"` // that workers took
}

// count sums up; final tells that whatever isn't done now counts as lost.
func (l *ledger) count(final bool) Jobs {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	jobs := Jobs{Sent: len(l.entries), Starts: l.starts, Unseen: l.unseen}
	for _, known := range l.entries {
		jobs.Tries += known.tries
		jobs.add(known, final)
	}
	return jobs
}

func (j *Jobs) add(known *entry, final bool) {
	switch known.verdict {
	case verdictOpen:
		j.Open++
	case verdictRefused:
		j.Refused++
	case verdictAccepted:
		j.Accepted++
		if final && !known.wontCheck {
			j.Lost++
		}
	case verdictDone:
		j.Accepted++
		j.Done++
	case verdictFailed:
		j.Accepted++
		j.Failed++
	case verdictGone:
		j.Accepted++
		j.Lost++
	}
}

// waiting is how many accepted jobs somebody still waits for.
func (l *ledger) waiting() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, known := range l.entries {
		if known.verdict == verdictAccepted && !known.wontCheck {
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
	Most  float64 `json:"max_ms"`
}

func newLatency(spans []time.Duration) Latency {
	if len(spans) == 0 {
		return Latency{}
	}
	slices.Sort(spans)
	quantile := func(share float64) float64 {
		return milliseconds(spans[min(len(spans)-1, int(share*float64(len(spans))))])
	}
	return Latency{Count: len(spans), P50: quantile(0.5), P90: quantile(0.9), P99: quantile(0.99), Most: quantile(1)}
}

// Latencies are the times that clients saw, from the first send of each job.
type Latencies struct {
	Accepted Latency `json:"accepted"`    // until it was acknowledged
	Started  Latency `json:"first_start"` // until a worker took its first start
	Over     Latency `json:"done"`        // until it was shown as completed
}

// latencies sums up the jobs sent from a moment on; residents don't count.
func (l *ledger) latencies(from time.Duration) Latencies {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var accepted, started, over []time.Duration
	for _, known := range l.entries {
		if known.sent < from || known.kind == kindResident {
			continue
		}
		if known.accepted > 0 {
			accepted = append(accepted, known.accepted-known.sent)
		}
		if known.started > 0 {
			started = append(started, known.started-known.sent)
		}
		if known.verdict == verdictDone {
			over = append(over, known.over-known.sent)
		}
	}
	return Latencies{newLatency(accepted), newLatency(started), newLatency(over)}
}
