package waiting

import (
	"fmt"
	"time"
)

// Store keeps the records of accepted jobs beyond the process. The queue decides what is recorded and in which order
// (Records); the store only has to return the records after a restart.
//
// The records of a step must be durable before any action of that step is carried out, so that an accepted job is on
// disk before the client is told, and the intent to send before the send. If the records of a step cannot be stored,
// the step is not carried out and its jobs are refused.
type Store interface {
	// Append writes records, in order. Once it has returned nil they outlive the process.
	Append(records []Record) error
	// Load passes all stored records to each, in order.
	Load(each func(Record) error) error
}

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds. Each comment names the fields that are set.
const (
	JobAccepted RecordKind = iota // Job: it was accepted, independent of its connection
	MayRun                        // Attempts: from here on a host may run it
	NotRun                        // all its sends provably did not run
	BecameReady                   // its set time and its predecessors are over
	Finished                      // State, Status, Result: it is final
)

// Record is a fact about a job that must be known after a restart.
type Record struct {
	Kind     RecordKind
	At       time.Duration
	Name     string
	Job      Job // of JobAccepted
	Attempts int // of MayRun, this one included
	State    State
	Status   int
	Result   string
}

// Record turns recording on. Without it, records cost nothing.
func (q *Queue) Record() { q.records = make([]Record, 0, 16) }

// Records returns the records to store since the last call, see Store. The slice is valid until the next call of any
// method.
func (q *Queue) Records() []Record {
	out := q.records
	if out != nil {
		q.records = q.records[len(out):]
		if cap(q.records) < 16 {
			q.records = make([]Record, 0, 64)
		}
	}
	return out
}

// record adds a record about an accepted job.
func (q *Queue) record(now time.Duration, e *entry, x Record) {
	if q.records == nil || !e.has(accepted) {
		return
	}
	x.At, x.Name = now, e.name
	q.records = append(q.records, x)
}

// jobHistory is what the records say about one job.
type jobHistory struct {
	job      Job
	ready    bool
	mayRun   bool
	attempts int
	end      *Record
}

// Restore fills an empty queue from stored records, in the order in which they were stored. next returns a job number
// that is not in use. A job that was never sent waits on. A job that may have run waits for another turn if its class
// is safe to repeat; otherwise it ends as failed and is never sent a second time. Final jobs stay final until their
// retention ends. A predecessor that was not recorded, because it had a connection, which ended with the process,
// counts as not served. Restore returns the jobs that are not final.
func (q *Queue) Restore(now time.Duration, next func() uint64, load func(each func(Record) error) error) ([]Job, error) {
	if len(q.byName) > 0 {
		return nil, fmt.Errorf("waiting: cannot restore into a queue that knows %d jobs", len(q.byName))
	}
	known := map[string]*jobHistory{}
	var order []string
	err := load(func(x Record) error {
		p := known[x.Name]
		if p == nil && x.Kind != JobAccepted {
			return fmt.Errorf("waiting: job %q: a record precedes its acceptance", x.Name)
		}
		switch x.Kind {
		case JobAccepted:
			if p == nil || p.end != nil { // the id of a forgotten job can be used again
				if p == nil {
					order = append(order, x.Name)
				}
				known[x.Name] = &jobHistory{job: x.Job}
			}
		case MayRun:
			p.mayRun, p.attempts = true, x.Attempts
		case NotRun:
			p.mayRun = false
		case BecameReady:
			p.ready = true
		case Finished:
			if p.end == nil {
				p.end = &x
			}
		default:
			return fmt.Errorf("waiting: job %q: unknown kind of record %d", x.Name, x.Kind)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	var live []Job
	for _, name := range order {
		p := known[name]
		j := &p.job
		if p.end != nil && now-p.end.At >= q.limits.Retention {
			continue
		}
		j.Number = next()
		if q.restoreJob(now, p); p.end == nil && q.active[j.Number] != 0 {
			live = append(live, *j)
		}
	}
	q.actions = q.actions[:0] // no client is connected
	q.stats = Stats{Kept: q.stats.Kept}
	return live, nil
}

// restoreJob restores one job. Older jobs, which it may wait for, are already restored.
func (q *Queue) restoreJob(now time.Duration, p *jobHistory) {
	j := &p.job
	i := q.add(j, indexed|accepted)
	e := q.entries.at(i)
	e.ready, e.dueMS, e.attempts = j.NotBefore, uint32(j.Due/time.Millisecond), uint16(p.attempts)
	q.byName[e.name] = i
	q.held++
	q.countForClient(e, j.Client)
	q.bodyBytes += int64(e.bodyBytes)
	switch {
	case p.end != nil:
		e.result = p.end.Result
		q.resultBytes += int64(len(e.result))
		records := q.records
		q.records = nil // it is recorded already
		q.finish(p.end.At, i, p.end.State, p.end.Status, "", false)
		q.records = records
		return
	case p.mayRun && !q.repeatable(e):
		q.finish(now, i, Failed, StatusFailed, "", false)
		return
	case p.mayRun:
		e.flags |= mayHaveRun
	}
	if !p.ready && !p.mayRun {
		for _, name := range j.After {
			switch o := q.byName[name]; {
			case o == 0 && !q.limits.RunOnFailure, o != 0 && q.entries.at(o).state.Final() && q.entries.at(o).state != Served &&
				!q.limits.RunOnFailure:
				q.finish(now, i, Failed, StatusDependency, "", false)
				return
			case o != 0 && !q.entries.at(o).state.Final():
				q.entries.at(o).dependants = q.addEdge(i, e.number, q.entries.at(o).dependants)
				e.unmetPreds++
			}
		}
	}
	if e.ready > now {
		q.timers.push(i, e.ready)
	} else if e.unmetPreds == 0 {
		q.makeReady(now, i)
	}
}
