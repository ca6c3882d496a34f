// Package check verifies the rules that every dispatcher must keep. It reads events recorded by the lab in virtual time or by the
// emulator on sockets. It does not rely on dispatchers to report which jobs have run: hosts report that.
package check

import (
	"fmt"
	"time"
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds. The fields in parentheses are set.
const (
	Taken    Kind = iota // a dispatcher has accepted a job (Job, Node, Unsafe, Deadline)
	Left                 // the job's client has disconnected: no answer is due (Job)
	Sent                 // a send of the job begins (Job, Attempt, Node, Host)
	Ran                  // a host has started the job (Job, Attempt, Host)
	NeverRan             // a send is proved not to have run, and the dispatcher knows (Job, Attempt)
	Answered             // the job has an answer (Job, Answer)
	Killed               // a dispatcher was killed, and its jobs are lost (Node)
	Told                 // a dispatcher was informed that a host drains or is gone (Node, Host)
	Untold               // a dispatcher was informed that a host accepts jobs (Node, Host)
	Worked               // work has arrived at a cold host (Job, Attempt, Node, Host, Work, Capacity)
	Reborn               // a host has restarted, and no dispatcher knows yet (Host)
	Knows                // a dispatcher was informed of the host's latest start (Node, Host)
	Used                 // part of a fleet-wide budget was used at a host (Sum, Host, Amount)
)

// Answer is the final answer to a client.
type Answer uint8

// The answers.
const (
	Served Answer = iota
	Refused
	Failed
)

// Event is one observed event. Events must be passed in order of time.
type Event struct {
	Kind     Kind
	At       time.Duration
	Job      uint64
	Attempt  int
	Node     int
	Host     int
	Unsafe   bool
	Deadline time.Duration
	Answer   Answer
	Work     time.Duration // time on a standard lane
	Capacity float64       // the host's present capacity in standard lanes
	Sum      int           // index in Rules.Sums
	Amount   float64
}

// Sum is a limit on the combined use of each host by all dispatchers: at most Most in any Window.
type Sum struct {
	Name   string
	Window time.Duration
	Most   float64
}

// Rules are the limits that a Checker applies.
type Rules struct {
	AnswerGrace time.Duration // an answer this long after the client's deadline is still in time
	DrainGrace  time.Duration
	TipMultiple float64
	OverloadFor time.Duration
	Slack       float64 // tolerated excess, as a share of a cold host's budget, because arrivals are random
	Sums        []Sum
	Repeats     float64 // maximum ratio of repeated to first sends, over all dispatchers; 0: unlimited
}

// Rule names a rule.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one final answer in time"
	OneEffect  Rule = "no double effect"
	Drains     Rule = "nothing new to a host that drains"
	ColdHosts  Rule = "no cold host pushed over"
	Harmless   Rule = "refused only where a repeat is harmless"
	Unexpected Rule = "the record makes sense"
	Sums       Rule = "a sum over the fleet"
)

// Breach is a violation of a rule.
type Breach struct {
	Rule Rule
	At   time.Duration
	What string
}

func (b Breach) String() string { return fmt.Sprintf("%v: %s: %s", b.At, b.Rule, b.What) }

// jobState is the recorded state of a job.
type jobState struct {
	node     int
	unsafe   bool
	deadline time.Duration
	answered bool
	refused  bool
	sends    uint64 // bit set of the attempts that may have run
	knew     uint64 // bit set of the attempts sent while the dispatcher knew of the host's latest start
	ran      int
}

// inflow is the work that arrived at a cold host within the window.
type inflow struct {
	at   []time.Duration
	work []float64
	knew []bool // sent by a dispatcher that knew of the host's start
}

const maxBreaches = 100 // number of breaches that are stored; all are counted

// Checker checks a sequence of events against the rules. Use New to create one.
type Checker struct {
	rules         Rules
	jobs          map[uint64]*jobState
	drainNotices  map[[2]int]time.Duration
	knowsStart    map[[2]int]bool
	coldInflow    map[int]*inflow
	usage         map[[2]int]*usageWindow // by index of the sum and host
	breaches      []Breach
	counts        map[Rule]int
	now           time.Duration
	checked       int
	firstSends    int
	repeatedSends int
}

// New returns a Checker that applies the given limits.
func New(r Rules) *Checker {
	return &Checker{rules: r, jobs: map[uint64]*jobState{}, drainNotices: map[[2]int]time.Duration{},
		knowsStart: map[[2]int]bool{}, coldInflow: map[int]*inflow{}, usage: map[[2]int]*usageWindow{},
		counts: map[Rule]int{}}
}

func (c *Checker) breach(r Rule, what string, args ...any) {
	c.counts[r]++
	if len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, Breach{r, c.now, fmt.Sprintf(what, args...)})
	}
}

// See processes the next event.
func (c *Checker) See(e Event) {
	if e.At < c.now {
		c.breach(Unexpected, "an event at %v after one at %v", e.At, c.now)
	}
	c.now = max(c.now, e.At)
	switch e.Kind {
	case Killed:
		for id, j := range c.jobs {
			if j.node == e.Node {
				delete(c.jobs, id)
			}
		}
		for k := range c.drainNotices {
			if k[0] == e.Node {
				delete(c.drainNotices, k)
			}
		}
		return
	case Told:
		if _, ok := c.drainNotices[[2]int{e.Node, e.Host}]; !ok {
			c.drainNotices[[2]int{e.Node, e.Host}] = e.At
		}
		return
	case Untold:
		delete(c.drainNotices, [2]int{e.Node, e.Host})
		return
	case Worked:
		c.recordColdWork(e)
		return
	case Used:
		c.recordUse(e)
		return
	case Reborn:
		for k := range c.knowsStart {
			if k[1] == e.Host {
				delete(c.knowsStart, k)
			}
		}
		delete(c.coldInflow, e.Host)
		return
	case Knows:
		c.knowsStart[[2]int{e.Node, e.Host}] = true
		return
	case Taken:
		if c.jobs[e.Job] != nil {
			c.breach(Unexpected, "job %d is taken twice", e.Job)
		}
		c.jobs[e.Job] = &jobState{node: e.Node, unsafe: e.Unsafe, deadline: e.Deadline}
		c.checked++
		return
	}
	j := c.jobs[e.Job]
	if j == nil {
		if e.Kind == Answered || e.Kind == Sent {
			c.breach(OneAnswer, "job %d is not open", e.Job)
		}
		return
	}
	bit := uint64(1) << min(e.Attempt, 63)
	switch e.Kind {
	case Left:
		j.deadline, j.answered = 0, true
	case Sent:
		if e.Attempt == 0 {
			c.firstSends++
		} else if c.repeatedSends++; c.rules.Repeats > 0 && float64(c.repeatedSends) > c.rules.Repeats*float64(c.firstSends) {
			c.breach(Sums, "%d sends beyond a job's first, after %d first ones", c.repeatedSends, c.firstSends)
		}
		if j.unsafe && j.sends != 0 {
			c.breach(OneEffect, "job %d is sent again, and may have run", e.Job)
		}
		j.sends |= bit
		if c.knowsStart[[2]int{e.Node, e.Host}] {
			j.knew |= bit
		}
		if at, ok := c.drainNotices[[2]int{e.Node, e.Host}]; ok && e.At > at+c.rules.DrainGrace {
			c.breach(Drains, "node %d sends to host %d, told %v ago", e.Node, e.Host, e.At-at)
		}
	case NeverRan:
		j.sends &^= bit
	case Ran:
		if j.ran++; j.unsafe && j.ran > 1 {
			c.breach(OneEffect, "job %d has run %d times", e.Job, j.ran)
		}
		if j.unsafe && j.refused {
			c.breach(Harmless, "job %d runs, and was refused", e.Job)
		}
	case Answered:
		c.recordAnswer(e, j)
	}
}

func (c *Checker) recordAnswer(e Event, j *jobState) {
	if j.answered {
		c.breach(OneAnswer, "job %d has a second answer", e.Job)
		return
	}
	j.answered, j.refused = true, e.Answer == Refused
	if e.At > j.deadline+c.rules.AnswerGrace {
		c.breach(OneAnswer, "job %d is answered %v late", e.Job, e.At-j.deadline)
	}
	switch {
	case e.Answer == Refused && j.unsafe && (j.sends != 0 || j.ran > 0):
		c.breach(Harmless, "job %d may have run", e.Job)
	case e.Answer == Served && j.ran == 0:
		c.breach(OneAnswer, "job %d is served and never ran", e.Job)
	}
	if !j.unsafe {
		delete(c.jobs, e.Job) // later events of a job that is safe to repeat break no rule
	}
}

// recordColdWork checks the budget of a cold host over a sliding window. A dispatcher that could not know that the host is
// cold breaks no rule: an excess is a breach only if at least two thirds of the work comes from dispatchers that knew.
func (c *Checker) recordColdWork(e Event) {
	f := c.coldInflow[e.Host]
	if f == nil {
		f = &inflow{}
		c.coldInflow[e.Host] = f
	}
	f.at, f.work = append(f.at, e.At), append(f.work, e.Work.Seconds())
	knew := c.knowsStart[[2]int{e.Node, e.Host}]
	if j := c.jobs[e.Job]; j != nil { // the dispatcher's knowledge at the time of the send decides
		knew = j.knew&(1<<min(e.Attempt, 63)) != 0
	}
	f.knew = append(f.knew, knew)
	for f.at[0] <= e.At-c.rules.OverloadFor {
		f.at, f.work, f.knew = f.at[1:], f.work[1:], f.knew[1:]
	}
	sum, known := 0.0, 0.0
	for i, w := range f.work {
		if sum += w; f.knew[i] {
			known += w
		}
	}
	budget := c.rules.TipMultiple * e.Capacity * c.rules.OverloadFor.Seconds()
	if c.rules.TipMultiple > 0 && sum > budget*(1+c.rules.Slack) && known*3 >= sum*2 {
		c.breach(ColdHosts, "host %d was sent %.1f s of work in %v, %.1f s are its budget", e.Host, sum,
			c.rules.OverloadFor, budget)
		delete(c.coldInflow, e.Host)
	}
}

// usageWindow is the use within the window of a Sum.
type usageWindow struct {
	at     []time.Duration
	amount []float64
	sum    float64
}

// recordUse checks a Sum over a sliding window. After a breach it starts from zero, so that an excess is reported once per window.
func (c *Checker) recordUse(e Event) {
	if e.Sum < 0 || e.Sum >= len(c.rules.Sums) {
		c.breach(Unexpected, "sum %d is not known", e.Sum)
		return
	}
	s, key := c.rules.Sums[e.Sum], [2]int{e.Sum, e.Host}
	u := c.usage[key]
	if u == nil {
		u = &usageWindow{}
		c.usage[key] = u
	}
	u.at, u.amount, u.sum = append(u.at, e.At), append(u.amount, e.Amount), u.sum+e.Amount
	for u.at[0] <= e.At-s.Window {
		u.sum -= u.amount[0]
		u.at, u.amount = u.at[1:], u.amount[1:]
	}
	if u.sum > s.Most+1e-9 {
		c.breach(Sums, "host %d: %g %s in %v, %g are the whole", e.Host, u.sum, s.Name, s.Window, s.Most)
		delete(c.usage, key)
	}
}

// End finishes the check at now and records a breach for each overdue job without an answer.
func (c *Checker) End(now time.Duration) {
	c.now = max(c.now, now)
	for id, j := range c.jobs {
		if !j.answered && now > j.deadline+c.rules.AnswerGrace {
			c.breach(OneAnswer, "job %d has no answer", id)
		}
	}
}

// Breaches returns the first breaches, at most 100.
func (c *Checker) Breaches() []Breach { return c.breaches }

// Counts returns the number of breaches of each rule that has any.
func (c *Checker) Counts() map[Rule]int { return c.counts }

// Checked returns the number of accepted jobs.
func (c *Checker) Checked() int { return c.checked }
