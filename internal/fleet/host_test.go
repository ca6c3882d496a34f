package fleet

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func never() float64 { return 1 }

func host(p Params) *Host { return NewHost("h", 0, 0, 2, 1, p, never) }

// kinds returns one letter for each note.
func kinds(notes []Note) (s string) {
	for _, n := range notes {
		s += string("spdrl"[n.Kind])
	}
	return s
}

// Jobs run in order on the available lanes. The first queued job waits until enough lanes are free. Jobs beyond the queue's
// length are rejected.
func TestRunsInOrder(t *testing.T) {
	h := host(Params{Queue: 2})
	for job, c := range []struct {
		slots int
		want  Verdict
	}{{1, Taken}, {1, Taken}, {2, Taken}, {1, Taken}, {1, Full}, {3, Full}} {
		if got := h.Take(0, uint64(job), second, c.slots); got != c.want {
			t.Errorf("job %d: %v", job, got)
		}
	}
	if got := kinds(h.Advance(second - 1)); got != "ss" {
		t.Errorf("at first: %s", got)
	}
	notes := h.Advance(3 * second)
	if kinds(notes) != "ddsdsd" || notes[2].Job != 2 || notes[5].At != 3*second {
		t.Errorf("%s %+v", kinds(notes), notes)
	}
	if _, ok := h.Next(); ok || h.Worked != 4 {
		t.Errorf("worked %v", h.Worked)
	}
}

// The run time of a cold host's jobs follows its warm-up, and its capacity rises linearly.
func TestColdStart(t *testing.T) {
	h := host(Params{Queue: 1, ColdFrom: 0.1, WarmUp: 10 * second})
	h.Kill(second)
	h.Start(second)
	if c := h.Capacity(6 * second); math.Abs(c-2*0.55) > 1e-9 {
		t.Errorf("half-way %v", c)
	}
	h.Take(second, 1, second, 1)
	at, _ := h.Next()
	// 0.1 a + 0.09 a^2 / 2 = 1
	a := (math.Sqrt(0.01+4*0.045) - 0.1) / 0.09
	if got := (at - second).Seconds(); math.Abs(got-a) > 1e-6 {
		t.Errorf("ends after %v s, want %v", got, a)
	}
	if h.Cold(11 * second) {
		t.Error("cold after its warm-up")
	}
}

// A cold host that is sent more than three times its capacity for two seconds collapses and stays down.
func TestColdHostCollapsesUnderOverload(t *testing.T) {
	h := host(Params{Queue: 1000, ColdFrom: 0.1, WarmUp: 100 * second, TipMultiple: 3, OverloadFor: 2 * second})
	h.Kill(second)
	h.Start(second)
	h.Advance(second)
	budget := 3 * 0.2 * 2.0 // s of work in any 2 s
	if v := h.Take(2*second, 1, time.Duration(budget*0.9*1e9), 1); v != Taken {
		t.Errorf("within its budget: %v", v)
	}
	if v := h.Take(5*second, 2, time.Duration(budget*0.9*1e9), 1); v != Taken {
		t.Errorf("in another window: %v", v)
	}
	if v := h.Take(5*second+ms, 3, second, 1); v != Down || !h.Toppled() {
		t.Errorf("too much: %v", v)
	}
	if h.Start(9 * second); h.Up() {
		t.Error("restarted after a collapse")
	}
	if got := kinds(h.Advance(9 * second)); got != "sll" && got != "ssll" {
		t.Errorf("notes %s", got)
	}
}

// Behavior under a drain, an unreachable machine, a kill and injected errors.
func TestSilenceErrorsDrainAndKill(t *testing.T) {
	h := host(Params{Queue: 4, Progress: 300 * ms})
	h.Take(0, 1, second, 1)
	h.Take(0, 2, second, 2)
	if got := kinds(h.Advance(700 * ms)); got != "spp" {
		t.Errorf("progress: %s", got)
	}
	h.Drain(800 * ms)
	if v := h.Take(800*ms, 3, second, 1); v != Full {
		t.Errorf("drains: %v", v)
	}
	if got := kinds(h.Advance(800 * ms)); got != "r" {
		t.Errorf("drained: %s", got)
	}
	h.Vanish(900 * ms)
	if v := h.Take(900*ms, 4, second, 1); v != Silent || h.Advance(5*second) != nil {
		t.Error("reply or notes from an unreachable host")
	}
	if _, ok := h.Probe(5 * second); ok {
		t.Error("an unreachable host answers a probe")
	}
	h.Kill(6 * second)
	if v := h.Take(6*second, 5, second, 1); v != Down {
		t.Errorf("dead: %v", v)
	}
	h.Start(7 * second)
	h.Fail(1.1)
	if v := h.Take(7*second, 6, second, 1); v != Broken {
		t.Errorf("failing: %v", v)
	}
}

// A load report is reused for ReportEvery and then renewed.
func TestReportInterval(t *testing.T) {
	h := host(Params{Queue: 4, ReportEvery: 200 * ms})
	h.Probe(0)
	h.Take(0, 1, second, 1)
	if l, _ := h.Probe(199 * ms); l.FreeSlots != 2 {
		t.Errorf("%+v", l)
	}
	if l, _ := h.Probe(200 * ms); l.FreeSlots != 1 || l.InFlight != 1 {
		t.Errorf("%+v", l)
	}
}

// For any sequence of jobs, each accepted job starts before it is done, no more lanes are busy than exist, and all accepted
// work completes, because the service clock and its inverse agree.
func TestTakenWorkCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHost("h", 0, 0, rapid.IntRange(1, 4).Draw(t, "lanes"), 0.5+rapid.Float64Range(0, 2).Draw(t, "speed"),
			Params{Queue: 8, ColdFrom: 0.12, WarmUp: 24 * second, Progress: second}, never)
		if rapid.Bool().Draw(t, "cold") {
			h.Kill(second)
			h.Start(second)
		}
		now, taken := second, 0.0
		started, done := map[uint64]bool{}, map[uint64]bool{}
		see := func() {
			for _, n := range h.Advance(now) {
				switch n.Kind {
				case Started:
					started[n.Job] = true
				case Done:
					if !started[n.Job] || done[n.Job] {
						t.Fatalf("job %d is done: started %v, done before %v", n.Job, started[n.Job], done[n.Job])
					}
					done[n.Job] = true
				}
			}
			if h.busy > h.Lanes {
				t.Fatalf("%d lanes busy of %d", h.busy, h.Lanes)
			}
		}
		for job := range uint64(rapid.IntRange(1, 30).Draw(t, "jobs")) {
			work := time.Duration(rapid.IntRange(1, 5000).Draw(t, "work")) * ms
			if h.Take(now, job, work, rapid.IntRange(1, 2).Draw(t, "slots")) == Taken {
				taken += work.Seconds()
			}
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms
			see()
		}
		now += time.Hour
		see()
		if math.Abs(h.Worked-taken) > 1e-6 || len(started) != len(done) {
			t.Fatalf("worked %v of %v, %d started, %d done", h.Worked, taken, len(started), len(done))
		}
	})
}
