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
	Keep(records []Record) error
	// Load passes all stored records to each, in order.
	Load(each func(Record) error) error
}

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds. Each comment names the fields that are set.
const (
	Promised RecordKind = iota // Job: it was accepted, independent of its connection
	MayRun                     // Attempts: from here on a host may run it
	NotRun                     // all its sends provably did not run
	IsReady                    // its set time and its predecessors are over
	Over                       // State, Status, Result: it is final
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
func (r *Queue) Record() { r.records = make([]Record, 0, 16) }

// Records returns the records to store since the last call, see Store. The slice is valid until the next call of any
// method.
func (r *Queue) Records() []Record {
	out := r.records
	if out != nil {
		r.records = r.records[len(out):]
		if cap(r.records) < 16 {
			r.records = make([]Record, 0, 64)
		}
	}
	return out
}

// record adds a record about an accepted job.
func (r *Queue) note(now time.Duration, e *entry, x Record) {
	if r.records == nil || !e.is(promised) {
		return
	}
	x.At, x.Name = now, e.name
	r.records = append(r.records, x)
}

// jobHistory is what the records say about one job.
type past struct {
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
func (r *Queue) Restore(now time.Duration, next func() uint64, load func(each func(Record) error) error) ([]Job, error) {
	if len(r.names) > 0 {
		return nil, fmt.Errorf("waiting: cannot restore into a queue that knows %d jobs", len(r.names))
	}
	known := map[string]*past{}
	var order []string
	err := load(func(x Record) error {
		p := known[x.Name]
		if p == nil && x.Kind != Promised {
			return fmt.Errorf("waiting: job %q: a record precedes its acceptance", x.Name)
		}
		switch x.Kind {
		case Promised:
			if p == nil || p.end != nil { // the id of a forgotten job can be used again
				if p == nil {
					order = append(order, x.Name)
				}
				known[x.Name] = &past{job: x.Job}
			}
		case MayRun:
			p.mayRun, p.attempts = true, x.Attempts
		case NotRun:
			p.mayRun = false
		case IsReady:
			p.ready = true
		case Over:
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
		if p.end != nil && now-p.end.At >= r.lim.Retention {
			continue
		}
		j.Number = next()
		if r.takeAgain(now, p); p.end == nil && r.open[j.Number] != 0 {
			live = append(live, *j)
		}
	}
	r.out = r.out[:0] // no client is connected
	r.stats = Stats{Kept: r.stats.Kept}
	return live, nil
}

// restoreJob restores one job. Older jobs, which it may wait for, are already restored.
func (r *Queue) takeAgain(now time.Duration, p *past) {
	j := &p.job
	i := r.add(j, indexed|promised)
	e := r.all.at(i)
	e.ready, e.dueMS, e.attempts = j.NotBefore, uint32(j.Due/time.Millisecond), uint16(p.attempts)
	r.names[e.name] = i
	r.held++
	r.count(e, j.Client)
	r.bodies += int64(e.bytes)
	switch {
	case p.end != nil:
		e.result = p.end.Result
		r.results += int64(len(e.result))
		records := r.records
		r.records = nil // it is recorded already
		r.finish(p.end.At, i, p.end.State, p.end.Status, "", false)
		r.records = records
		return
	case p.mayRun && !r.repeatable(e):
		r.finish(now, i, Failed, StatusFailed, "", false)
		return
	case p.mayRun:
		e.flags |= maybe
	}
	if !p.ready && !p.mayRun {
		for _, name := range j.After {
			switch o := r.names[name]; {
			case o == 0 && !r.lim.RunOnFailure, o != 0 && r.all.at(o).state.Final() && r.all.at(o).state != Served &&
				!r.lim.RunOnFailure:
				r.finish(now, i, Failed, StatusDependency, "", false)
				return
			case o != 0 && !r.all.at(o).state.Final():
				r.all.at(o).edges = r.link(i, e.number, r.all.at(o).edges)
				e.preds++
			}
		}
	}
	if e.ready > now {
		r.timers.push(i, e.ready)
	} else if e.preds == 0 {
		r.makeReady(now, i)
	}
}
