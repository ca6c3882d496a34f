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
	shedder       *overload.Shedder
	limits        overload.Limits
	cfg           policy.Config
	pending       map[uint64]*admittedJob // let in, and not yet answered
	shedByClass   []atomic.Int64          // by class
	admittedShare atomic.Uint64           // the bits of a float64
}

// admittedJob is a job that was let in.
type admittedJob struct {
	class                int
	arrivedAt, startedAt time.Duration
	size                 time.Duration
}

// NewShedGate makes a gate that lets everything in until it learns otherwise. An error begins with the faulty key of the limits.
func NewShedGate(l overload.Limits, cfg policy.Config) (*ShedGate, error) {
	s, err := overload.NewShedder(l, &cfg)
	if err != nil {
		return nil, err
	}
	g := &ShedGate{shedder: s, limits: l, cfg: cfg, pending: map[uint64]*admittedJob{}, shedByClass: make([]atomic.Int64, len(cfg.Classes))}
	g.publish()
	return g, nil
}

// Anew makes a gate that knows nothing.
func (g *ShedGate) Anew() Gate {
	n, _ := NewShedGate(g.limits, g.cfg) // the limits were sound
	return n
}

// Shed is how many jobs of a class were refused here, Admit what share of the offered work is let in. Both may be read from any
// goroutine.
func (g *ShedGate) Shed(class int) float64 { return float64(g.shedByClass[class].Load()) }

// Admit: see Shed.
func (g *ShedGate) Admit() float64 { return math.Float64frombits(g.admittedShare.Load()) }

func (g *ShedGate) publish() { g.admittedShare.Store(math.Float64bits(g.shedder.Admit())) }

// In refuses what is shed, and notes when jobs began and how they ended.
func (g *ShedGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		switch m := m.(type) {
		case Arrived:
			if g.pending[m.Job] != nil {
				break // the core drops it
			}
			if m.Wait == nil && m.Tried == 0 && m.Waited == 0 {
				ok, after := g.shedder.Arrived(now, overload.Job{Class: m.Class, Key: m.Key, Keyed: m.Keyed, Retry: m.Retry, Work: m.Size})
				if !ok {
					g.shedByClass[m.Class].Add(1)
					p.Do(LocalReply{Job: m.Job, Refused: true, RetryAfter: min(after, g.cfg.MaxRetryAfter)})
					continue
				}
			}
			g.pending[m.Job] = &admittedJob{class: m.Class, arrivedAt: m.At, size: m.Size}
		case Started:
			if j := g.pending[m.Job]; j != nil {
				j.startedAt = now
			}
		case Ended:
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
				g.shedder.Came(j.size, end)
				delete(g.pending, m.Job)
			}
		case Left: // its client would have no more of it
			if j := g.pending[m.Job]; j != nil {
				g.shedder.Came(j.size, overload.Late)
				delete(g.pending, m.Job)
			}
		}
		p.On(m)
	}
	g.publish()
}

// Out learns from the module's own refusals, which say that there was no room.
func (g *ShedGate) Out(_ time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if r, ok := c.(LocalReply); ok {
			if j := g.pending[r.Job]; j != nil && r.Refused {
				g.shedder.Came(j.size, overload.NoRoom)
			}
			delete(g.pending, r.Job)
		}
		p.Do(c)
	}
}

// Wake has nothing to wake for.
func (g *ShedGate) Wake() (time.Duration, bool) { return 0, false }

// Detached is 0: no job lives on here.
func (g *ShedGate) Detached() int { return 0 }

// Crashed forgets the jobs that were before the module.
func (g *ShedGate) Crashed(time.Duration) { clear(g.pending) }

// Keeps is false: every job that passed is the module's.
func (g *ShedGate) Keeps(uint64) bool { return false }
