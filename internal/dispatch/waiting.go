package dispatch

import (
	"math"
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// WaitingGate puts a waiting.Queue in front of the core. Jobs that ask to wait are held in the room and enter the module when they are
// due; all other jobs pass. Each job gets its one answer either from the module or from the room. When the room answers a job that is
// in the module, the core gets the message that the client has gone, and does not answer.
type WaitingGate struct {
	room       *waiting.Queue
	limits     waiting.Limits
	fleet      waiting.Fleet
	readyHosts map[string]bool // by name
	now        time.Duration
}

// NewWaitingGate returns a gate with an empty room. The limits must be valid.
func NewWaitingGate(lim waiting.Limits, cfg policy.Config) *WaitingGate {
	f := waiting.Fleet{Replicas: max(cfg.Replicas, 1), MaxAttempts: max(cfg.MaxAttempts, 1)}
	for _, c := range cfg.Classes {
		f.Classes = append(f.Classes, waiting.Class{Name: c.Name, Deadline: c.Deadline,
			Repeatable: c.Effect == policy.Repeatable})
	}
	return &WaitingGate{room: waiting.New(lim, f), limits: lim, fleet: f, readyHosts: map[string]bool{}}
}

// Recreate returns a gate with an empty room.
func (g *WaitingGate) Recreate() Gate {
	return &WaitingGate{room: waiting.New(g.limits, g.fleet), limits: g.limits, fleet: g.fleet, readyHosts: map[string]bool{}}
}

// Room returns the gate's room. It may be read between Steps only.
func (g *WaitingGate) Room() *waiting.Queue { return g.room }

// In releases jobs that are ready before the first new job of the Step, so that they get first what a host has just freed.
func (g *WaitingGate) In(now time.Duration, in []Message, p *Pass) {
	g.now = now
	ticked := false
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			if !ticked {
				ticked = true
				g.room.Tick(now)
				g.execute(now, p)
			}
			j := waitingJob(&m)
			if m.Wait != nil {
				g.room.Submit(now, &j)
				g.execute(now, p)
			} else if g.room.AddFresh(now, &j) {
				p.Forward(m)
			} else {
				g.execute(now, p)
			}
			continue
		case ClientGone:
			pass := g.room.ClientLeft(now, m.Job)
			if g.execute(now, p); !pass {
				continue
			}
		case AttemptEnded:
			g.room.SendEnded(now, m.Job, outcomeOf(m.Result), m.Body)
			g.execute(now, p)
		case HostList:
			g.updateHosts(&m)
		case JobQuery:
			g.room.AddQuery(now, &m.Query)
			g.execute(now, p)
			continue
		case QueryCancelled:
			g.room.RemoveQuery(m.Query)
			continue
		case Shutdown:
			g.room.Close(now, m.Deadline)
			g.execute(now, p) // the core answers the jobs that are in the module
		case WaitingLimits:
			g.limits = m.Limits
			g.room.SetLimits(m.Limits)
			continue
		}
		p.Forward(m)
	}
	if !ticked {
		g.room.Tick(now)
		g.execute(now, p)
	}
}

// waitingJob converts an arrival to a job of the room.
func waitingJob(m *JobArrived) waiting.Job {
	j := waiting.Job{Number: m.Job, Name: m.Name, Client: m.Client, Class: m.Class, Tenant: m.Tenant, Size: m.Size,
		Slots: m.Slots, Arrived: m.At, Deadline: m.At + m.Budget, Bytes: m.Bytes, Attached: true}
	if w := m.Wait; w != nil {
		j.Attached, j.Due, j.After = !w.Detached, w.Due, w.After
		if w.NotBefore > 0 {
			j.NotBefore = m.At + w.NotBefore
		}
		if w.Detached {
			j.Deadline = 0
		}
	}
	return j
}

// outcomeOf converts a result to an outcome of the room. Only a result that proves that the job never ran counts as NeverRan.
func outcomeOf(r policy.Result) waiting.Outcome {
	switch {
	case r == policy.OK:
		return waiting.OK
	case r.NeverRan():
		return waiting.NeverRan
	case r == policy.Rejected:
		return waiting.Rejected
	}
	return waiting.MayHaveRun
}

func (g *WaitingGate) updateHosts(m *HostList) {
	if m.Whole {
		clear(g.readyHosts)
	}
	for i := range m.Hosts {
		if h := &m.Hosts[i]; h.State == policy.Ready {
			g.readyHosts[h.Name] = true
		} else {
			delete(g.readyHosts, h.Name)
		}
	}
	g.room.SetReadyHosts(len(g.readyHosts))
}

// Out reports the module's sends and answers to the room, and drops refusals of jobs that the room takes back.
func (g *WaitingGate) Out(now time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		switch c := c.(type) {
		case Send:
			g.room.JobSent(now, c.Job)
		case LocalReply:
			if !c.Refused {
				g.room.JobFailed(now, c.Job)
			} else if g.room.JobRefused(now, c.Job) {
				continue
			}
		}
		p.Emit(c)
		g.execute(now, p)
	}
}

// execute turns the room's actions into messages and commands.
func (g *WaitingGate) execute(now time.Duration, p *Pass) {
	actions := g.room.Actions()
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case waiting.Release:
			j := &a.Job
			p.Forward(JobArrived{Job: j.Number, Name: j.Name, Class: j.Class, Tenant: j.Tenant, At: j.Arrived, Budget: a.Budget,
				Size: j.Size, Slots: j.Slots, EarlierAttempts: a.Attempts, Waited: a.Waited})
		case waiting.Accept:
			p.Emit(Accepted{a.Job.Number})
		case waiting.Answer:
			p.Emit(LocalReply{Job: a.Job.Number, Status: a.Status, Reason: a.Reason, RetryAfter: a.RetryAfter,
				Refused: a.Status == waiting.StatusRefused || a.Status == waiting.StatusFull})
		case waiting.Withdraw:
			p.Forward(ClientGone{a.Job.Number})
		case waiting.Reply:
			p.Emit(QueryResult{Query: a.Query, Status: a.Status, Info: a.Info, Board: a.List})
		}
	}
}

// Wake returns the room's next wake-up time.
func (g *WaitingGate) Wake() (time.Duration, bool) {
	at, ok := g.room.Wake(g.now)
	return max(at, g.now), ok && at < math.MaxInt64
}

// Detached returns the number of jobs of the room that are in the module or at a host.
func (g *WaitingGate) Detached() int { return g.room.DetachedOut() }

// ModuleLost passes the loss of the module's state on to the room.
func (g *WaitingGate) ModuleLost(now time.Duration) { g.room.ModuleCrashed(now) }

// Owns reports whether the job is only in the room.
func (g *WaitingGate) Owns(job uint64) bool { return g.room.Keeps(job) }
