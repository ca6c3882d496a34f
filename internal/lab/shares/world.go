// Package shares simulates the members of internal/budget in virtual time, with clocks of different rates, lost, late and repeated
// messages, partitions, pauses and restarts, and checks that the total budget is never exceeded. Runs with equal settings and
// seeds are identical.
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

// World is the configuration of a simulation.
type World struct {
	Members, Voters int
	Length          time.Duration
	Static          bool    // fixed equal shares, without messages
	Floor           float64 // guaranteed part of an equal share
	Rate            float64 // tokens per second of the whole budget
	Burst           float64
	Demand          []float64 // by member, as a share of the whole budget; shorter lists repeat
	Drift           float64   // maximum drift of the clocks, in either direction
	Believed        float64   // maximum drift that the members assume; 0: Drift
	Delay           time.Duration
	Loss, Twice     float64 // share of the messages that are lost, or delivered twice
	Late            float64 // share of the messages that arrive a second late
	Troubles        []Trouble
}

// Trouble is a fault that lasts for a while.
type Trouble struct {
	Kind    string // "kill", "pause", "cut" (members and others separated), "mute" (others don't receive the members' messages), "islands"
	At, For time.Duration
	Members []int // affected members; ignored for "islands"
	Islands int
}

// Result is the result of a simulation.
type Result struct {
	Uses      int
	Refused   int
	Asked     float64
	Share     []float64 // used share of the whole budget, by second
	Messages  float64   // messages sent, per second and member
	Bytes     float64
	Most      budget.Units // maximum owned at one time
	Breaches  []string
	Recovered time.Duration // from the end of the last trouble until use is back at 0.9 of the earlier use; -1: never
	Leaders   int           // number of changes of the leader
}

// process is one incarnation of a member.
type process struct {
	member       int
	incarnation  uint64
	node         *budget.Node
	bucket       *budget.TokenBucket
	drift        float64
	offset       time.Duration
	startedAt    time.Duration
	dead         bool
	paused       bool
	pendingInput []budget.Message
	nextWake     time.Duration // real time of the next scheduled step
	epoch        uint32
	recentDemand float64 // tokens requested recently, with exponential decay
	demandAt     time.Duration
}

// localTime returns the reading of the process's clock at a real time.
func (p *process) localTime(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now-p.startedAt)*(1+p.drift))
}

// realTime returns the real time at which the process's clock shows a time.
func (p *process) realTime(local time.Duration) time.Duration {
	return p.startedAt + time.Duration(math.Ceil(float64(local-p.offset)/(1+p.drift)))
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].seq < c[j].seq
}
func (c eventQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	n := len(*c) - 1
	e := (*c)[n]
	*c = (*c)[:n]
	return e
}

type simulation struct {
	world         *World
	rng           *rand.Rand
	now           time.Duration
	queue         eventQueue
	seq           int
	processes     []*process // every live incarnation
	current       []*process // the present incarnation of each member
	partitions    [][]bool   // by active trouble: whether messages from i to j are lost
	cfg           budget.Config
	result        Result
	uses          []time.Duration
	lastLeader    int
	usesPerSecond []float64
}

// Play simulates a world.
func Play(w *World, seed uint64) *Result {
	p := &simulation{world: w, rng: rand.New(rand.NewPCG(seed, 17)), lastLeader: -1, usesPerSecond: make([]float64, int(w.Length/time.Second)+1)}
	every, term := budget.Timing(w.Members)
	believed := w.Believed
	if believed == 0 {
		believed = w.Drift
	}
	lim := budget.Limits{Floor: w.Floor}
	p.cfg = budget.Config{Members: w.Members, Voters: w.Voters, Budgets: 1, Floor: lim.FloorUnits(w.Members), LeaseTime: term, RequestInterval: every, Drift: believed}
	p.current = make([]*process, w.Members)
	for i := range w.Members {
		p.start(i)
		p.schedule(time.Duration(p.rng.Float64()*float64(time.Second)), func() { p.clientRequest(i) })
	}
	for i := range w.Troubles {
		t := &w.Troubles[i]
		p.schedule(t.At, func() { p.beginTrouble(t) })
	}
	for len(p.queue) > 0 && p.queue[0].at <= w.Length {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.run()
	}
	p.finish()
	return &p.result
}

func (p *simulation) schedule(at time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{max(at, p.now), p.seq, do})
}

// start begins a new incarnation of a member, unless the present one is alive, as its address is in use. A new process owns no units.
func (p *simulation) start(i int) {
	if old := p.current[i]; old != nil && !old.dead {
		return
	}
	x := &process{member: i, incarnation: uint64(len(p.processes) + 1), startedAt: p.now, drift: (2*p.rng.Float64() - 1) * p.world.Drift,
		offset: time.Duration(p.rng.Float64() * 24 * float64(time.Hour)), bucket: &budget.TokenBucket{PerSecond: p.world.Rate / (1 + p.cfg.Drift), Burst: p.world.Burst}}
	x.demandAt = x.offset
	p.processes, p.current[i] = append(p.processes, x), x
	if p.world.Static {
		x.bucket.SetShare(x.offset, budget.EqualShare(p.world.Members))
		return
	}
	c := p.cfg
	c.Self, c.Incarnation = i, x.incarnation
	x.node = budget.NewNode(c, x.offset)
	x.bucket.SetShare(x.offset, x.node.Share(0))
	p.step(x, nil)
}

// step runs one step of a process.
func (p *simulation) step(x *process, in []budget.Message) {
	if x.dead || x.node == nil {
		return
	}
	if x.paused {
		if len(x.pendingInput) < 1000 {
			x.pendingInput = append(x.pendingInput, in...)
		}
		return
	}
	local := x.localTime(p.now)
	f := math.Exp(-float64(local-x.demandAt) / 1e9)
	x.recentDemand, x.demandAt = x.recentDemand*f, local
	x.node.SetDemand([]budget.Units{budget.ExtraDemand(x.recentDemand, p.world.Rate, p.cfg.Floor)})
	for _, m := range x.node.Step(local, in) {
		p.deliver(m)
	}
	if s := x.node.Share(0); s.Epoch != x.epoch {
		x.epoch = s.Epoch
		x.bucket.SetShare(local, s)
		p.checkOwnership()
	}
	if x.node.IsLeader(local) && p.lastLeader != x.member {
		p.lastLeader = x.member
		p.result.Leaders++
	}
	if at := x.realTime(x.node.Wake()); x.nextWake <= p.now || at < x.nextWake {
		x.nextWake = max(at, p.now+time.Microsecond)
		wake := x.nextWake
		p.schedule(wake, func() {
			if x.nextWake == wake {
				p.step(x, nil)
			}
		})
	}
}

// deliver delivers a message to the present process of a member, unless it is lost.
func (p *simulation) deliver(m budget.Message) {
	p.result.Messages++
	p.result.Bytes += float64(len(budget.Append(nil, &m)))
	for _, c := range p.partitions {
		if c[m.From*p.world.Members+m.To] {
			return
		}
	}
	if p.rng.Float64() < p.world.Loss {
		return
	}
	times := 1
	if p.rng.Float64() < p.world.Twice {
		times = 2
	}
	for range times {
		after := time.Duration(p.rng.ExpFloat64() * float64(p.world.Delay))
		if p.rng.Float64() < p.world.Late {
			after += time.Second
		}
		p.schedule(p.now+after, func() { p.step(p.current[m.To], []budget.Message{m}) })
	}
}

// checkOwnership checks the total that all processes may use at this moment. Paused processes count, dead ones don't.
func (p *simulation) checkOwnership() {
	total := budget.Units(0)
	live := make([]*process, 0, len(p.current))
	for _, x := range p.processes {
		if x.dead {
			continue
		}
		live = append(live, x)
		total += x.node.Share(0).At(x.localTime(p.now))
	}
	p.processes = live
	if p.result.Most = max(p.result.Most, total); total > budget.Whole {
		p.breach("%v: %d of %d units are owned", p.now, total, budget.Whole)
	}
}

func (p *simulation) breach(text string, args ...any) {
	if len(p.result.Breaches) < 10 {
		p.result.Breaches = append(p.result.Breaches, fmt.Sprintf(text, args...))
	}
}

// clientRequest requests a token from the client's member, and schedules the client's next request.
func (p *simulation) clientRequest(i int) {
	demand := p.world.Rate
	if n := len(p.world.Demand); n > 0 {
		demand *= p.world.Demand[i%n]
	}
	p.schedule(p.now+time.Duration(p.rng.ExpFloat64()/max(demand, 1e-6)*1e9), func() { p.clientRequest(i) })
	x := p.current[i]
	if x.dead || x.paused {
		return
	}
	p.result.Asked++
	x.recentDemand++
	if !x.bucket.Take(x.localTime(p.now), 1) {
		p.result.Refused++
		return
	}
	p.result.Uses++
	p.usesPerSecond[int(p.now/time.Second)]++
	p.uses = append(p.uses, p.now)
}

// beginTrouble begins a trouble and schedules its end.
func (p *simulation) beginTrouble(t *Trouble) {
	end := func(do func()) {
		if t.For > 0 {
			p.schedule(p.now+t.For, do)
		}
	}
	n := p.world.Members
	cut := func(no func(i, j int) bool) {
		c := make([]bool, n*n)
		for i := range n {
			for j := range n {
				c[i*n+j] = no(i, j)
			}
		}
		p.partitions = append(p.partitions, c)
		end(func() { p.partitions = slices.DeleteFunc(p.partitions, func(o []bool) bool { return &o[0] == &c[0] }) })
	}
	in := func(i int) bool { return slices.Contains(t.Members, i) }
	switch t.Kind {
	case "kill":
		for _, i := range t.Members {
			p.current[i].dead = true
			end(func() { p.start(i) })
		}
	case "pause":
		for _, i := range t.Members {
			x := p.current[i]
			x.paused = true
			end(func() {
				x.paused = false
				in := x.pendingInput
				x.pendingInput = nil
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

// finish checks the uses over windows of several lengths and computes the result.
func (p *simulation) finish() {
	for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		most := p.world.Rate*length.Seconds() + p.world.Burst + float64(p.world.Members)
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
	seconds := int(p.world.Length / time.Second)
	for s := range seconds {
		p.result.Share = append(p.result.Share, p.usesPerSecond[s]/p.world.Rate)
	}
	p.result.Messages /= p.world.Length.Seconds() * float64(p.world.Members)
	p.result.Bytes /= p.world.Length.Seconds() * float64(p.world.Members)
	p.result.Recovered = p.recoveryTime()
}

// recoveryTime returns the time from the end of the last trouble to the first half second in which the rate of use is at least 0.9
// of the rate in the two seconds before the first trouble.
func (p *simulation) recoveryTime() time.Duration {
	begin, end := p.world.Length, time.Duration(0)
	for _, t := range p.world.Troubles {
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
	for at := end; at+500*time.Millisecond <= p.world.Length; at += 50 * time.Millisecond {
		if count(at, at+500*time.Millisecond) >= 0.9*usual {
			return at - end
		}
	}
	return -1
}
