package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"gaugeslip/internal/overload"
	"gaugeslip/policy"
)

// ShedGate puts an overload.Shedder in front of the core. Jobs that the shedder refuses are answered at once and never reach the
// module. The gate reports the outcome of admitted jobs to the shedder. Jobs that have waited at their client's request have a share
// of capacity of their own and are always admitted.
type ShedGate struct {
	shedder       *overload.Shedder
	limits        overload.Limits
	cfg           policy.Config
	pending       map[uint64]*admittedJob // admitted and not yet answered
	shedByClass   []atomic.Int64          // refused jobs by class
	admittedShare atomic.Uint64           // the bits of a float64
}

// admittedJob is a job that the gate has admitted.
type admittedJob struct {
	class                int
	arrivedAt, startedAt time.Duration
	size                 time.Duration
}

// NewShedGate returns a gate that admits all jobs at first. The text of an error starts with the key of the invalid setting.
func NewShedGate(l overload.Limits, cfg policy.Config) (*ShedGate, error) {
	s, err := overload.NewShedder(l, &cfg)
	if err != nil {
		return nil, err
	}
	g := &ShedGate{shedder: s, limits: l, cfg: cfg, pending: map[uint64]*admittedJob{}, shedByClass: make([]atomic.Int64, len(cfg.Classes))}
	g.publish()
	return g, nil
}

// Recreate returns a gate without jobs that admits all at first.
func (g *ShedGate) Recreate() Gate {
	n, _ := NewShedGate(g.limits, g.cfg) // the limits have been checked before
	return n
}

// RefusedJobs returns the number of jobs of a class that this gate has refused. It is safe for concurrent use.
func (g *ShedGate) RefusedJobs(class int) float64 { return float64(g.shedByClass[class].Load()) }

// AdmittedShare returns the share of the offered work that is admitted. It is safe for concurrent use.
func (g *ShedGate) AdmittedShare() float64 { return math.Float64frombits(g.admittedShare.Load()) }

func (g *ShedGate) publish() { g.admittedShare.Store(math.Float64bits(g.shedder.AdmittedShare())) }

// In refuses jobs as the shedder decides, and records when admitted jobs start and end.
func (g *ShedGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			if g.pending[m.Job] != nil {
				break // a duplicate, which the core drops
			}
			if m.Wait == nil && m.EarlierAttempts == 0 && m.Waited == 0 {
				ok, after := g.shedder.AdmitJob(now, overload.Job{Class: m.Class, Key: m.Key, Keyed: m.Keyed, Retry: m.Retry, Work: m.Size})
				if !ok {
					g.shedByClass[m.Class].Add(1)
					p.Emit(LocalReply{Job: m.Job, Refused: true, RetryAfter: min(after, g.cfg.MaxRetryAfter)})
					continue
				}
			}
			g.pending[m.Job] = &admittedJob{class: m.Class, arrivedAt: m.At, size: m.Size}
		case JobStarted:
			if j := g.pending[m.Job]; j != nil {
				j.startedAt = now
			}
		case AttemptEnded:
			if j := g.pending[m.Job]; j != nil && m.Result == policy.OK {
				c := &g.cfg.Classes[j.class]
				run := j.size
				if j.startedAt > 0 {
					run = now - j.startedAt
				}
				end := overload.InTime
				if now-j.arrivedAt > c.OnTime+time.Duration(c.Stretch*float64(run)) {
					end = overload.Late
				}
				g.shedder.JobEnded(j.size, end)
				delete(g.pending, m.Job)
			}
		case ClientGone: // the client would not wait any longer
			if j := g.pending[m.Job]; j != nil {
				g.shedder.JobEnded(j.size, overload.Late)
				delete(g.pending, m.Job)
			}
		}
		p.Forward(m)
	}
	g.publish()
}

// Out reports the module's refusals to the shedder as a lack of capacity.
func (g *ShedGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if r, ok := c.(LocalReply); ok {
			if j := g.pending[r.Job]; j != nil && r.Refused {
				g.shedder.JobEnded(j.size, overload.Refused)
			}
			delete(g.pending, r.Job)
		}
		p.Emit(c)
	}
}

// Wake returns no time: this gate has no timers.
func (g *ShedGate) Wake() (time.Duration, bool) { return 0, false }

// Detached returns 0: this gate holds no jobs.
func (g *ShedGate) Detached() int { return 0 }

// ModuleLost forgets the jobs that were in the module.
func (g *ShedGate) ModuleLost(time.Duration) { clear(g.pending) }

// Owns returns false: all admitted jobs are in the module.
func (g *ShedGate) Owns(uint64) bool { return false }
