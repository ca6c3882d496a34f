package waiting

import (
	"fmt"
	"time"
)

// Store is what a Room needs of whoever keeps its promises beyond the process. The Room decides what is recorded and in
// which order (Records), the Store only that it is there again afterwards.
//
// The contract: the records of a Step are kept before anything of that Step is done, so that a promise is on disk before it
// is made, and the intent to send before the send. A Step whose records could not be kept is not carried out; its jobs
// are refused.
type Store interface {
	// Append writes records, in order. Once it has returned nil they outlive the process.
	Append(records []Record) error
	// Load passes on all that was kept, in order.
	Load(each func(Record) error) error
}

// RecordKind says what a Record tells.
type RecordKind uint8

// The kinds.
const (
	JobAccepted RecordKind = iota // Job: it was accepted, without its connection
	MayRun                        // a host may have it from here on
	NotRun                        // every send of it provably never ran
	BecameReady                   // whatever it waited for has come
	Finished                      // State, Status, Result: final
)

// Record is one thing that has to be known again after a restart.
type Record struct {
	Kind     RecordKind
	At       time.Duration
	Name     string
	Job      Job // of Promised
	Attempts int // of MayRun: this one counted
	State    State
	Status   int
	Result   string
}

// Record makes the Room give records from now on; without it they cost nothing.
func (q *Room) Record() { q.records = make([]Record, 0, 16) }

// Records gives what is to be kept since the last call, see Store. It is valid until the next call of any method.
func (q *Room) Records() []Record {
	out := q.records
	if out != nil {
		q.records = q.records[len(out):]
		if cap(q.records) < 16 {
			q.records = make([]Record, 0, 64)
		}
	}
	return out
}

// record records something about a job that lives on without its connection.
func (q *Room) record(now time.Duration, e *entry, x Record) {
	if q.records == nil || !e.has(accepted) {
		return
	}
	x.At, x.Name = now, e.name
	q.records = append(q.records, x)
}

// jobHistory is what the records say of one job.
type jobHistory struct {
	job      Job
	ready    bool
	mayRun   bool
	attempts int
	end      *Record
}

// Restore fills an empty Room from records, in the order in which they were kept; next gives a number that no job has.
// What never went out waits on; what may have run and is safe to repeat waits for another turn; what may have run and is
// not ends failed, never with a second send; finals stay finals until their retention is over. A job whose predecessor
// was not recorded (it had a connection, which died with the process) takes it for not served. It tells which jobs live on.
func (q *Room) Restore(now time.Duration, next func() uint64, load func(each func(Record) error) error) ([]Job, error) {
	if len(q.byName) > 0 {
		return nil, fmt.Errorf("waiting: a room with %d jobs can't be restored", len(q.byName))
	}
	known := map[string]*jobHistory{}
	var order []string
	err := load(func(x Record) error {
		p := known[x.Name]
		if p == nil && x.Kind != JobAccepted {
			return fmt.Errorf("waiting: job %q: a record without a promise", x.Name)
		}
		switch x.Kind {
		case JobAccepted:
			if p == nil || p.end != nil { // an id that was forgotten can be used again
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
			return fmt.Errorf("waiting: job %q: a record of unknown kind %d", x.Name, x.Kind)
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
	q.actions = q.actions[:0] // nobody is on the line
	q.stats = Stats{Kept: q.stats.Kept}
	return live, nil
}

// restoreJob takes one job in again. Older ones, for which it may wait, are there already.
func (q *Room) restoreJob(now time.Duration, p *jobHistory) {
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
