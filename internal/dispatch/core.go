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

// job is an entry of the job table. A job stays in the table until it has its final answer and all its upstream requests have ended.
type job struct {
	deadline        time.Duration
	class           int
	earlierAttempts int // attempts made before this arrival; numbers of attempts continue from here
	attempts        []attempt
	inFlight        int
	mayHaveRun      int // attempts that are in flight or may have run
	finished        bool
}

type attempt struct {
	worker uint32
	sent   time.Duration
	ended  bool
}

// timer is a timer that the module has set.
type timer struct {
	at time.Duration
	id uint64
}

// Core owns the decision module. It is not safe for concurrent use.
type Core struct {
	module       *policy.Dispatcher
	cfg          policy.Config
	seed         uint64
	maxAttempts  int
	jobs         map[uint64]*job
	hosts        map[uint32]Host
	cordoned     map[string]struct{}      // names of hosts that an operator has taken out of service
	uncordonedAt map[string]time.Duration // when a host was put back into service, by name
	removable    []uint64                 // jobs to be checked for removal from the table at the end of the Step
	timers       []timer
	shutdownAt   time.Duration // when all open jobs are answered because the program ends; 0: not set
	listVersion  uint64        // the highest version received
	watchVersion uint64        // version of the last list received, after which a watch continues
	events       []policy.Event
	actions      []policy.Action
	out          []Command
}

// New returns a Core for one dispatcher.
func New(cfg policy.Config, seed uint64) (*Core, error) {
	d, err := policy.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Core{module: d, cfg: cfg, seed: seed, maxAttempts: max(cfg.MaxAttempts, 1), jobs: map[uint64]*job{},
		hosts: map[uint32]Host{}, cordoned: map[string]struct{}{}, uncordonedAt: map[string]time.Duration{}}, nil
}

// Rebuild returns a new Core to use after a panic in the module, and the list of known hosts as its first message.
func (c *Core) Rebuild() (*Core, HostList, error) {
	n, err := New(c.cfg, c.seed+1)
	if err == nil { // the operators' settings and the shutdown time are not affected by the panic
		n.cordoned, n.uncordonedAt, n.shutdownAt = c.cordoned, c.uncordonedAt, c.shutdownAt
	}
	known := HostList{Version: c.listVersion, Whole: true, Stale: true}
	for _, h := range c.hosts {
		known.Hosts = append(known.Hosts, h)
	}
	slices.SortFunc(known.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return n, known, err
}

// OpenJobs returns the number of jobs in the table. Answered jobs with upstream requests in flight count too.
func (c *Core) OpenJobs() int { return len(c.jobs) }

// WatchVersion returns the version of the last list received, after which a watch starts. It is lower than the highest version
// received if the cluster has sent an older list since.
func (c *Core) WatchVersion() uint64 { return c.watchVersion }

// Step processes the messages received up to now and returns the commands to carry out, in order. The result is valid until the next
// Step.
func (c *Core) Step(now time.Duration, in []Message) []Command {
	c.out, c.events = c.out[:0], c.events[:0]
	for _, m := range in {
		c.handle(now, m)
	}
	if c.shutdownAt > 0 && now >= c.shutdownAt {
		c.answerOpenJobs()
	}
	c.timers = slices.DeleteFunc(c.timers, func(a timer) bool {
		if a.at <= now {
			c.events = append(c.events, policy.Event{Kind: policy.TimerFired, Timer: a.id})
		}
		return a.at <= now
	})
	// A Send that is not possible ends at once, which is a new event for the module. Each round uses up an attempt of some job, so the
	// loop ends.
	for len(c.events) > 0 {
		c.actions = c.module.Step(now, c.events, c.actions[:0])
		c.events = c.events[:0]
		for i := range c.actions {
			c.execute(now, &c.actions[i])
		}
	}
	// Jobs are removed only here: the module may still send a job whose end comes later in the same batch. It must then get the event
	// that this attempt was never sent, or it counts the lane as occupied for ever.
	for _, id := range c.removable {
		if j := c.jobs[id]; j != nil && j.finished && j.inFlight == 0 {
			delete(c.jobs, id)
		}
	}
	c.removable = c.removable[:0]
	return c.out
}

// Wake returns the time at which the next Step is due if no message arrives before.
func (c *Core) Wake() (at time.Duration, ok bool) {
	for _, a := range c.timers {
		if !ok || a.at < at {
			at, ok = a.at, true
		}
	}
	if c.shutdownAt > 0 && len(c.jobs) > 0 && (!ok || c.shutdownAt < at) && c.hasUnanswered() {
		at, ok = c.shutdownAt, true
	}
	return at, ok
}

// hasUnanswered reports whether any job in the table has no final answer yet.
func (c *Core) hasUnanswered() bool {
	for _, j := range c.jobs {
		if !j.finished {
			return true
		}
	}
	return false
}

// answerOpenJobs answers all open jobs because the program ends. A job is refused if it certainly never ran or a repeat is harmless,
// and fails otherwise. The module gets the event that their clients have gone.
func (c *Core) answerOpenJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.finished {
			continue
		}
		r := LocalReply{Job: id, Refused: j.mayHaveRun == 0 || c.cfg.Classes[j.class].Harmless()}
		if r.Refused {
			r.RetryAfter = c.cfg.MaxRetryAfter
		}
		c.out = append(c.out, r)
		c.finish(id, j)
		c.events = append(c.events, policy.Event{Kind: policy.ClientGone, Job: id})
	}
}

// handle turns one message into an event for the module.
func (c *Core) handle(now time.Duration, m Message) {
	e := policy.Event{}
	switch m := m.(type) {
	case JobArrived:
		if c.jobs[m.Job] != nil {
			return
		}
		c.jobs[m.Job] = &job{deadline: m.At + m.Budget, class: m.Class, earlierAttempts: m.EarlierAttempts}
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
		a, n := c.activeAttempt(m.Key)
		if a == nil {
			return
		}
		e = policy.Event{Kind: policy.JobStarted, Job: m.Job, Attempt: n, Worker: a.worker}
	case JobProgress:
		a, n := c.activeAttempt(m.Key)
		if a == nil {
			return
		}
		e = policy.Event{Kind: policy.JobProgress, Job: m.Job, Attempt: n, Worker: a.worker, Share: m.Share}
	case AttemptEnded:
		if !c.attemptEnded(now, m, &e) {
			return
		}
	case ProbeEnded:
		e = policy.Event{Kind: policy.ProbeEnded, Worker: m.Worker, Result: m.Result, Took: m.Took}
		e.HasLoad, e.Load = reportedLoad(m.Load)
	case HostList:
		if c.watchVersion = m.Version; m.Version < c.listVersion {
			m = c.filterOlderList(m)
		}
		c.listVersion = m.Version
		e = policy.Event{Kind: policy.WorkerList, Whole: m.Whole, Stale: m.Stale, Workers: c.updateHosts(m)}
		c.cancelUnsent()
	case ListLost:
		e = policy.Event{Kind: policy.ListLost}
	case SetCordon:
		known := c.knowsHost(m.Name)
		if known {
			c.setCordoned(now, m.Name, m.Cordoned)
		}
		c.out = append(c.out, CordonResult{Request: m.Request, Known: known})
		return
	case CordonSet:
		c.replaceCordoned(now, m.Names)
		return
	case Shutdown:
		c.shutdownAt = m.Deadline
		return
	case JobQuery, QueryCancelled, WaitingLimits: // handled by gates only
		return
	default:
		panic(fmt.Sprintf("dispatch: unknown message %T", m))
	}
	c.events = append(c.events, e)
}

// activeAttempt returns an attempt that has not ended, and the module's number of it.
func (c *Core) activeAttempt(k Key) (*attempt, int) {
	j := c.jobs[k.Job]
	if j == nil {
		return nil, 0
	}
	n := k.Attempt - j.earlierAttempts
	if n < 0 || n >= len(j.attempts) || j.attempts[n].ended {
		return nil, 0
	}
	return &j.attempts[n], n
}

// attemptEnded records the outcome of an attempt. Each attempt has one outcome; any further one is dropped.
func (c *Core) attemptEnded(now time.Duration, m AttemptEnded, e *policy.Event) bool {
	a, n := c.activeAttempt(m.Key)
	if a == nil {
		return false
	}
	j := c.jobs[m.Job]
	a.ended = true
	j.inFlight--
	if m.Result.NeverRan() {
		j.mayHaveRun--
	}
	// The first OK has already reached the client, and finishes the job.
	if m.Result == policy.OK {
		j.finished = true
	}
	*e = policy.Event{Kind: policy.AttemptEnded, Job: m.Job, Attempt: n, Worker: a.worker,
		Result: m.Result, Took: now - a.sent, Finished: j.finished}
	e.HasLoad, e.Load = reportedLoad(m.Load)
	c.removable = append(c.removable, m.Job)
	return true
}

func reportedLoad(l *policy.Load) (bool, policy.Load) {
	if l == nil {
		return false, policy.Load{}
	}
	return true, *l
}

func (c *Core) finish(id uint64, j *job) {
	j.finished = true
	c.removable = append(c.removable, id)
}

// execute turns one action of the module into a command.
func (c *Core) execute(now time.Duration, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		c.send(now, a)
	case policy.Cancel:
		j := c.jobs[a.Job]
		if j == nil {
			return
		}
		k := Key{a.Job, j.earlierAttempts + a.Attempt}
		if a, _ := c.activeAttempt(k); a != nil {
			c.out = append(c.out, CancelSend{k})
		}
	case policy.Refuse, policy.Fail:
		j := c.jobs[a.Job]
		if j == nil || j.finished { // a job has exactly one final answer
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
		c.timers = append(c.timers, timer{now + a.After, a.Timer})
	case policy.Watch:
		c.out = append(c.out, Watch{c.watchVersion})
	case policy.Log:
		c.out = append(c.out, Log{Text: a.Text})
	default:
		panic("dispatch: unknown action " + strconv.Itoa(int(a.Kind)))
	}
}

// send records an attempt. If the attempt is not allowed or not possible, it ends at once as never sent.
func (c *Core) send(now time.Duration, a *policy.Action) {
	j := c.jobs[a.Job]
	if j == nil { // the table holds a job for as long as the module may send it
		panic(fmt.Sprintf("dispatch: send for unknown job %d", a.Job))
	}
	n := len(j.attempts)
	k := Key{a.Job, j.earlierAttempts + n}
	h, known := c.hosts[a.Worker]
	deadline := j.deadline
	if a.After > 0 {
		deadline = min(deadline, now+a.After)
	}
	impossible := j.finished || !known || k.Attempt >= c.maxAttempts || deadline <= now
	j.attempts = append(j.attempts, attempt{worker: a.Worker, sent: now, ended: impossible})
	if impossible {
		c.events = append(c.events, policy.Event{Kind: policy.AttemptEnded, Job: a.Job, Attempt: n,
			Worker: a.Worker, Result: policy.NeverSent, Finished: j.finished})
		return
	}
	j.inFlight++
	j.mayHaveRun++
	c.out = append(c.out, Send{Key: k, Addr: h.Addr, Deadline: deadline})
}

// cancelUnsent cancels attempts to hosts that must get no new jobs, if they still wait for a connection. The time limit for obeying a
// drain covers these attempts too.
func (c *Core) cancelUnsent() {
	from := len(c.out)
	for id, j := range c.jobs {
		for n := range j.attempts {
			a := &j.attempts[n]
			if h, ok := c.hosts[a.worker]; !a.ended && (!ok || c.moduleWorker(h).State != policy.Ready) {
				c.out = append(c.out, CancelUnsent{Key{id, j.earlierAttempts + n}})
			}
		}
	}
	slices.SortFunc(c.out[from:], func(a, b Command) int { // the map has no fixed order
		x, y := a.(CancelUnsent).Key, b.(CancelUnsent).Key
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Attempt, y.Attempt))
	})
}

// filterOlderList returns the part of an outdated list that still applies: hosts that drain or are gone, hosts that a full list lacks,
// and hosts that are unknown or have started since. Newer lists override the rest; in particular a draining host does not become ready
// again. A full list that is older than the start of a host removes that host; the changes that follow add it again.
func (c *Core) filterOlderList(m HostList) HostList {
	l := HostList{Version: c.listVersion}
	listed := map[uint32]bool{}
	for _, h := range m.Hosts {
		id := WorkerID(h.Name)
		old, known := c.hosts[id]
		if listed[id] = true; !known || h.State != policy.Ready || h.StartedAt > old.StartedAt {
			l.Hosts = append(l.Hosts, h)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		if h := c.hosts[id]; m.Whole && !listed[id] {
			h.State = policy.Gone
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

// updateHosts stores the listed hosts and returns them as workers of the module.
func (c *Core) updateHosts(m HostList) []policy.Worker {
	if m.Whole {
		clear(c.hosts)
	}
	workers := make([]policy.Worker, 0, len(m.Hosts))
	for _, h := range m.Hosts {
		id := WorkerID(h.Name)
		if old, ok := c.hosts[id]; ok && old.Name != h.Name {
			// Two hosts with the same id would be one worker to the module, so the second is not used.
			c.out = append(c.out, Log{Warn: true, Text: fmt.Sprintf(
				"hosts %q and %q have one worker id %d: %q is not used", old.Name, h.Name, id, h.Name)})
			continue
		}
		if c.hosts[id] = h; h.State == policy.Gone {
			delete(c.hosts, id)
			delete(c.uncordonedAt, h.Name)
		}
		workers = append(workers, c.moduleWorker(h))
	}
	return workers
}

// WorkerID derives the module's id of a worker from the name of its host alone, so that all dispatchers use the same id, in whatever
// order they learn of the hosts. Eight hex digits after the last dash are the id; any other name is hashed.
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
