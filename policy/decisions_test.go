package policy

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// newFixture is a Dispatcher with n equal known workers of two lanes, all in its own zone and idle.
func newFixture(t *testing.T, n int, change func(*Config)) *harness {
	t.Helper()
	cfg := testConfig()
	cfg.Zones, cfg.Ordinal, cfg.Probes = 1, 0, false
	if change != nil {
		change(&cfg)
	}
	w := newHarness(t, cfg, 1)
	var all []Worker
	for i := range n {
		all = append(all, Worker{ID: uint32(10 + i), Cell: i, Scale: 2})
	}
	w.step(Event{Kind: WorkerList, Whole: true, Workers: all})
	w.d.meanRun, w.d.meanWorth = float64(100*ms), 1
	w.d.trustHints()
	for _, x := range w.d.ready {
		x.lanes, x.runs = 2, 50
	}
	return w
}

// trustHints takes hints for sizes, as a scheduler does that has measured no difference.
func (d *Dispatcher) trustHints() {
	for i := range d.estimators {
		d.estimators[i].covariance = d.estimators[i].variance
	}
}

// A hint is rough: before anything is measured a job with a large one is not hopeless.
func TestHintsBeforeAnyRun(t *testing.T) {
	d, err := New(testConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ hint, size float64 }{{1, 1}, {100, 31.6}} {
		f := &d.estimators[0]
		f.observeHint(math.Log(c.hint))
		if got := f.size(c.hint); math.Abs(got/c.size-1) > 0.01 {
			t.Errorf("hint %v: size %v, want about %v", c.hint, got, c.size)
		}
	}
}

func (w *harness) arrive(class int, size, budget time.Duration) (uint64, []Action) {
	w.next++
	w.jobs[w.next] = &pendingJob{class: class, deadline: w.now + budget}
	return w.next, w.step(Event{Kind: JobArrived, Job: w.next, Class: class, Tenant: -1, Budget: budget, Size: size, Slots: 1})
}

func (w *harness) end(id uint64, n int, r Result) []Action {
	o := w.jobs[id].attempts[n]
	o.inFlight, o.mayHaveRun = false, r != Full && r != ConnectFailed && r != NeverSent
	w.jobs[id].done = w.jobs[id].done || r == OK
	return w.step(Event{Kind: AttemptEnded, Job: id, Attempt: n, Worker: o.worker.ID, Result: r,
		Finished: w.jobs[id].done, Took: w.now - o.at})
}

func actionKinds(acts []Action) (ks []ActionKind) {
	for _, a := range acts {
		if a.Kind != Timer && a.Kind != Log {
			ks = append(ks, a.Kind)
		}
	}
	return ks
}

func wantKinds(t *testing.T, what string, acts []Action, ks ...ActionKind) {
	t.Helper()
	if got := actionKinds(acts); !slices.Equal(got, ks) {
		t.Fatalf("%s: got %v, want %v in %+v", what, got, ks, acts)
	}
}

// One worker, two lanes at speed 1, class a: on time 200 ms + 2 x size.
func TestAdmissionOrder(t *testing.T) {
	w := newFixture(t, 1, nil)
	_, acts := w.arrive(0, 300*ms, 3*time.Second) // lane 1 until 300, due 800
	wantKinds(t, "first lane", acts, Send)
	_, acts = w.arrive(0, 300*ms, 3*time.Second) // lane 2 until 300
	wantKinds(t, "second lane", acts, Send)
	w.step(Event{Kind: JobStarted, Job: 1, Worker: 10}, Event{Kind: JobStarted, Job: 2, Worker: 10})
	_, acts = w.arrive(0, 300*ms, 3*time.Second) // starts at 300, ends at 600, due 800: held
	wantKinds(t, "held", acts)
	_, acts = w.arrive(0, 120*ms, 3*time.Second) // due 440, ends at 420 on the other lane: held, and goes first
	wantKinds(t, "held before the other", acts)
	_, acts = w.arrive(0, 60*ms, 3*time.Second) // due 320: cannot end before 360
	wantKinds(t, "late itself", acts, Refuse)
	_, acts = w.arrive(0, 118*ms, 3*time.Second) // due 436: 418 on one lane, 420 on the other, then 718: held
	wantKinds(t, "held ahead of both", acts)
	_, acts = w.arrive(0, 115*ms, 3*time.Second) // due 430: it would push the one due 440 to 535
	wantKinds(t, "breaks an accepted one", acts, Refuse)
	w.now += 299 * ms
	acts = w.end(1, 0, OK)
	wantKinds(t, "release", acts, Send)
	if acts[0].Job != 6 {
		t.Fatalf("job %d left first, job 6 has the earliest deadline", acts[0].Job)
	}
}

// admittedEnd tells when a job would end on the first worker: never if it would break a deadline.
func admittedEnd(d *Dispatcher, j *job) time.Duration {
	if end, ok := d.admit(j, d.ready[0]); ok {
		return end
	}
	return never
}

func TestAdmissionSlots(t *testing.T) {
	w := newFixture(t, 1, nil)
	j := &job{size: float64(100 * ms), due: w.now + time.Second, slots: 3}
	w.d.slotsKnown = true
	if w.d.now = w.now; admittedEnd(w.d, j) != never {
		t.Fatal("three slots on two lanes")
	}
	if j.slots = 2; admittedEnd(w.d, j) != w.now+100*ms {
		t.Fatal("two slots do not fit on two idle lanes")
	}
	w.arrive(0, 300*ms, 3*time.Second)
	if got := admittedEnd(w.d, j); (got - w.now - 400*ms).Abs() > time.Microsecond { // sizes go through logarithms
		t.Fatal("two slots have to wait until both lanes are free")
	}
}

// A newcomer with an earlier deadline must not break what was accepted.
func TestAdmissionProtectsAcceptedJobs(t *testing.T) {
	w := newFixture(t, 1, nil)
	x := w.d.ready[0]
	x.lanes, w.d.now = 1, w.now
	x.held = []*job{{size: float64(400 * ms), due: w.now + 500*ms, slots: 1}}
	j := &job{size: float64(150 * ms), due: w.now + 300*ms, slots: 1}
	if admittedEnd(w.d, j) != never {
		t.Fatal("150 + 400 ms admitted before a deadline at 500 ms")
	}
	if j.size = float64(90 * ms); admittedEnd(w.d, j) == never {
		t.Fatal("90 + 400 ms refused before a deadline at 500 ms")
	}
}

// The bound of the size map lies where half of the work is on each side, whatever the number of schedulers: with
// more schedulers than workers one range was left, and with it no classification.
func TestSizeMap(t *testing.T) {
	for _, replicas := range []int{1, 3, 400} {
		w := newFixture(t, 12, func(c *Config) { c.Replicas = replicas })
		for i := range 3000 { // sizes 10 to 100 ms, once each: half of the work is over 71 ms
			w.d.moveBound(float64((10 + time.Duration(i*37%91)) * ms))
		}
		if w.d.ranges != 2 || w.d.sizeBound < float64(60*ms) || w.d.sizeBound > float64(82*ms) {
			t.Fatalf("%d ranges, cut at %v, want 2 and about 71 ms", w.d.ranges, time.Duration(w.d.sizeBound))
		}
		small, _ := w.arrive(0, 30*ms, 3*time.Second)
		large, _ := w.arrive(0, 300*ms, 3*time.Second)
		if small, large := w.d.jobs[small], w.d.jobs[large]; small.firstList != 0 || large.firstList != 2 {
			t.Fatalf("30 ms in list %d, 300 ms in list %d", small.firstList, large.firstList)
		}
	}
}

// Hundreds of schedulers in one common order filled the same workers first.
func TestSchedulersSpread(t *testing.T) {
	first := map[uint32]int{}
	for i := range 400 {
		w := newFixture(t, 40, func(c *Config) { c.Ordinal, c.Replicas = i, 400 })
		first[w.d.candidates[0][0].ID]++
	}
	for id := uint32(10); id < 30; id++ {
		if n := first[id]; n < 8 || n > 32 {
			t.Fatalf("%d of 400 schedulers try worker %d first; a fair part of a range's twenty is 20", n, id)
		}
	}
}

// A backlog of peers that never quite ran out kept held jobs from leaving.
func TestPeerBacklogExpires(t *testing.T) {
	w := newFixture(t, 1, nil)
	x := w.d.ready[0]
	x.wait, x.waitAt = float64(100*ms), w.now
	_, acts := w.arrive(0, 300*ms, 3*time.Second)
	wantKinds(t, "behind peers", acts)
	w.now += 101 * ms
	wantKinds(t, "their backlog is over", w.step(), Send)
}

// A run that starts and ends within one tick has no logarithm.
func TestRunWithinATick(t *testing.T) {
	w := newFixture(t, 1, nil)
	id, _ := w.arrive(0, 5*ms, time.Second)
	w.step(Event{Kind: JobStarted, Job: id, Worker: 10})
	w.end(id, 0, OK)
	if s := w.d.estimators[0].size(1e7); math.IsNaN(s) || math.IsInf(s, 0) || math.IsNaN(w.d.ready[0].speed) {
		t.Fatalf("size %v, speed %v", s, w.d.ready[0].speed)
	}
}

// Small rough hints are too small more often than not; large ones too large.
func TestSizeEstimatorSlope(t *testing.T) {
	f := initialEstimator
	for i := range 600 {
		hint := math.Log(1e7) + float64(i%7)
		f.observeHint(hint)
		f.observeRun(hint, math.Log(1e7)+3+0.5*(hint-math.Log(1e7)-3))
	}
	if small := f.size(1e7) / 1e7; small < 3 {
		t.Fatalf("a small hint is raised %.2f times, want about 4.5", small)
	}
	if large := f.size(1e7*math.Exp(6)) / (1e7 * math.Exp(6)); large > 0.34 {
		t.Fatalf("a large hint is cut to %.2f, want about 0.22", large)
	}
}

// Clean finishes must not step lanes past the slots that a worker reports, nor past its listed size.
func TestLanesStayWithinReportedSlots(t *testing.T) {
	for _, told := range []bool{true, false} {
		w := newFixture(t, 1, nil)
		for range 30 { // as many jobs at once as the model has lanes, all started at once and clean
			var ids []uint64
			for range w.d.ready[0].lanes {
				id, _ := w.arrive(0, 20*ms, 3*time.Second)
				ids = append(ids, id)
			}
			w.now += 2 * ms
			for _, id := range ids {
				w.step(Event{Kind: JobStarted, Job: id, Worker: 10})
			}
			w.now += 20 * ms
			for _, id := range ids {
				w.jobs[id].attempts[0].inFlight, w.jobs[id].done = false, true
				w.step(Event{Kind: AttemptEnded, Job: id, Worker: 10, Finished: true, HasLoad: told,
					Load: Load{FreeSlots: 0, Queue: -1}})
			}
		}
		if l := w.d.ready[0].lanes; l > 2 {
			t.Fatalf("told %v: %d lanes on a worker of two", told, l)
		}
	}
}

// Probes of one worker keep a quarter of a run apart, whatever the arrivals.
func TestProbesAreRateLimited(t *testing.T) {
	w := newFixture(t, 2, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	n := 0
	for range 20 {
		_, acts := w.arrive(0, 20*ms, 3*time.Second)
		for _, a := range acts {
			if a.Kind == Probe {
				n++
			}
		}
	}
	if n != 2 {
		t.Fatalf("%d probes of two workers at one instant", n)
	}
}

// A worker that stays silent past its prediction is shut, its jobs move, and a sign of life opens it.
func TestSilentWorkerBecomesSuspect(t *testing.T) {
	w := newFixture(t, 2, nil)
	w.now += ms
	id, acts := w.arrive(0, 500*ms, 3*time.Second)
	wantKinds(t, "sent", acts, Send)
	first := acts[0].Worker
	w.now += 310 * ms
	wantKinds(t, "shut", w.step())
	acts = w.end(id, 0, ConnectionLost)
	wantKinds(t, "elsewhere", acts, Send)
	if acts[0].Worker == first {
		t.Fatal("sent again to the silent worker")
	}
	w.step(Event{Kind: JobStarted, Job: id, Attempt: 1, Worker: acts[0].Worker})
	if !w.d.workers[first].suspect {
		t.Fatal("the silent worker is open")
	}
}

// A worker that fails jobs at once looks idle: it gets no unsafe job, and no start but only jobs that end well open it.
func TestFailingWorkerBecomesSuspect(t *testing.T) {
	w := newFixture(t, 1, nil)
	x := w.d.ready[0]
	id, _ := w.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "unsafe, failed", w.end(id, 0, AppError), Fail)
	_, acts := w.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "another unsafe", acts, Refuse)
	for n := range 2 {
		w.now += 2*time.Second + ms
		if !x.suspect {
			t.Fatalf("open after %d jobs", n)
		}
		id, acts = w.arrive(0, 50*ms, 3*time.Second)
		wantKinds(t, "one that may be lost", acts, Send)
		w.step(Event{Kind: JobStarted, Job: id, Worker: x.ID})
		if !x.suspect {
			t.Fatal("opened by a start")
		}
		w.end(id, 0, OK)
	}
	_, acts = w.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "unsafe again", acts, Send)
}

// What a worker will not take is the job's fault: it is answered at once, and the worker stays open.
func TestRejectedJob(t *testing.T) {
	w := newFixture(t, 2, nil)
	for class, answer := range map[int]ActionKind{0: Refuse, 3: Fail} {
		id, _ := w.arrive(class, 50*ms, 3*time.Second)
		wantKinds(t, "rejected", w.end(id, 0, Rejected), answer)
	}
	if w.d.ready[0].suspect || w.d.ready[1].suspect {
		t.Fatal("a worker is shut")
	}
}

// A probe that finds no answer shuts its worker: probes do not wait behind jobs.
func TestUnansweredProbeMakesWorkerSuspect(t *testing.T) {
	for result, shut := range map[Result]bool{TimedOut: true, ConnectFailed: true, ConnectionLost: false, Full: false} {
		w := newFixture(t, 1, nil)
		if w.step(Event{Kind: ProbeEnded, Worker: 10, Result: result}); w.d.ready[0].suspect != shut {
			t.Errorf("result %d: suspect %v", result, !shut)
		}
	}
}

// A job that may run twice leaves a worker on which it does not start, or on which it stops to progress, while another
// would still end it in time; one that may not run twice stays, and so does one that has no other place.
func TestStuckJobMoves(t *testing.T) {
	for name, c := range map[string]struct {
		workers, class int
		began, moves   bool
	}{"no start": {2, 0, false, true}, "no progress": {2, 0, true, true}, "unsafe": {2, 3, false, false},
		"no other": {1, 0, false, false}} {
		w := newFixture(t, c.workers, func(c *Config) { c.Progress = 50 * ms })
		id, acts := w.arrive(c.class, 100*ms, 3*time.Second)
		first := acts[0].Worker
		if c.began {
			w.step(Event{Kind: JobStarted, Job: id, Worker: first})
		}
		w.now += 110 * ms
		wantKinds(t, name+", early", w.step())
		w.now += 50 * ms // over half of the 300 ms to spare, and over 2.5 times what lies between two words of progress
		if !c.moves {
			wantKinds(t, name, w.step())
			continue
		}
		wantKinds(t, name, w.step(), Cancel)
		acts = w.end(id, 0, Cancelled)
		wantKinds(t, name+", elsewhere", acts, Send)
		if acts[0].Worker == first {
			t.Errorf("%s: sent to the same worker again", name)
		}
	}
}

// A client with little patience is no later try of one with much: its job is admitted, and due when it leaves.
func TestShortBudgetIsNoRetry(t *testing.T) {
	w := newFixture(t, 1, nil)
	for _, c := range []struct{ budget, due time.Duration }{
		{8 * time.Second, 400 * ms},        // on time
		{7900 * ms, 300 * ms},              // a later try: 100 ms of it are over
		{500 * ms, 400 * ms},               // can't be one
		{150 * ms, 150 * ms},               // nor this: gone before the job would be late
		{8*time.Second - 2*time.Second, 0}, // a try after an advised wait: worth nothing any more
	} {
		id, acts := w.arrive(0, 100*ms, c.budget)
		if c.due == 0 {
			wantKinds(t, "late", acts, Refuse)
			continue
		}
		if got := w.d.jobs[id].due - w.now; got != c.due {
			t.Errorf("budget %v: due after %v, want %v", c.budget, got, c.due)
		}
		w.end(id, 0, OK)
	}
}

func TestRuleUnsafe(t *testing.T) {
	w := newFixture(t, 3, nil)
	id, _ := w.arrive(3, 100*ms, 2*time.Second)
	wantKinds(t, "may have run", w.end(id, 0, ConnectionLost), Fail)
	id, _ = w.arrive(3, 100*ms, 2*time.Second)
	wantKinds(t, "proved not to have run", w.end(id, 0, Full), Send)
}

func TestRuleKeyedCell(t *testing.T) {
	w := newFixture(t, 2, nil) // every worker a cell of its own
	id, acts := w.arrive(1, 100*ms, 2*time.Second)
	wantKinds(t, "sent", acts, Send)
	for _, a := range w.end(id, 0, ConnectionLost) { // its cell is suspect now, the other forbidden, refusal too
		if a.Kind == Refuse || a.Kind == Send && a.Worker != acts[0].Worker {
			t.Fatalf("%+v", a)
		}
	}
}

func TestRuleDrain(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Draining}}})
	_, acts := w.arrive(0, 100*ms, 2*time.Second)
	wantKinds(t, "nowhere to go", acts, Refuse)
}

// What is held for a worker that drains must not wait for it for ever.
func TestJobHeldForDrainingWorkerIsAnswered(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.d.ready[0].lanes = 1
	w.arrive(0, 300*ms, 3*time.Second)
	_, acts := w.arrive(0, 300*ms, 3*time.Second)
	wantKinds(t, "held", acts)
	wantKinds(t, "told", w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Draining}}}), Refuse)
}

func TestRuleKeyWindow(t *testing.T) {
	w := newFixture(t, 3, func(c *Config) { c.Classes[2].KeyTTL = 50 * ms })
	id, _ := w.arrive(2, 100*ms, 3*time.Second)
	w.now += 40 * ms
	wantKinds(t, "within the window", w.end(id, 0, AppError), Send)
	id, _ = w.arrive(2, 100*ms, 3*time.Second)
	w.now += 60 * ms
	wantKinds(t, "after the window, group all", w.end(id, 0, AppError), Refuse)
}

func TestRuleAttempts(t *testing.T) {
	w := newFixture(t, 3, func(c *Config) { c.MaxAttempts = 1 })
	id, _ := w.arrive(0, 100*ms, 3*time.Second)
	j := w.d.jobs[id]
	if w.d.cfg.MaxAttempts = 2; w.d.allowed(j, w.d.ready[1]) {
		t.Fatal("two attempts in flight")
	}
	w.d.cfg.MaxAttempts = 1
	wantKinds(t, "no attempt left", w.end(id, 0, Full), Refuse)
}

// No window of the stated length may hold more for a cold worker than this scheduler's part.
func TestRuleColdBudget(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Since: w.now}}})
	var sent []time.Duration
	for range 400 {
		w.now += 10 * ms
		w.arrive(0, 60*ms, 3*time.Second)
		for _, id := range sortedKeys(w.jobs) { // all that was sent is turned away, and counts all the same
			for n, o := range w.jobs[id].attempts {
				if o.inFlight {
					sent = append(sent, o.at)
					w.end(id, n, Full)
				}
			}
		}
	}
	if len(sent) < 10 {
		t.Fatalf("only %d sends to the cold worker", len(sent))
	}
	c := w.cfg
	for i, from := range sent {
		sum := 0.0
		for _, at := range sent[i:] {
			if at <= from+c.OverloadFor {
				sum += float64(60 * ms)
			}
		}
		warm := 0.3 + 0.7*float64(from-sent[0])/float64(c.WarmUp) // two lanes at speed one
		if sum > c.TipMultiple*warm*2*float64(c.OverloadFor)/float64(c.Replicas) {
			t.Fatalf("%v of work within a window from %v", time.Duration(sum), from)
		}
	}
}

// Where workers do not tell, an attempt counts as running from its send: its lane must not seem to be
// taken for a whole run more at every look.
func TestLaneFreesWithoutNotices(t *testing.T) {
	w := newFixture(t, 1, func(c *Config) { c.TellsStart = false })
	x := w.d.ready[0]
	x.lanes = 1
	w.arrive(0, 300*ms, 3*time.Second)
	w.d.now = w.now + 200*ms
	if left := w.d.laneFreeTimes(x)[0] - w.d.now; (left - 100*ms).Abs() > time.Microsecond {
		t.Fatalf("200 ms into a run of 300 the lane frees in %v", left)
	}
}

// A job of several slots must be tried where nothing is known yet of a worker's lanes.
func TestSlotsOnUnknownLanes(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.d.ready[0].lanes = 1
	w.next++
	w.jobs[w.next] = &pendingJob{deadline: w.now + 3*time.Second}
	wantKinds(t, "two slots", w.step(Event{Kind: JobArrived, Job: w.next, Tenant: -1, Budget: 3 * time.Second,
		Size: 100 * ms, Slots: 2}), Send)
	w.step(Event{Kind: JobStarted, Job: w.next, Worker: 10})
	if got := w.d.ready[0].lanes; got != 2 {
		t.Fatalf("a two-slot job that runs shows %d lanes", got)
	}
}

// A flood of small jobs with much time left must not make the admission test slow: it is linear in what
// is held, and so quadratic in the flood.
func TestHeldJobsAreBounded(t *testing.T) {
	w := newFixture(t, 1, nil)
	for range 100 {
		w.arrive(0, ms, 3*time.Second)
	}
	if n := len(w.d.ready[0].held); n > 16 {
		t.Fatalf("%d jobs held for two lanes", n)
	}
}

// An absurd number of slots once grew the lanes with it, and a reply took minutes.
func TestExcessiveSlots(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.next++
	w.jobs[w.next] = &pendingJob{deadline: w.now + 3*time.Second}
	wantKinds(t, "absurd", w.step(Event{Kind: JobArrived, Job: w.next, Tenant: -1, Budget: 3 * time.Second,
		Size: 100 * ms, Slots: 1 << 30}), Refuse)
}

// A scheduler of less than two jobs a second that spread them over many workers knew none of them.
func TestSearchLimitFollowsArrivalRate(t *testing.T) {
	for _, c := range []struct {
		gap      time.Duration
		replicas int
		want     int
	}{{2 * time.Second, 400, 1}, {100 * ms, 400, 2}, {30 * ms, 2, 26}} {
		w := newFixture(t, 40, func(cfg *Config) { cfg.Replicas = c.replicas })
		for range 200 {
			w.now += c.gap
			w.arrive(0, ms, 3*time.Second)
		}
		if got := w.d.searchLimit(); got != c.want {
			t.Fatalf("a job in %v, %d schedulers: %d workers a list, want %d", c.gap, c.replicas, got, c.want)
		}
	}
}

// Jobs that come seldom keep a scheduler to few workers, but are not refused while another worker could end
// them in time: on a quiet day one busy worker would turn most of them away.
func TestInfrequentJobsAreNotRefused(t *testing.T) {
	w := newFixture(t, 4, nil)
	for range 30 {
		w.now += 2 * time.Second
		id, acts := w.arrive(0, 10*ms, 3*time.Second)
		wantKinds(t, "seldom", acts, Send)
		w.now += 10 * ms
		w.end(id, 0, OK)
	}
	if w.d.searchLimit() != 1 {
		t.Fatalf("%d tries, want one: jobs are seldom", w.d.searchLimit())
	}
	for i := range 20 { // one worker of two lanes ends 8 of them in time
		_, acts := w.arrive(0, 100*ms, 3*time.Second)
		if slices.Contains(actionKinds(acts), Refuse) || i < 8 && !slices.Contains(actionKinds(acts), Send) {
			t.Fatalf("job %d: %+v, and eight lanes were idle", i, acts)
		}
	}
}

// Where lanes of its own look free but starts are late, the load is made by others: the job that cannot wait so long
// is refused, the one that can is sent.
func TestOverloadByPeers(t *testing.T) {
	w := newFixture(t, 2, nil)
	w.d.now = w.now
	for _, x := range w.d.ready {
		for range 40 {
			w.d.observeDelay(x, float64(900*ms))
		}
	}
	_, acts := w.arrive(0, 100*ms, 3*time.Second) // due in 400 ms
	wantKinds(t, "too late by the delay of peers", acts, Refuse)
	_, acts = w.arrive(0, 900*ms, 3*time.Second) // due in 2 s
	wantKinds(t, "can wait", acts, Send)
}

// Delays were learned from start notices alone, which under a flood come last of all.
func TestDelayCountsBeforeStart(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.arrive(0, 100*ms, 3*time.Second)
	w.now += 200 * ms
	w.step()
	if lag := w.d.delay(w.d.ready[0]); lag < float64(100*ms) {
		t.Fatalf("after 200 ms without a start a delay of %v is expected", time.Duration(lag))
	}
}

// Of idle workers that would all end a job in time the one that ends it first is taken: a long run is lost more often.
func TestFasterWorkerIsTaken(t *testing.T) {
	for fast := range 2 {
		w := newFixture(t, 2, nil)
		for i, x := range w.d.ready {
			if x.speed = 0.8; i == fast {
				x.speed = 1.2
			}
		}
		_, acts := w.arrive(0, 10*time.Second, 60*time.Second)
		if wantKinds(t, "sent", acts, Send); acts[0].Worker != w.d.ready[fast].ID {
			t.Errorf("worker %d is fast, sent to %d", w.d.ready[fast].ID, acts[0].Worker)
		}
	}
}

// A worker of which nothing new is known is asked before it is sent to, also by a job that was held for it: what looks
// like an idle lane may have a queue behind it by now.
func TestStaleReportIsRefreshed(t *testing.T) {
	w := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	x := w.d.ready[0]
	idle := Event{Kind: ProbeEnded, Worker: x.ID, HasLoad: true, Load: Load{FreeSlots: 1, Queue: 0}}
	x.lanes = 1
	first, acts := w.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "asked", acts, Probe)
	wantKinds(t, "told", w.step(idle), Send)
	_, acts = w.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "held", acts)
	w.step(Event{Kind: JobStarted, Job: first, Worker: x.ID})
	w.now += 100 * ms
	wantKinds(t, "its turn", w.end(first, 0, OK), Probe)
	wantKinds(t, "told again", w.step(idle), Send)
}

// A job waits for the probes of its workers, but not for one that does not come.
func TestJobWaitsForProbes(t *testing.T) {
	w := newFixture(t, 2, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	_, acts := w.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "probed", acts, Probe, Probe)
	busy, free := acts[0].Worker, acts[1].Worker
	told := func(id uint32, slots, queue float64) Event {
		return Event{Kind: ProbeEnded, Worker: id, HasLoad: true, Load: Load{FreeSlots: slots, Queue: queue}}
	}
	wantKinds(t, "one of two", w.step(told(busy, 0, 3)))
	if acts = w.step(told(free, 2, 0)); len(acts) == 0 || acts[0].Kind != Send || acts[0].Worker != free {
		t.Fatalf("the idle worker is %d: %+v", free, acts)
	}
	w.end(1, 0, OK)
	w.now += time.Second
	_, acts = w.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "probed again", acts, Probe, Probe)
	w.step(told(free, 2, 0))
	w.now += 20 * ms
	acts = w.step()
	if len(acts) == 0 || acts[0].Kind != Send || acts[0].Worker != free {
		t.Fatalf("%d has told, %d has not: %+v", free, busy, acts)
	}
}

// Nothing is sent to a worker of which nothing is known: where none answers, or all are busy beyond the job's time, it is
// refused, and a job that has not started leaves for another worker only when that one has told of a lane.
func TestNoSendWithoutReport(t *testing.T) {
	probing := func(c *Config) { c.Probes, c.ReportInProbes = true, true }
	for name, result := range map[string]Result{"silent": TimedOut, "turned away": Full} {
		w := newFixture(t, 6, probing)
		_, acts := w.arrive(3, 100*ms, 2*time.Second)
		refused := false
		for n := 0; n < 200 && !refused; n++ {
			var ended []Event
			for _, a := range acts {
				if refused = refused || a.Kind == Refuse; a.Kind == Send {
					t.Fatalf("%s: %+v in round %d", name, a, n)
				} else if a.Kind == Probe {
					ended = append(ended, Event{Kind: ProbeEnded, Worker: a.Worker, Result: result})
				}
			}
			w.now += 5 * ms
			acts = w.step(ended...)
		}
		if !refused {
			t.Errorf("%s: not refused", name)
		}
	}
	w := newFixture(t, 3, probing)
	w.d.meanRun = float64(500 * ms)
	idle := func(id uint32) Event {
		return Event{Kind: ProbeEnded, Worker: id, HasLoad: true, Load: Load{FreeSlots: 2}}
	}
	id, acts := w.arrive(0, 100*ms, 3*time.Second)
	acts = w.step(idle(acts[0].Worker), idle(acts[1].Worker))
	wantKinds(t, "sent", acts, Send)
	w.now += 160 * ms // half of its slack without a start
	acts = w.step()
	wantKinds(t, "another is asked first", acts, Probe)
	wantKinds(t, "and then taken", w.step(idle(acts[0].Worker)))
	w.now += 100 * ms
	wantKinds(t, "moved", w.step(), Cancel)
	if acts = w.end(id, 0, Cancelled); len(acts) == 0 || acts[0].Kind != Send {
		t.Errorf("moved to where a lane was told: %+v", acts)
	}
}

// Settings that make no sense are refused, and the error names the field.
func TestSettingsRefused(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"Ordinal":   func(c *Config) { c.Ordinal = 3 },
		"Replicas":  func(c *Config) { c.Replicas = -1 },
		"Zones":     func(c *Config) { c.Zones = -1 },
		"Questions": func(c *Config) { c.Questions = math.NaN() },
	} {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Fatalf("%s out of range: %v", field, err)
		}
	}
}

// Odd but legal lists: empty, of thousands, with zones and kinds that the settings do not name, shrunk to one.
func TestUnusualWorkerLists(t *testing.T) {
	w := newFixture(t, 0, func(c *Config) { c.Replicas, c.Ordinal = 500, 499 })
	_, acts := w.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "nobody there", acts, Refuse)
	var all []Worker
	for i := range 5000 {
		all = append(all, Worker{ID: uint32(i * 7), Zone: i%9 - 1, Kind: i%5 - 1})
	}
	w.step(Event{Kind: WorkerList, Whole: true, Workers: all})
	_, acts = w.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "thousands", acts, Send)
	w.step(Event{Kind: WorkerList, Whole: true, Workers: all[4321:4322]})
	w.now += time.Second
	_, acts = w.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "one", acts, Send)
	if acts[0].Worker != all[4321].ID {
		t.Fatalf("sent to %d, gone from the list", acts[0].Worker)
	}
}

// After a restart of hundreds of schedulers all asked the list service in the same instant, and most calls failed.
func TestFirstListRequestIsSpread(t *testing.T) {
	seconds := map[time.Duration]int{}
	for i := range 400 {
		cfg := testConfig()
		cfg.Ask, cfg.Replicas, cfg.Ordinal = true, 400, i
		d, err := New(cfg, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		in := []Event{{Kind: WorkerList, Whole: true, Stale: true, Workers: []Worker{{ID: 1}}}}
		for now := time.Hour; ; now += 10 * ms {
			if slices.ContainsFunc(d.Step(now, in, nil), func(a Action) bool { return a.Kind == Watch }) {
				seconds[(now-time.Hour)/(250*ms)]++
				break
			}
			if in = nil; now > time.Hour+4*time.Second {
				t.Fatal("never asked")
			}
		}
	}
	for at, n := range seconds {
		if n > 90 {
			t.Fatalf("%d of 400 ask within a quarter of a second, the %dth", n, at)
		}
	}
}

// A worker that comes back under an old id starts anew: open again, and cold.
func TestWorkerReturnsWithSameID(t *testing.T) {
	w := newFixture(t, 1, nil)
	id, _ := w.arrive(0, 100*ms, 3*time.Second)
	w.end(id, 0, ConnectionLost)
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Gone}}})
	_, acts := w.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "gone", acts, Refuse)
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: w.now}}})
	_, acts = w.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "back", acts, Send)
	_, acts = w.arrive(0, 900*ms, 3*time.Second)
	wantKinds(t, "cold: 900 ms of work take three times as long", acts, Refuse)
}

// What was sent to a worker while it was warm must not stand against its budget when it restarts under its id.
func TestWarmSendsDoNotUseColdBudget(t *testing.T) {
	w := newFixture(t, 1, nil)
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: w.now}}})
	w.arrive(0, 900*ms, 3*time.Second) // looked at while cold, and refused
	w.now += w.cfg.WarmUp + time.Second
	for range 300 {
		id, acts := w.arrive(0, 90*ms, 3*time.Second)
		wantKinds(t, "warm", acts, Send)
		w.step(Event{Kind: JobStarted, Job: id, Worker: 10})
		w.now += 90 * ms
		w.end(id, 0, OK)
		w.now += 10 * ms
	}
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: w.now}}})
	_, acts := w.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "restarted once more", acts, Send)
}

// A worker that answers again after silence may have been started anew, though the list does not tell yet: it counts as
// cold until then. One that was never silent does not.
func TestWorkerBackFromSilenceIsCold(t *testing.T) {
	for result, cold := range map[Result]bool{TimedOut: true, OK: false} {
		w := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
		x, told := w.d.ready[0], Event{Kind: ProbeEnded, Worker: 10, HasLoad: true, Load: Load{FreeSlots: 2}}
		w.step(told)
		w.now += 3 * time.Second
		w.step(Event{Kind: ProbeEnded, Worker: 10, Result: result})
		w.step(told)
		if got := w.d.speedAt(x, w.now) < x.speed; got != cold {
			t.Errorf("result %d: cold %v", result, got)
		}
		w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2}}}) // it was there all the time
		if w.d.speedAt(x, w.now) < x.speed {
			t.Errorf("result %d: the list tells that it was never restarted", result)
		}
	}
}

// What was not asked while most of its zone was silent may have been silent too: at its first word it counts as cold. A
// single silent worker says nothing of its zone. (30 dispatchers sent 3 s of work each to hosts up for 0.2 s.)
func TestWorkersOfSilentZoneAreCold(t *testing.T) {
	for silent, cold := range map[int]bool{1: false, 5: true} {
		w := newFixture(t, 8, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
		told := Event{Kind: ProbeEnded, Worker: 17, HasLoad: true, Load: Load{FreeSlots: 2}}
		w.step(told)
		w.now += 3 * time.Second
		for i := range silent {
			w.step(Event{Kind: ProbeEnded, Worker: uint32(10 + i), Result: TimedOut})
		}
		w.now += time.Second
		w.step(told)
		x := w.d.workers[17]
		if got := w.d.speedAt(x, w.now) < x.speed; got != cold {
			t.Errorf("%d silent: cold %v", silent, got)
		}
	}
}

// A worker that is no longer very cold takes from all schedulers, but from each only jobs of which several may meet:
// three of 2.5 s by the hint of three schedulers were 8.7 s in 2 s. One whose attempt ended as a cold worker went down
// goes to no cold one again: a job of 6 s with a hint of 0.3 s pushed over six in turn.
func TestLargeJobsOnColdWorkers(t *testing.T) {
	w := newFixture(t, 60, func(c *Config) { c.Replicas, c.Ordinal, c.Probes, c.ReportInProbes = 60, 30, true, true })
	w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: w.now - w.cfg.WarmUp/2},
		{ID: 11, Scale: 2, Since: w.now - w.cfg.WarmUp/2}}})
	free := Load{FreeSlots: 2}
	w.step(Event{Kind: ProbeEnded, Worker: 10, HasLoad: true, Load: free}, Event{Kind: ProbeEnded, Worker: 11, HasLoad: true, Load: free})
	x, y := w.d.workers[10], w.d.workers[11]
	w.d.meanGap, w.d.now = 5e8, w.now+ms
	if w.d.owns(x, owners) || w.d.owns(y, owners) {
		t.Fatal("a keeper")
	}
	for size, want := range map[time.Duration]bool{50 * ms: true, 900 * ms: true, 1300 * ms: false} { // 1.35 s is its part
		if got := w.d.allowed(&job{size: float64(size), slots: 1}, x); got != want {
			t.Errorf("%v: allowed %v", size, got)
		}
	}
	// In overload all that see the one free lane come at once: jobs of 12 s met on a host that could bear 10.7 s.
	if w.d.freeShare = 0.1; w.d.allowed(&job{size: float64(50 * ms), slots: 1}, x) {
		t.Error("allowed while hardly an answer tells of a free lane")
	}
	w.d.freeShare = 1
	j := &job{size: float64(50 * ms), slots: 1}
	w.d.send(j, x)
	w.d.attemptEvent(&Event{Kind: AttemptEnded, Result: ConnectFailed}, j.attempts[0])
	if j.closed, j.inFlight = false, 0; w.d.allowed(j, y) {
		t.Error("to another cold worker")
	}
}

// While few jobs of a class are measured a cold worker is thought to bear the hint: a line fitted from two runs made 0.48 s of a
// hint of 4.1 s, and the job of 5.5 s pushed over a worker that could bear 4.3 s. With enough of them the line is believed.
func TestColdWorkersUseHintUntilMeasured(t *testing.T) {
	for n, want := range map[float64]bool{2: false, 9: false, 10: true, 50: true} {
		w := newFixture(t, 4, func(c *Config) { c.Replicas = 1 })
		w.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: w.now - w.cfg.WarmUp/4}}})
		f := &w.d.estimators[0]
		f.runs, f.hints, f.meanHint, f.shift, f.variance, f.covariance = n, 300, math.Log(0.17e9), 0, 1, 0.31
		w.arrive(0, 4100*ms, 30*time.Second)
		for _, j := range w.d.jobs {
			if j.size > 0.5e9 {
				t.Fatalf("the line makes %v of it", time.Duration(j.size))
			}
			x := w.d.workers[10]
			if x.coldSent = 0; w.d.allowed(&job{size: j.size, coldSize: j.coldSize, slots: 1}, x) != want {
				t.Errorf("%v measured: allowed %v", n, !want)
			}
		}
	}
}

// What all ask of one worker has a bound that shrinks as answers find no free lane, in equal parts of all or, in
// overload, of eight. (30 schedulers asked 17 times a host and second, and two thirds of what they sent queued behind
// one another.) Who asks nobody any more comes to ask all again.
func TestProbeRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		replicas, ordinal int
		roomy             float64
		least             time.Duration // between two questions of one scheduler to one worker
	}{{1, 0, 0, 0}, {3, 0, 1, 0}, {3, 0, 0, 75 * ms}, {3, 0, 0.5, 19 * ms}, {300, 294, 0, 200 * ms}, {300, 0, 0, never},
		{300, 0, 0.5, 1875 * ms}} {
		w := newFixture(t, 12, func(cfg *Config) {
			cfg.Replicas, cfg.Ordinal, cfg.Questions, cfg.Probes, cfg.ReportInProbes = c.replicas, c.ordinal, 2, true, true
		})
		w.d.now, w.d.freeShare = w.now, c.roomy
		x := w.d.ready[0]
		x.probedAt = w.now
		least := time.Duration(0)
		for w.d.probeLimited(x) && least < 10*time.Second {
			least += ms
			w.d.now += ms
		}
		if c.least == never {
			if least < 10*time.Second {
				t.Errorf("%+v: asked after %v", c, least)
			}
			for range 80 {
				w.arrive(0, 10*ms, 3*time.Second)
			}
			if w.d.now += 10 * time.Second; w.d.probeLimited(x) {
				t.Errorf("%+v: not asked after many arrivals", c)
			}
		} else if (least - c.least).Abs() > ms {
			t.Errorf("%+v: %v", c, least)
		}
		x.waiters = append(x.waiters, &job{}) // to join a question that is out costs nothing
		if x.probedAt = w.d.now; w.d.probeLimited(x) {
			t.Error("a second job may not wait for the same answer")
		}
	}
}

// Sends beyond the first of a job are never more than the stated share of the first ones, whatever comes back; saved up, one is.
func TestRepeatsHaveABudget(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 1} {
		w := newFixture(t, 8, func(c *Config) { c.Repeats = share })
		firsts, repeats, most := 0, 0, 0
		for range 100 {
			burst := 0
			for id, acts := w.arrive(0, 100*ms, 3*time.Second); len(acts) > 0 && acts[0].Kind == Send; burst++ {
				acts = w.end(id, burst, Full) // it never ran: nothing else stands against another send
			}
			if burst == 0 {
				t.Fatal("a first send needs no budget")
			}
			firsts, repeats, most = firsts+1, repeats+burst-1, max(most, burst-1)
			if float64(repeats) > share*float64(firsts) {
				t.Fatalf("share %v: %d repeats for %d first sends", share, repeats, firsts)
			}
			w.now += time.Second
		}
		if most != 1 || float64(repeats) < 0.8*share*float64(firsts) {
			t.Errorf("share %v: %d repeats, %d at once at most", share, repeats, most)
		}
	}
}

// Where no answer tells of a free lane, a job needs slack for the delay that peers have caused to be let onto a worker.
func TestMarginInOverload(t *testing.T) {
	for _, c := range []struct {
		margin, roomy float64
		want          ActionKind
	}{{0, 0, Send}, {4, 1, Send}, {4, 0, Refuse}} {
		w := newFixture(t, 1, func(cfg *Config) { cfg.Margin = c.margin })
		x := w.d.ready[0]
		x.delay, x.delayAt, w.d.freeShare = float64(400*ms), w.now, c.roomy
		if _, acts := w.arrive(0, 100*ms, 700*ms); actionKinds(acts)[0] != c.want {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// In overload a scheduler keeps a lane that its own job frees: it alone knows at once. With free lanes about it asks.
func TestFinishedJobCountsAsReport(t *testing.T) {
	for roomy, want := range map[float64]ActionKind{0.1: Send, 0.9: Probe} {
		w := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes, c.KeepLanes = true, true, true })
		x := w.d.ready[0]
		x.lanes = 1
		first, _ := w.arrive(0, 100*ms, 3*time.Second)
		w.step(Event{Kind: ProbeEnded, Worker: x.ID, HasLoad: true, Load: Load{FreeSlots: 1}})
		w.arrive(0, 100*ms, 3*time.Second)
		w.step(Event{Kind: JobStarted, Job: first, Worker: x.ID})
		w.now, w.d.freeShare = w.now+100*ms, roomy
		if acts := w.end(first, 0, OK); len(actionKinds(acts)) != 1 || actionKinds(acts)[0] != want {
			t.Errorf("free lanes in %v of the answers: %+v", roomy, acts)
		}
	}
}
