// Package check is the one checker of the rules that every dispatcher has to keep. It reads what was seen, from the lab in
// virtual time or from the emulator on sockets, and trusts no dispatcher's word: what has run, hosts tell.
package check

import (
	"fmt"
	"time"
)

// Kind says what an Event tells.
type Kind uint8

// The kinds. The fields in brackets count.
const (
	Taken    Kind = iota // a dispatcher has taken a job (Job, Node, Unsafe, Deadline)
	Left                 // its client has gone: nothing is owed any more (Job)
	Sent                 // a send of it begins (Job, Attempt, Node, Host)
	Ran                  // a host has begun to run it (Job, Attempt, Host)
	NeverRan             // a send of it is proved not to have run, and its dispatcher knows (Job, Attempt)
	Answered             // it has an answer (Job, Answer)
	Killed               // a dispatcher is dead, and what it held is lost (Node)
	Told                 // a dispatcher was told that a host drains or is gone (Node, Host)
	Untold               // or that it takes jobs (Node, Host)
	Worked               // work has come to a host that is cold (Job, Attempt, Node, Host, Work, Capacity)
	Reborn               // a host has started anew, and nobody knows yet (Host)
	Knows                // a dispatcher was told of its present start (Node, Host)
	Used                 // something of which the fleet has only so much was used at a host (Sum, Host, Amount)
)

// Answer is what a client has heard.
type Answer uint8

// The answers.
const (
	Served Answer = iota
	Refused
	Failed
)

// Event is one thing that was seen, at a time. Events come in order of time.
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
	Work     time.Duration // of a standard lane
	Capacity float64       // standard lanes that the host is worth at this moment
	Sum      int           // its number in Rules.Sums
	Amount   float64
}

// Sum is a bound on what all dispatchers together use of each host: at most Most in any Window.
type Sum struct {
	Name   string
	Window time.Duration
	Most   float64
}

// Rules are the figures that the rules are counted by.
type Rules struct {
	AnswerGrace time.Duration // after its client's deadline an answer still counts
	DrainGrace  time.Duration
	TipMultiple float64
	OverloadFor time.Duration
	Slack       float64 // of the budget of a cold host, for chance
	Sums        []Sum
	Repeats     float64 // sends beyond a job's first by all dispatchers, for each first one, at most; 0: any
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

// Breach is a rule that was broken.
type Breach struct {
	Rule Rule
	At   time.Duration
	What string
}

func (b Breach) String() string { return fmt.Sprintf("%v: %s: %s", b.At, b.Rule, b.What) }

// jobState is what is known of one.
type jobState struct {
	node     int
	unsafe   bool
	deadline time.Duration
	answered bool
	refused  bool
	sends    uint64 // a bit for each that is not proved never to have run
	knew     uint64 // a bit for each that left when its dispatcher was told of the host's present start
	ran      int
}

// inflow is the work that has come to a cold host within the window.
type inflow struct {
	at   []time.Duration
	work []float64
	knew []bool // from a dispatcher that was told of its start
}

const maxBreaches = 100 // breaches that are kept; all are counted

// Checker reads events. The zero value is of no use, see New.
type Checker struct {
	rules         Rules
	jobs          map[uint64]*jobState
	drainNotices  map[[2]int]time.Duration
	knowsStart    map[[2]int]bool
	coldInflow    map[int]*inflow
	usage         map[[2]int]*usageWindow // by sum and host
	breaches      []Breach
	counts        map[Rule]int
	now           time.Duration
	checked       int
	firstSends    int // sends
	repeatedSends int
}

// New makes a Checker.
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

// See takes in what was seen.
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
		delete(c.jobs, e.Job) // what else comes of it harms nobody
	}
}

// recordColdWork counts the budget of a cold host over any window. Whoever could not know that it is cold breaks no rule: the
// budget is broken by those who were told, if two thirds of the work is theirs.
func (c *Checker) recordColdWork(e Event) {
	f := c.coldInflow[e.Host]
	if f == nil {
		f = &inflow{}
		c.coldInflow[e.Host] = f
	}
	f.at, f.work = append(f.at, e.At), append(f.work, e.Work.Seconds())
	knew := c.knowsStart[[2]int{e.Node, e.Host}]
	if j := c.jobs[e.Job]; j != nil { // what counts is what was known when it left
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

// usageWindow is what was used within the window of a sum.
type usageWindow struct {
	at     []time.Duration
	amount []float64
	sum    float64
}

// recordUse counts a sum over any window. After a breach it begins anew, so that one excess is told once a window.
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

// End tells that all is over at now: whatever has no answer has none.
func (c *Checker) End(now time.Duration) {
	c.now = max(c.now, now)
	for id, j := range c.jobs {
		if !j.answered && now > j.deadline+c.rules.AnswerGrace {
			c.breach(OneAnswer, "job %d has no answer", id)
		}
	}
}

// Breaches gives the first of them, Counts all by rule, Checked the jobs that were looked at.
func (c *Checker) Breaches() []Breach { return c.breaches }

// Counts gives the number of breaches of each rule that has any.
func (c *Checker) Counts() map[Rule]int { return c.counts }

// Checked is the number of jobs that were taken.
func (c *Checker) Checked() int { return c.checked }
