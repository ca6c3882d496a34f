package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/emulator"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/scenario"
)

// Seen is one line of the record: an observation of a host, a client or the rig itself. It holds nothing that a dispatcher reports.
type Seen struct {
	At       float64 `json:"at"` // seconds since the start
	What     string  `json:"what"`
	Job      string  `json:"job,omitempty"`
	Order    int     `json:"order,omitempty"`
	Node     int     `json:"node"` // a dispatcher's number; -1: none
	Host     int     `json:"host"` // likewise
	Status   int     `json:"status,omitempty"`
	WorkMS   float64 `json:"work_ms,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
	Note     string  `json:"note,omitempty"`
}

// order is a job that a client wants done, over all its attempts.
type order struct {
	number            int
	class             *scenario.Class
	room              int
	size, hint        time.Duration
	sendTime          time.Duration // intended time of the first attempt
	patience          time.Duration
	due               time.Duration
	worth             float64
	tries             int
	served, completed bool
	tenant            int // -1: none
}

// attempt is one request of a client.
type attempt struct {
	order       *order
	node        int
	number      uint64
	clientGone  bool          // its client has stopped waiting
	gaveUpAt    time.Duration // when its client gave up by itself before any host had the job; 0: it did not
	at          time.Duration
	reachedHost bool // a host has received the job
}

// recorder puts all observations into one order, passes them to the checker and counts them.
type recorder struct {
	mu           sync.Mutex
	now          func() time.Duration // since the start
	out          *json.Encoder        // nil: no record is written
	outErr       error
	rules        check.Rules
	check        *check.Checker
	boundNames   []string
	tries        map[string]*attempt
	lastAttempt  uint64
	rep          *Report
	hostUse      []Use
	refusalTimes []float64     // milliseconds until each refusal
	dealt        []int         // attempts by dispatcher
	admitted     []admittedJob // jobs of tenants that reached hosts
	sc           *Scenario
}

func newRecorder(sc *Scenario, now func() time.Duration, out io.Writer) *recorder {
	r := &recorder{sc: sc, now: now, tries: map[string]*attempt{}, rep: &Report{Scenario: sc.Name, Dispatchers: sc.Dispatchers,
		Hosts: scenario.Count(sc.Hosts), Seconds: make([]Second, int(sc.length/time.Second)+1)}, hostUse: make([]Use, scenario.Count(sc.Hosts)),
		dealt: make([]int, sc.Dispatchers)}
	// A client waits answerGrace for an answer; the record of the answer follows a little later.
	rules := check.Rules{AnswerGrace: answerGrace + recordDelay}
	for _, b := range sc.Bounds {
		r.boundNames = append(r.boundNames, b.What)
		rules.Sums = append(rules.Sums, check.Sum{Name: b.What, Window: b.window, Most: b.Most})
	}
	r.rules = rules
	if r.check = check.New(rules); out != nil {
		r.out = json.NewEncoder(out)
	}
	return r
}

// writeLine writes a line of the record. The lock is held.
func (r *recorder) writeLine(s Seen) {
	if r.out != nil && r.outErr == nil {
		s.At = math.Round(s.At*1e6) / 1e6
		r.outErr = r.out.Encode(&s)
	}
}

// note records what the rig did.
func (r *recorder) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLine(Seen{At: r.now().Seconds(), What: "trouble", Node: -1, Host: -1, Note: text})
}

// recordOrder records a new order of a client.
func (r *recorder) recordOrder(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Jobs++
	r.rep.Asked += o.worth
	r.secondOf(o).Asked += o.worth
}

func (r *recorder) secondOf(o *order) *Second {
	return &r.rep.Seconds[min(int(o.sendTime/time.Second), len(r.rep.Seconds)-1)]
}

// recordAttempt records an attempt that is sent to a dispatcher.
func (r *recorder) recordAttempt(id string, o *order, node int, deadline time.Duration) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttempt++
	o.tries++
	r.rep.Tries++
	r.dealt[node]++
	at := r.now()
	t := &attempt{order: o, node: node, number: r.lastAttempt, at: at}
	r.tries[id] = t
	r.check.See(check.Event{Kind: check.Taken, At: at, Job: t.number, Node: node, Unsafe: o.class.Once, Deadline: deadline})
	r.writeLine(Seen{At: at.Seconds(), What: "taken", Job: id, Order: o.number, Node: node, Host: -1})
	return t
}

// recordAnswer records a client's answer. Status 0 means none: the connection or the client's patience ended. excused means
// that a trouble affected the dispatcher or the link to it: a missing answer is then not an error.
func (r *recorder) recordAnswer(id string, t *attempt, status int, took time.Duration, excused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, o := r.now(), t.order
	t.clientGone = true
	r.writeLine(Seen{At: at.Seconds(), What: "answered", Job: id, Order: o.number, Node: t.node, Host: -1, Status: status})
	answer := check.Failed
	switch {
	case status == 0 && excused:
		r.rep.Excused++
		r.check.See(check.Event{Kind: check.Left, At: at, Job: t.number})
		return
	case status == 0: // the checker finds it without an answer at the end
		r.rep.Lost++
		return
	case status == 200:
		answer = check.Served
	case status == 429 || status == 503:
		answer = check.Refused
		r.rep.Refused++
		r.refusalTimes = append(r.refusalTimes, float64(took.Microseconds())/1000)
	default:
		r.rep.Failed++
	}
	r.check.See(check.Event{Kind: check.Answered, At: at, Job: t.number, Answer: answer})
	if answer != check.Served || o.served {
		return
	}
	o.served = true
	r.rep.Served++
	if at <= o.due {
		r.rep.InTime += o.worth
		r.secondOf(o).InTime += o.worth
	}
}

// recordAdvisedRetry records the result of an attempt that was made at the time given by Retry-After.
func (r *recorder) recordAdvisedRetry(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Followed++
	if served {
		r.rep.Kept++
	}
}

// recordGiveUp records that a client gave up by itself.
func (r *recorder) recordGiveUp(id string, t *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	t.clientGone = true
	if r.rep.GaveUp++; !t.reachedHost {
		t.gaveUpAt = at
		r.rep.LeftWaiting++
	}
	r.check.See(check.Event{Kind: check.Left, At: at, Job: t.number})
	r.writeLine(Seen{At: at.Seconds(), What: "left", Job: id, Order: t.order.number, Node: t.node, Host: -1})
}

// countUse counts one use of a bounded resource. The lock is held.
func (r *recorder) countUse(what string, host int, at time.Duration) {
	for i, name := range r.boundNames {
		if name == what {
			r.check.See(check.Event{Kind: check.Used, At: at, Sum: i, Host: host, Amount: 1})
		}
	}
}

var sightNames = map[emulator.SightKind]string{emulator.Took: "took", emulator.Ran: "ran", emulator.Done: "done",
	emulator.Lost: "lost", emulator.Left: "dropped", emulator.Probed: "probed", emulator.Opened: "opened", emulator.Fell: "fell"}

// recordSight records an observation of a host. node is the dispatcher that caused it; -1: none.
func (r *recorder) recordSight(s emulator.Sight, node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	t, u := r.tries[s.Job], &r.hostUse[s.Host]
	line := Seen{At: at.Seconds(), What: sightNames[s.Kind], Job: s.Job, Node: node, Host: s.Host,
		WorkMS: float64(s.Work.Microseconds()) / 1000, Capacity: s.Capacity}
	if s.Kind != emulator.Probed { // too many
		r.writeLine(line)
	}
	work := s.Work.Seconds()
	switch s.Kind {
	case emulator.Probed:
		u.Probes++
		r.countUse("probes", s.Host, at)
		return
	case emulator.Opened:
		u.Handshakes++
		r.countUse("connections", s.Host, at)
		return
	case emulator.Fell:
		r.rep.Fallen++
		return
	}
	if t == nil {
		return
	}
	switch o := t.order; s.Kind {
	case emulator.Took:
		r.rep.Sends++
		if !t.reachedHost && o.tenant >= 0 {
			r.admitted = append(r.admitted, admittedJob{t.at, o.tenant})
		}
		if !t.reachedHost && t.gaveUpAt > 0 && at > t.gaveUpAt+cancelGrace {
			r.rep.SentForNobody++
		}
		t.reachedHost = true
		r.countUse("sends", s.Host, at)
		if s.Verdict == fleet.Full {
			r.rep.Turned++
		}
	case emulator.Ran:
		r.check.See(check.Event{Kind: check.Ran, At: at, Job: t.number, Host: s.Host})
	case emulator.Done:
		switch {
		case o.completed:
			u.Repeated += work
		case t.clientGone:
			u.Abandoned += work
		case at <= o.due:
			u.InTime += work
			o.completed = true
		default:
			u.Late += work
			o.completed = true
		}
	}
}

// cancelGrace is how long after a client has left its job may still reach a host for the first time.
const cancelGrace = 300 * time.Millisecond

// abandonedSends returns a breach if too many jobs were sent to hosts after their clients had left: at least five, and more than a
// fiftieth of those that were waiting then. The operators' own bound is a quarter; a dispatcher that notices no client leaving
// reached 0.044 here, as it holds few jobs for that long. A paused process or a slow link causes a few.
func (r *Report) abandonedSends() (breach string) {
	if n := r.SentForNobody; n >= 5 && 50*n > r.LeftWaiting {
		return fmt.Sprintf("of %d jobs whose clients left while they waited, %d were sent on over %v later", r.LeftWaiting, n, cancelGrace)
	}
	return ""
}

// finish ends the checks and returns the report.
func (r *recorder) finish(length time.Duration, capacity float64) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	r.checkTenants(length)
	r.check.End(at + time.Hour)
	rep, whole := r.rep, capacity*length.Seconds()
	for i := range r.hostUse {
		u := &r.hostUse[i]
		rep.Work.add(u)
	}
	rep.ProbesASecond = float64(rep.Work.Probes) / float64(rep.Hosts) / length.Seconds()
	for _, x := range []*float64{&rep.Work.InTime, &rep.Work.Late, &rep.Work.Abandoned, &rep.Work.Repeated} {
		*x /= whole
	}
	rep.Service = rep.InTime / max(rep.Asked, 1e-9)
	rep.TriesAJob = float64(rep.Sends) / float64(max(rep.Jobs, 1))
	slices.Sort(r.refusalTimes)
	if n := len(r.refusalTimes); n > 0 {
		rep.RefusalP50, rep.RefusalP99 = r.refusalTimes[n/2], r.refusalTimes[min(n-1, n*99/100)]
	}
	rep.Dealt = r.dealt
	rep.Checked = r.check.Checked()
	for _, b := range r.check.Breaches() {
		rep.Breaches = append(rep.Breaches, b.String())
	}
	if b := rep.abandonedSends(); b != "" {
		rep.Breaches = append(rep.Breaches, b)
	}
	return rep
}

// checkTenants checks the bounds over tenants and computes the used quota. It counts a job at the time its client sent it, as a
// queued job reaches its host later. The lock is held.
func (r *recorder) checkTenants(length time.Duration) {
	slices.SortFunc(r.admitted, func(a, b admittedJob) int { return cmp.Compare(a.at, b.at) })
	c := check.New(r.rules)
	for _, p := range r.admitted {
		for i, name := range r.boundNames {
			if name == "jobs" {
				c.See(check.Event{Kind: check.Used, At: p.at, Sum: i, Host: p.tenant, Amount: 1})
			}
		}
		if p.tenant == 0 && p.at >= length/2 && p.at < length {
			r.rep.Used += 1 / (r.sc.Tenants[0].Quota * (length / 2).Seconds())
		}
	}
	for _, b := range c.Breaches() {
		r.rep.Breaches = append(r.rep.Breaches, "tenant in place of host: "+b.String())
	}
}
