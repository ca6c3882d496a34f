package waiting

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	second = time.Second
	epoch  = 1_700_000_000 * second
)

// bench drives a Room by hand and keeps what it says.
type bench struct {
	*testing.T
	r       *Queue
	now     time.Duration
	next    uint64
	answers map[uint64]Action
	told    map[uint64]Action
	turns   []uint64
	budgets []time.Duration
	taken   map[uint64]int // withdrawn from the module
}

func newBench(t *testing.T, change func(*Limits)) *bench {
	lim := Defaults()
	if change != nil {
		change(&lim)
	}
	if err := lim.Check(); err != nil {
		t.Fatal(err)
	}
	b := &bench{T: t, now: epoch, answers: map[uint64]Action{}, told: map[uint64]Action{}, taken: map[uint64]int{},
		r: New(lim, Fleet{Replicas: 1, MaxAttempts: 3, Classes: []Class{
			{Name: "plot-load", Deadline: 5 * second, Repeatable: true}, {Name: "harvest-sale", Deadline: 20 * second}}})}
	b.r.SetReadyHosts(100)
	return b
}

// read takes what the Room says. A job has one answer at most.
func (b *bench) read() {
	b.Helper()
	for _, a := range b.r.Actions() {
		switch n := a.Job.Number; a.Kind {
		case Answer:
			if old, twice := b.answers[n]; twice {
				b.Fatalf("job %d is answered twice: %d %s, %d %s", n, old.Status, old.Reason, a.Status, a.Reason)
			}
			b.answers[n] = a
		case Release:
			b.turns, b.budgets = append(b.turns, n), append(b.budgets, a.Budget)
		case Reply:
			b.told[a.Query] = a
		case Withdraw:
			b.taken[n]++
		}
	}
}

// tick lets time pass, in as many Ticks as are due at that moment.
func (b *bench) tick(d time.Duration) {
	b.Helper()
	b.now += d
	for n := 0; ; n++ {
		b.r.Tick(b.now)
		b.read()
		if at, ok := b.r.Wake(b.now); !ok || at > b.now {
			return
		}
		if n > 1_000_000 {
			b.Fatal("Ticks without end")
		}
	}
}

// submit hands in a job by its name; attached where it has a deadline.
func (b *bench) submit(name string, change func(*Job)) uint64 {
	b.Helper()
	b.next++
	j := Job{Number: b.next, Name: name, Client: "c", Slots: 1, Size: second, Arrived: b.now}
	if change != nil {
		change(&j)
	}
	b.r.Submit(b.now, &j)
	b.read()
	return j.Number
}

func after(names ...string) func(*Job) { return func(j *Job) { j.After = names } }

func at(t time.Duration) func(*Job) { return func(j *Job) { j.NotBefore = t } }

func sale(j *Job) { j.Class = 1 }

func (b *bench) fresh(name string) uint64 {
	b.Helper()
	b.next++
	if !b.r.AddFresh(b.now, &Job{Number: b.next, Name: name, Arrived: b.now, Deadline: b.now + second, Attached: true}) {
		b.Fatalf("%s does not go on", name)
	}
	return b.next
}

// serve sends a job that has its turn, and ends it well.
func (b *bench) serve(n uint64) {
	b.Helper()
	b.r.JobSent(b.now, n)
	b.r.SendEnded(b.now, n, OK, []byte("result"))
	b.read()
}

func (b *bench) look(name string) Info {
	b.Helper()
	b.next++
	b.r.AddQuery(b.now, &Query{Number: b.next, Name: name})
	b.read()
	if a := b.told[b.next]; a.Info != nil {
		return *a.Info
	}
	return Info{Status: StatusUnknown, State: 99}
}

func (b *bench) want(name string, s State, status int) {
	b.Helper()
	if i := b.look(name); i.State != s || i.Status != status {
		b.Errorf("%s: state %v, status %d; want %v, %d", name, i.State, i.Status, s, status)
	}
}

func (b *bench) hasTurn(n uint64, want int) {
	b.Helper()
	got := 0
	for _, m := range b.turns {
		if m == n {
			got++
		}
	}
	if got != want {
		b.Errorf("job %d had %d turns, want %d", n, got, want)
	}
}

// A set time, a predecessor, and both: a job has its turn when all has come, and not before.
func TestWaitsForAll(t *testing.T) {
	for name, c := range map[string]struct{ delay, end time.Duration }{
		"time last": {3 * second, second}, "job last": {second, 3 * second}, "together": {second, second},
		"no time": {0, second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			first := b.submit("a", nil)
			n := b.submit("b", func(j *Job) { j.After, j.NotBefore = []string{"a"}, b.now+c.delay })
			b.tick(0)
			last := max(c.delay, c.end)
			for d := time.Duration(0); d < last; d += 500 * ms {
				if b.hasTurn(n, 0); d == c.end {
					b.serve(first)
				}
				b.tick(500 * ms)
			}
			if c.end == last {
				b.serve(first)
				b.tick(0)
			}
			b.hasTurn(n, 1)
			b.serve(n)
			b.want("b", Served, 200)
			if i := b.look("b"); i.Result != "result" || i.Attempts != 1 || i.Class != "plot-load" {
				t.Errorf("%+v", i)
			}
		})
	}
}

// What becomes of a job whose predecessor ended otherwise than well, by the settings; it has its answer either way.
func TestPredecessors(t *testing.T) {
	ways := map[string]func(b *bench, n uint64){
		"fails":   func(b *bench, n uint64) { b.r.JobSent(b.now, n); b.r.JobFailed(b.now, n) },
		"refused": func(b *bench, n uint64) { b.tick(2*30*second - ms); b.r.JobRefused(b.now, n) },
		"cancelled": func(b *bench, n uint64) {
			b.r.AddQuery(b.now, &Query{Number: 999, Name: "a", Cancel: true})
		},
		"too late": func(b *bench, n uint64) { b.tick(2 * 30 * second) },
		"left":     func(b *bench, n uint64) { b.r.ClientLeft(b.now, n) },
	}
	for way, end := range ways {
		for _, run := range []bool{false, true} {
			for _, late := range []bool{false, true} { // the dependant comes after the end
				t.Run(fmt.Sprint(way, run, late), func(t *testing.T) {
					b := newBench(t, func(l *Limits) { l.RunOnFailure = run })
					n := b.submit("a", sale)
					b.tick(0)
					var m uint64
					if !late {
						m = b.submit("b", after("a"))
					}
					end(b, n)
					b.read()
					if late {
						m = b.submit("b", after("a"))
					}
					b.tick(0)
					if run {
						b.hasTurn(m, 1)
						return
					}
					b.hasTurn(m, 0)
					b.want("b", Failed, StatusDependency)
					if b.answers[m].Status != StatusDependency {
						t.Errorf("answer %+v", b.answers[m])
					}
				})
			}
		}
	}
}

// The predecessor comes, runs and ends between two Ticks, in one Step with the job that waits for it.
func TestPredecessorInOneStep(t *testing.T) {
	b := newBench(t, nil)
	n := b.fresh("a")
	m := b.submit("b", after("a"))
	b.serve(n)
	o := b.submit("c", after("a", "b"))
	b.tick(0)
	b.hasTurn(m, 1)
	b.hasTurn(o, 0)
	b.serve(m)
	b.tick(0)
	b.hasTurn(o, 1)
}

func TestChain(t *testing.T) {
	const length = 1000
	for _, good := range []bool{true, false} {
		b := newBench(t, nil)
		jobs := []uint64{b.submit("j0", nil)}
		for i := 1; i < length; i++ {
			jobs = append(jobs, b.submit(fmt.Sprint("j", i), after(fmt.Sprint("j", i-1))))
		}
		b.tick(0)
		if !good {
			b.r.JobFailed(b.now, jobs[0])
			b.tick(0)
			b.want("j999", Failed, StatusDependency)
			continue
		}
		for _, n := range jobs {
			b.hasTurn(n, 1)
			b.serve(n)
			b.tick(0)
		}
		b.want("j999", Served, 200)
	}
}

// Many wait for one: no Tick is long, and each has its end.
func TestFanOut(t *testing.T) {
	const width = 10_000
	b := newBench(t, func(l *Limits) { l.ClientShare = 1; l.MaxJobs = width + 1; l.MaxKept = 2 * width })
	n := b.submit("a", nil)
	for i := range width {
		b.submit(fmt.Sprint("b", i), after("a"))
	}
	b.tick(0)
	b.r.JobFailed(b.now, n)
	b.r.Tick(b.now)
	if got := len(b.r.Actions()); got > tickWork {
		t.Errorf("%d answers in one Tick", got)
	}
	b.tick(0)
	if s := b.r.Stats(); s.Failed != width+1 || b.r.Held() != 0 {
		t.Errorf("%+v", s)
	}
}

// A backlog due at one moment: a Tick touches a bounded part, and the turns are as few as the window says.
func TestBacklogAtOnce(t *testing.T) {
	const n = 100_000
	b := newBench(t, func(l *Limits) { l.MaxJobs, l.ClientShare, l.MaxBytes = n, 1, 1<<30; l.DefaultDue = 10 * time.Minute })
	for i := range n {
		b.submit(fmt.Sprint(i), at(epoch+second))
	}
	b.now += second
	for ticks := 1; ; ticks++ {
		b.r.Tick(b.now)
		if got := len(b.r.Actions()); got > turnsATick {
			t.Fatalf("%d turns in one Tick", got)
		}
		if b.r.timers.len() == 0 {
			if want := n / tickWork; ticks < want || ticks > want+2 {
				t.Errorf("%d Ticks", ticks)
			}
			break
		}
	}
	b.tick(0)
	if s := b.r.Stats(); s.Released > s.Window || s.Released == 0 || s.Ready+s.Released != n {
		t.Errorf("%+v", s)
	}
	// Half an hour later nothing has been sent: all have been answered, in time.
	b.tick(20 * time.Minute)
	if s := b.r.Stats(); s.Refused != n || b.r.Held() != 0 {
		t.Errorf("%+v", s)
	}
}

// The clock jumps: what came due meanwhile happens, once.
func TestClockJumps(t *testing.T) {
	b := newBench(t, nil)
	late := b.submit("late", at(epoch+50*second))
	early := b.submit("early", at(epoch+20*second))
	gone := b.submit("gone", func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, epoch+30*second, epoch+25*second })
	dead := b.submit("dead", func(j *Job) { j.Attached, j.Deadline = true, epoch+30*second })
	b.tick(time.Minute)
	if slices.Sort(b.turns); !slices.Equal(b.turns, []uint64{late, early}) {
		t.Errorf("turns %v", b.turns)
	}
	for _, n := range []uint64{gone, dead} {
		if b.answers[n].Status != StatusRefused {
			t.Errorf("job %d: %+v", n, b.answers[n])
		}
	}
}

// An unsafe job that may have run is never let in again; its state is failed. One that provably never ran is.
func TestUnsafeRunsOnce(t *testing.T) {
	for outcome, again := range map[Outcome]bool{MayHaveRun: false, Rejected: false, NeverRan: true} {
		b := newBench(t, nil)
		n := b.submit("a", sale)
		b.tick(0)
		b.r.JobSent(b.now, n)
		b.r.SendEnded(b.now, n, outcome, nil)
		if got := b.r.JobRefused(b.now, n); got != again {
			t.Errorf("outcome %d: taken back %v", outcome, got)
		}
		b.tick(3 * second)
		b.hasTurn(n, map[bool]int{true: 2, false: 1}[again])
	}
	b := newBench(t, nil)
	n := b.submit("a", sale)
	b.tick(0)
	b.r.JobSent(b.now, n)
	b.r.SendEnded(b.now, n, MayHaveRun, nil)
	b.r.JobFailed(b.now, n)
	b.tick(time.Minute)
	b.hasTurn(n, 1)
	b.want("a", Failed, StatusFailed)
}

// Refusals are taken back for as long as the job may wait, more and more often, and each attempt counts.
func TestTakenBack(t *testing.T) {
	b := newBench(t, nil)
	n := b.submit("a", nil)
	turns, first, last := 0, time.Duration(0), time.Duration(0)
	for before := b.now; b.answers[n].Status == 0; {
		b.tick(5 * ms)
		if len(b.turns) == turns {
			continue
		}
		turns = len(b.turns)
		first, last, before = max(first, b.now-before), b.now-before, b.now
		if !b.r.JobRefused(b.now, n) {
			break
		}
	}
	if turns < 20 || last >= first/4 {
		t.Errorf("%d turns, %v between the first, %v between the last", turns, first, last)
	}
	b.want("a", Refused, StatusRefused)
	if waited := b.now - epoch; waited > 2*30*second {
		t.Errorf("answered after %v", waited)
	}
	// A host that turns it away every time uses up its attempts.
	b = newBench(t, nil)
	n = b.submit("a", nil)
	for range 4 {
		b.tick(5 * second)
		b.r.JobSent(b.now, n)
		b.r.SendEnded(b.now, n, NeverRan, nil)
		b.r.JobRefused(b.now, n)
	}
	b.hasTurn(n, 3)
	b.want("a", Refused, StatusRefused)
}

// A cancel that crosses the release: before a send it takes the job back from the module, after it comes too late.
func TestCancel(t *testing.T) {
	b := newBench(t, nil)
	cancel := func(name string) int {
		b.next++
		b.r.AddQuery(b.now, &Query{Number: b.next, Name: name, Cancel: true})
		b.read()
		return b.told[b.next].Status
	}
	b.submit("waits", at(b.now+second))
	held := b.submit("held", nil)
	out := b.submit("out", nil)
	b.tick(0)
	b.r.JobSent(b.now, out)
	for _, c := range []struct {
		name string
		want int
	}{{"waits", 200}, {"waits", 200}, {"held", 200}, {"out", 409}, {"nobody", 404}} {
		if got := cancel(c.name); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if b.taken[held] != 1 {
		t.Error("the module still holds a job that was called off")
	}
	b.r.SendEnded(b.now, out, OK, nil)
	if got := cancel("out"); got != StatusConflict {
		t.Errorf("a served one: %d", got)
	}
	b.tick(time.Minute)
	b.want("waits", Cancelled, StatusCancelled)
	b.hasTurn(held, 1)
}

func TestNames(t *testing.T) {
	b := newBench(t, nil)
	b.submit("a", at(b.now+second))
	for _, n := range []uint64{b.submit("a", nil), b.submit("b", after("nobody")), b.submit("c", after("c"))} {
		if b.answers[n].Status != StatusConflict {
			t.Errorf("job %d: %+v", n, b.answers[n])
		}
	}
	if b.r.AddFresh(b.now, &Job{Number: 99, Name: "a"}) {
		t.Error("a fresh job with a waiting one's id goes on")
	}
	b.want("a", Waiting, 0)
}

// A client that leaves while its job waits has called it off; while it is out, its end is still told.
func TestClientGone(t *testing.T) {
	b := newBench(t, nil)
	attach := func(j *Job) { j.Attached, j.Deadline, j.Class = true, b.now+10*second, 1 }
	waits := b.submit("waits", func(j *Job) { attach(j); j.NotBefore = b.now + second })
	held, out, maybe := b.submit("held", attach), b.submit("out", attach), b.submit("maybe", attach)
	b.tick(0)
	b.r.JobSent(b.now, out)
	b.r.JobSent(b.now, maybe)
	for n, pass := range map[uint64]bool{waits: false, held: true, out: true, maybe: true, 12345: true} {
		if b.r.ClientLeft(b.now, n) != pass {
			t.Errorf("job %d: passed on %v", n, !pass)
		}
	}
	b.r.SendEnded(b.now, out, OK, nil)
	b.r.SendEnded(b.now, maybe, MayHaveRun, nil)
	b.want("waits", Cancelled, StatusCancelled)
	b.want("held", Cancelled, StatusCancelled)
	b.want("out", Served, StatusServed)
	b.want("maybe", Failed, StatusFailed)
	b.tick(time.Minute)
	if len(b.answers) > 0 {
		t.Errorf("%+v", b.answers)
	}
}

// Every bound, what is said at it, and that room comes back. Advice is never for one place twice.
func TestFull(t *testing.T) {
	b := newBench(t, func(l *Limits) { l.MaxJobs, l.ClientShare, l.MaxBytes = 4, 0.5, 64<<10 })
	by := func(client string, bytes int) func(*Job) {
		return func(j *Job) { j.Client, j.Bytes, j.NotBefore = client, bytes, b.now+5*second }
	}
	b.submit("a1", by("a", 1000))
	b.submit("a2", by("a", 1000))
	for name, n := range map[string]uint64{"share": b.submit("a3", by("a", 0)), "bytes": b.submit("b1", by("b", 64<<10))} {
		if b.answers[n].Status != StatusFull || b.answers[n].RetryAfter < second {
			t.Errorf("%s: %+v", name, b.answers[n])
		}
	}
	b.submit("b2", by("b", 0))
	b.submit("c1", by("c", 0))
	one, two := b.submit("d1", by("d", 0)), b.submit("d2", by("d", 0))
	if x, y := b.answers[one], b.answers[two]; x.Status != StatusFull || x.RetryAfter < 5*second || y.RetryAfter <= x.RetryAfter {
		t.Errorf("%+v, %+v", x, y)
	}
	b.tick(5 * second)
	b.serve(b.turns[0])
	if n := b.submit("d3", by("d", 0)); b.answers[n].Status != 0 {
		t.Errorf("%+v", b.answers[n])
	}
}

// A wait that can't fit is refused at once, and one that turns out not to in time for its client to hear.
func TestAttached(t *testing.T) {
	b := newBench(t, nil)
	n := b.submit("a", func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+second, b.now+second })
	if b.answers[n].Status != StatusRefused {
		t.Errorf("%+v", b.answers[n])
	}
	b.submit("p", at(b.now+time.Hour))
	n = b.submit("b", func(j *Job) { j.Attached, j.Deadline, j.After = true, b.now+second, []string{"p"} })
	b.tick(second - lastCall)
	if b.answers[n].Status != StatusRefused {
		t.Errorf("%+v", b.answers[n])
	}
	n = b.submit("c", func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+3*second, b.now+second })
	b.tick(second)
	if b.hasTurn(n, 1); b.budgets[0] != 3*second {
		t.Errorf("budgets %v", b.budgets)
	}
}

// Those who wait for an end hear of it; the retention can't end before that. Afterwards the id is unknown.
func TestRetention(t *testing.T) {
	b := newBench(t, func(l *Limits) { l.Retention = 10 * second })
	n := b.submit("a", at(b.now+time.Minute))
	b.r.AddQuery(b.now, &Query{Number: 1000, Name: "a", Deadline: b.now + time.Hour})
	b.r.AddQuery(b.now, &Query{Number: 1001, Name: "a", Deadline: b.now + second})
	b.r.AddQuery(b.now, &Query{Number: 1002, Name: "a", Deadline: b.now + time.Hour})
	b.r.RemoveQuery(1002)
	b.tick(second)
	if a, ok := b.told[1001]; !ok || a.Info.State != Waiting {
		t.Errorf("%+v", a)
	}
	b.tick(time.Minute)
	b.serve(n)
	if a, ok := b.told[1000]; !ok || a.Info.State != Served || a.Info.Result != "result" {
		t.Errorf("%+v", a)
	}
	if _, ok := b.told[1002]; ok {
		t.Error("told to one who has gone")
	}
	b.tick(10*second - ms)
	b.want("a", Served, 200)
	b.tick(ms)
	b.want("a", 99, StatusUnknown)
	if m := b.submit("b", after("a")); b.answers[m].Status != StatusConflict {
		t.Errorf("%+v", b.answers[m])
	}
	if len(b.r.names)+len(b.r.open)+len(b.r.asks)+len(b.r.askers) != 0 || b.r.results != 0 {
		t.Errorf("left behind: %+v", b.r.Stats())
	}
}

// Bounds that are made smaller: what is held stays, nothing is taken until it fits, and of the kept the oldest go.
func TestSmallerBounds(t *testing.T) {
	b := newBench(t, nil)
	for i := range 10 {
		b.submit(fmt.Sprint("w", i), at(b.now+time.Minute))
		b.serve(func() uint64 { n := b.submit(fmt.Sprint("d", i), nil); b.tick(0); return n }())
	}
	lim := b.r.lim
	lim.MaxJobs, lim.MaxKept, lim.ClientShare = 5, 3, 1
	b.r.SetLimits(lim)
	b.tick(ms)
	if s := b.r.Stats(); s.Waiting != 10 || s.Kept != 3 || s.ForgottenEarly != 7 {
		t.Errorf("%+v", s)
	}
	b.want("d6", 99, StatusUnknown)
	b.want("d7", Served, 200)
	if n := b.submit("x", nil); b.answers[n].Status != StatusFull {
		t.Errorf("%+v", b.answers[n])
	}
	b.tick(time.Minute)
	for len(b.turns) < 20 {
		b.tick(100 * ms)
	}
	if b.r.Held() != 10 {
		t.Errorf("%d held", b.r.Held())
	}
}

// Results give way to the room that others need; their jobs stay known.
func TestResultsAreShed(t *testing.T) {
	b := newBench(t, func(l *Limits) { l.MaxBytes = 64 << 10 })
	for i := range 3 {
		n := b.submit(fmt.Sprint(i), nil)
		b.tick(0)
		b.r.JobSent(b.now, n)
		b.r.SendEnded(b.now, n, OK, make([]byte, 30<<10))
	}
	if i := b.look("0"); i.State != Served || !i.ResultShed || i.Result != "" {
		t.Errorf("%v %v", i.State, i.ResultShed)
	}
	if i := b.look("2"); i.ResultShed || len(i.Result) != 30<<10 {
		t.Errorf("%v", i.ResultShed)
	}
	if s := b.r.Stats(); s.Bytes > 64<<10 || s.ResultsShed != 1 {
		t.Errorf("%+v", s)
	}
}

// The end of the program: those on the line have their answer by then, and nothing more is promised.
func TestClose(t *testing.T) {
	b := newBench(t, nil)
	attach := func(not time.Duration) func(*Job) {
		return func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+time.Minute, b.now+not }
	}
	far, near, free := b.submit("far", attach(10*second)), b.submit("near", attach(second)), b.submit("free", at(b.now+second))
	b.r.AddQuery(b.now, &Query{Number: 1000, Name: "free", Deadline: b.now + time.Hour})
	b.r.Close(b.now, b.now+3*second)
	b.read()
	if b.answers[far].Status != StatusFull || b.told[1000].Info == nil {
		t.Errorf("%+v", b.answers)
	}
	if n := b.submit("new", nil); b.answers[n].Status != StatusFull {
		t.Errorf("%+v", b.answers[n])
	}
	b.tick(second)
	b.hasTurn(near, 1)
	b.tick(2 * second)
	if b.answers[near].Status != StatusRefused || b.answers[free].Status != 0 {
		t.Errorf("%+v", b.answers)
	}
}

// The module has forgotten what was before it: that has failed, the rest waits on.
func TestCrashed(t *testing.T) {
	b := newBench(t, nil)
	out, waits := b.submit("out", nil), b.submit("waits", at(b.now+second))
	m := b.submit("after", after("out"))
	b.tick(0)
	b.r.JobSent(b.now, out)
	b.r.ModuleCrashed(b.now)
	if b.r.Keeps(out) || !b.r.Keeps(waits) {
		t.Error("keeps the wrong one")
	}
	b.tick(second)
	b.want("out", Failed, StatusFailed)
	b.hasTurn(waits, 1)
	if b.answers[m].Status != StatusDependency {
		t.Errorf("%+v", b.answers[m])
	}
}

// The need of a backlog is the steepest line to its demand curve, within the width of a bin.
func TestNeed(t *testing.T) {
	b := newBench(t, nil)
	for i := range 600 {
		b.submit(fmt.Sprint("a", i), func(j *Job) { j.Due = time.Minute })
	}
	for i := range 50 {
		b.submit(fmt.Sprint("b", i), func(j *Job) { j.Due = 2 * second })
	}
	b.r.Actions()
	if got := b.r.need(b.now); got < 25 || got > 25*1.25 {
		t.Errorf("need %v a second, want 25 to 31", got)
	}
}

// The window grows while fresh jobs are served, halves when one is refused, and keeps its floor.
func TestWindow(t *testing.T) {
	b := newBench(t, func(l *Limits) { l.ClientShare = 1; l.DefaultDue = 10 * time.Minute; l.Share = 0.5 })
	b.r.SetReadyHosts(10)
	for i := range 2000 {
		b.submit(fmt.Sprint(i), nil)
	}
	served := 0
	b.tick(0)
	for range 4 {
		sent := served
		for ; sent < min(len(b.turns), served+40); b.tick(0) { // the fleet has so many lanes
			b.r.JobSent(b.now, b.turns[sent])
			sent++
		}
		b.tick(100 * ms)
		for ; served < sent; served++ {
			b.r.SendEnded(b.now, b.turns[served], OK, nil)
		}
	}
	grown := b.r.Stats().Window
	if grown < 40 || grown > 90 {
		t.Errorf("window %d", grown)
	}
	n := b.fresh("f")
	if b.r.JobRefused(b.now, n) {
		t.Error("a fresh job's refusal is taken back")
	}
	b.tick(100 * ms)
	if w := b.r.Stats().Window; w > grown/2+1 {
		t.Errorf("window %d after %d", w, grown)
	}
	for i := range 20 {
		b.r.JobRefused(b.now, b.fresh(fmt.Sprint("f", i)))
		b.tick(300 * ms)
	}
	// 2000 jobs in 600 s at a stay of a moment need little: one at a time, and never none.
	if w := b.r.Stats().Window; w < 1 || w > 7 {
		t.Errorf("window %d", w)
	}
}

// A dependant that has gone leaves nothing by which its predecessor's end could meet the job that has its place now.
func TestPlacesAreUsedAgain(t *testing.T) {
	b := newBench(t, func(l *Limits) { l.Retention = second })
	n := b.submit("a", at(b.now+time.Minute))
	b.submit("b", after("a"))
	b.r.AddQuery(b.now, &Query{Number: 999, Name: "b", Cancel: true})
	b.tick(second) // forgotten
	m := b.submit("c", at(b.now+time.Hour))
	if b.r.open[m] != 2 {
		t.Fatalf("c has place %d", b.r.open[m])
	}
	b.r.AddQuery(b.now, &Query{Number: 999, Name: "a", Cancel: true})
	b.tick(0)
	b.want("c", Waiting, 0)
	if b.answers[n].Status != StatusCancelled || b.answers[m].Status != 0 {
		t.Errorf("%+v", b.answers)
	}
}
