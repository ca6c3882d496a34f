package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"gaugeslip/internal/overload"
	"gaugeslip/policy"
)

// ShedGate puts an overload.Shedder before the core: jobs that it refuses are answered at once and never reach the module. It
// learns from what becomes of those that pass. Jobs that waited by their own wish have a share of their own, and pass.
type ShedGate struct {
	shedder *overload.Shedder
	lim     overload.Limits
	cfg     policy.Config
	open    map[uint64]*passed // let in, and not yet answered
	shed    []atomic.Int64     // by class
	admit   atomic.Uint64      // the bits of a float64
}

// passed is a job that was let in.
type passed struct {
	class       int
	came, began time.Duration
	size        time.Duration
}

// NewShedGate makes a gate that lets everything in until it learns otherwise. An error begins with the faulty key of the limits.
func NewShedGate(l overload.Limits, cfg policy.Config) (*ShedGate, error) {
	s, err := overload.NewShedder(l, &cfg)
	if err != nil {
		return nil, err
	}
	g := &ShedGate{shedder: s, lim: l, cfg: cfg, open: map[uint64]*passed{}, shed: make([]atomic.Int64, len(cfg.Classes))}
	g.publish()
	return g, nil
}

// Recreate makes a gate that knows nothing.
func (g *ShedGate) Recreate() Gate {
	n, _ := NewShedGate(g.lim, g.cfg) // the limits were sound
	return n
}

// RefusedJobs is how many jobs of a class were refused here, Admit what share of the offered work is let in. Both may be read from any
// goroutine.
func (g *ShedGate) RefusedJobs(class int) float64 { return float64(g.shed[class].Load()) }

// Admit: see Shed.
func (g *ShedGate) AdmittedShare() float64 { return math.Float64frombits(g.admit.Load()) }

func (g *ShedGate) publish() { g.admit.Store(math.Float64bits(g.shedder.AdmittedShare())) }

// In refuses what is shed, and notes when jobs began and how they ended.
func (g *ShedGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		switch m := m.(type) {
		case JobArrived:
			if g.open[m.Job] != nil {
				break // the core drops it
			}
			if m.Wait == nil && m.EarlierAttempts == 0 && m.Waited == 0 {
				ok, after := g.shedder.AdmitJob(now, overload.Job{Class: m.Class, Key: m.Key, Keyed: m.Keyed, Retry: m.Retry, Work: m.Size})
				if !ok {
					g.shed[m.Class].Add(1)
					p.Emit(LocalReply{Job: m.Job, Refused: true, RetryAfter: min(after, g.cfg.MaxRetryAfter)})
					continue
				}
			}
			g.open[m.Job] = &passed{class: m.Class, came: m.At, size: m.Size}
		case JobStarted:
			if j := g.open[m.Job]; j != nil {
				j.began = now
			}
		case AttemptEnded:
			if j := g.open[m.Job]; j != nil && m.Result == policy.OK {
				c := &g.cfg.Classes[j.class]
				run := j.size
				if j.began > 0 {
					run = now - j.began
				}
				end := overload.InTime
				if now-j.came > c.OnTime+time.Duration(c.Stretch*float64(run)) {
					end = overload.Late
				}
				g.shedder.JobEnded(j.size, end)
				delete(g.open, m.Job)
			}
		case ClientGone: // its client would have no more of it
			if j := g.open[m.Job]; j != nil {
				g.shedder.JobEnded(j.size, overload.Late)
				delete(g.open, m.Job)
			}
		}
		p.Forward(m)
	}
	g.publish()
}

// Out learns from the module's own refusals, which say that there was no room.
func (g *ShedGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if r, ok := c.(LocalReply); ok {
			if j := g.open[r.Job]; j != nil && r.Refused {
				g.shedder.JobEnded(j.size, overload.Refused)
			}
			delete(g.open, r.Job)
		}
		p.Emit(c)
	}
}

// Wake has nothing to wake for.
func (g *ShedGate) Wake() (time.Duration, bool) { return 0, false }

// Detached is 0: no job lives on here.
func (g *ShedGate) Detached() int { return 0 }

// ModuleLost forgets the jobs that were before the module.
func (g *ShedGate) ModuleLost(time.Duration) { clear(g.open) }

// Owns is false: every job that passed is the module's.
func (g *ShedGate) Owns(uint64) bool { return false }
