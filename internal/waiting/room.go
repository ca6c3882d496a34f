package waiting

import (
	"maps"
	"slices"
	"time"
)

const (
	maxAfter = 16                    // predecessors of one job
	maxAsks  = 1024                  // questions that wait for an end at once
	tickWork = 2048                  // entries that one Tick touches: what is left goes on at once in the next
	lastCall = 20 * time.Millisecond // before its client gives up an attached job has its answer
	longWait = 2                     // of its due time: then a ready job that has not gone out is refused
)

// flags of an entry.
const (
	attached  uint16 = 1 << iota // its client waits on its connection
	fresh                        // it went on at once
	indexed                      // its name is known
	maybe                        // a send may have run
	turnedOff                    // a host will not take it, now or later
	unsent                       // released, and not sent in this turn
	left                         // nobody waits for it any more, but a send is still out
	promised                     // accepted, to live on without its connection
	shed                         // there was a result, but no room to keep it
)

// entry is a job that is known. Its number is its place in Room.all.
type entry struct {
	name, result            string
	client                  *share // nil: it counts for nobody
	number                  uint64
	arrived, deadline, size time.Duration // deadline 0: none
	ready                   time.Duration // before it is ready: its set time
	entered, sent           time.Duration // its last turn began; its last send
	edges, next             uint32        // its first dependant; the next kept, or the next free
	bytes, dueMS            uint32        // of its body; how long it may wait once it is ready
	class, tenant, slots    int16
	attempts, out, status   uint16
	preds                   uint8 // earlier jobs that have not ended
	state                   State
	flags                   uint16
}

func (e *entry) due() time.Duration { return time.Duration(e.dueMS) * time.Millisecond }

func (e *entry) is(f uint16) bool { return e.flags&f != 0 }

// edge says that a job waits for the one in whose list it stands.
type edge struct {
	of     uint32
	number uint64 // of the dependant: its entry may hold another job by now
	next   uint32
}

// Room holds the jobs. See New.
type Room struct {
	lim    Limits
	fleet  Fleet
	all    slab[entry] // the first of each slab is of no use
	free   uint32
	edges  slab[edge]
	spare  uint32
	names  map[string]uint32
	open   map[uint64]uint32 // by number, those not final
	shares map[string]*share
	place  slab[uint32] // in timers, ready or again
	timers queue        // that wait for their time
	ready  queue        // whose turn it may be, by the time at which they ought to have gone out
	again  queue        // that the module has refused, by when they try again
	endsAt slab[uint32]
	ends   queue    // by when they must have gone out, or be answered
	ended  []uint32 // final ones whose dependants have not heard yet
	oldest uint32   // of the kept
	newest uint32
	shedAt uint32 // the oldest kept that may have a result
	askers map[uint32][]uint64
	asks   map[uint64]*waiter
	asksAt time.Duration // no ask is due before

	held            int // waiting, ready and released jobs that asked to wait
	bodies, results int64
	hosts           int
	closing         bool
	more            bool // a Tick has left work
	pace            pacer
	rule            func(p *pacer, most float64) (floor float64, window int)
	stats           Stats
	records         []Record // nil: none are wanted
	out, before     []Action
	advised         int
	freedAt         time.Duration // a place came free last
	freeGap         time.Duration // mean time between places that come free
	patience        []time.Duration
}

// waiter is an Ask that waits for an end.
type waiter struct {
	of    uint32
	until time.Duration
}

// New makes an empty Room. The limits must be sound, see Limits.Check.
func New(lim Limits, fleet Fleet) *Room {
	r := &Room{lim: lim, fleet: fleet, names: map[string]uint32{}, open: map[uint64]uint32{}, shares: map[string]*share{},
		askers: map[uint32][]uint64{}, asks: map[uint64]*waiter{}, pace: newPacer(), rule: byNeed,
		patience: make([]time.Duration, len(fleet.Classes))}
	r.all.push(entry{}) // so that 0 means none
	r.edges.push(edge{})
	r.place.push(0)
	r.endsAt.push(0)
	r.timers.place, r.ready.place, r.again.place, r.ends.place = &r.place, &r.place, &r.place, &r.endsAt
	return r
}

// Actions gives what is to be done since the last call. It is valid until the next call of it.
func (r *Room) Actions() []Action {
	out := r.out
	if r.out, r.before = r.before[:0], out; cap(out) > tickWork {
		r.before = nil // a rare crowd must not hold its memory for good
	}
	return out
}

func (r *Room) do(a Action) { r.out = append(r.out, a) }

// SetLimits changes the limits. What is held stays, though it be more than the new limits allow: the room then takes
// no more until it fits.
func (r *Room) SetLimits(lim Limits) { r.lim = lim }

// Hosts tells how many hosts are ready.
func (r *Room) Hosts(n int) { r.hosts = n }

// Stats counts what is held and was done.
func (r *Room) Stats() Stats {
	s := r.stats
	s.Ready, s.Released = r.ready.len()+r.again.len(), r.pace.in
	s.Waiting = r.held - s.Ready - s.Released
	s.Bytes, s.Window = r.bodies+r.results, r.pace.window
	return s
}

// Held is how many jobs wait, are ready or are out, those that went on at once not counted.
func (r *Room) Held() int { return r.held }

// Out is how many jobs without a connection are before the module or at a host.
func (r *Room) Out() (n int) {
	for _, i := range r.open {
		if e := r.all.at(i); e.state == Released && !e.is(attached|fresh) {
			n++
		}
	}
	return n
}

// take makes an entry.
func (r *Room) take() uint32 {
	if i := r.free; i != 0 {
		r.free = r.all.at(i).next
		*r.all.at(i) = entry{}
		return i
	}
	r.place.push(0)
	r.endsAt.push(0)
	return r.all.push(entry{})
}

func (r *Room) drop(i uint32) {
	*r.all.at(i) = entry{next: r.free}
	r.free = i
}

// Fresh takes in a job that does not wait. False: it has its answer already and must not go on.
func (r *Room) Fresh(now time.Duration, j *Job) bool {
	if r.names[j.Name] != 0 {
		r.refuse(j, StatusConflict, "the id is already used", 0)
		return false
	}
	if j.Class < len(r.patience) {
		r.patience[j.Class] = max(r.patience[j.Class], min(j.Deadline-j.Arrived, r.fleet.Classes[j.Class].Deadline))
	}
	i := r.add(j, fresh|attached)
	e := r.all.at(i)
	e.state, e.entered, e.ready = Released, now, now
	e.flags |= unsent
	if r.lim.Fresh {
		e.flags |= indexed
		r.names[e.name] = i
	}
	r.stats.Fresh++
	return true
}

func (r *Room) add(j *Job, flags uint16) uint32 {
	i := r.take()
	e := r.all.at(i)
	*e = entry{name: j.Name, number: j.Number, arrived: j.Arrived, deadline: j.Deadline, size: j.Size,
		class: int16(j.Class), tenant: int16(j.Tenant), slots: int16(j.Slots), bytes: uint32(j.Bytes), flags: flags}
	r.open[j.Number] = i
	return i
}

func (r *Room) refuse(j *Job, status int, why string, after time.Duration) {
	r.do(Action{Kind: Answer, Job: Job{Number: j.Number}, Status: status, Why: why, After: after})
}

// Submit takes in a job that asks to wait. It is held and, if nobody is attached to it, accepted; or it has its answer.
//
// A job can only wait for jobs that are known when it comes, and is itself known only after that: whatever it waits
// for is older, so no cycle can be made.
func (r *Room) Submit(now time.Duration, j *Job) {
	r.stats.Submitted++
	if r.names[j.Name] != 0 {
		r.refuse(j, StatusConflict, "the id is already used", 0)
		return
	}
	due := j.Due
	if due == 0 {
		due = r.lim.DefaultDue
	}
	switch {
	case due > r.lim.MaxDue:
		r.refuse(j, 400, "X-Due-Ms: more than max_due allows", 0)
		return
	case j.NotBefore-now > r.lim.MaxDelay:
		r.refuse(j, 400, "X-Not-Before-Ms: more than max_delay allows", 0)
		return
	case len(j.After) > maxAfter:
		r.refuse(j, 400, "X-After: more than 16 ids", 0)
		return
	case r.closing:
		r.refuse(j, StatusFull, "stopping", time.Second)
		return
	case j.Attached && max(j.NotBefore, now) >= j.Deadline-lastCall:
		r.refuse(j, StatusRefused, "the wait does not fit into the time that is left", 0)
		return
	}
	unmet, met := [maxAfter]uint32{}, true
	n := 0
	for _, name := range j.After {
		p := r.names[name]
		switch {
		case p == 0:
			r.refuse(j, StatusConflict, "X-After: unknown id "+name, 0)
			return
		case r.all.at(p).state == Served || r.all.at(p).state.Final() && r.lim.RunOnFailure:
		case r.all.at(p).state.Final():
			met = false
		case !slices.Contains(unmet[:n], p):
			unmet[n] = p
			n++
		}
	}
	if why := r.full(j); why != "" {
		r.stats.Full++
		r.refuse(j, StatusFull, why, r.advice(now))
		return
	}
	flags := indexed
	if j.Attached {
		flags |= attached
	}
	i := r.add(j, flags)
	e := r.all.at(i)
	e.ready, e.dueMS = j.NotBefore, uint32((due+time.Millisecond-1)/time.Millisecond)
	r.names[e.name] = i
	r.held++
	r.count(e, j.Client)
	r.bodies += int64(e.bytes)
	if !met {
		r.finish(now, i, Failed, StatusDependency, "a job that it waits for was not served", true)
		return
	}
	if !j.Attached {
		e.flags |= promised
		if r.records != nil {
			kept := *j
			kept.Due, kept.After = e.due(), nil
			for _, p := range unmet[:n] {
				kept.After = append(kept.After, r.all.at(p).name)
			}
			r.note(now, e, Record{Kind: Promised, Job: kept})
		}
		r.do(Action{Kind: Accept, Job: Job{Number: j.Number}})
	} else {
		r.ends.push(i, e.deadline-lastCall)
	}
	for _, p := range unmet[:n] {
		r.all.at(p).edges = r.link(i, e.number, r.all.at(p).edges)
	}
	e.preds = uint8(n)
	if e.ready > now {
		r.timers.push(i, e.ready)
	} else if n == 0 {
		r.makeReady(now, i)
	}
}

// share is how many jobs one client has here.
type share struct {
	name string
	jobs int
}

// count books a job for its client.
func (r *Room) count(e *entry, client string) {
	s := r.shares[client]
	if s == nil {
		s = &share{name: client}
		r.shares[client] = s
	}
	s.jobs++
	e.client = s
}

// link makes an edge.
func (r *Room) link(of uint32, number uint64, next uint32) uint32 {
	x := edge{of, number, next}
	if i := r.spare; i != 0 {
		r.spare = r.edges.at(i).next
		*r.edges.at(i) = x
		return i
	}
	return r.edges.push(x)
}

// full tells which bound a job would pass; "": none.
func (r *Room) full(j *Job) string {
	switch {
	case r.held >= r.lim.MaxJobs:
		return "as many jobs wait as may"
	case r.bodies+int64(j.Bytes) > r.lim.MaxBytes:
		return "the bodies of waiting jobs take all the room there is"
	case r.shares[j.Client] != nil && r.shares[j.Client].jobs >= max(1, int(r.lim.ClientShare*float64(r.lim.MaxJobs))):
		return "this client has as many waiting jobs as it may"
	}
	return ""
}

// advice is when a place may come free for one who is turned away: the soonest end there can be, and after it, at
// the pace at which places came free, for each that was told so before. Nobody is sent to a place that is promised to
// another.
func (r *Room) advice(now time.Duration) time.Duration {
	gap := max(r.freeGap, time.Millisecond)
	first := gap
	if at, ok := r.timers.next(); ok && r.pace.in+r.ready.len()+r.again.len() == 0 {
		first = max(at-now, gap)
	}
	r.advised++
	return min(max(first+time.Duration(r.advised)*gap, time.Second), time.Hour).Round(time.Millisecond)
}

// makeReady: all that the job waited for has come.
func (r *Room) makeReady(now time.Duration, i uint32) {
	e := r.all.at(i)
	e.state, e.ready = Ready, now
	r.note(now, e, Record{Kind: IsReady})
	r.ready.push(i, now+e.due())
	r.arm(i)
	r.pace.stale = true
}

// arm sets when a job that is ready, or in its turn and not sent, must be answered.
func (r *Room) arm(i uint32) {
	e := r.all.at(i)
	at := e.ready + longWait*e.due()
	if e.deadline > 0 && e.is(attached) {
		at = min(at, e.deadline-lastCall)
	}
	r.ends.remove(i)
	r.ends.push(i, at)
}

// Tick lets time pass: what has come due happens, and jobs whose turn it is are released. It touches a bounded number
// of entries; Wake tells when to call it again.
func (r *Room) Tick(now time.Duration) {
	work := tickWork
	r.forget(now, &work)
	for ; work > 0; work-- {
		i, ok := r.ends.due(now)
		if !ok {
			break
		}
		r.tooLate(now, i)
	}
	for ; work > 0; work-- {
		i, ok := r.timers.due(now)
		if !ok {
			break
		}
		r.timers.remove(i)
		if r.all.at(i).preds == 0 {
			r.makeReady(now, i)
		}
	}
	for ; work > 0; work-- {
		i, ok := r.again.due(now)
		if !ok {
			break
		}
		r.again.remove(i)
		r.ready.push(i, r.all.at(i).ready+r.all.at(i).due())
	}
	r.tell(now, &work)
	r.overdueAsks(now)
	r.more = work <= 0
	r.release(now)
}

// tooLate answers a job that has waited for as long as it may.
func (r *Room) tooLate(now time.Duration, i uint32) {
	e := r.all.at(i)
	if e.state == Released {
		r.do(Action{Kind: Withdraw, Job: Job{Number: e.number}})
	}
	if e.is(maybe) && !r.repeatable(e) {
		r.finish(now, i, Failed, StatusFailed, "failed", true)
		return
	}
	r.finish(now, i, Refused, StatusRefused, "no room came in the time that it could wait", true)
}

func (r *Room) repeatable(e *entry) bool {
	return int(e.class) < len(r.fleet.Classes) && r.fleet.Classes[e.class].Repeatable
}

// tell lets the dependants of ended jobs know. It is a list of work and no recursion: a chain of any length takes no
// stack, and a job on which many wait no long Tick.
func (r *Room) tell(now time.Duration, work *int) {
	for *work > 0 && len(r.ended) > 0 {
		p := r.ended[len(r.ended)-1]
		x := r.all.at(p).edges
		*work--
		g := *r.edges.at(x)
		if r.all.at(p).edges = g.next; g.next == 0 { // off the list at once: its entry may soon hold another job
			r.ended = r.ended[:len(r.ended)-1]
		}
		*r.edges.at(x) = edge{next: r.spare}
		r.spare = x
		e := r.all.at(g.of)
		if e.number != g.number || e.state != Waiting {
			continue // it has ended meanwhile
		}
		if r.all.at(p).state != Served && !r.lim.RunOnFailure {
			r.finish(now, g.of, Failed, StatusDependency, "a job that it waited for was not served", true)
			continue
		}
		if e.preds--; e.preds == 0 && !r.timers.holds(g.of) {
			r.makeReady(now, g.of)
		}
	}
}

// finish gives a job its one final state. With answer the program is told; else it has heard from elsewhere.
func (r *Room) finish(now time.Duration, i uint32, s State, status int, why string, answer bool) {
	e := r.all.at(i)
	if e.state.Final() {
		return
	}
	r.pace.out -= int(e.out) // what is still out of it is not heard of any more
	r.leave(now, i, s)
	r.note(now, e, Record{Kind: Over, State: s, Status: status, Result: e.result})
	for _, q := range []*queue{&r.timers, &r.ready, &r.again, &r.ends} {
		q.remove(i)
	}
	if !e.is(fresh) {
		r.held--
		r.bodies -= int64(e.bytes)
		if e.client.jobs--; e.client.jobs == 0 {
			delete(r.shares, e.client.name)
		}
		if r.freedAt > 0 {
			r.freeGap += (min(now-r.freedAt, time.Minute) - r.freeGap) / 8
		}
		r.freedAt, r.advised = now, max(0, r.advised-1)
		switch s {
		case Served:
			r.stats.Served++
		case Refused:
			r.stats.Refused++
		case Failed:
			r.stats.Failed++
		case Cancelled:
			r.stats.Cancelled++
		}
	}
	delete(r.open, e.number)
	e.state, e.status, e.client, e.bytes = s, uint16(status), nil, 0
	e.sent = max(e.sent, e.ready)
	if answer {
		r.do(Action{Kind: Answer, Job: Job{Number: e.number}, Status: status, Why: why})
	}
	for _, a := range r.askers[i] {
		delete(r.asks, a)
		r.do(Action{Kind: Tell, Ask: a, Status: StatusServed, Info: r.info(now, i)})
	}
	delete(r.askers, i)
	if e.edges != 0 {
		r.ended = append(r.ended, i)
	}
	if !e.is(indexed) {
		r.drop(i)
		return
	}
	e.entered = now // from here on: when it ended
	if r.newest != 0 {
		r.all.at(r.newest).next = i
	} else {
		r.oldest = i
	}
	r.newest, e.next = i, 0
	r.stats.Kept++
	if r.shedAt == 0 {
		r.shedAt = i
	}
	r.shed()
}

// keep stores a result, for which others may have to go.
func (r *Room) keep(e *entry, result []byte) {
	if e.is(fresh) {
		return // its client had it on its connection
	}
	e.result = string(result)
	r.results += int64(len(result))
}

// shed lets the oldest results go where bodies and results are more than they may be. Their jobs stay known.
func (r *Room) shed() {
	for r.bodies+r.results > r.lim.MaxBytes && r.shedAt != 0 {
		e := r.all.at(r.shedAt)
		if len(e.result) > 0 {
			r.results -= int64(len(e.result))
			e.result = ""
			e.flags |= shed
			r.stats.ResultsShed++
		}
		r.shedAt = e.next
	}
}

// forget lets final jobs go: when their time is over, or the oldest where there are too many.
func (r *Room) forget(now time.Duration, work *int) {
	for ; *work > 0 && r.oldest != 0; *work-- {
		i := r.oldest
		e := r.all.at(i)
		old := now-e.entered >= r.lim.Retention
		if !old && r.stats.Kept <= r.lim.MaxKept || e.edges != 0 { // dependants hear of it first
			return
		}
		if !old {
			r.stats.ForgottenEarly++
		}
		r.oldest = e.next
		if r.newest == i {
			r.newest = 0
		}
		if r.shedAt == i {
			r.shedAt = e.next
		}
		r.results -= int64(len(e.result))
		r.stats.Kept--
		delete(r.names, e.name)
		r.drop(i)
	}
}

// Wake tells when the next Tick is due though nothing happens.
func (r *Room) Wake(now time.Duration) (at time.Duration, ok bool) {
	if r.more || len(r.ended) > 0 {
		return now, true
	}
	sooner := func(t time.Duration, there bool) {
		if there && (!ok || t < at) {
			at, ok = t, true
		}
	}
	sooner(r.timers.next())
	sooner(r.again.next())
	sooner(r.ends.next())
	if r.oldest != 0 {
		sooner(r.all.at(r.oldest).entered+r.lim.Retention, true)
		sooner(now, r.stats.Kept > r.lim.MaxKept)
	}
	sooner(r.asksAt, len(r.asks) > 0)
	sooner(r.nextTurn(now))
	return at, ok
}

// Close begins the end of the program, which answers until by. What waits with a client on the line and can't be
// ready by then is refused now, the rest by then; nothing more is taken.
func (r *Room) Close(now, by time.Duration) {
	r.closing = true
	for _, w := range r.asks {
		w.until = now
	}
	r.asksAt = now
	r.overdueAsks(now)
	numbers := slices.Sorted(maps.Keys(r.open)) // an order that does not hang on the map's
	for _, n := range numbers {
		i := r.open[n]
		e := r.all.at(i)
		if !e.is(attached) || e.is(fresh) || e.state > Ready {
			if e.is(attached) && e.state == Released { // what the module then refuses is not held once more
				e.deadline = min(e.deadline, by)
			}
			continue
		}
		if e.deadline = min(e.deadline, by); e.state == Waiting && e.ready >= by {
			r.finish(now, i, Refused, StatusFull, "stopping", true)
			continue
		}
		r.ends.remove(i)
		r.ends.push(i, e.deadline-lastCall)
	}
}

// Crashed tells that the module has forgotten all that it held: what was before it may have run and has failed. The
// program answers those itself.
func (r *Room) Crashed(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(r.open)) {
		if i := r.open[n]; r.all.at(i).state == Released {
			r.finish(now, i, Failed, StatusFailed, "failed", false)
		}
	}
}

// Keeps tells whether a job is held and not before the module: it outlives the module's end.
func (r *Room) Keeps(number uint64) bool {
	i := r.open[number]
	return i != 0 && r.all.at(i).state < Released
}
