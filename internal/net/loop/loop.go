// Package loop runs the one goroutine that owns the core and its decision module. Socket code reaches it
// through a queue only; what has come in is drained into one Step.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

const (
	queueLen  = 4096 // messages waiting for the loop; a full queue makes the sockets wait
	urgentLen = 64   // the operators' messages, which come before all others
	batchLen  = 1024
)

// Answer is the final answer to one downstream request.
type Answer struct {
	Served     bool
	Refused    bool          // not Served: a repeat is harmless
	Body       []byte        // of Served
	RetryAfter time.Duration // of Refused; 0: no advice
	Accepted   bool          // no answer to the job but the promise that it lives on without its connection
	Status     int           // of a local reply, where it has one of its own; else 0
	Why        string        // in words, with Status
}

// Ticket is one downstream request on its way through the dispatcher.
type Ticket struct {
	Job     dispatch.Arrived // Job, Name, Bytes and At are filled in by Submit
	Forward upstream.Request // Addr is filled in for each upstream request
	Arrived time.Time

	done   atomic.Bool
	answer chan Answer
}

// Answer gives the one final answer, which comes exactly once.
func (t *Ticket) Answer() <-chan Answer { return t.answer }

// settle passes on the first final answer; false: there was one already.
func (t *Ticket) settle(a Answer) bool {
	if !t.done.CompareAndSwap(false, true) {
		return false
	}
	t.answer <- a // its buffer holds one
	return true
}

// Upstream is what the loop needs of the upstream side.
type Upstream interface {
	Do(ctx context.Context, q *upstream.Request, w upstream.Watcher)
	Probe(ctx context.Context, addr string) upstream.Outcome
}

// envelope is what waits in the queue.
type envelope struct {
	msg    dispatch.Message
	ticket *Ticket            // of a new job
	told   chan dispatch.Told // of an Asked
	handed chan bool          // of a Hand
	idle   chan struct{}      // to be closed when nothing without a connection is out
	count  chan struct{}      // to be closed when the hosts are counted anew
	watch  uint64             // the number of the watch that the message comes from; 0: from none
	source cluster.Source     // a new source in place of a message
}

// calls end an upstream request: cancel at any time, unsend only where its last byte has not been written.
type calls struct{ cancel, unsend context.CancelFunc }

// Loop owns the core. Run is its goroutine.
type Loop struct {
	core     *dispatch.Chain
	set      *settings.Settings
	upstream Upstream
	source   cluster.Source
	clock    Clock
	queue    chan envelope
	urgent   chan envelope
	nextJob  atomic.Uint64
	nextAsk  atomic.Uint64
	held     atomic.Int64
	known    atomic.Int64 // hosts listed, as last counted
	excluded atomic.Int64 // of those, the ones kept away from
	nextHand atomic.Uint64
	ids      ids
	stopped  chan struct{}
	work     sync.WaitGroup

	// Owned by Run.
	tickets map[uint64]*Ticket
	parked  map[uint64]*parked
	asks    map[uint64]chan dispatch.Told
	hands   map[uint64]chan bool
	idle    []chan struct{}
	out     map[dispatch.Key]calls
	watch   context.CancelFunc // ends the watch that is on; nil: none is
	watches uint64             // watches begun; the last one's number
	moved   bool               // to a source that is not watched yet
	renewed []dispatch.Message // for a core that took the place of one that panicked
}

// New makes a loop round a core.
func New(core *dispatch.Chain, set *settings.Settings, up Upstream, source cluster.Source, clock Clock) *Loop {
	return &Loop{core: core, set: set, upstream: up, source: source, clock: clock,
		queue: make(chan envelope, queueLen), urgent: make(chan envelope, urgentLen), hands: map[uint64]chan bool{}, ids: ids{until: map[string]time.Time{}}, stopped: make(chan struct{}),
		asks: map[uint64]chan dispatch.Told{}, parked: map[uint64]*parked{}, tickets: map[uint64]*Ticket{}, out: map[dispatch.Key]calls{}}
}

// Post puts a message in the queue.
func (l *Loop) Post(m dispatch.Message) { l.post(envelope{msg: m}) }

func (l *Loop) post(e envelope) {
	select {
	case l.queue <- e:
	case <-l.stopped:
	}
}

// Hand takes a host out by hand, or puts it back. Known: a host of that name is listed or out by hand; else nothing
// is changed. Once it returns with known, the module has heard of it. False and an error: ctx or the loop has ended
// first, and the change may yet be made.
func (l *Loop) Hand(ctx context.Context, name string, out bool) (known bool, err error) {
	m := dispatch.Hand{Ask: l.nextHand.Add(1), Name: name, Out: out}
	handed := make(chan bool, 1)
	select {
	case l.urgent <- envelope{msg: m, handed: handed}:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
	select {
	case known = <-handed:
		return known, nil
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.stopped:
		return false, ErrStopped
	}
}

// HandSet makes the set of hosts out by hand the one given, as it is kept outside the process.
func (l *Loop) HandSet(names []string) {
	select {
	case l.urgent <- envelope{msg: dispatch.HandSet{Names: names}}:
	case <-l.stopped:
	}
}

// ErrStopped says that the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Held is how many downstream requests have been submitted and not yet released.
func (l *Loop) Held() int64 { return l.held.Load() }

// countFor is how long Workers waits for the loop.
const countFor = 250 * time.Millisecond

// Workers counts the listed hosts and those of them that are kept away from, by hand or by the module. Counting looks
// at every host, so it is done when somebody asks and not at each Step; where the loop does not come to it in time, it
// is the last count.
func (l *Loop) Workers() (known, excluded int64) {
	counted, late := make(chan struct{}), time.After(countFor)
	select {
	case l.urgent <- envelope{count: counted}:
		select {
		case <-counted:
		case <-late:
		case <-l.stopped:
		}
	case <-late:
	case <-l.stopped:
	}
	return l.known.Load(), l.excluded.Load()
}

// Move puts another source of the list in the old one's place. A watch on it begins at once, after the newest
// version that is known, whether the module waits to ask or not.
func (l *Loop) Move(source cluster.Source) { l.post(envelope{source: source}) }

// ErrFull says that the dispatcher holds as many requests as it may.
var ErrFull = errors.New("loop: as many requests are held as may be")

// ErrOpen says that a request's id is that of one which is open, or whose upstream requests may still be.
var ErrOpen = errors.New("loop: a request with this id is already open")

// Submit hands in a downstream request. Its answer comes on t.Answer; when the request is over Release must be
// called.
func (l *Loop) Submit(t *Ticket) error {
	if n := l.held.Add(1); l.set.MostHeld > 0 && n > int64(l.set.MostHeld) {
		l.held.Add(-1)
		return ErrFull
	}
	if err := l.claim(t); err != nil {
		l.held.Add(-1)
		return err
	}
	t.answer = make(chan Answer, 1)
	t.Job.Job, t.Job.At = l.nextJob.Add(1), l.clock.Since(t.Arrived)
	t.Job.Name, t.Job.Bytes = t.Forward.TraceID, len(t.Forward.Body)
	l.post(envelope{msg: t.Job, ticket: t})
	return nil
}

// claim sees to it that no other request has a ticket's id. The ids of jobs that wait the waiting room keeps, for as long
// as it knows them: here they would fill the table.
func (l *Loop) claim(t *Ticket) error {
	if t.Job.Wait == nil {
		return l.ids.claim(t.Forward.TraceID, t.Arrived, t.Job.Budget)
	}
	if l.ids.taken(t.Forward.TraceID, t.Arrived) {
		return ErrOpen
	}
	return nil
}

// Release tells that a submitted request is over for the downstream side; with left, the client went
// before it had its answer.
func (l *Loop) Release(t *Ticket, left bool) {
	l.held.Add(-1)
	if left {
		l.Post(dispatch.Left{Job: t.Job.Job})
	}
}

// Ask asks about waiting jobs. What q waits for is over at its Until, on the loop's clock. False: ctx has ended, or the
// loop has.
func (l *Loop) Ask(ctx context.Context, q dispatch.Asked) (dispatch.Told, bool) {
	q.Number = l.nextAsk.Add(1)
	told := make(chan dispatch.Told, 1)
	l.post(envelope{msg: q, told: told})
	select {
	case t := <-told:
		return t, true
	case <-ctx.Done():
		l.Post(dispatch.Unasked{Ask: q.Number})
	case <-l.stopped:
	}
	return dispatch.Told{}, false
}

// Clock is the loop's clock.
func (l *Loop) Clock() Clock { return l.clock }

// Idle waits until no job that lives on without its connection is before the module or at a host, or until ctx ends.
func (l *Loop) Idle(ctx context.Context) {
	idle := make(chan struct{})
	l.post(envelope{idle: idle})
	select {
	case <-idle:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// Run drains the queue until ctx ends. It returns when all that it started has ended.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.work.Wait()
	defer close(l.stopped)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]dispatch.Message, 0, batchLen)
	l.moved = !l.set.Policy.Ask // where lists are pushed the module does not ask for them
	for {
		batch = append(batch[:0], l.renewed...)
		l.renewed = nil
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.urgent:
			batch = l.drain(l.open(batch, e))
		case e := <-l.queue:
			batch = l.drain(l.open(batch, e))
		case <-timer.C:
			batch = l.drain(batch)
		}
		if err := l.step(ctx, batch); err != nil {
			return err
		}
		l.tellIdle()
		if l.moved && l.renewed == nil { // not before the step: what the old source told last counts
			l.startWatch(ctx, dispatch.Watch{Version: l.core.Heard()})
		}
		if l.renewed != nil {
			timer.Reset(0)
		} else if at, ok := l.core.Wake(); ok {
			timer.Reset(max(0, at-l.clock.Now()))
		}
	}
}

// open adds the message of an envelope to a batch. What a watch tells that is over, its end too, is old news: a
// newer watch may have told more already.
func (l *Loop) open(batch []dispatch.Message, e envelope) []dispatch.Message {
	if e.source != nil {
		l.source, l.moved = e.source, true
		return batch
	}
	if e.idle != nil {
		l.idle = append(l.idle, e.idle)
		return batch
	}
	if e.count != nil {
		known, excluded := l.core.Workers()
		l.known.Store(int64(known))
		l.excluded.Store(int64(excluded))
		close(e.count)
		return batch
	}
	if e.watch != 0 && (e.watch != l.watches || l.watch == nil) {
		return batch
	}
	switch m := e.msg.(type) {
	case dispatch.Arrived:
		l.tickets[m.Job] = e.ticket
	case dispatch.Asked:
		l.asks[m.Number] = e.told
	case dispatch.Hand:
		l.hands[m.Ask] = e.handed
	case dispatch.Unasked:
		delete(l.asks, m.Ask)
	case dispatch.ListLost:
		l.watch = nil
	}
	return append(batch, e.msg)
}

func (l *Loop) drain(batch []dispatch.Message) []dispatch.Message {
	for len(batch) < batchLen {
		select {
		case e := <-l.urgent:
			batch = l.open(batch, e)
			continue
		default:
		}
		select {
		case e := <-l.queue:
			batch = l.open(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// step lets the core decide and carries out what it says. A panic in the decisions must not end the process,
// which would drop all that it has taken.
func (l *Loop) step(ctx context.Context, batch []dispatch.Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in the decisions, starting them anew", "panic", p, "stack", string(debug.Stack()))
			err = l.renew()
		}
	}()
	commands := l.core.Step(l.clock.Now(), batch)
	l.trace(ctx, batch, commands)
	for _, c := range commands {
		l.carry(ctx, c)
	}
	for _, m := range batch { // a ticket is of no more use once its job is over
		switch m := m.(type) {
		case dispatch.Left:
			delete(l.tickets, m.Job)
		case dispatch.Ended:
			delete(l.out, m.Key)
			if m.Result == policy.OK {
				delete(l.tickets, m.Job)
			}
		}
	}
	return nil
}

// trace logs what came in and what is done about it, for the one who looks into a day; --verbose shows it.
func (l *Loop) trace(ctx context.Context, in []dispatch.Message, out []dispatch.Command) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	for _, m := range in {
		load := settings.NoLoad()
		switch e := m.(type) {
		case dispatch.Ended:
			e.Load, e.Body = nil, nil
			m = e
		case dispatch.Probed:
			if e.Load != nil {
				load = *e.Load
			}
			e.Load = nil
			m = e
		}
		slog.Debug("in", "message", fmt.Sprintf("%T%+v", m, m), "free", load.FreeSlots, "queue", load.Queue, "inflight", load.InFlight)
	}
	for _, c := range out {
		slog.Debug("out", "command", fmt.Sprintf("%T%+v", c, c))
	}
}

// tellIdle ends the waits for Idle, when it is so.
func (l *Loop) tellIdle() {
	if len(l.idle) == 0 || l.core.Detached() > 0 {
		return
	}
	for _, c := range l.idle {
		close(c)
	}
	l.idle = nil
}

// renew answers all that was before the module and puts a new core in the old one's place. What was may have run, so
// it has failed and is not refused. What only waits goes on waiting.
func (l *Loop) renew() error {
	core, known, keeps, err := l.core.Renew(l.clock.Now())
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	for job, t := range l.tickets {
		if !keeps(job) {
			t.settle(Answer{})
			delete(l.tickets, job)
		}
	}
	for _, out := range l.out {
		out.cancel()
	}
	maps.DeleteFunc(l.parked, func(job uint64, _ *parked) bool { return !keeps(job) })
	if l.watch != nil {
		l.watch()
		l.watch = nil
	}
	clear(l.out)
	for _, told := range l.asks { // the askers may ask again
		told <- dispatch.Told{Status: waiting.StatusFull}
	}
	clear(l.asks)
	clear(l.hands) // their callers give up by their own deadlines
	l.core, l.renewed = core, []dispatch.Message{known}
	l.moved = l.moved || !l.set.Policy.Ask
	return nil
}

// carry does one command.
func (l *Loop) carry(ctx context.Context, c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.Send:
		l.send(ctx, c)
	case dispatch.CancelSend:
		if out, ok := l.out[c.Key]; ok {
			out.cancel()
		}
	case dispatch.Unsend:
		if out, ok := l.out[c.Key]; ok {
			out.unsend()
		}
	case dispatch.LocalReply:
		if t := l.tickets[c.Job]; t != nil {
			delete(l.tickets, c.Job)
			a := Answer{Refused: c.Refused, Status: c.Status, Why: c.Why}
			if l.set.RetryAfter {
				a.RetryAfter = c.RetryAfter
			}
			t.settle(a)
		}
		delete(l.parked, c.Job)
	case dispatch.Accepted:
		if t := l.tickets[c.Job]; t != nil {
			delete(l.tickets, c.Job)
			l.parked[c.Job] = park(t)
			t.settle(Answer{Accepted: true})
		}
	case dispatch.Handed:
		if handed := l.hands[c.Ask]; handed != nil {
			delete(l.hands, c.Ask)
			handed <- c.Known // its buffer holds one
		}
	case dispatch.Told:
		if told := l.asks[c.Ask]; told != nil {
			delete(l.asks, c.Ask)
			told <- c // its buffer holds one
		}
	case dispatch.Probe:
		l.spawn(func() {
			o := l.upstream.Probe(ctx, c.Addr)
			l.Post(dispatch.Probed{Worker: c.Worker, Result: o.Result, Took: o.Took, Load: l.load(o.Load)})
		}, dispatch.Probed{Worker: c.Worker, Result: policy.AppError})
	case dispatch.Watch:
		if l.watch == nil { // else a move has begun one while the module waited to ask
			l.startWatch(ctx, c)
		}
	case dispatch.Log:
		level := slog.LevelDebug
		if c.Warn {
			level = slog.LevelWarn
		}
		slog.Log(ctx, level, c.Text)
	default:
		panic(fmt.Sprintf("loop: unknown command %T", c))
	}
}

// send starts an upstream request, with a goroutine of its own for as long as it is out.
func (l *Loop) send(ctx context.Context, c dispatch.Send) {
	t := l.tickets[c.Job]
	if p := l.parked[c.Job]; t == nil && p != nil {
		delete(l.parked, c.Job)
		t = p.ticket()
		l.tickets[c.Job] = t
	}
	if t == nil { // the core sends for open jobs only
		panic(fmt.Sprintf("loop: a request for job %d, which is over", c.Job))
	}
	q := t.Forward
	ctx, cancel := context.WithDeadline(ctx, l.clock.Time(c.Until))
	client := q.Client
	if client == nil {
		client = context.Background()
	}
	wanted, unsend := context.WithCancel(client) // ends with its client, or when its host is to get nothing new
	l.out[c.Key] = calls{cancel, unsend}
	q.Addr, q.Client = c.Addr, wanted
	l.spawn(func() {
		defer cancel()
		defer unsend()
		l.upstream.Do(ctx, &q, &follower{l, t, c.Key})
	}, dispatch.Ended{Key: c.Key, Result: policy.ConnectionLost}) // it may have run
}

// spawn starts work that the loop waits for at its end. A panic there must neither end the process nor leave
// the module waiting: broken is what it hears instead.
func (l *Loop) spawn(work func(), broken dispatch.Message) {
	l.work.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic in socket code", "panic", p, "stack", string(debug.Stack()))
				l.Post(broken)
			}
		}()
		work()
	})
}

// follower passes on what comes of one upstream request.
type follower struct {
	loop   *Loop
	ticket *Ticket
	key    dispatch.Key
}

func (f *follower) Started()           { f.loop.Post(dispatch.Started{Key: f.key}) }
func (f *follower) Progress(s float64) { f.loop.Post(dispatch.Progress{Key: f.key, Share: s}) }

// Ended passes the first result on to the client at once; a late one only the loop hears of.
func (f *follower) Ended(o upstream.Outcome) {
	if o.Result == policy.OK {
		f.ticket.settle(Answer{Served: true, Body: o.Body})
	}
	f.loop.Post(dispatch.Ended{Key: f.key, Result: o.Result, Load: f.loop.load(o.Load), Body: o.Body})
}

// load turns a report by names into the module's.
func (l *Loop) load(r upstream.Report) *policy.Load {
	if r == nil {
		return nil
	}
	out := settings.NoLoad()
	for name, v := range r {
		l.set.SetLoad(&out, name, v)
	}
	return &out
}

// startWatch follows the cluster from a version on, in place of any watch before. Each watch that breaks
// makes one ListLost.
func (l *Loop) startWatch(ctx context.Context, c dispatch.Watch) {
	if l.watch != nil {
		l.watch()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.watches++
	n, source := l.watches, l.source
	l.watch, l.moved = cancel, false
	l.work.Go(func() {
		defer cancel()
		defer func() {
			if p := recover(); p != nil {
				slog.Error("panic in the watch", "panic", p, "stack", string(debug.Stack()))
			}
			l.post(envelope{msg: dispatch.ListLost{}, watch: n})
		}()
		err := source.Watch(ctx, c.Version, func(m dispatch.Listed) { l.post(envelope{msg: m, watch: n}) })
		if ctx.Err() == nil {
			slog.Info("watch lost", "error", err)
		}
	})
}

// Stopped is closed when Run has ended: no answer comes any more.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }
