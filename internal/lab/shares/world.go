// Package shares plays the members of internal/budget in virtual time, with clocks that differ, messages that are lost, late and
// repeated, partitions, pauses and restarts, and checks from outside that the sum is kept. Equal settings and seeds play alike.
package shares

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gaugeslip/internal/budget"
)

// World is what is played.
type World struct {
	Members, Voters int
	Length          time.Duration
	Static          bool    // no talk: equal parts
	Floor           float64 // of an equal part
	Rate            float64 // tokens a second, of the whole
	Burst           float64
	Demand          []float64 // by member, as a share of the whole; shorter lists repeat
	Drift           float64   // of the clocks, at most, either way
	Believed        float64   // drift that the members reckon with; 0: as it is
	Delay           time.Duration
	Loss, Twice     float64 // share of the messages
	Late            float64 // share that is a second late
	Troubles        []Trouble
}

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind    string // "kill", "pause", "cut" (the members have no way to the others), "mute" (nor is heard what they say: one way), "islands"
	At, For time.Duration
	Members []int // that it meets; islands: ignored
	Islands int
}

// Result is what came of it.
type Result struct {
	Uses      int
	Refused   int
	Asked     float64
	Share     []float64 // of the whole that was used, second by second
	Messages  float64   // sent, a second and member
	Bytes     float64
	Most      budget.Units // that was owned at once
	Breaches  []string
	Recovered time.Duration // from the last trouble's end until 0.9 of what is used before is used again; -1: never
	Leaders   int           // how often the lead passed
}

// process is one life of a member.
type process struct {
	member  int
	life    uint64
	node    *budget.Node
	rate    *budget.TokenBucket
	drift   float64
	offset  time.Duration
	born    time.Duration
	dead    bool
	paused  bool
	waiting []budget.Message
	wake    time.Duration // real time of the next step that is planned
	epoch   uint32
	asked   float64 // tokens, lately
	askedAt time.Duration
}

// local is what the process's clock shows.
func (p *process) local(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now-p.born)*(1+p.drift))
}

// real is when its clock shows a time.
func (p *process) real(local time.Duration) time.Duration {
	return p.born + time.Duration(math.Ceil(float64(local-p.offset)/(1+p.drift)))
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type calendar []event

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].seq < c[j].seq
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(event)) }
func (c *calendar) Pop() any {
	n := len(*c) - 1
	e := (*c)[n]
	*c = (*c)[:n]
	return e
}

type play struct {
	w      *World
	rng    *rand.Rand
	now    time.Duration
	cal    calendar
	seq    int
	all    []*process // every life
	at     []*process // the present one of each member
	cut    [][]bool   // by trouble that is on: no way from i to j
	cfg    budget.Config
	res    Result
	uses   []time.Duration
	led    int
	second []float64
}

// Play plays a world.
func Play(w *World, seed uint64) *Result {
	p := &play{w: w, rng: rand.New(rand.NewPCG(seed, 17)), led: -1, second: make([]float64, int(w.Length/time.Second)+1)}
	every, term := budget.Timing(w.Members)
	believed := w.Believed
	if believed == 0 {
		believed = w.Drift
	}
	lim := budget.Limits{Floor: w.Floor}
	p.cfg = budget.Config{Members: w.Members, Voters: w.Voters, Budgets: 1, Floor: lim.FloorUnits(w.Members), LeaseTime: term, RequestInterval: every, Drift: believed}
	p.at = make([]*process, w.Members)
	for i := range w.Members {
		p.start(i)
		p.plan(time.Duration(p.rng.Float64()*float64(time.Second)), func() { p.client(i) })
	}
	for i := range w.Troubles {
		t := &w.Troubles[i]
		p.plan(t.At, func() { p.trouble(t) })
	}
	for len(p.cal) > 0 && p.cal[0].at <= w.Length {
		e := heap.Pop(&p.cal).(event)
		p.now = e.at
		e.do()
	}
	p.finish()
	return &p.res
}

func (p *play) plan(at time.Duration, do func()) {
	p.seq++
	heap.Push(&p.cal, event{max(at, p.now), p.seq, do})
}

// start begins a new life of a member, unless it has one: the address is taken, and the new process owns nothing.
func (p *play) start(i int) {
	if old := p.at[i]; old != nil && !old.dead {
		return
	}
	x := &process{member: i, life: uint64(len(p.all) + 1), born: p.now, drift: (2*p.rng.Float64() - 1) * p.w.Drift,
		offset: time.Duration(p.rng.Float64() * 24 * float64(time.Hour)), rate: &budget.TokenBucket{PerSecond: p.w.Rate / (1 + p.cfg.Drift), Burst: p.w.Burst}}
	x.askedAt = x.offset
	p.all, p.at[i] = append(p.all, x), x
	if p.w.Static {
		x.rate.SetShare(x.offset, budget.EqualShare(p.w.Members))
		return
	}
	c := p.cfg
	c.Self, c.Incarnation = i, x.life
	x.node = budget.NewNode(c, x.offset)
	x.rate.SetShare(x.offset, x.node.Share(0))
	p.step(x, nil)
}

// step lets a process act.
func (p *play) step(x *process, in []budget.Message) {
	if x.dead || x.node == nil {
		return
	}
	if x.paused {
		if len(x.waiting) < 1000 {
			x.waiting = append(x.waiting, in...)
		}
		return
	}
	local := x.local(p.now)
	f := math.Exp(-float64(local-x.askedAt) / 1e9)
	x.asked, x.askedAt = x.asked*f, local
	x.node.SetDemand([]budget.Units{budget.ExtraDemand(x.asked, p.w.Rate, p.cfg.Floor)})
	for _, m := range x.node.Step(local, in) {
		p.carry(m)
	}
	if s := x.node.Share(0); s.Epoch != x.epoch {
		x.epoch = s.Epoch
		x.rate.SetShare(local, s)
		p.sum()
	}
	if x.node.IsLeader(local) && p.led != x.member {
		p.led = x.member
		p.res.Leaders++
	}
	if at := x.real(x.node.Wake()); x.wake <= p.now || at < x.wake {
		x.wake = max(at, p.now+time.Microsecond)
		wake := x.wake
		p.plan(wake, func() {
			if x.wake == wake {
				p.step(x, nil)
			}
		})
	}
}

// carry brings a message to the present process of a member, or not.
func (p *play) carry(m budget.Message) {
	p.res.Messages++
	p.res.Bytes += float64(len(budget.Append(nil, &m)))
	for _, c := range p.cut {
		if c[m.From*p.w.Members+m.To] {
			return
		}
	}
	if p.rng.Float64() < p.w.Loss {
		return
	}
	times := 1
	if p.rng.Float64() < p.w.Twice {
		times = 2
	}
	for range times {
		after := time.Duration(p.rng.ExpFloat64() * float64(p.w.Delay))
		if p.rng.Float64() < p.w.Late {
			after += time.Second
		}
		p.plan(p.now+after, func() { p.step(p.at[m.To], []budget.Message{m}) })
	}
}

// sum checks what all processes may use at this moment, dead ones left out and paused ones not.
func (p *play) sum() {
	total := budget.Units(0)
	live := make([]*process, 0, len(p.at))
	for _, x := range p.all {
		if x.dead {
			continue
		}
		live = append(live, x)
		total += x.node.Share(0).At(x.local(p.now))
	}
	p.all = live
	if p.res.Most = max(p.res.Most, total); total > budget.Whole {
		p.breach("%v: %d of %d units are owned", p.now, total, budget.Whole)
	}
}

func (p *play) breach(text string, args ...any) {
	if len(p.res.Breaches) < 10 {
		p.res.Breaches = append(p.res.Breaches, fmt.Sprintf(text, args...))
	}
}

// client asks for a token of its member, and plans when it asks next.
func (p *play) client(i int) {
	demand := p.w.Rate
	if n := len(p.w.Demand); n > 0 {
		demand *= p.w.Demand[i%n]
	}
	p.plan(p.now+time.Duration(p.rng.ExpFloat64()/max(demand, 1e-6)*1e9), func() { p.client(i) })
	x := p.at[i]
	if x.dead || x.paused {
		return
	}
	p.res.Asked++
	x.asked++
	if !x.rate.Take(x.local(p.now), 1) {
		p.res.Refused++
		return
	}
	p.res.Uses++
	p.second[int(p.now/time.Second)]++
	p.uses = append(p.uses, p.now)
}

// trouble begins one, and plans its end.
func (p *play) trouble(t *Trouble) {
	end := func(do func()) {
		if t.For > 0 {
			p.plan(p.now+t.For, do)
		}
	}
	n := p.w.Members
	cut := func(no func(i, j int) bool) {
		c := make([]bool, n*n)
		for i := range n {
			for j := range n {
				c[i*n+j] = no(i, j)
			}
		}
		p.cut = append(p.cut, c)
		end(func() { p.cut = slices.DeleteFunc(p.cut, func(o []bool) bool { return &o[0] == &c[0] }) })
	}
	in := func(i int) bool { return slices.Contains(t.Members, i) }
	switch t.Kind {
	case "kill":
		for _, i := range t.Members {
			p.at[i].dead = true
			end(func() { p.start(i) })
		}
	case "pause":
		for _, i := range t.Members {
			x := p.at[i]
			x.paused = true
			end(func() {
				x.paused = false
				in := x.waiting
				x.waiting = nil
				p.step(x, in)
			})
		}
	case "cut":
		cut(func(i, j int) bool { return in(i) != in(j) })
	case "mute":
		cut(func(i, j int) bool { return in(i) && !in(j) })
	case "islands":
		cut(func(i, j int) bool { return i%t.Islands != j%t.Islands })
	}
}

// finish checks the uses over windows of several lengths, and works out the figures.
func (p *play) finish() {
	for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		most := p.w.Rate*length.Seconds() + p.w.Burst + float64(p.w.Members)
		first := 0
		for i, at := range p.uses {
			for p.uses[first] <= at-length {
				first++
			}
			if n := float64(i - first + 1); n > most+1e-9 {
				p.breach("%v: %g uses in %v, %g are the whole", at, n, length, most)
				break
			}
		}
	}
	seconds := int(p.w.Length / time.Second)
	for s := range seconds {
		p.res.Share = append(p.res.Share, p.second[s]/p.w.Rate)
	}
	p.res.Messages /= p.w.Length.Seconds() * float64(p.w.Members)
	p.res.Bytes /= p.w.Length.Seconds() * float64(p.w.Members)
	p.res.Recovered = p.recovered()
}

// recovered looks for the first moment after the last trouble from which on, for half a second, 0.9 is used of what was used in
// the two seconds before the first trouble.
func (p *play) recovered() time.Duration {
	begin, end := p.w.Length, time.Duration(0)
	for _, t := range p.w.Troubles {
		begin, end = min(begin, t.At), max(end, t.At+t.For)
	}
	if end == 0 || begin < 2*time.Second {
		return -1
	}
	count := func(from, to time.Duration) float64 {
		i, _ := slices.BinarySearch(p.uses, from)
		j, _ := slices.BinarySearch(p.uses, to)
		return float64(j-i) / (to - from).Seconds()
	}
	usual := count(begin-2*time.Second, begin)
	for at := end; at+500*time.Millisecond <= p.w.Length; at += 50 * time.Millisecond {
		if count(at, at+500*time.Millisecond) >= 0.9*usual {
			return at - end
		}
	}
	return -1
}
