package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

func gated(t testing.TB, change func(*waiting.Limits)) (*Chain, *WaitingGate) {
	core := bare(t)
	lim := waiting.Defaults()
	if change != nil {
		change(&lim)
	}
	gate := NewWaitingGate(lim, core.cfg)
	return NewChain(core, Gates{Waiting: gate}), gate
}

// With no gate the chain's commands are those of the core, and with a waiting room in which nobody waits too.
func TestChainChangesNothing(t *testing.T) {
	for seed, want := range before {
		if got := digest(NewChain(bare(t), Gates{}), seed); got != want {
			t.Errorf("seed %d: without gates %s, want %s", seed, got, want)
		}
		c, gate := gated(t, nil)
		play(c, seed, 3000, func(time.Duration, []Message, []Command) {})
		if s := gate.room.Stats(); s.Fresh == 0 || s.Turns != 0 {
			t.Errorf("seed %d: %+v", seed, s)
		}
	}
	core, chain := bare(t), NewChain(bare(t), Gates{})
	var one, two []string
	play(core, 4, 500, func(now time.Duration, _ []Message, out []Command) {
		one = append(one, fmt.Sprintf("%v %T%+v", now, out, out))
	})
	play(chain, 4, 500, func(now time.Duration, _ []Message, out []Command) {
		two = append(two, fmt.Sprintf("%v %T%+v", now, out, out))
	})
	if fmt.Sprint(one) != fmt.Sprint(two) {
		t.Error("the commands differ")
	}
}

// A waiting room through which fresh jobs pass changes no command for them: the ids are all different.
func TestFreshPassUnchanged(t *testing.T) {
	for seed, want := range before {
		c, _ := gated(t, nil)
		if got := digest(named{c}, seed); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}

// named gives arrivals the names that the loop gives them, and wakes as the core alone does.
type named struct{ *Chain }

func (n named) Step(now time.Duration, in []Message) []Command {
	for i, m := range in {
		if a, ok := m.(JobArrived); ok {
			a.Name = fmt.Sprint("n", a.Job)
			in[i] = a
		}
	}
	return n.Chain.Step(now, in)
}

func (n named) Wake() (time.Duration, bool) { return n.core.Wake() }

// tracked is what a test knows of one job.
type tracked struct {
	name           string
	unsafe, waits  bool
	detached, left bool
	accepted       int
	served         bool
	status         int // of a local reply; 0: none yet
	maybe          bool
	out            map[int]bool
	keys           map[int]bool
}

// machine plays random histories on a chain with a waiting room and checks the rules as they come.
type machine struct {
	*rapid.T
	c     *Chain
	gate  *WaitingGate
	now   time.Duration
	jobs  map[uint64]*tracked
	names []string
	next  uint64
	told  map[uint64]QueryResult
}

func (m *machine) step(in ...Message) {
	for n := 0; ; n++ {
		for _, c := range m.c.Step(m.now, in) {
			m.see(c)
		}
		in = nil
		if at, ok := m.c.Wake(); !ok || at > m.now {
			return
		}
		if n > 10_000 {
			m.Fatal("Steps without end")
		}
	}
}

// see books a command and checks it.
func (m *machine) see(c Command) {
	switch c := c.(type) {
	case Send:
		j := m.jobs[c.Job]
		if j == nil || j.served || j.status != 0 {
			m.Fatalf("a send for %d, which is over: %+v", c.Job, j)
		}
		if j.unsafe && (j.maybe || len(j.out) > 0) {
			m.Fatalf("%s must not run twice, and may have run", j.name)
		}
		if j.keys[c.Attempt] || c.Attempt >= m.c.core.maxAttempts {
			m.Fatalf("%s: attempt %d", j.name, c.Attempt)
		}
		j.keys[c.Attempt], j.out[c.Attempt] = true, true
	case LocalReply:
		j := m.jobs[c.Job]
		if j.status != 0 || j.served || j.left && !j.detached {
			m.Fatalf("%s is answered again: %+v after %+v", j.name, c, j)
		}
		if c.Refused && j.unsafe && (j.maybe || len(j.out) > 0) {
			m.Fatalf("%s may have run and is refused", j.name)
		}
		if j.status = c.Status; j.status == 0 {
			j.status = map[bool]int{true: 429, false: 500}[c.Refused]
		}
	case Accepted:
		m.jobs[c.Job].accepted++
	case QueryResult:
		m.told[c.Query] = c
	}
}

// end ends a send.
func (m *machine) end(k Key, r policy.Result) {
	j := m.jobs[k.Job]
	delete(j.out, k.Attempt)
	switch outcome(r) {
	case waiting.OK:
		if j.status == 0 && !j.left {
			j.served = true
		}
	case waiting.MayHaveRun, waiting.Rejected:
		j.maybe = true
	}
	m.step(AttemptEnded{Key: k, Result: r, Body: []byte("r")})
}

// one picks a job that fits.
func (m *machine) one(label string, fits func(*tracked) bool) uint64 {
	var list []uint64
	for id := uint64(1); id <= m.next; id++ {
		if j := m.jobs[id]; j != nil && fits(j) {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return 0
	}
	return rapid.SampledFrom(list).Draw(m.T, label)
}

func (m *machine) arrive() {
	m.next++
	class := rapid.IntRange(0, 1).Draw(m.T, "class")
	j := &tracked{name: fmt.Sprint("j", m.next), unsafe: class == 1, out: map[int]bool{}, keys: map[int]bool{}}
	if len(m.names) > 0 && rapid.IntRange(0, 20).Draw(m.T, "again") == 0 {
		j.name = rapid.SampledFrom(m.names).Draw(m.T, "name")
	}
	m.jobs[m.next] = j
	a := JobArrived{Job: m.next, Name: j.name, Client: "c", Class: class, Tenant: -1, At: m.now, Budget: 5 * time.Second,
		Size: time.Duration(rapid.IntRange(1, 900).Draw(m.T, "size")) * ms, Slots: 1}
	if j.waits = rapid.Bool().Draw(m.T, "waits"); j.waits {
		j.detached = rapid.Bool().Draw(m.T, "detached")
		a.Wait = &Wait{Detached: j.detached, NotBefore: time.Duration(rapid.IntRange(0, 6000).Draw(m.T, "delay")) * ms,
			Due: time.Duration(rapid.IntRange(100, 9000).Draw(m.T, "due")) * ms}
		for range rapid.IntRange(0, 2).Draw(m.T, "after") {
			if len(m.names) > 0 {
				a.Wait.After = append(a.Wait.After, rapid.SampledFrom(m.names).Draw(m.T, "name"))
			}
		}
	}
	m.names = append(m.names, j.name)
	m.step(a)
}

var results = []policy.Result{policy.OK, policy.OK, policy.OK, policy.AppError, policy.Full, policy.TimedOut,
	policy.ConnectFailed, policy.ConnectionLost, policy.Rejected}

// Random histories: one final state and one answer each, none lost, no second send of what may have run, and whatever
// is asked the same is told. A failing history is printed with its seed.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, gate := gated(t, func(l *waiting.Limits) {
			l.MaxJobs, l.ClientShare = rapid.SampledFrom([]int{3, 1000}).Draw(rt, "max"), 1
			l.RunOnFailure = rapid.Bool().Draw(rt, "run")
		})
		m := &machine{T: rt, c: c, gate: gate, now: start, jobs: map[uint64]*tracked{}, told: map[uint64]QueryResult{}}
		m.step(HostList{Version: 1, Whole: true, Hosts: []Host{one, two}})
		out := func(j *tracked) bool { return len(j.out) > 0 }
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { m.arrive() },
			"more":   func(*rapid.T) { m.arrive() },
			"pass": func(*rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * ms
				m.step()
			},
			"end": func(*rapid.T) {
				if id := m.one("job", out); id != 0 {
					for n := range m.jobs[id].out {
						m.end(Key{id, n}, rapid.SampledFrom(results).Draw(rt, "result"))
						break
					}
				}
			},
			"leave": func(*rapid.T) {
				if id := m.one("job", func(j *tracked) bool { return !j.detached && !j.left && !j.served && j.status == 0 }); id != 0 {
					m.jobs[id].left = true
					m.step(ClientGone{id})
				}
			},
			"cancel": func(*rapid.T) {
				if len(m.names) > 0 {
					m.step(JobQuery{waiting.Query{Number: 1, Name: rapid.SampledFrom(m.names).Draw(rt, "name"), Cancel: true}})
				}
			},
			"list": func(*rapid.T) { m.step(JobQuery{waiting.Query{Number: 2, MaxJobs: 10}}) },
		})
		// All that is out ends, and time passes until nothing is left to wait for.
		for range 200 {
			for id := uint64(1); id <= m.next; id++ {
				for n := range m.jobs[id].out {
					m.end(Key{id, n}, policy.OK)
				}
			}
			m.now += 500 * ms
			m.step()
		}
		m.settled()
	})
}

// settled checks that all is over, and that what is told fits what was answered.
func (m *machine) settled() {
	if m.gate.room.Held() != 0 || m.c.OpenJobs() != 0 {
		m.Fatalf("%d still wait, %d still run", m.gate.room.Held(), m.c.OpenJobs())
	}
	if s := m.gate.room.Stats(); s.Longest > 2 {
		m.Fatalf("a wait of %v due times", s.Longest)
	}
	first := map[string]bool{}
	for id := uint64(1); id <= m.next; id++ {
		j := m.jobs[id]
		if !j.left && !j.served && j.status == 0 {
			m.Fatalf("%s has no answer: %+v", j.name, j)
		}
		if !j.waits && !j.left && j.status == 409 {
			continue
		}
		known := j.accepted > 0 || !j.waits || j.served
		if !known || first[j.name] {
			continue
		}
		first[j.name] = true
		m.step(JobQuery{waiting.Query{Number: 3, Name: j.name}})
		i := m.told[3].Info
		if i == nil || !i.State.Final() {
			m.Fatalf("%s: %+v", j.name, m.told[3])
		}
		if j.served != (i.State == waiting.Served) && !j.left || !j.served && !j.left && i.Status != j.status {
			m.Fatalf("%s: told %v %d, answered %+v", j.name, i.State, i.Status, j)
		}
	}
}

// A panic in the module leaves what only waits; one in a gate leaves nothing of it.
func TestChainRenews(t *testing.T) {
	c, gate := gated(t, nil)
	c.Step(start, []Message{HostList{Version: 1, Whole: true, Hosts: []Host{one}}})
	wait := arrival(1, 0)
	wait.Name, wait.Wait = "a", &Wait{Detached: true, NotBefore: time.Second}
	c.Step(start, []Message{wait})
	for _, inCore := range []bool{true, false} {
		c.inCore = inCore
		n, known, keeps, err := c.Rebuild(start)
		if err != nil || len(known.Hosts) != 1 || keeps(1) != inCore {
			t.Fatalf("%v %+v %v", err, known, keeps(1))
		}
		n.Step(start, []Message{known})
		if out := of[Probe](n.Step(start+time.Second, nil)); len(out) != map[bool]int{true: 1, false: 0}[inCore] {
			t.Errorf("in the core %v: asked hosts %v", inCore, out)
		}
		gate.room.ModuleCrashed(start)
	}
}

// BenchmarkStep compares a Step of an arrival and its end on the core, in a chain without gates, and with a waiting room.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct {
		name string
		make func() stepper
	}{{"core", func() stepper { return bare(b) }}, {"chain", func() stepper { return NewChain(bare(b), Gates{}) }},
		{"waiting", func() stepper { c, _ := gated(b, nil); return c }}} {
		b.Run(c.name, func(b *testing.B) {
			s := c.make()
			var hosts []Host
			for i := range 100 {
				hosts = append(hosts, Host{Name: fmt.Sprintf("s-%08x", i), Addr: "127.0.0.1:1", Scale: 2})
			}
			s.Step(start, []Message{HostList{Version: 1, Whole: true, Hosts: hosts}})
			names := make([]string, 100_000)
			for i := range names {
				names[i] = fmt.Sprintf("%016x", i)
			}
			now, in := time.Duration(start), make([]Message, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 20 * ms
				a := arrival(uint64(i+1), 0)
				a.At, a.Name = now, names[i%len(names)]
				in[0] = a
				s.Step(now, in)
				in[0] = AttemptEnded{Key: Key{Job: a.Job}, Result: policy.OK}
				s.Step(now+10*ms, in)
			}
		})
	}
}
