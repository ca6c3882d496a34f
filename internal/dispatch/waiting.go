package dispatch

import (
	"math"
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// WaitingGate puts a waiting.Queue before the core: jobs that ask to wait are held in it and come before the module
// when it is their turn; all others pass. Each job has its one answer from the module or from the room, never from
// both: once the room has answered, the core has been told that the client left, and answers no more.
type WaitingGate struct {
	room  *waiting.Queue
	lim   waiting.Limits
	fleet waiting.Fleet
	ready map[string]bool // hosts that are
	now   time.Duration
}

// NewWaitingGate makes a gate with an empty room. The limits must be sound.
func NewWaitingGate(lim waiting.Limits, cfg policy.Config) *WaitingGate {
	f := waiting.Fleet{Replicas: max(cfg.Replicas, 1), MaxAttempts: max(cfg.MaxAttempts, 1)}
	for _, c := range cfg.Classes {
		f.Classes = append(f.Classes, waiting.Class{Name: c.Name, Deadline: c.Deadline,
			Repeatable: c.Effect == policy.Repeatable})
	}
	return &WaitingGate{room: waiting.New(lim, f), lim: lim, fleet: f, ready: map[string]bool{}}
}

// Recreate makes a gate with an empty room.
func (g *WaitingGate) Recreate() Gate {
	return &WaitingGate{room: waiting.New(g.lim, g.fleet), lim: g.lim, fleet: g.fleet, ready: map[string]bool{}}
}

// Room is the gate's room, to be looked at between Steps only.
func (g *WaitingGate) Room() *waiting.Queue { return g.room }

// In lets ready jobs in before the first fresh one of the Step: what a host has just freed is theirs first.
func (g *WaitingGate) In(now time.Duration, in []Message, p *Pass) {
	g.now = now
	ticked := false
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			if !ticked {
				ticked = true
				g.room.Tick(now)
				g.carry(now, p)
			}
			j := held(&m)
			if m.Wait != nil {
				g.room.Submit(now, &j)
				g.carry(now, p)
			} else if g.room.AddFresh(now, &j) {
				p.Forward(m)
			} else {
				g.carry(now, p)
			}
			continue
		case ClientGone:
			pass := g.room.ClientLeft(now, m.Job)
			if g.carry(now, p); !pass {
				continue
			}
		case AttemptEnded:
			g.room.SendEnded(now, m.Job, outcome(m.Result), m.Body)
			g.carry(now, p)
		case HostList:
			g.listed(&m)
		case JobQuery:
			g.room.AddQuery(now, &m.Query)
			g.carry(now, p)
			continue
		case QueryCancelled:
			g.room.RemoveQuery(m.Query)
			continue
		case Shutdown:
			g.room.Close(now, m.Deadline)
			g.carry(now, p) // and the core answers what is before it
		case WaitingLimits:
			g.lim = m.Limits
			g.room.SetLimits(m.Limits)
			continue
		}
		p.Forward(m)
	}
	if !ticked {
		g.room.Tick(now)
		g.carry(now, p)
	}
}

// held is an arrival as the room takes it.
func held(m *JobArrived) waiting.Job {
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

// outcome is a result as the room weighs it: the protocol's table proves what never ran.
func outcome(r policy.Result) waiting.Outcome {
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

func (g *WaitingGate) listed(m *HostList) {
	if m.Whole {
		clear(g.ready)
	}
	for i := range m.Hosts {
		if h := &m.Hosts[i]; h.State == policy.Ready {
			g.ready[h.Name] = true
		} else {
			delete(g.ready, h.Name)
		}
	}
	g.room.SetReadyHosts(len(g.ready))
}

// Out tells the room what the module made of its jobs, and takes back the refusals that the room does.
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
		g.carry(now, p)
	}
}

// carry turns the room's actions into messages and commands.
func (g *WaitingGate) carry(now time.Duration, p *Pass) {
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

// Wake is the room's.
func (g *WaitingGate) Wake() (time.Duration, bool) {
	at, ok := g.room.Wake(g.now)
	return max(at, g.now), ok && at < math.MaxInt64
}

// Detached is the room's Out.
func (g *WaitingGate) Detached() int { return g.room.DetachedOut() }

// ModuleLost is the room's.
func (g *WaitingGate) ModuleLost(now time.Duration) { g.room.ModuleCrashed(now) }

// Owns is the room's.
func (g *WaitingGate) Owns(job uint64) bool { return g.room.Keeps(job) }
