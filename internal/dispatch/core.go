package dispatch

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gaugeslip/policy"
)

// job is one entry of the table: a request that is owed an answer, or whose upstream requests are still out.
type job struct {
	deadline time.Duration
	class    int
	base     int // sends in earlier turns; attempts counts on from there
	attempts []attempt
	out      int
	ran      int // attempts that are out or may have run
	finished bool
}

type attempt struct {
	worker uint32
	sent   time.Duration
	ended  bool
}

// alarm is a timer that the module has set.
type alarm struct {
	at time.Duration
	id uint64
}

// Core owns the decision module. It is not safe for use by more than one goroutine.
type Core struct {
	d           *policy.Dispatcher
	cfg         policy.Config
	seed        uint64
	maxAttempts int
	jobs        map[uint64]*job
	hosts       map[uint32]Host
	hands       map[string]struct{}      // hosts out by hand, by name
	back        map[string]time.Duration // when hosts came back from a stay out by hand
	over        []uint64                 // jobs that may leave the table when the Step is over
	alarms      []alarm
	closeAt     time.Duration // when all that is open is answered, as the program ends; 0: it does not
	version     uint64        // of the newest list
	heard       uint64        // of the last one, from which a watch goes on
	events      []policy.Event
	actions     []policy.Action
	out         []Command
}

// New makes a Core for one dispatcher.
func New(cfg policy.Config, seed uint64) (*Core, error) {
	d, err := policy.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Core{d: d, cfg: cfg, seed: seed, maxAttempts: max(cfg.MaxAttempts, 1), jobs: map[uint64]*job{},
		hosts: map[uint32]Host{}, hands: map[string]struct{}{}, back: map[string]time.Duration{}}, nil
}

// Rebuild makes a Core for when a panic has left this one's module in doubt, and the list to begin it with.
func (c *Core) Rebuild() (*Core, HostList, error) {
	n, err := New(c.cfg, c.seed+1)
	if err == nil { // what was done by hand is not in doubt, nor that the program ends
		n.hands, n.back, n.closeAt = c.hands, c.back, c.closeAt
	}
	known := HostList{Version: c.version, Whole: true, Stale: true}
	for _, h := range c.hosts {
		known.Hosts = append(known.Hosts, h)
	}
	slices.SortFunc(known.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return n, known, err
}

// OpenJobs is how many jobs the table holds, answered ones with requests still out included.
func (c *Core) OpenJobs() int { return len(c.jobs) }

// WatchVersion is the version of the last list taken in, which is what a watch begins after: lower than the newest's where the
// cluster has told an older one since.
func (c *Core) WatchVersion() uint64 { return c.heard }

// Step takes in what happened up to now and returns what to do, in order. The result is valid until the
// next Step.
func (c *Core) Step(now time.Duration, in []Message) []Command {
	c.out, c.events = c.out[:0], c.events[:0]
	for _, m := range in {
		c.take(now, m)
	}
	if c.closeAt > 0 && now >= c.closeAt {
		c.close()
	}
	c.alarms = slices.DeleteFunc(c.alarms, func(a alarm) bool {
		if a.at <= now {
			c.events = append(c.events, policy.Event{Kind: policy.TimerFired, Timer: a.id})
		}
		return a.at <= now
	})
	// A Send that can't be carried out ends at once, which is news for the module in turn: each round uses
	// up an attempt of some job, so the rounds end.
	for len(c.events) > 0 {
		c.actions = c.d.Step(now, c.events, c.actions[:0])
		c.events = c.events[:0]
		for i := range c.actions {
			c.carry(now, &c.actions[i])
		}
	}
	// Not earlier: the module may yet send a job whose end is told later in the same batch, and then has to
	// hear that this was never sent, or it counts the lane as taken for good.
	for _, id := range c.over {
		if j := c.jobs[id]; j != nil && j.finished && j.out == 0 {
			delete(c.jobs, id)
		}
	}
	c.over = c.over[:0]
	return c.out
}

// Wake tells when the next Step is due though nothing happens.
func (c *Core) Wake() (at time.Duration, ok bool) {
	for _, a := range c.alarms {
		if !ok || a.at < at {
			at, ok = a.at, true
		}
	}
	if c.closeAt > 0 && len(c.jobs) > 0 && (!ok || c.closeAt < at) && c.owes() {
		at, ok = c.closeAt, true
	}
	return at, ok
}

// owes tells whether any job in the table is owed its answer.
func (c *Core) owes() bool {
	for _, j := range c.jobs {
		if !j.finished {
			return true
		}
	}
	return false
}

// close answers all that is open, as the program ends: a refusal where it is proved that a job never ran or a repeat is
// harmless, else a failure. To the module their clients have left.
func (c *Core) close() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.finished {
			continue
		}
		r := LocalReply{Job: id, Refused: j.ran == 0 || c.cfg.Classes[j.class].Harmless()}
		if r.Refused {
			r.RetryAfter = c.cfg.MaxRetryAfter
		}
		c.out = append(c.out, r)
		c.finish(id, j)
		c.events = append(c.events, policy.Event{Kind: policy.ClientGone, Job: id})
	}
}

// take turns one message into an event.
func (c *Core) take(now time.Duration, m Message) {
	e := policy.Event{}
	switch m := m.(type) {
	case JobArrived:
		if c.jobs[m.Job] != nil {
			return
		}
		c.jobs[m.Job] = &job{deadline: m.At + m.Budget, class: m.Class, base: m.EarlierAttempts}
		e = policy.Event{Kind: policy.JobArrived, Job: m.Job, Class: m.Class, Tenant: m.Tenant,
			Budget: m.Budget - (now - m.At), Size: m.Size, Slots: m.Slots, Retry: m.Retry,
			Waited: m.Waited}
	case ClientGone:
		j := c.jobs[m.Job]
		if j == nil || j.finished {
			return
		}
		c.finish(m.Job, j)
		e = policy.Event{Kind: policy.ClientGone, Job: m.Job}
	case JobStarted:
		a, n := c.running(m.Key)
		if a == nil {
			return
		}
		e = policy.Event{Kind: policy.JobStarted, Job: m.Job, Attempt: n, Worker: a.worker}
	case JobProgress:
		a, n := c.running(m.Key)
		if a == nil {
			return
		}
		e = policy.Event{Kind: policy.JobProgress, Job: m.Job, Attempt: n, Worker: a.worker, Share: m.Share}
	case AttemptEnded:
		if !c.ended(now, m, &e) {
			return
		}
	case ProbeEnded:
		e = policy.Event{Kind: policy.ProbeEnded, Worker: m.Worker, Result: m.Result, Took: m.Took}
		e.HasLoad, e.Load = load(m.Load)
	case HostList:
		if c.heard = m.Version; m.Version < c.version {
			m = c.older(m)
		}
		c.version = m.Version
		e = policy.Event{Kind: policy.WorkerList, Whole: m.Whole, Stale: m.Stale, Workers: c.list(m)}
		c.unsend()
	case ListLost:
		e = policy.Event{Kind: policy.ListLost}
	case SetCordon:
		known := c.knows(m.Name)
		if known {
			c.hand(now, m.Name, m.Cordoned)
		}
		c.out = append(c.out, CordonResult{Request: m.Request, Known: known})
		return
	case CordonSet:
		c.handSet(now, m.Names)
		return
	case Shutdown:
		c.closeAt = m.Deadline
		return
	case JobQuery, QueryCancelled, WaitingLimits: // for gates
		return
	default:
		panic(fmt.Sprintf("dispatch: unknown message %T", m))
	}
	c.events = append(c.events, e)
}

// running finds an upstream request that has not ended, and the module's number of it.
func (c *Core) running(k Key) (*attempt, int) {
	j := c.jobs[k.Job]
	if j == nil {
		return nil, 0
	}
	n := k.Attempt - j.base
	if n < 0 || n >= len(j.attempts) || j.attempts[n].ended {
		return nil, 0
	}
	return &j.attempts[n], n
}

// ended books the one outcome of an upstream request. A second outcome is dropped.
func (c *Core) ended(now time.Duration, m AttemptEnded, e *policy.Event) bool {
	a, n := c.running(m.Key)
	if a == nil {
		return false
	}
	j := c.jobs[m.Job]
	a.ended = true
	j.out--
	if m.Result.NeverRan() {
		j.ran--
	}
	// The first OK has reached the client by itself and finishes the job.
	if m.Result == policy.OK {
		j.finished = true
	}
	*e = policy.Event{Kind: policy.AttemptEnded, Job: m.Job, Attempt: n, Worker: a.worker,
		Result: m.Result, Took: now - a.sent, Finished: j.finished}
	e.HasLoad, e.Load = load(m.Load)
	c.over = append(c.over, m.Job)
	return true
}

func load(l *policy.Load) (bool, policy.Load) {
	if l == nil {
		return false, policy.Load{}
	}
	return true, *l
}

func (c *Core) finish(id uint64, j *job) {
	j.finished = true
	c.over = append(c.over, id)
}

// carry turns one action of the module into a command.
func (c *Core) carry(now time.Duration, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		c.send(now, a)
	case policy.Cancel:
		j := c.jobs[a.Job]
		if j == nil {
			return
		}
		k := Key{a.Job, j.base + a.Attempt}
		if a, _ := c.running(k); a != nil {
			c.out = append(c.out, CancelSend{k})
		}
	case policy.Refuse, policy.Fail:
		j := c.jobs[a.Job]
		if j == nil || j.finished { // exactly one final answer
			return
		}
		c.finish(a.Job, j)
		r := LocalReply{Job: a.Job, Refused: a.Kind == policy.Refuse}
		if r.Refused {
			r.RetryAfter = a.After
		}
		c.out = append(c.out, r)
	case policy.Probe:
		if h, ok := c.hosts[a.Worker]; ok {
			c.out = append(c.out, Probe{Worker: a.Worker, Addr: h.Addr})
			return
		}
		c.events = append(c.events, policy.Event{Kind: policy.ProbeEnded, Worker: a.Worker,
			Result: policy.ConnectFailed})
	case policy.Timer:
		c.alarms = append(c.alarms, alarm{now + a.After, a.Timer})
	case policy.Watch:
		c.out = append(c.out, Watch{c.heard})
	case policy.Log:
		c.out = append(c.out, Log{Text: a.Text})
	default:
		panic("dispatch: an action without a command: " + strconv.Itoa(int(a.Kind)))
	}
}

// send books an upstream request. One that must not or can't go out has never been sent.
func (c *Core) send(now time.Duration, a *policy.Action) {
	j := c.jobs[a.Job]
	if j == nil { // a job is in the table for as long as the module may send it
		panic(fmt.Sprintf("dispatch: a send for job %d, which is not known", a.Job))
	}
	n := len(j.attempts)
	k := Key{a.Job, j.base + n}
	h, known := c.hosts[a.Worker]
	until := j.deadline
	if a.After > 0 {
		until = min(until, now+a.After)
	}
	dead := j.finished || !known || k.Attempt >= c.maxAttempts || until <= now
	j.attempts = append(j.attempts, attempt{worker: a.Worker, sent: now, ended: dead})
	if dead {
		c.events = append(c.events, policy.Event{Kind: policy.AttemptEnded, Job: a.Job, Attempt: n,
			Worker: a.Worker, Result: policy.NeverSent, Finished: j.finished})
		return
	}
	j.out++
	j.ran++
	c.out = append(c.out, Send{Key: k, Addr: h.Addr, Deadline: until})
}

// unsend calls back what was decided for hosts that are to get nothing new, and may still wait for a connection: the
// time within which a drain has to be obeyed counts for it too.
func (c *Core) unsend() {
	from := len(c.out)
	for id, j := range c.jobs {
		for n := range j.attempts {
			a := &j.attempts[n]
			if h, ok := c.hosts[a.worker]; !a.ended && (!ok || c.worker(h).State != policy.Ready) {
				c.out = append(c.out, CancelUnsent{Key{id, j.base + n}})
			}
		}
	}
	slices.SortFunc(c.out[from:], func(a, b Command) int { // the same in each run
		x, y := a.(CancelUnsent).Key, b.(CancelUnsent).Key
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Attempt, y.Attempt))
	})
}

// older is what counts of a list that is older than the newest one: that hosts drain or are gone, of a whole one by being
// missing too, and hosts that the newest did not know or that have started since. What it says else has been told otherwise
// since: a host that drains is not ready again by it. A host that is missing only as it was new then comes again with the
// changes that follow.
func (c *Core) older(m HostList) HostList {
	l := HostList{Version: c.version}
	told := map[uint32]bool{}
	for _, h := range m.Hosts {
		id := WorkerID(h.Name)
		old, known := c.hosts[id]
		if told[id] = true; !known || h.State != policy.Ready || h.StartedAt > old.StartedAt {
			l.Hosts = append(l.Hosts, h)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		if h := c.hosts[id]; m.Whole && !told[id] {
			h.State = policy.Gone
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

// list turns the cluster's entries into the module's workers, and keeps what the module need not know.
func (c *Core) list(m HostList) []policy.Worker {
	if m.Whole {
		clear(c.hosts)
	}
	workers := make([]policy.Worker, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		id := WorkerID(h.Name)
		if old, ok := c.hosts[id]; ok && old.Name != h.Name {
			// Two hosts with one id would be one worker to the module: the second stays out of use.
			c.out = append(c.out, Log{Warn: true, Text: fmt.Sprintf(
				"hosts %q and %q have one worker id %d: %q is not used", old.Name, h.Name, id, h.Name)})
			continue
		}
		if c.hosts[id] = h; h.State == policy.Gone {
			delete(c.hosts, id)
			delete(c.back, h.Name)
		}
		workers = append(workers, c.worker(h))
	}
	return workers
}

// WorkerID derives the module's number of a worker from its host's name alone, so that it is alike at all
// dispatchers, in whatever order they hear of the hosts: eight hex digits after the last dash as they are,
// else a hash of the name.
func WorkerID(name string) uint32 {
	if tail := name[strings.LastIndexByte(name, '-')+1:]; len(tail) == 8 {
		if v, err := strconv.ParseUint(tail, 16, 32); err == nil {
			return uint32(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
