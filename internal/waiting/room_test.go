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

// harness drives a queue step by step and records its actions.
type harness struct {
	*testing.T
	queue     *Queue
	now       time.Duration
	next      uint64
	answers   map[uint64]Action
	replies   map[uint64]Action
	turns     []uint64
	budgets   []time.Duration
	withdrawn map[uint64]int // how often each was withdrawn from the decision module
}

func newHarness(t *testing.T, change func(*Limits)) *harness {
	lim := Defaults()
	if change != nil {
		change(&lim)
	}
	if err := lim.Check(); err != nil {
		t.Fatal(err)
	}
	b := &harness{T: t, now: epoch, answers: map[uint64]Action{}, replies: map[uint64]Action{}, withdrawn: map[uint64]int{},
		queue: New(lim, Fleet{Replicas: 1, MaxAttempts: 3, Classes: []Class{
			{Name: "plot-load", Deadline: 5 * second, Repeatable: true}, {Name: "harvest-sale", Deadline: 20 * second}}})}
	b.queue.SetReadyHosts(100)
	return b
}

// readActions records the actions of the queue. It fails the test if a job is answered twice.
func (b *harness) readActions() {
	b.Helper()
	for _, a := range b.queue.Actions() {
		switch n := a.Job.Number; a.Kind {
		case Answer:
			if old, twice := b.answers[n]; twice {
				b.Fatalf("job %d is answered twice: %d %s, %d %s", n, old.Status, old.Reason, a.Status, a.Reason)
			}
			b.answers[n] = a
		case Release:
			b.turns, b.budgets = append(b.turns, n), append(b.budgets, a.Budget)
		case Reply:
			b.replies[a.Query] = a
		case Withdraw:
			b.withdrawn[n]++
		}
	}
}

// tick advances the time and calls Tick as often as is due at that time.
func (b *harness) tick(d time.Duration) {
	b.Helper()
	b.now += d
	for n := 0; ; n++ {
		b.queue.Tick(b.now)
		b.readActions()
		if at, ok := b.queue.Wake(b.now); !ok || at > b.now {
			return
		}
		if n > 1_000_000 {
			b.Fatal("Tick never comes to rest")
		}
	}
}

// submit submits a job of a name, detached unless change attaches it.
func (b *harness) submit(name string, change func(*Job)) uint64 {
	b.Helper()
	b.next++
	j := Job{Number: b.next, Name: name, Client: "c", Slots: 1, Size: second, Arrived: b.now}
	if change != nil {
		change(&j)
	}
	b.queue.Submit(b.now, &j)
	b.readActions()
	return j.Number
}

func after(names ...string) func(*Job) { return func(j *Job) { j.After = names } }

func at(t time.Duration) func(*Job) { return func(j *Job) { j.NotBefore = t } }

func sale(j *Job) { j.Class = 1 }

func (b *harness) fresh(name string) uint64 {
	b.Helper()
	b.next++
	if !b.queue.AddFresh(b.now, &Job{Number: b.next, Name: name, Arrived: b.now, Deadline: b.now + second, Attached: true}) {
		b.Fatalf("fresh job %s is not passed on", name)
	}
	return b.next
}

// serve sends a job that has its turn and ends it with a result.
func (b *harness) serve(n uint64) {
	b.Helper()
	b.queue.JobSent(b.now, n)
	b.queue.SendEnded(b.now, n, OK, []byte("result"))
	b.readActions()
}

func (b *harness) info(name string) Info {
	b.Helper()
	b.next++
	b.queue.AddQuery(b.now, &Query{Number: b.next, Name: name})
	b.readActions()
	if a := b.replies[b.next]; a.Info != nil {
		return *a.Info
	}
	return Info{Status: StatusUnknown, State: 99}
}

func (b *harness) wantState(name string, s State, status int) {
	b.Helper()
	if i := b.info(name); i.State != s || i.Status != status {
		b.Errorf("%s: state %v, status %d; want %v, %d", name, i.State, i.Status, s, status)
	}
}

func (b *harness) wantTurns(n uint64, want int) {
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

// A job gets its turn when its set time has come and its predecessors have ended, and not earlier.
func TestWaitsForTimeAndPredecessors(t *testing.T) {
	for name, c := range map[string]struct{ delay, end time.Duration }{
		"time last": {3 * second, second}, "job last": {second, 3 * second}, "together": {second, second},
		"no time": {0, second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			first := b.submit("a", nil)
			n := b.submit("b", func(j *Job) { j.After, j.NotBefore = []string{"a"}, b.now+c.delay })
			b.tick(0)
			last := max(c.delay, c.end)
			for d := time.Duration(0); d < last; d += 500 * ms {
				if b.wantTurns(n, 0); d == c.end {
					b.serve(first)
				}
				b.tick(500 * ms)
			}
			if c.end == last {
				b.serve(first)
				b.tick(0)
			}
			b.wantTurns(n, 1)
			b.serve(n)
			b.wantState("b", Served, 200)
			if i := b.info("b"); i.Result != "result" || i.Attempts != 1 || i.Class != "plot-load" {
				t.Errorf("%+v", i)
			}
		})
	}
}

// A predecessor that was not served makes its dependant fail with 424, or lets it run if RunOnFailure is set.
func TestPredecessors(t *testing.T) {
	ways := map[string]func(b *harness, n uint64){
		"fails":   func(b *harness, n uint64) { b.queue.JobSent(b.now, n); b.queue.JobFailed(b.now, n) },
		"refused": func(b *harness, n uint64) { b.tick(2*30*second - ms); b.queue.JobRefused(b.now, n) },
		"cancelled": func(b *harness, n uint64) {
			b.queue.AddQuery(b.now, &Query{Number: 999, Name: "a", Cancel: true})
		},
		"too late": func(b *harness, n uint64) { b.tick(2 * 30 * second) },
		"left":     func(b *harness, n uint64) { b.queue.ClientLeft(b.now, n) },
	}
	for way, end := range ways {
		for _, run := range []bool{false, true} {
			for _, late := range []bool{false, true} { // the dependant is submitted after the end
				t.Run(fmt.Sprint(way, run, late), func(t *testing.T) {
					b := newHarness(t, func(l *Limits) { l.RunOnFailure = run })
					n := b.submit("a", sale)
					b.tick(0)
					var m uint64
					if !late {
						m = b.submit("b", after("a"))
					}
					end(b, n)
					b.readActions()
					if late {
						m = b.submit("b", after("a"))
					}
					b.tick(0)
					if run {
						b.wantTurns(m, 1)
						return
					}
					b.wantTurns(m, 0)
					b.wantState("b", Failed, StatusDependency)
					if b.answers[m].Status != StatusDependency {
						t.Errorf("answer %+v", b.answers[m])
					}
				})
			}
		}
	}
}

// A predecessor arrives, runs and ends between two Ticks, in one step with the job that waits for it.
func TestPredecessorInOneStep(t *testing.T) {
	b := newHarness(t, nil)
	n := b.fresh("a")
	m := b.submit("b", after("a"))
	b.serve(n)
	o := b.submit("c", after("a", "b"))
	b.tick(0)
	b.wantTurns(m, 1)
	b.wantTurns(o, 0)
	b.serve(m)
	b.tick(0)
	b.wantTurns(o, 1)
}

func TestChain(t *testing.T) {
	const length = 1000
	for _, good := range []bool{true, false} {
		b := newHarness(t, nil)
		jobs := []uint64{b.submit("j0", nil)}
		for i := 1; i < length; i++ {
			jobs = append(jobs, b.submit(fmt.Sprint("j", i), after(fmt.Sprint("j", i-1))))
		}
		b.tick(0)
		if !good {
			b.queue.JobFailed(b.now, jobs[0])
			b.tick(0)
			b.wantState("j999", Failed, StatusDependency)
			continue
		}
		for _, n := range jobs {
			b.wantTurns(n, 1)
			b.serve(n)
			b.tick(0)
		}
		b.wantState("j999", Served, 200)
	}
}

// Many jobs wait for one: no Tick handles more than its limit, and each job ends.
func TestFanOut(t *testing.T) {
	const width = 10_000
	b := newHarness(t, func(l *Limits) { l.ClientShare = 1; l.MaxJobs = width + 1; l.MaxKept = 2 * width })
	n := b.submit("a", nil)
	for i := range width {
		b.submit(fmt.Sprint("b", i), after("a"))
	}
	b.tick(0)
	b.queue.JobFailed(b.now, n)
	b.queue.Tick(b.now)
	if got := len(b.queue.Actions()); got > maxTickWork {
		t.Errorf("%d answers in one Tick", got)
	}
	b.tick(0)
	if s := b.queue.Stats(); s.Failed != width+1 || b.queue.Held() != 0 {
		t.Errorf("%+v", s)
	}
}

// A backlog becomes due at one time: each Tick handles a bounded part, and the turns stay within the window.
func TestBacklogAtOnce(t *testing.T) {
	const n = 100_000
	b := newHarness(t, func(l *Limits) { l.MaxJobs, l.ClientShare, l.MaxBytes = n, 1, 1<<30; l.DefaultDue = 10 * time.Minute })
	for i := range n {
		b.submit(fmt.Sprint(i), at(epoch+second))
	}
	b.now += second
	for ticks := 1; ; ticks++ {
		b.queue.Tick(b.now)
		if got := len(b.queue.Actions()); got > maxTurnsPerTick {
			t.Fatalf("%d turns in one Tick", got)
		}
		if b.queue.timers.len() == 0 {
			if want := n / maxTickWork; ticks < want || ticks > want+2 {
				t.Errorf("%d Ticks", ticks)
			}
			break
		}
	}
	b.tick(0)
	if s := b.queue.Stats(); s.Released > s.Window || s.Released == 0 || s.Ready+s.Released != n {
		t.Errorf("%+v", s)
	}
	// 20 minutes later nothing has been sent: all jobs have been answered in time.
	b.tick(20 * time.Minute)
	if s := b.queue.Stats(); s.Refused != n || b.queue.Held() != 0 {
		t.Errorf("%+v", s)
	}
}

// The clock jumps ahead: everything that became due meanwhile happens, once.
func TestClockJumps(t *testing.T) {
	b := newHarness(t, nil)
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

// An unsafe job that may have run gets no second turn and ends as failed. One that provably did not run gets one.
func TestUnsafeRunsOnce(t *testing.T) {
	for outcome, again := range map[Outcome]bool{MayHaveRun: false, Rejected: false, NeverRan: true} {
		b := newHarness(t, nil)
		n := b.submit("a", sale)
		b.tick(0)
		b.queue.JobSent(b.now, n)
		b.queue.SendEnded(b.now, n, outcome, nil)
		if got := b.queue.JobRefused(b.now, n); got != again {
			t.Errorf("outcome %d: queued again %v", outcome, got)
		}
		b.tick(3 * second)
		b.wantTurns(n, map[bool]int{true: 2, false: 1}[again])
	}
	b := newHarness(t, nil)
	n := b.submit("a", sale)
	b.tick(0)
	b.queue.JobSent(b.now, n)
	b.queue.SendEnded(b.now, n, MayHaveRun, nil)
	b.queue.JobFailed(b.now, n)
	b.tick(time.Minute)
	b.wantTurns(n, 1)
	b.wantState("a", Failed, StatusFailed)
}

// A job is queued again after each refusal while it may wait, at shrinking intervals, and each attempt counts.
func TestRefusalsAreTakenBack(t *testing.T) {
	b := newHarness(t, nil)
	n := b.submit("a", nil)
	turns, first, last := 0, time.Duration(0), time.Duration(0)
	for before := b.now; b.answers[n].Status == 0; {
		b.tick(5 * ms)
		if len(b.turns) == turns {
			continue
		}
		turns = len(b.turns)
		first, last, before = max(first, b.now-before), b.now-before, b.now
		if !b.queue.JobRefused(b.now, n) {
			break
		}
	}
	if turns < 20 || last >= first/4 {
		t.Errorf("%d turns, %v between the first, %v between the last", turns, first, last)
	}
	b.wantState("a", Refused, StatusRefused)
	if waited := b.now - epoch; waited > 2*30*second {
		t.Errorf("answered after %v", waited)
	}
	// a job that hosts reject every time uses up its attempts
	b = newHarness(t, nil)
	n = b.submit("a", nil)
	for range 4 {
		b.tick(5 * second)
		b.queue.JobSent(b.now, n)
		b.queue.SendEnded(b.now, n, NeverRan, nil)
		b.queue.JobRefused(b.now, n)
	}
	b.wantTurns(n, 3)
	b.wantState("a", Refused, StatusRefused)
}

// A cancellation that crosses the release: before a send it withdraws the job from the decision module, after it it is
// refused.
func TestCancel(t *testing.T) {
	b := newHarness(t, nil)
	cancel := func(name string) int {
		b.next++
		b.queue.AddQuery(b.now, &Query{Number: b.next, Name: name, Cancel: true})
		b.readActions()
		return b.replies[b.next].Status
	}
	b.submit("waits", at(b.now+second))
	held := b.submit("held", nil)
	out := b.submit("out", nil)
	b.tick(0)
	b.queue.JobSent(b.now, out)
	for _, c := range []struct {
		name string
		want int
	}{{"waits", 200}, {"waits", 200}, {"held", 200}, {"out", 409}, {"nobody", 404}} {
		if got := cancel(c.name); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if b.withdrawn[held] != 1 {
		t.Error("a cancelled job was not withdrawn from the decision module")
	}
	b.queue.SendEnded(b.now, out, OK, nil)
	if got := cancel("out"); got != StatusConflict {
		t.Errorf("cancellation of a served job: status %d", got)
	}
	b.tick(time.Minute)
	b.wantState("waits", Cancelled, StatusCancelled)
	b.wantTurns(held, 1)
}

func TestNames(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("a", at(b.now+second))
	for _, n := range []uint64{b.submit("a", nil), b.submit("b", after("nobody")), b.submit("c", after("c"))} {
		if b.answers[n].Status != StatusConflict {
			t.Errorf("job %d: %+v", n, b.answers[n])
		}
	}
	if b.queue.AddFresh(b.now, &Job{Number: 99, Name: "a"}) {
		t.Error("a fresh job with the id of a waiting one is passed on")
	}
	b.wantState("a", Waiting, 0)
}

// A client that leaves while its job waits cancels the job. If a send is out, its outcome still decides the state.
func TestClientGone(t *testing.T) {
	b := newHarness(t, nil)
	attach := func(j *Job) { j.Attached, j.Deadline, j.Class = true, b.now+10*second, 1 }
	waits := b.submit("waits", func(j *Job) { attach(j); j.NotBefore = b.now + second })
	held, out, maybe := b.submit("held", attach), b.submit("out", attach), b.submit("maybe", attach)
	b.tick(0)
	b.queue.JobSent(b.now, out)
	b.queue.JobSent(b.now, maybe)
	for n, pass := range map[uint64]bool{waits: false, held: true, out: true, maybe: true, 12345: true} {
		if b.queue.ClientLeft(b.now, n) != pass {
			t.Errorf("job %d: passed on %v", n, !pass)
		}
	}
	b.queue.SendEnded(b.now, out, OK, nil)
	b.queue.SendEnded(b.now, maybe, MayHaveRun, nil)
	b.wantState("waits", Cancelled, StatusCancelled)
	b.wantState("held", Cancelled, StatusCancelled)
	b.wantState("out", Served, StatusServed)
	b.wantState("maybe", Failed, StatusFailed)
	b.tick(time.Minute)
	if len(b.answers) > 0 {
		t.Errorf("%+v", b.answers)
	}
}

// Every limit has its answer, and space that comes free can be used. No two clients get the same Retry-After.
func TestFull(t *testing.T) {
	b := newHarness(t, func(l *Limits) { l.MaxJobs, l.ClientShare, l.MaxBytes = 4, 0.5, 64<<10 })
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

// An attached job whose wait cannot fit is refused at once, and one whose wait turns out too long is refused in time.
func TestAttached(t *testing.T) {
	b := newHarness(t, nil)
	n := b.submit("a", func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+second, b.now+second })
	if b.answers[n].Status != StatusRefused {
		t.Errorf("%+v", b.answers[n])
	}
	b.submit("p", at(b.now+time.Hour))
	n = b.submit("b", func(j *Job) { j.Attached, j.Deadline, j.After = true, b.now+second, []string{"p"} })
	b.tick(second - answerMargin)
	if b.answers[n].Status != StatusRefused {
		t.Errorf("%+v", b.answers[n])
	}
	n = b.submit("c", func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+3*second, b.now+second })
	b.tick(second)
	if b.wantTurns(n, 1); b.budgets[0] != 3*second {
		t.Errorf("budgets %v", b.budgets)
	}
}

// Queries that wait for the end of a job are answered then. The retention starts at the end; after it the id is
// unknown.
func TestRetention(t *testing.T) {
	b := newHarness(t, func(l *Limits) { l.Retention = 10 * second })
	n := b.submit("a", at(b.now+time.Minute))
	b.queue.AddQuery(b.now, &Query{Number: 1000, Name: "a", Deadline: b.now + time.Hour})
	b.queue.AddQuery(b.now, &Query{Number: 1001, Name: "a", Deadline: b.now + second})
	b.queue.AddQuery(b.now, &Query{Number: 1002, Name: "a", Deadline: b.now + time.Hour})
	b.queue.RemoveQuery(1002)
	b.tick(second)
	if a, ok := b.replies[1001]; !ok || a.Info.State != Waiting {
		t.Errorf("%+v", a)
	}
	b.tick(time.Minute)
	b.serve(n)
	if a, ok := b.replies[1000]; !ok || a.Info.State != Served || a.Info.Result != "result" {
		t.Errorf("%+v", a)
	}
	if _, ok := b.replies[1002]; ok {
		t.Error("a removed query was answered")
	}
	b.tick(10*second - ms)
	b.wantState("a", Served, 200)
	b.tick(ms)
	b.wantState("a", 99, StatusUnknown)
	if m := b.submit("b", after("a")); b.answers[m].Status != StatusConflict {
		t.Errorf("%+v", b.answers[m])
	}
	if len(b.queue.byName)+len(b.queue.active)+len(b.queue.queries)+len(b.queue.queriesByEntry) != 0 || b.queue.resultBytes != 0 {
		t.Errorf("not all was forgotten: %+v", b.queue.Stats())
	}
}

// When limits shrink, held jobs stay, no job is accepted until they fit, and the oldest kept jobs are forgotten.
func TestSmallerBounds(t *testing.T) {
	b := newHarness(t, nil)
	for i := range 10 {
		b.submit(fmt.Sprint("w", i), at(b.now+time.Minute))
		b.serve(func() uint64 { n := b.submit(fmt.Sprint("d", i), nil); b.tick(0); return n }())
	}
	lim := b.queue.limits
	lim.MaxJobs, lim.MaxKept, lim.ClientShare = 5, 3, 1
	b.queue.SetLimits(lim)
	b.tick(ms)
	if s := b.queue.Stats(); s.Waiting != 10 || s.Kept != 3 || s.ForgottenEarly != 7 {
		t.Errorf("%+v", s)
	}
	b.wantState("d6", 99, StatusUnknown)
	b.wantState("d7", Served, 200)
	if n := b.submit("x", nil); b.answers[n].Status != StatusFull {
		t.Errorf("%+v", b.answers[n])
	}
	b.tick(time.Minute)
	for len(b.turns) < 20 {
		b.tick(100 * ms)
	}
	if b.queue.Held() != 10 {
		t.Errorf("%d held", b.queue.Held())
	}
}

// Results are dropped when others need the space. Their jobs stay known.
func TestResultsAreShed(t *testing.T) {
	b := newHarness(t, func(l *Limits) { l.MaxBytes = 64 << 10 })
	for i := range 3 {
		n := b.submit(fmt.Sprint(i), nil)
		b.tick(0)
		b.queue.JobSent(b.now, n)
		b.queue.SendEnded(b.now, n, OK, make([]byte, 30<<10))
	}
	if i := b.info("0"); i.State != Served || !i.ResultShed || i.Result != "" {
		t.Errorf("%v %v", i.State, i.ResultShed)
	}
	if i := b.info("2"); i.ResultShed || len(i.Result) != 30<<10 {
		t.Errorf("%v", i.ResultShed)
	}
	if s := b.queue.Stats(); s.Bytes > 64<<10 || s.ResultsShed != 1 {
		t.Errorf("%+v", s)
	}
}

// On shutdown attached jobs are answered in time, and no further jobs are accepted.
func TestClose(t *testing.T) {
	b := newHarness(t, nil)
	attach := func(not time.Duration) func(*Job) {
		return func(j *Job) { j.Attached, j.Deadline, j.NotBefore = true, b.now+time.Minute, b.now+not }
	}
	far, near, free := b.submit("far", attach(10*second)), b.submit("near", attach(second)), b.submit("free", at(b.now+second))
	b.queue.AddQuery(b.now, &Query{Number: 1000, Name: "free", Deadline: b.now + time.Hour})
	b.queue.Close(b.now, b.now+3*second)
	b.readActions()
	if b.answers[far].Status != StatusFull || b.replies[1000].Info == nil {
		t.Errorf("%+v", b.answers)
	}
	if n := b.submit("new", nil); b.answers[n].Status != StatusFull {
		t.Errorf("%+v", b.answers[n])
	}
	b.tick(second)
	b.wantTurns(near, 1)
	b.tick(2 * second)
	if b.answers[near].Status != StatusRefused || b.answers[free].Status != 0 {
		t.Errorf("%+v", b.answers)
	}
}

// The decision module has lost its jobs: those that were released have failed, the others wait on.
func TestCrashed(t *testing.T) {
	b := newHarness(t, nil)
	out, waits := b.submit("out", nil), b.submit("waits", at(b.now+second))
	m := b.submit("after", after("out"))
	b.tick(0)
	b.queue.JobSent(b.now, out)
	b.queue.ModuleCrashed(b.now)
	if b.queue.Keeps(out) || !b.queue.Keeps(waits) {
		t.Error("Keeps reports the wrong job")
	}
	b.tick(second)
	b.wantState("out", Failed, StatusFailed)
	b.wantTurns(waits, 1)
	if b.answers[m].Status != StatusDependency {
		t.Errorf("%+v", b.answers[m])
	}
}

// The required rate is the slope of the steepest line to the demand curve, to within the width of a bin.
func TestRequiredRate(t *testing.T) {
	b := newHarness(t, nil)
	for i := range 600 {
		b.submit(fmt.Sprint("a", i), func(j *Job) { j.Due = time.Minute })
	}
	for i := range 50 {
		b.submit(fmt.Sprint("b", i), func(j *Job) { j.Due = 2 * second })
	}
	b.queue.Actions()
	if got := b.queue.requiredRate(b.now); got < 25 || got > 25*1.25 {
		t.Errorf("required rate %v a second, want 25 to 31", got)
	}
}

// The window grows while jobs are sent promptly, halves when a fresh job is refused, and never falls below its floor.
func TestWindow(t *testing.T) {
	b := newHarness(t, func(l *Limits) { l.ClientShare = 1; l.DefaultDue = 10 * time.Minute; l.Share = 0.5 })
	b.queue.SetReadyHosts(10)
	for i := range 2000 {
		b.submit(fmt.Sprint(i), nil)
	}
	served := 0
	b.tick(0)
	for range 4 {
		sent := served
		for ; sent < min(len(b.turns), served+40); b.tick(0) { // the fleet has 40 lanes
			b.queue.JobSent(b.now, b.turns[sent])
			sent++
		}
		b.tick(100 * ms)
		for ; served < sent; served++ {
			b.queue.SendEnded(b.now, b.turns[served], OK, nil)
		}
	}
	grown := b.queue.Stats().Window
	if grown < 40 || grown > 90 {
		t.Errorf("window %d", grown)
	}
	n := b.fresh("f")
	if b.queue.JobRefused(b.now, n) {
		t.Error("a refused fresh job is queued again")
	}
	b.tick(100 * ms)
	if w := b.queue.Stats().Window; w > grown/2+1 {
		t.Errorf("window %d after %d", w, grown)
	}
	for i := range 20 {
		b.queue.JobRefused(b.now, b.fresh(fmt.Sprint("f", i)))
		b.tick(300 * ms)
	}
	// 2000 jobs in 600 s with very short turns need little: one at a time, but never none.
	if w := b.queue.Stats().Window; w < 1 || w > 7 {
		t.Errorf("window %d", w)
	}
}

// After a dependant was forgotten, the end of its predecessor must not affect the job that reuses its entry.
func TestReusedEntryIsNotNotified(t *testing.T) {
	b := newHarness(t, func(l *Limits) { l.Retention = second })
	n := b.submit("a", at(b.now+time.Minute))
	b.submit("b", after("a"))
	b.queue.AddQuery(b.now, &Query{Number: 999, Name: "b", Cancel: true})
	b.tick(second) // b is forgotten
	m := b.submit("c", at(b.now+time.Hour))
	if b.queue.active[m] != 2 {
		t.Fatalf("c has place %d", b.queue.active[m])
	}
	b.queue.AddQuery(b.now, &Query{Number: 999, Name: "a", Cancel: true})
	b.tick(0)
	b.wantState("c", Waiting, 0)
	if b.answers[n].Status != StatusCancelled || b.answers[m].Status != 0 {
		t.Errorf("%+v", b.answers)
	}
}
