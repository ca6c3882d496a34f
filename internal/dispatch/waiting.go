package dispatch

import (
	"math"
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// WaitingGate puts a waiting.Room before the core: jobs that ask to wait are held in it and come before the module
// when it is their turn; all others pass. Each job has its one answer from the module or from the room, never from
// both: once the room has answered, the core has been told that the client left, and answers no more.
type WaitingGate struct {
	room       *waiting.Room
	limits     waiting.Limits
	fleet      waiting.Fleet
	readyHosts map[string]bool // hosts that are
	now        time.Duration
}

// NewWaitingGate makes a gate with an empty room. The limits must be sound.
func NewWaitingGate(lim waiting.Limits, cfg policy.Config) *WaitingGate {
	f := waiting.Fleet{Replicas: max(cfg.Replicas, 1), MaxAttempts: max(cfg.MaxAttempts, 1)}
	for _, c := range cfg.Classes {
		f.Classes = append(f.Classes, waiting.Class{Name: c.Name, Deadline: c.Deadline,
			Repeatable: c.Effect == policy.Repeatable})
	}
	return &WaitingGate{room: waiting.New(lim, f), limits: lim, fleet: f, readyHosts: map[string]bool{}}
}

// Anew makes a gate with an empty room.
func (g *WaitingGate) Anew() Gate {
	return &WaitingGate{room: waiting.New(g.limits, g.fleet), limits: g.limits, fleet: g.fleet, readyHosts: map[string]bool{}}
}

// Room is the gate's room, to be looked at between Steps only.
func (g *WaitingGate) Room() *waiting.Room { return g.room }

// In lets ready jobs in before the first fresh one of the Step: what a host has just freed is theirs first.
func (g *WaitingGate) In(now time.Duration, in []Message, p *Pass) {
	g.now = now
	ticked := false
	for _, m := range in {
		switch m := m.(type) {
		case Arrived:
			if !ticked {
				ticked = true
				g.room.Tick(now)
				g.execute(now, p)
			}
			j := waitingJob(&m)
			if m.Wait != nil {
				g.room.Submit(now, &j)
				g.execute(now, p)
			} else if g.room.Fresh(now, &j) {
				p.On(m)
			} else {
				g.execute(now, p)
			}
			continue
		case Left:
			pass := g.room.Left(now, m.Job)
			if g.execute(now, p); !pass {
				continue
			}
		case Ended:
			g.room.Ended(now, m.Job, outcomeOf(m.Result), m.Body)
			g.execute(now, p)
		case Listed:
			g.updateHosts(&m)
		case Asked:
			g.room.Asked(now, &m.Ask)
			g.execute(now, p)
			continue
		case Unasked:
			g.room.Unasked(m.Ask)
			continue
		case Closing:
			g.room.Close(now, m.By)
			g.execute(now, p) // and the core answers what is before it
		case Tuned:
			g.limits = m.Waiting
			g.room.SetLimits(m.Waiting)
			continue
		}
		p.On(m)
	}
	if !ticked {
		g.room.Tick(now)
		g.execute(now, p)
	}
}

// waitingJob is an arrival as the room takes it.
func waitingJob(m *Arrived) waiting.Job {
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

// outcomeOf is a result as the room weighs it: the protocol's table proves what never ran.
func outcomeOf(r policy.Result) waiting.Outcome {
	switch {
	case r == policy.OK:
		return waiting.OK
	case r.NeverRan():
		return waiting.NeverRan
	case r == policy.Rejected:
		return waiting.TurnedOff
	}
	return waiting.MayHave
}

func (g *WaitingGate) updateHosts(m *Listed) {
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
	g.room.Hosts(len(g.readyHosts))
}

// Out tells the room what the module made of its jobs, and takes back the refusals that the room does.
func (g *WaitingGate) Out(now time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		switch c := c.(type) {
		case Send:
			g.room.Sent(now, c.Job)
		case LocalReply:
			if !c.Refused {
				g.room.Failed(now, c.Job)
			} else if g.room.Refused(now, c.Job) {
				continue
			}
		}
		p.Do(c)
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
			p.On(Arrived{Job: j.Number, Name: j.Name, Class: j.Class, Tenant: j.Tenant, At: j.Arrived, Budget: a.Budget,
				Size: j.Size, Slots: j.Slots, Tried: a.Tried, Waited: a.Waited})
		case waiting.Accept:
			p.Do(Accepted{a.Job.Number})
		case waiting.Answer:
			p.Do(LocalReply{Job: a.Job.Number, Status: a.Status, Why: a.Why, RetryAfter: a.After,
				Refused: a.Status == waiting.StatusRefused || a.Status == waiting.StatusFull})
		case waiting.Withdraw:
			p.On(Left{a.Job.Number})
		case waiting.Tell:
			p.Do(Told{Ask: a.Ask, Status: a.Status, Info: a.Info, Board: a.Board})
		}
	}
}

// Wake is the room's.
func (g *WaitingGate) Wake() (time.Duration, bool) {
	at, ok := g.room.Wake(g.now)
	return max(at, g.now), ok && at < math.MaxInt64
}

// Detached is the room's Out.
func (g *WaitingGate) Detached() int { return g.room.Out() }

// Crashed is the room's.
func (g *WaitingGate) Crashed(now time.Duration) { g.room.Crashed(now) }

// Keeps is the room's.
func (g *WaitingGate) Keeps(job uint64) bool { return g.room.Keeps(job) }
