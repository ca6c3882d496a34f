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
	// Keep writes records, in order. Once it has returned nil they outlive the process.
	Keep(records []Record) error
	// Load passes on all that was kept, in order.
	Load(each func(Record) error) error
}

// RecordKind says what a Record tells.
type RecordKind uint8

// The kinds.
const (
	Promised RecordKind = iota // Job: it was accepted, without its connection
	MayRun                     // a host may have it from here on
	NotRun                     // every send of it provably never ran
	IsReady                    // whatever it waited for has come
	Over                       // State, Status, Result: final
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
func (r *Room) Record() { r.records = make([]Record, 0, 16) }

// Records gives what is to be kept since the last call, see Store. It is valid until the next call of any method.
func (r *Room) Records() []Record {
	out := r.records
	if out != nil {
		r.records = r.records[len(out):]
		if cap(r.records) < 16 {
			r.records = make([]Record, 0, 64)
		}
	}
	return out
}

// note records something about a job that lives on without its connection.
func (r *Room) note(now time.Duration, e *entry, x Record) {
	if r.records == nil || !e.is(promised) {
		return
	}
	x.At, x.Name = now, e.name
	r.records = append(r.records, x)
}

// past is what the records say of one job.
type past struct {
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
func (r *Room) Restore(now time.Duration, next func() uint64, load func(each func(Record) error) error) ([]Job, error) {
	if len(r.names) > 0 {
		return nil, fmt.Errorf("waiting: a room with %d jobs can't be restored", len(r.names))
	}
	known := map[string]*past{}
	var order []string
	err := load(func(x Record) error {
		p := known[x.Name]
		if p == nil && x.Kind != Promised {
			return fmt.Errorf("waiting: job %q: a record without a promise", x.Name)
		}
		switch x.Kind {
		case Promised:
			if p == nil || p.end != nil { // an id that was forgotten can be used again
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
		if p.end != nil && now-p.end.At >= r.lim.Retention {
			continue
		}
		j.Number = next()
		if r.takeAgain(now, p); p.end == nil && r.open[j.Number] != 0 {
			live = append(live, *j)
		}
	}
	r.out = r.out[:0] // nobody is on the line
	r.stats = Stats{Kept: r.stats.Kept}
	return live, nil
}

// takeAgain takes one job in again. Older ones, for which it may wait, are there already.
func (r *Room) takeAgain(now time.Duration, p *past) {
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
