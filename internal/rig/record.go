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

// Seen is one line of the record: what a host, a client or the rig itself saw. No dispatcher's word is in it.
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

// order is what a client wants done, over all its tries.
type order struct {
	number     int
	class      *scenario.Class
	room       int
	size, hint time.Duration
	first      time.Duration // when it was meant to be sent
	patience   time.Duration
	due        time.Duration
	worth      float64
	tries      int
	over, ran  bool
	tenant     int // -1: none
}

// try is one request of a client.
type try struct {
	order  *order
	node   int
	number uint64
	left   bool          // its client waits no longer
	gave   time.Duration // when it gave up of its own wish, while no host had the job; 0: it did not
	at     time.Duration
	taken  bool // it has come to a host
}

// recorder takes in what is seen, in one order, feeds the checker and counts.
type recorder struct {
	mu     sync.Mutex
	now    func() time.Duration // since the start
	out    *json.Encoder        // nil: nobody wants it
	outErr error
	rules  check.Rules
	check  *check.Checker
	sums   []string
	tries  map[string]*try
	next   uint64
	rep    *Report
	host   []Use
	refuse []float64 // ms until a refusal
	dealt  []int     // tries by dispatcher
	paid   []paid    // jobs of tenants that came to hosts
	sc     *Scenario
}

func newRecorder(sc *Scenario, now func() time.Duration, out io.Writer) *recorder {
	r := &recorder{sc: sc, now: now, tries: map[string]*try{}, rep: &Report{Scenario: sc.Name, Dispatchers: sc.Dispatchers,
		Hosts: scenario.Count(sc.Hosts), Seconds: make([]Second, int(sc.length/time.Second)+1)}, host: make([]Use, scenario.Count(sc.Hosts)),
		dealt: make([]int, sc.Dispatchers)}
	// A client listens for answerGrace; that it has heard something is booked a little later.
	rules := check.Rules{AnswerGrace: answerGrace + bookedWithin}
	for _, b := range sc.Bounds {
		r.sums = append(r.sums, b.What)
		rules.Sums = append(rules.Sums, check.Sum{Name: b.What, Window: b.window, Most: b.Most})
	}
	r.rules = rules
	if r.check = check.New(rules); out != nil {
		r.out = json.NewEncoder(out)
	}
	return r
}

// line writes a line of the record. The lock is held.
func (r *recorder) line(s Seen) {
	if r.out != nil && r.outErr == nil {
		s.At = math.Round(s.At*1e6) / 1e6
		r.outErr = r.out.Encode(&s)
	}
}

// note records what the rig did.
func (r *recorder) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(Seen{At: r.now().Seconds(), What: "trouble", Node: -1, Host: -1, Note: text})
}

// asked books a client's wish.
func (r *recorder) asked(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Jobs++
	r.rep.Asked += o.worth
	r.second(o).Asked += o.worth
}

func (r *recorder) second(o *order) *Second {
	return &r.rep.Seconds[min(int(o.first/time.Second), len(r.rep.Seconds)-1)]
}

// taken books a try that is handed to a dispatcher.
func (r *recorder) taken(id string, o *order, node int, deadline time.Duration) *try {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	o.tries++
	r.rep.Tries++
	r.dealt[node]++
	at := r.now()
	t := &try{order: o, node: node, number: r.next, at: at}
	r.tries[id] = t
	r.check.See(check.Event{Kind: check.Taken, At: at, Job: t.number, Node: node, Unsafe: o.class.Once, Deadline: deadline})
	r.line(Seen{At: at.Seconds(), What: "taken", Job: id, Order: o.number, Node: node, Host: -1})
	return t
}

// answered books what a client has heard. Status 0: nothing, by an end of its connection or of its patience. excused says
// that something was done to its dispatcher or its way there: then nothing is owed.
func (r *recorder) answered(id string, t *try, status int, took time.Duration, excused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, o := r.now(), t.order
	t.left = true
	r.line(Seen{At: at.Seconds(), What: "answered", Job: id, Order: o.number, Node: t.node, Host: -1, Status: status})
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
		r.refuse = append(r.refuse, float64(took.Microseconds())/1000)
	default:
		r.rep.Failed++
	}
	r.check.See(check.Event{Kind: check.Answered, At: at, Job: t.number, Answer: answer})
	if answer != check.Served || o.over {
		return
	}
	o.over = true
	r.rep.Served++
	if at <= o.due {
		r.rep.InTime += o.worth
		r.second(o).InTime += o.worth
	}
}

// followed books what a client has got that came when it was told to.
func (r *recorder) followed(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Followed++
	if served {
		r.rep.Kept++
	}
}

// gaveUp books a client that leaves by its own wish.
func (r *recorder) gaveUp(id string, t *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	t.left = true
	if r.rep.GaveUp++; !t.taken {
		t.gave = at
		r.rep.LeftWaiting++
	}
	r.check.See(check.Event{Kind: check.Left, At: at, Job: t.number})
	r.line(Seen{At: at.Seconds(), What: "left", Job: id, Order: t.order.number, Node: t.node, Host: -1})
}

// use books a use of what the fleet has only so much of. The lock is held.
func (r *recorder) use(what string, host int, at time.Duration) {
	for i, name := range r.sums {
		if name == what {
			r.check.See(check.Event{Kind: check.Used, At: at, Sum: i, Host: host, Amount: 1})
		}
	}
}

var sightNames = map[emulator.SightKind]string{emulator.Took: "took", emulator.Ran: "ran", emulator.Done: "done",
	emulator.Lost: "lost", emulator.Left: "dropped", emulator.Probed: "probed", emulator.Opened: "opened", emulator.Fell: "fell"}

// saw books what a host saw. node is whom it is from; -1: nobody.
func (r *recorder) saw(s emulator.Sight, node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	t, u := r.tries[s.Job], &r.host[s.Host]
	line := Seen{At: at.Seconds(), What: sightNames[s.Kind], Job: s.Job, Node: node, Host: s.Host,
		WorkMS: float64(s.Work.Microseconds()) / 1000, Capacity: s.Capacity}
	if s.Kind != emulator.Probed { // too many
		r.line(line)
	}
	work := s.Work.Seconds()
	switch s.Kind {
	case emulator.Probed:
		u.Probes++
		r.use("probes", s.Host, at)
		return
	case emulator.Opened:
		u.Handshakes++
		r.use("connections", s.Host, at)
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
		if !t.taken && o.tenant >= 0 {
			r.paid = append(r.paid, paid{t.at, o.tenant})
		}
		if !t.taken && t.gave > 0 && at > t.gave+leaveSeen {
			r.rep.SentForNobody++
		}
		t.taken = true
		r.use("sends", s.Host, at)
		if s.Verdict == fleet.Full {
			r.rep.Turned++
		}
	case emulator.Ran:
		r.check.See(check.Event{Kind: check.Ran, At: at, Job: t.number, Host: s.Host})
	case emulator.Done:
		switch {
		case o.ran:
			u.Repeated += work
		case t.left:
			u.Abandoned += work
		case at <= o.due:
			u.InTime += work
			o.ran = true
		default:
			u.Late += work
			o.ran = true
		}
	}
}

// leaveSeen is how long after a client's leave its job may still come to a host for the first time.
const leaveSeen = 300 * time.Millisecond

// forNobody says where too many jobs went on to hosts after their clients had left: over a fiftieth of those that waited
// then, and five at least. The operators' own bound is a quarter; a dispatcher that sees no leave at all came to 0.044 here,
// as it holds few jobs for that long. A few are the fault of a process that stands still or of a link that is late.
func (r *Report) forNobody() (breach string) {
	if n := r.SentForNobody; n >= 5 && 50*n > r.LeftWaiting {
		return fmt.Sprintf("of %d jobs whose clients left while they waited, %d were sent on over %v later", r.LeftWaiting, n, leaveSeen)
	}
	return ""
}

// finish ends the day and gives the report.
func (r *recorder) finish(length time.Duration, capacity float64) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	r.tenants(length)
	r.check.End(at + time.Hour)
	rep, whole := r.rep, capacity*length.Seconds()
	for i := range r.host {
		u := &r.host[i]
		rep.Work.add(u)
	}
	rep.ProbesASecond = float64(rep.Work.Probes) / float64(rep.Hosts) / length.Seconds()
	for _, x := range []*float64{&rep.Work.InTime, &rep.Work.Late, &rep.Work.Abandoned, &rep.Work.Repeated} {
		*x /= whole
	}
	rep.Service = rep.InTime / max(rep.Asked, 1e-9)
	rep.TriesAJob = float64(rep.Sends) / float64(max(rep.Jobs, 1))
	slices.Sort(r.refuse)
	if n := len(r.refuse); n > 0 {
		rep.RefusalP50, rep.RefusalP99 = r.refuse[n/2], r.refuse[min(n-1, n*99/100)]
	}
	rep.Dealt = r.dealt
	rep.Checked = r.check.Checked()
	for _, b := range r.check.Breaches() {
		rep.Breaches = append(rep.Breaches, b.String())
	}
	if b := rep.forNobody(); b != "" {
		rep.Breaches = append(rep.Breaches, b)
	}
	return rep
}

// tenants checks the sums over tenants by when their clients handed the jobs over, which a job that was held shows at its host
// later, and books what was used. The lock is held.
func (r *recorder) tenants(length time.Duration) {
	slices.SortFunc(r.paid, func(a, b paid) int { return cmp.Compare(a.at, b.at) })
	c := check.New(r.rules)
	for _, p := range r.paid {
		for i, name := range r.sums {
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
