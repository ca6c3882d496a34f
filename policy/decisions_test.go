package policy

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// newFixture returns a harness whose Dispatcher knows n equal, idle workers of two lanes in its own zone.
func newFixture(t *testing.T, n int, change func(*Config)) *harness {
	t.Helper()
	cfg := testConfig()
	cfg.Zones, cfg.Ordinal, cfg.Probes = 1, 0, false
	if change != nil {
		change(&cfg)
	}
	h := newHarness(t, cfg, 1)
	var all []Worker
	for i := range n {
		all = append(all, Worker{ID: uint32(10 + i), Cell: i, Scale: 2})
	}
	h.step(Event{Kind: WorkerList, Whole: true, Workers: all})
	h.d.meanRun, h.d.meanWorth = float64(100*ms), 1
	h.d.trustHints()
	for _, x := range h.d.ready {
		x.lanes, x.runs = 2, 50
	}
	return h
}

// trustHints makes the estimated sizes equal to the hints, as after runs that were as long as their hints.
func (d *Dispatcher) trustHints() {
	for i := range d.estimators {
		d.estimators[i].covariance = d.estimators[i].variance
	}
}

// Hints are rough. Before any run is measured, a large hint counts only in part, so that its job is not refused for it.
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

func (h *harness) arrive(class int, size, budget time.Duration) (uint64, []Action) {
	h.next++
	h.jobs[h.next] = &pendingJob{class: class, deadline: h.now + budget}
	return h.next, h.step(Event{Kind: JobArrived, Job: h.next, Class: class, Tenant: -1, Budget: budget, Size: size, Slots: 1})
}

func (h *harness) end(id uint64, n int, r Result) []Action {
	o := h.jobs[id].attempts[n]
	o.inFlight, o.mayHaveRun = false, r != Full && r != ConnectFailed && r != NeverSent
	h.jobs[id].done = h.jobs[id].done || r == OK
	return h.step(Event{Kind: AttemptEnded, Job: id, Attempt: n, Worker: o.worker.ID, Result: r,
		Finished: h.jobs[id].done, Took: h.now - o.at})
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
	h := newFixture(t, 1, nil)
	_, acts := h.arrive(0, 300*ms, 3*time.Second) // lane 1 until 300, due 800
	wantKinds(t, "first lane", acts, Send)
	_, acts = h.arrive(0, 300*ms, 3*time.Second) // lane 2 until 300
	wantKinds(t, "second lane", acts, Send)
	h.step(Event{Kind: JobStarted, Job: 1, Worker: 10}, Event{Kind: JobStarted, Job: 2, Worker: 10})
	_, acts = h.arrive(0, 300*ms, 3*time.Second) // starts at 300, ends at 600, due 800: held
	wantKinds(t, "held", acts)
	_, acts = h.arrive(0, 120*ms, 3*time.Second) // due 440, ends at 420 on the other lane: held, and goes first
	wantKinds(t, "held before the other", acts)
	_, acts = h.arrive(0, 60*ms, 3*time.Second) // due 320: cannot end before 360
	wantKinds(t, "late itself, refused", acts, Refuse)
	_, acts = h.arrive(0, 118*ms, 3*time.Second) // due 436: 418 on one lane, 420 on the other, then 718: held
	wantKinds(t, "held ahead of both", acts)
	_, acts = h.arrive(0, 115*ms, 3*time.Second) // due 430: it would push the one due 440 to 535
	wantKinds(t, "would make an accepted job late", acts, Refuse)
	h.now += 299 * ms
	acts = h.end(1, 0, OK)
	wantKinds(t, "release", acts, Send)
	if acts[0].Job != 6 {
		t.Fatalf("job %d was sent first, want job 6, which has the earliest deadline", acts[0].Job)
	}
}

// admittedEnd returns when a job would end on the first worker, or never if it is not admitted.
func admittedEnd(d *Dispatcher, j *job) time.Duration {
	if end, ok := d.admit(j, d.ready[0]); ok {
		return end
	}
	return never
}

func TestAdmissionSlots(t *testing.T) {
	h := newFixture(t, 1, nil)
	j := &job{size: float64(100 * ms), due: h.now + time.Second, slots: 3}
	h.d.slotsKnown = true
	if h.d.now = h.now; admittedEnd(h.d, j) != never {
		t.Fatal("a job of three slots was admitted to two lanes")
	}
	if j.slots = 2; admittedEnd(h.d, j) != h.now+100*ms {
		t.Fatal("a job of two slots was not admitted to two idle lanes at once")
	}
	h.arrive(0, 300*ms, 3*time.Second)
	if got := admittedEnd(h.d, j); (got - h.now - 400*ms).Abs() > time.Microsecond { // sizes go through logarithms
		t.Fatal("a job of two slots must wait until both lanes are free")
	}
}

// A new job with an earlier deadline must not make an accepted job late.
func TestAdmissionProtectsAcceptedJobs(t *testing.T) {
	h := newFixture(t, 1, nil)
	x := h.d.ready[0]
	x.lanes, h.d.now = 1, h.now
	x.held = []*job{{size: float64(400 * ms), due: h.now + 500*ms, slots: 1}}
	j := &job{size: float64(150 * ms), due: h.now + 300*ms, slots: 1}
	if admittedEnd(h.d, j) != never {
		t.Fatal("150 + 400 ms admitted before a deadline at 500 ms")
	}
	if j.size = float64(90 * ms); admittedEnd(h.d, j) == never {
		t.Fatal("90 + 400 ms refused before a deadline at 500 ms")
	}
}

// The bound between the size ranges has half of the work on each side, for any number of schedulers. With more schedulers
// than workers only one range was left, and so no classification by size.
func TestSizeMap(t *testing.T) {
	for _, replicas := range []int{1, 3, 400} {
		h := newFixture(t, 12, func(c *Config) { c.Replicas = replicas })
		for i := range 3000 { // sizes 10 to 100 ms, once each: half of the work is over 71 ms
			h.d.moveBound(float64((10 + time.Duration(i*37%91)) * ms))
		}
		if h.d.ranges != 2 || h.d.sizeBound < float64(60*ms) || h.d.sizeBound > float64(82*ms) {
			t.Fatalf("%d ranges, bound at %v, want 2 and about 71 ms", h.d.ranges, time.Duration(h.d.sizeBound))
		}
		small, _ := h.arrive(0, 30*ms, 3*time.Second)
		large, _ := h.arrive(0, 300*ms, 3*time.Second)
		if small, large := h.d.jobs[small], h.d.jobs[large]; small.firstList != 0 || large.firstList != 2 {
			t.Fatalf("30 ms in list %d, 300 ms in list %d, want 0 and 2", small.firstList, large.firstList)
		}
	}
}

// Schedulers differ in the order in which they try workers. With a common order, hundreds filled the same workers first.
func TestSchedulersSpread(t *testing.T) {
	first := map[uint32]int{}
	for i := range 400 {
		h := newFixture(t, 40, func(c *Config) { c.Ordinal, c.Replicas = i, 400 })
		first[h.d.candidates[0][0].ID]++
	}
	for id := uint32(10); id < 30; id++ {
		if n := first[id]; n < 8 || n > 32 {
			t.Fatalf("%d of 400 schedulers try worker %d first, want about 20: a range has 20 workers", n, id)
		}
	}
}

// Held jobs are sent once the backlog of peers has run out. An estimated backlog that never reached zero blocked them.
func TestPeerBacklogExpires(t *testing.T) {
	h := newFixture(t, 1, nil)
	x := h.d.ready[0]
	x.wait, x.waitAt = float64(100*ms), h.now
	_, acts := h.arrive(0, 300*ms, 3*time.Second)
	wantKinds(t, "behind the backlog of peers", acts)
	h.now += 101 * ms
	wantKinds(t, "the backlog is over", h.step(), Send)
}

// A run that starts and ends within one tick has a measured length of 0, whose logarithm is infinite.
func TestRunWithinATick(t *testing.T) {
	h := newFixture(t, 1, nil)
	id, _ := h.arrive(0, 5*ms, time.Second)
	h.step(Event{Kind: JobStarted, Job: id, Worker: 10})
	h.end(id, 0, OK)
	if s := h.d.estimators[0].size(1e7); math.IsNaN(s) || math.IsInf(s, 0) || math.IsNaN(h.d.ready[0].speed) {
		t.Fatalf("size %v, speed %v", s, h.d.ready[0].speed)
	}
}

// Small rough hints are too small more often than not, and large ones too large. The estimate has to correct both.
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

// Jobs that start without a wait must not raise the number of lanes past the slots reported or the listed scale.
func TestLanesStayWithinReportedSlots(t *testing.T) {
	for _, reported := range []bool{true, false} {
		h := newFixture(t, 1, nil)
		for range 30 { // as many jobs at once as the model has lanes, none of which waits
			var ids []uint64
			for range h.d.ready[0].lanes {
				id, _ := h.arrive(0, 20*ms, 3*time.Second)
				ids = append(ids, id)
			}
			h.now += 2 * ms
			for _, id := range ids {
				h.step(Event{Kind: JobStarted, Job: id, Worker: 10})
			}
			h.now += 20 * ms
			for _, id := range ids {
				h.jobs[id].attempts[0].inFlight, h.jobs[id].done = false, true
				h.step(Event{Kind: AttemptEnded, Job: id, Worker: 10, Finished: true, HasLoad: reported,
					Load: Load{FreeSlots: 0, Queue: -1}})
			}
		}
		if l := h.d.ready[0].lanes; l > 2 {
			t.Fatalf("slots reported %v: %d lanes on a worker of two", reported, l)
		}
	}
}

// Probes of one worker are a quarter of a mean run apart, however many jobs arrive.
func TestProbesAreRateLimited(t *testing.T) {
	h := newFixture(t, 2, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	n := 0
	for range 20 {
		_, acts := h.arrive(0, 20*ms, 3*time.Second)
		for _, a := range acts {
			if a.Kind == Probe {
				n++
			}
		}
	}
	if n != 2 {
		t.Fatalf("%d probes of two workers at one time, want 2", n)
	}
}

// A worker on which a job doesn't start by the predicted time becomes suspect, and the job goes to another worker.
func TestSilentWorkerBecomesSuspect(t *testing.T) {
	h := newFixture(t, 2, nil)
	h.now += ms
	id, acts := h.arrive(0, 500*ms, 3*time.Second)
	wantKinds(t, "sent", acts, Send)
	first := acts[0].Worker
	h.now += 310 * ms
	wantKinds(t, "no start by the predicted time", h.step())
	acts = h.end(id, 0, ConnectionLost)
	wantKinds(t, "sent to another worker", acts, Send)
	if acts[0].Worker == first {
		t.Fatal("sent again to the silent worker")
	}
	h.step(Event{Kind: JobStarted, Job: id, Attempt: 1, Worker: acts[0].Worker})
	if !h.d.workers[first].suspect {
		t.Fatal("the silent worker is not suspect")
	}
}

// A worker that fails jobs at once looks idle. It gets no unsafe jobs until enough jobs have succeeded; starts don't count.
func TestFailingWorkerBecomesSuspect(t *testing.T) {
	h := newFixture(t, 1, nil)
	x := h.d.ready[0]
	id, _ := h.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "unsafe, failed", h.end(id, 0, AppError), Fail)
	_, acts := h.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "another unsafe", acts, Refuse)
	for n := range 2 {
		h.now += 2*time.Second + ms
		if !x.suspect {
			t.Fatalf("not suspect after %d successful jobs", n)
		}
		id, acts = h.arrive(0, 50*ms, 3*time.Second)
		wantKinds(t, "a repeatable job", acts, Send)
		h.step(Event{Kind: JobStarted, Job: id, Worker: x.ID})
		if !x.suspect {
			t.Fatal("a start cleared the suspicion")
		}
		h.end(id, 0, OK)
	}
	_, acts = h.arrive(3, 50*ms, 3*time.Second)
	wantKinds(t, "unsafe again", acts, Send)
}

// A rejected job is at fault itself: it is answered at once, and the worker does not become suspect.
func TestRejectedJob(t *testing.T) {
	h := newFixture(t, 2, nil)
	for class, answer := range map[int]ActionKind{0: Refuse, 3: Fail} {
		id, _ := h.arrive(class, 50*ms, 3*time.Second)
		wantKinds(t, "rejected", h.end(id, 0, Rejected), answer)
	}
	if h.d.ready[0].suspect || h.d.ready[1].suspect {
		t.Fatal("a worker is suspect")
	}
}

// A probe without an answer makes its worker suspect, as probes don't queue behind jobs.
func TestUnansweredProbeMakesWorkerSuspect(t *testing.T) {
	for result, suspect := range map[Result]bool{TimedOut: true, ConnectFailed: true, ConnectionLost: false, Full: false} {
		h := newFixture(t, 1, nil)
		if h.step(Event{Kind: ProbeEnded, Worker: 10, Result: result}); h.d.ready[0].suspect != suspect {
			t.Errorf("result %d: suspect %v", result, !suspect)
		}
	}
}

// A repeatable job moves away from a worker on which it doesn't start or stops to progress, if another worker can still end
// it in time. An unsafe job stays, and so does one without another worker.
func TestStuckJobMoves(t *testing.T) {
	for name, c := range map[string]struct {
		workers, class int
		began, moves   bool
	}{"no start": {2, 0, false, true}, "no progress": {2, 0, true, true}, "unsafe": {2, 3, false, false},
		"no other": {1, 0, false, false}} {
		h := newFixture(t, c.workers, func(c *Config) { c.Progress = 50 * ms })
		id, acts := h.arrive(c.class, 100*ms, 3*time.Second)
		first := acts[0].Worker
		if c.began {
			h.step(Event{Kind: JobStarted, Job: id, Worker: first})
		}
		h.now += 110 * ms
		wantKinds(t, name+", early", h.step())
		h.now += 50 * ms // over half of the slack of 300 ms, and over 2.5 times the interval between progress reports
		if !c.moves {
			wantKinds(t, name, h.step())
			continue
		}
		wantKinds(t, name, h.step(), Cancel)
		acts = h.end(id, 0, Cancelled)
		wantKinds(t, name+", sent to another worker", acts, Send)
		if acts[0].Worker == first {
			t.Errorf("%s: sent to the same worker again", name)
		}
	}
}

// A job with a short budget from the start is not taken for a retry: it is admitted and due when its client gives up.
func TestShortBudgetIsNoRetry(t *testing.T) {
	h := newFixture(t, 1, nil)
	for _, c := range []struct{ budget, due time.Duration }{
		{8 * time.Second, 400 * ms},        // on time
		{7900 * ms, 300 * ms},              // a retry: 100 ms of its time are over
		{500 * ms, 400 * ms},               // too short for a retry
		{150 * ms, 150 * ms},               // nor is this: its client leaves before the job would be late
		{8*time.Second - 2*time.Second, 0}, // a retry after an advised wait: worth nothing any more
	} {
		id, acts := h.arrive(0, 100*ms, c.budget)
		if c.due == 0 {
			wantKinds(t, "late", acts, Refuse)
			continue
		}
		if got := h.d.jobs[id].due - h.now; got != c.due {
			t.Errorf("budget %v: due after %v, want %v", c.budget, got, c.due)
		}
		h.end(id, 0, OK)
	}
}

func TestRuleUnsafe(t *testing.T) {
	h := newFixture(t, 3, nil)
	id, _ := h.arrive(3, 100*ms, 2*time.Second)
	wantKinds(t, "may have run, failed", h.end(id, 0, ConnectionLost), Fail)
	id, _ = h.arrive(3, 100*ms, 2*time.Second)
	wantKinds(t, "never ran, sent again", h.end(id, 0, Full), Send)
}

func TestRuleKeyedCell(t *testing.T) {
	h := newFixture(t, 2, nil) // every worker a cell of its own
	id, acts := h.arrive(1, 100*ms, 2*time.Second)
	wantKinds(t, "sent", acts, Send)
	for _, a := range h.end(id, 0, ConnectionLost) { // its worker is suspect; another cell and a refusal are not allowed
		if a.Kind == Refuse || a.Kind == Send && a.Worker != acts[0].Worker {
			t.Fatalf("%+v", a)
		}
	}
}

func TestRuleDrain(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Draining}}})
	_, acts := h.arrive(0, 100*ms, 2*time.Second)
	wantKinds(t, "the only worker drains", acts, Refuse)
}

// A job held for a worker that starts to drain must not wait for it forever.
func TestJobHeldForDrainingWorkerIsAnswered(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.d.ready[0].lanes = 1
	h.arrive(0, 300*ms, 3*time.Second)
	_, acts := h.arrive(0, 300*ms, 3*time.Second)
	wantKinds(t, "held", acts)
	wantKinds(t, "draining", h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Draining}}}), Refuse)
}

func TestRuleKeyWindow(t *testing.T) {
	h := newFixture(t, 3, func(c *Config) { c.Classes[2].KeyTTL = 50 * ms })
	id, _ := h.arrive(2, 100*ms, 3*time.Second)
	h.now += 40 * ms
	wantKinds(t, "within the window", h.end(id, 0, AppError), Send)
	id, _ = h.arrive(2, 100*ms, 3*time.Second)
	h.now += 60 * ms
	wantKinds(t, "after the window, group all", h.end(id, 0, AppError), Refuse)
}

func TestRuleAttempts(t *testing.T) {
	h := newFixture(t, 3, func(c *Config) { c.MaxAttempts = 1 })
	id, _ := h.arrive(0, 100*ms, 3*time.Second)
	j := h.d.jobs[id]
	if h.d.cfg.MaxAttempts = 2; h.d.allowed(j, h.d.ready[1]) {
		t.Fatal("two attempts in flight")
	}
	h.d.cfg.MaxAttempts = 1
	wantKinds(t, "no attempt left", h.end(id, 0, Full), Refuse)
}

// In no window of OverloadFor may this scheduler send a cold worker more work than its part of the budget.
func TestRuleColdBudget(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Since: h.now}}})
	var sent []time.Duration
	for range 400 {
		h.now += 10 * ms
		h.arrive(0, 60*ms, 3*time.Second)
		for _, id := range sortedKeys(h.jobs) { // the worker turns all jobs away; they count all the same
			for n, o := range h.jobs[id].attempts {
				if o.inFlight {
					sent = append(sent, o.at)
					h.end(id, n, Full)
				}
			}
		}
	}
	if len(sent) < 10 {
		t.Fatalf("only %d sends to the cold worker", len(sent))
	}
	c := h.cfg
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

// Where workers don't report starts, an attempt counts as running from its send. Its lane must not be predicted busy for
// another whole run at each look.
func TestLaneFreesWithoutNotices(t *testing.T) {
	h := newFixture(t, 1, func(c *Config) { c.TellsStart = false })
	x := h.d.ready[0]
	x.lanes = 1
	h.arrive(0, 300*ms, 3*time.Second)
	h.d.now = h.now + 200*ms
	if left := h.d.laneFreeTimes(x)[0] - h.d.now; (left - 100*ms).Abs() > time.Microsecond {
		t.Fatalf("200 ms into a run of 300 ms the lane is predicted free in %v, want 100 ms", left)
	}
}

// A job of several slots must be tried on a worker whose number of lanes is not known yet.
func TestSlotsOnUnknownLanes(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.d.ready[0].lanes = 1
	h.next++
	h.jobs[h.next] = &pendingJob{deadline: h.now + 3*time.Second}
	wantKinds(t, "two slots", h.step(Event{Kind: JobArrived, Job: h.next, Tenant: -1, Budget: 3 * time.Second,
		Size: 100 * ms, Slots: 2}), Send)
	h.step(Event{Kind: JobStarted, Job: h.next, Worker: 10})
	if got := h.d.ready[0].lanes; got != 2 {
		t.Fatalf("%d lanes after a two-slot job started, want 2", got)
	}
}

// Many small jobs with late deadlines must not make the admission test slow. It is linear in the number of held jobs, and so
// quadratic in the number of arrivals.
func TestHeldJobsAreBounded(t *testing.T) {
	h := newFixture(t, 1, nil)
	for range 100 {
		h.arrive(0, ms, 3*time.Second)
	}
	if n := len(h.d.ready[0].held); n > 16 {
		t.Fatalf("%d jobs held for two lanes", n)
	}
}

// A very large number of slots must not grow the modelled lanes. It once did, and an answer took minutes.
func TestExcessiveSlots(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.next++
	h.jobs[h.next] = &pendingJob{deadline: h.now + 3*time.Second}
	wantKinds(t, "excessive slots", h.step(Event{Kind: JobArrived, Job: h.next, Tenant: -1, Budget: 3 * time.Second,
		Size: 100 * ms, Slots: 1 << 30}), Refuse)
}

// The fewer jobs arrive, the fewer workers a scheduler tries. One with under two jobs a second that used many workers had no
// recent knowledge of any of them.
func TestSearchLimitFollowsArrivalRate(t *testing.T) {
	for _, c := range []struct {
		gap      time.Duration
		replicas int
		want     int
	}{{2 * time.Second, 400, 1}, {100 * ms, 400, 2}, {30 * ms, 2, 26}} {
		h := newFixture(t, 40, func(cfg *Config) { cfg.Replicas = c.replicas })
		for range 200 {
			h.now += c.gap
			h.arrive(0, ms, 3*time.Second)
		}
		if got := h.d.searchLimit(); got != c.want {
			t.Fatalf("a job every %v, %d schedulers: search limit %d, want %d", c.gap, c.replicas, got, c.want)
		}
	}
}

// A scheduler with infrequent jobs tries few workers, but it must not refuse jobs that another worker can end in time:
// at low load one busy worker would turn most of them away.
func TestInfrequentJobsAreNotRefused(t *testing.T) {
	h := newFixture(t, 4, nil)
	for range 30 {
		h.now += 2 * time.Second
		id, acts := h.arrive(0, 10*ms, 3*time.Second)
		wantKinds(t, "infrequent", acts, Send)
		h.now += 10 * ms
		h.end(id, 0, OK)
	}
	if h.d.searchLimit() != 1 {
		t.Fatalf("search limit %d, want 1 as jobs are infrequent", h.d.searchLimit())
	}
	for i := range 20 { // one worker of two lanes can end 8 of them in time
		_, acts := h.arrive(0, 100*ms, 3*time.Second)
		if slices.Contains(actionKinds(acts), Refuse) || i < 8 && !slices.Contains(actionKinds(acts), Send) {
			t.Fatalf("job %d: %+v with four workers of two lanes, idle at first", i, acts)
		}
	}
}

// If lanes seem free but jobs start late, peers cause the load. A job that can't wait so long is refused; one that can is
// sent.
func TestOverloadByPeers(t *testing.T) {
	h := newFixture(t, 2, nil)
	h.d.now = h.now
	for _, x := range h.d.ready {
		for range 40 {
			h.d.observeDelay(x, float64(900*ms))
		}
	}
	_, acts := h.arrive(0, 100*ms, 3*time.Second) // due in 400 ms
	wantKinds(t, "the delay by peers makes it late", acts, Refuse)
	_, acts = h.arrive(0, 900*ms, 3*time.Second) // due in 2 s
	wantKinds(t, "can wait", acts, Send)
}

// A wait counts as a delay before the job starts. Under heavy load, start notices come too late to learn delays from.
func TestDelayCountsBeforeStart(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.arrive(0, 100*ms, 3*time.Second)
	h.now += 200 * ms
	h.step()
	if lag := h.d.delay(h.d.ready[0]); lag < float64(100*ms) {
		t.Fatalf("after 200 ms without a start the expected delay is %v, want at least 100 ms", time.Duration(lag))
	}
}

// Of idle workers that can all end a job in time, the one that ends it first is chosen, as long runs are lost more often.
func TestFasterWorkerIsTaken(t *testing.T) {
	for fast := range 2 {
		h := newFixture(t, 2, nil)
		for i, x := range h.d.ready {
			if x.speed = 0.8; i == fast {
				x.speed = 1.2
			}
		}
		_, acts := h.arrive(0, 10*time.Second, 60*time.Second)
		if wantKinds(t, "sent", acts, Send); acts[0].Worker != h.d.ready[fast].ID {
			t.Errorf("worker %d is fast, sent to %d", h.d.ready[fast].ID, acts[0].Worker)
		}
	}
}

// A worker without a recent report is probed before a send, also for a job that was held for it: a lane that seems idle may
// have a queue by now.
func TestStaleReportIsRefreshed(t *testing.T) {
	h := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	x := h.d.ready[0]
	idle := Event{Kind: ProbeEnded, Worker: x.ID, HasLoad: true, Load: Load{FreeSlots: 1, Queue: 0}}
	x.lanes = 1
	first, acts := h.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "probed", acts, Probe)
	wantKinds(t, "reported idle", h.step(idle), Send)
	_, acts = h.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "held", acts)
	h.step(Event{Kind: JobStarted, Job: first, Worker: x.ID})
	h.now += 100 * ms
	wantKinds(t, "a lane frees for the held job", h.end(first, 0, OK), Probe)
	wantKinds(t, "reported idle again", h.step(idle), Send)
}

// A job waits for the probes of its workers, but not for long if an answer is missing.
func TestJobWaitsForProbes(t *testing.T) {
	h := newFixture(t, 2, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
	_, acts := h.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "probed", acts, Probe, Probe)
	busy, free := acts[0].Worker, acts[1].Worker
	report := func(id uint32, slots, queue float64) Event {
		return Event{Kind: ProbeEnded, Worker: id, HasLoad: true, Load: Load{FreeSlots: slots, Queue: queue}}
	}
	wantKinds(t, "one answer of two", h.step(report(busy, 0, 3)))
	if acts = h.step(report(free, 2, 0)); len(acts) == 0 || acts[0].Kind != Send || acts[0].Worker != free {
		t.Fatalf("want a send to %d, the idle worker: %+v", free, acts)
	}
	h.end(1, 0, OK)
	h.now += time.Second
	_, acts = h.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "probed again", acts, Probe, Probe)
	h.step(report(free, 2, 0))
	h.now += 20 * ms
	acts = h.step()
	if len(acts) == 0 || acts[0].Kind != Send || acts[0].Worker != free {
		t.Fatalf("%d has answered, %d has not: %+v", free, busy, acts)
	}
}

// Nothing is sent to a worker without a report. If no worker answers, or all turn probes away, the job is refused. A job
// that has not started moves to another worker only once that one has reported a free lane.
func TestNoSendWithoutReport(t *testing.T) {
	probing := func(c *Config) { c.Probes, c.ReportInProbes = true, true }
	for name, result := range map[string]Result{"silent": TimedOut, "turned away": Full} {
		h := newFixture(t, 6, probing)
		_, acts := h.arrive(3, 100*ms, 2*time.Second)
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
			h.now += 5 * ms
			acts = h.step(ended...)
		}
		if !refused {
			t.Errorf("%s: not refused", name)
		}
	}
	h := newFixture(t, 3, probing)
	h.d.meanRun = float64(500 * ms)
	idle := func(id uint32) Event {
		return Event{Kind: ProbeEnded, Worker: id, HasLoad: true, Load: Load{FreeSlots: 2}}
	}
	id, acts := h.arrive(0, 100*ms, 3*time.Second)
	acts = h.step(idle(acts[0].Worker), idle(acts[1].Worker))
	wantKinds(t, "sent", acts, Send)
	h.now += 160 * ms // half of its slack without a start
	acts = h.step()
	wantKinds(t, "another worker is probed first", acts, Probe)
	wantKinds(t, "it reports a free lane", h.step(idle(acts[0].Worker)))
	h.now += 100 * ms
	wantKinds(t, "moved", h.step(), Cancel)
	if acts = h.end(id, 0, Cancelled); len(acts) == 0 || acts[0].Kind != Send {
		t.Errorf("want a send to the worker that reported a free lane: %+v", acts)
	}
}

// Invalid settings give an error that names the field.
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

// Unusual but legal lists: empty, with thousands of workers, with unknown zones and kinds, shrunk to one worker.
func TestUnusualWorkerLists(t *testing.T) {
	h := newFixture(t, 0, func(c *Config) { c.Replicas, c.Ordinal = 500, 499 })
	_, acts := h.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "no workers", acts, Refuse)
	var all []Worker
	for i := range 5000 {
		all = append(all, Worker{ID: uint32(i * 7), Zone: i%9 - 1, Kind: i%5 - 1})
	}
	h.step(Event{Kind: WorkerList, Whole: true, Workers: all})
	_, acts = h.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "thousands", acts, Send)
	h.step(Event{Kind: WorkerList, Whole: true, Workers: all[4321:4322]})
	h.now += time.Second
	_, acts = h.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "one", acts, Send)
	if acts[0].Worker != all[4321].ID {
		t.Fatalf("sent to %d, gone from the list", acts[0].Worker)
	}
}

// Schedulers that restart together spread their first requests for the list. When hundreds called the list service at
// once, most calls failed.
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
				t.Fatal("list not requested within 4 s")
			}
		}
	}
	for at, n := range seconds {
		if n > 90 {
			t.Fatalf("%d of 400 schedulers request the list within one quarter of a second, number %d", n, at)
		}
	}
}

// A worker that returns under its old id is a new process: no longer suspect, and cold.
func TestWorkerReturnsWithSameID(t *testing.T) {
	h := newFixture(t, 1, nil)
	id, _ := h.arrive(0, 100*ms, 3*time.Second)
	h.end(id, 0, ConnectionLost)
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, State: Gone}}})
	_, acts := h.arrive(0, 100*ms, 3*time.Second)
	wantKinds(t, "gone", acts, Refuse)
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: h.now}}})
	_, acts = h.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "back", acts, Send)
	_, acts = h.arrive(0, 900*ms, 3*time.Second)
	wantKinds(t, "cold: 900 ms of work takes three times as long", acts, Refuse)
}

// Work sent to a warm worker must not count against its cold budget after it restarts under the same id.
func TestWarmSendsDoNotUseColdBudget(t *testing.T) {
	h := newFixture(t, 1, nil)
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: h.now}}})
	h.arrive(0, 900*ms, 3*time.Second) // considered while cold, and refused
	h.now += h.cfg.WarmUp + time.Second
	for range 300 {
		id, acts := h.arrive(0, 90*ms, 3*time.Second)
		wantKinds(t, "warm", acts, Send)
		h.step(Event{Kind: JobStarted, Job: id, Worker: 10})
		h.now += 90 * ms
		h.end(id, 0, OK)
		h.now += 10 * ms
	}
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: h.now}}})
	_, acts := h.arrive(0, 50*ms, 3*time.Second)
	wantKinds(t, "restarted again", acts, Send)
}

// A worker that answers again after a silence may have restarted, though the list doesn't show it yet. It counts as cold
// until a list says otherwise. One that was never silent doesn't.
func TestWorkerBackFromSilenceIsCold(t *testing.T) {
	for result, cold := range map[Result]bool{TimedOut: true, OK: false} {
		h := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
		x, report := h.d.ready[0], Event{Kind: ProbeEnded, Worker: 10, HasLoad: true, Load: Load{FreeSlots: 2}}
		h.step(report)
		h.now += 3 * time.Second
		h.step(Event{Kind: ProbeEnded, Worker: 10, Result: result})
		h.step(report)
		if got := h.d.speedAt(x, h.now) < x.speed; got != cold {
			t.Errorf("result %d: cold %v", result, got)
		}
		h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2}}}) // it was never restarted
		if h.d.speedAt(x, h.now) < x.speed {
			t.Errorf("result %d: cold although the list shows that it never restarted", result)
		}
	}
}

// A worker that was not probed while most of its zone was silent may have been silent too, so it counts as cold at its first
// answer. A single silent worker says nothing about its zone. (30 dispatchers sent 3 s of work each to hosts up for 0.2 s.)
func TestWorkersOfSilentZoneAreCold(t *testing.T) {
	for silent, cold := range map[int]bool{1: false, 5: true} {
		h := newFixture(t, 8, func(c *Config) { c.Probes, c.ReportInProbes = true, true })
		report := Event{Kind: ProbeEnded, Worker: 17, HasLoad: true, Load: Load{FreeSlots: 2}}
		h.step(report)
		h.now += 3 * time.Second
		for i := range silent {
			h.step(Event{Kind: ProbeEnded, Worker: uint32(10 + i), Result: TimedOut})
		}
		h.now += time.Second
		h.step(report)
		x := h.d.workers[17]
		if got := h.d.speedAt(x, h.now) < x.speed; got != cold {
			t.Errorf("%d silent workers: cold %v", silent, got)
		}
	}
}

// A partly warm worker accepts jobs from all schedulers, but only jobs so small that several may arrive at once: three jobs
// with hints of 2.5 s from three schedulers were 8.7 s of work within 2 s. A job whose attempt failed as a cold worker went
// down goes to no cold worker again: a job of 6 s with a hint of 0.3 s overloaded six in turn.
func TestLargeJobsOnColdWorkers(t *testing.T) {
	h := newFixture(t, 60, func(c *Config) { c.Replicas, c.Ordinal, c.Probes, c.ReportInProbes = 60, 30, true, true })
	h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: h.now - h.cfg.WarmUp/2},
		{ID: 11, Scale: 2, Since: h.now - h.cfg.WarmUp/2}}})
	free := Load{FreeSlots: 2}
	h.step(Event{Kind: ProbeEnded, Worker: 10, HasLoad: true, Load: free}, Event{Kind: ProbeEnded, Worker: 11, HasLoad: true, Load: free})
	x, y := h.d.workers[10], h.d.workers[11]
	h.d.meanGap, h.d.now = 5e8, h.now+ms
	if h.d.owns(x, owners) || h.d.owns(y, owners) {
		t.Fatal("the scheduler owns a worker")
	}
	for size, want := range map[time.Duration]bool{50 * ms: true, 900 * ms: true, 1300 * ms: false} { // the limit is 1.35 s
		if got := h.d.allowed(&job{size: float64(size), slots: 1}, x); got != want {
			t.Errorf("%v: allowed %v", size, got)
		}
	}
	// In overload all schedulers that see the one free lane send at once: 12 s of jobs met on a host with a limit of 10.7 s.
	if h.d.freeShare = 0.1; h.d.allowed(&job{size: float64(50 * ms), slots: 1}, x) {
		t.Error("allowed while few reports have a free lane")
	}
	h.d.freeShare = 1
	j := &job{size: float64(50 * ms), slots: 1}
	h.d.send(j, x)
	h.d.attemptEvent(&Event{Kind: AttemptEnded, Result: ConnectFailed}, j.attempts[0])
	if j.closed, j.inFlight = false, 0; h.d.allowed(j, y) {
		t.Error("allowed on another cold worker")
	}
}

// While few runs of a class are measured, the hint counts against a cold worker's budget instead of a smaller estimate: after
// two runs the estimate for a hint of 4.1 s was 0.48 s, and the job of 5.5 s overloaded a worker with a limit of 4.3 s.
// From ten runs on the estimate counts.
func TestColdWorkersUseHintUntilMeasured(t *testing.T) {
	for n, want := range map[float64]bool{2: false, 9: false, 10: true, 50: true} {
		h := newFixture(t, 4, func(c *Config) { c.Replicas = 1 })
		h.step(Event{Kind: WorkerList, Workers: []Worker{{ID: 10, Scale: 2, Since: h.now - h.cfg.WarmUp/4}}})
		f := &h.d.estimators[0]
		f.runs, f.hints, f.meanHint, f.shift, f.variance, f.covariance = n, 300, math.Log(0.17e9), 0, 1, 0.31
		h.arrive(0, 4100*ms, 30*time.Second)
		for _, j := range h.d.jobs {
			if j.size > 0.5e9 {
				t.Fatalf("estimated size %v, want under 0.5 s", time.Duration(j.size))
			}
			x := h.d.workers[10]
			if x.coldSent = 0; h.d.allowed(&job{size: j.size, coldSize: j.coldSize, slots: 1}, x) != want {
				t.Errorf("%v measured: allowed %v", n, !want)
			}
		}
	}
}

// The probes of one worker by all schedulers are limited, the more so the fewer reports have a free lane. All schedulers
// probe at equal rates or, in overload, eight of them. (30 schedulers sent 17 probes per host and second, and two thirds of
// their jobs queued behind one another.) A scheduler that doesn't probe resumes after enough arrivals.
func TestProbeRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		replicas, ordinal int
		freeShare         float64
		least             time.Duration // between two probes of one scheduler to one worker
	}{{1, 0, 0, 0}, {3, 0, 1, 0}, {3, 0, 0, 75 * ms}, {3, 0, 0.5, 19 * ms}, {300, 294, 0, 200 * ms}, {300, 0, 0, never},
		{300, 0, 0.5, 1875 * ms}} {
		h := newFixture(t, 12, func(cfg *Config) {
			cfg.Replicas, cfg.Ordinal, cfg.Questions, cfg.Probes, cfg.ReportInProbes = c.replicas, c.ordinal, 2, true, true
		})
		h.d.now, h.d.freeShare = h.now, c.freeShare
		x := h.d.ready[0]
		x.probedAt = h.now
		least := time.Duration(0)
		for h.d.probeLimited(x) && least < 10*time.Second {
			least += ms
			h.d.now += ms
		}
		if c.least == never {
			if least < 10*time.Second {
				t.Errorf("%+v: probe allowed after %v", c, least)
			}
			for range 80 {
				h.arrive(0, 10*ms, 3*time.Second)
			}
			if h.d.now += 10 * time.Second; h.d.probeLimited(x) {
				t.Errorf("%+v: no probe allowed after many arrivals", c)
			}
		} else if (least - c.least).Abs() > ms {
			t.Errorf("%+v: least interval %v", c, least)
		}
		x.waiters = append(x.waiters, &job{}) // joining a probe in flight costs nothing
		if x.probedAt = h.d.now; h.d.probeLimited(x) {
			t.Error("a second job can't wait for the same probe")
		}
	}
}

// Sends beyond a job's first never exceed the configured share of first sends, whatever the results. At most one is saved up.
func TestRepeatsHaveABudget(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 1} {
		h := newFixture(t, 8, func(c *Config) { c.Repeats = share })
		firsts, repeats, most := 0, 0, 0
		for range 100 {
			burst := 0
			for id, acts := h.arrive(0, 100*ms, 3*time.Second); len(acts) > 0 && acts[0].Kind == Send; burst++ {
				acts = h.end(id, burst, Full) // it never ran: no other rule forbids another send
			}
			if burst == 0 {
				t.Fatal("no first send: it needs no budget")
			}
			firsts, repeats, most = firsts+1, repeats+burst-1, max(most, burst-1)
			if float64(repeats) > share*float64(firsts) {
				t.Fatalf("share %v: %d repeats for %d first sends", share, repeats, firsts)
			}
			h.now += time.Second
		}
		if most != 1 || float64(repeats) < 0.8*share*float64(firsts) {
			t.Errorf("share %v: %d repeats, at most %d in a row", share, repeats, most)
		}
	}
}

// While no report has a free lane, a job is admitted only with enough slack for the delay that peers cause.
func TestMarginInOverload(t *testing.T) {
	for _, c := range []struct {
		margin, freeShare float64
		want              ActionKind
	}{{0, 0, Send}, {4, 1, Send}, {4, 0, Refuse}} {
		h := newFixture(t, 1, func(cfg *Config) { cfg.Margin = c.margin })
		x := h.d.ready[0]
		x.delay, x.delayAt, h.d.freeShare = float64(400*ms), h.now, c.freeShare
		if _, acts := h.arrive(0, 100*ms, 700*ms); actionKinds(acts)[0] != c.want {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// In overload a scheduler refills a lane that its own job frees without a probe, as it alone knows of it at once. Otherwise
// it probes.
func TestFinishedJobCountsAsReport(t *testing.T) {
	for freeShare, want := range map[float64]ActionKind{0.1: Send, 0.9: Probe} {
		h := newFixture(t, 1, func(c *Config) { c.Probes, c.ReportInProbes, c.KeepLanes = true, true, true })
		x := h.d.ready[0]
		x.lanes = 1
		first, _ := h.arrive(0, 100*ms, 3*time.Second)
		h.step(Event{Kind: ProbeEnded, Worker: x.ID, HasLoad: true, Load: Load{FreeSlots: 1}})
		h.arrive(0, 100*ms, 3*time.Second)
		h.step(Event{Kind: JobStarted, Job: first, Worker: x.ID})
		h.now, h.d.freeShare = h.now+100*ms, freeShare
		if acts := h.end(first, 0, OK); len(actionKinds(acts)) != 1 || actionKinds(acts)[0] != want {
			t.Errorf("free lanes in a share of %v of the reports: %+v", freeShare, acts)
		}
	}
}
