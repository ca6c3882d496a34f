package check

import (
	"testing"
	"time"
)

const second = time.Second

// validRecord returns a record that keeps every rule but comes close to each limit.
func validRecord() []Event {
	return []Event{
		{Kind: Taken, At: 1 * second, Job: 1, Node: 1, Unsafe: true, Deadline: 10 * second},
		{Kind: Taken, At: 1 * second, Job: 2, Node: 1, Deadline: 10 * second},
		{Kind: Taken, At: 1 * second, Job: 3, Node: 2, Unsafe: true, Deadline: 10 * second},
		{Kind: Told, At: 1 * second, Node: 1, Host: 7},
		{Kind: Sent, At: 2 * second, Job: 1, Node: 1, Host: 7},
		{Kind: NeverRan, At: 3 * second, Job: 1},
		{Kind: Sent, At: 3 * second, Job: 1, Attempt: 1, Node: 1, Host: 8},
		{Kind: Sent, At: 3 * second, Job: 2, Node: 1, Host: 8},
		{Kind: Sent, At: 4 * second, Job: 3, Node: 2, Host: 7}, // node 2 was not informed of the drain
		{Kind: Ran, At: 4 * second, Job: 1, Attempt: 1, Host: 8},
		{Kind: Ran, At: 4 * second, Job: 2, Host: 8},
		{Kind: Answered, At: 5 * second, Job: 2, Answer: Refused},
		{Kind: Answered, At: 5 * second, Job: 1, Answer: Served},
		{Kind: NeverRan, At: 5 * second, Job: 3},
		{Kind: Answered, At: 10*second + 5*time.Millisecond, Job: 3, Answer: Refused},
		{Kind: Knows, At: 11 * second, Node: 1, Host: 9},
		{Kind: Worked, At: 11 * second, Node: 1, Host: 9, Work: 5 * second, Capacity: 1},
		{Kind: Worked, At: 13 * second, Node: 1, Host: 9, Work: 5 * second, Capacity: 1},
		{Kind: Worked, At: 13 * second, Node: 1, Host: 10, Work: 50 * second, Capacity: 1}, // the node was not informed of the start
		{Kind: Taken, At: 13 * second, Job: 6, Node: 1, Deadline: 14 * second},
		{Kind: Sent, At: 13 * second, Job: 6, Node: 1, Host: 11},
		{Kind: Knows, At: 13 * second, Node: 1, Host: 11},
		{Kind: Worked, At: 13 * second, Job: 6, Node: 1, Host: 11, Work: 50 * second, Capacity: 1}, // sent before the node was informed
		{Kind: Answered, At: 13 * second, Job: 6, Answer: Refused},
		{Kind: Used, At: 13 * second, Host: 1, Amount: 2},
		{Kind: Used, At: 13 * second, Host: 2, Amount: 1},
		{Kind: Used, At: 14 * second, Host: 1, Amount: 2}, // the window is over
		{Kind: Taken, At: 14 * second, Job: 4, Node: 3, Deadline: 14 * second},
		{Kind: Killed, At: 14 * second, Node: 3},
		{Kind: Taken, At: 14 * second, Job: 5, Node: 1, Deadline: 14 * second},
		{Kind: Left, At: 14 * second, Job: 5},
	}
}

var rules = Rules{AnswerGrace: 10 * time.Millisecond, DrainGrace: 3 * second, TipMultiple: 3, OverloadFor: 2 * second,
	Sums: []Sum{{"probes", second, 2}}, Repeats: 1}

func checkRecord(events []Event) *Checker {
	c := New(rules)
	for _, e := range events {
		c.See(e)
	}
	c.End(20 * second)
	return c
}

func TestValidRecord(t *testing.T) {
	if c := checkRecord(validRecord()); len(c.Breaches()) > 0 || c.Checked() != 6 {
		t.Errorf("%d jobs, %v", c.Checked(), c.Breaches())
	}
}

// Each record that breaks one rule yields exactly one breach, of that rule.
func TestEachBreachIsFound(t *testing.T) {
	for name, m := range map[string]struct {
		change func([]Event) []Event
		want   Rule
	}{
		"no answer":               {func(e []Event) []Event { return append(e[:11:11], e[12:]...) }, OneAnswer},
		"two answers":             {func(e []Event) []Event { return append(e[:13:13], e[12:]...) }, OneAnswer},
		"late":                    {func(e []Event) []Event { e[14].At += 6 * time.Millisecond; return e }, OneAnswer},
		"served, not run":         {func(e []Event) []Event { return append(e[:9:9], e[10:]...) }, OneAnswer},
		"sent again":              {func(e []Event) []Event { return append(e[:5:5], e[6:]...) }, OneEffect},
		"run again":               {func(e []Event) []Event { return append(e[:10:10], e[9:]...) }, OneEffect},
		"refused, may run":        {func(e []Event) []Event { return append(e[:13:13], e[14:]...) }, Harmless},
		"drain":                   {func(e []Event) []Event { e[6].Host = 7; e[6].At += 1500 * time.Millisecond; return sorted(e) }, Drains},
		"cold":                    {func(e []Event) []Event { e[17].At = 12 * second; return e }, ColdHosts},
		"cold, known":             {func(e []Event) []Event { e[18].Host = 9; return e }, ColdHosts},
		"cold, known at its send": {func(e []Event) []Event { e[20], e[21] = e[21], e[20]; return e }, ColdHosts},
		"refused, runs later": {func(e []Event) []Event {
			return append(e, Event{Kind: Ran, At: 15 * second, Job: 3, Host: 7})
		}, Harmless},
		"too much in a window": {func(e []Event) []Event { e[26].At -= time.Millisecond; return e }, Sums},
		"too many repeats":     {func(e []Event) []Event { e[7].Attempt = 1; return e }, Sums},
		"taken twice":          {func(e []Event) []Event { return append(e[:2:2], e[1:]...) }, Unexpected},
	} {
		c := checkRecord(m.change(validRecord()))
		if len(c.Counts()) != 1 || c.Counts()[m.want] != 1 {
			t.Errorf("%s: %v, want one breach of %q", name, c.Breaches(), m.want)
		}
	}
}

// sorted restores the order of time after an event was moved.
func sorted(e []Event) []Event {
	for i := range e {
		for k := i; k > 0 && e[k-1].At > e[k].At; k-- {
			e[k-1], e[k] = e[k], e[k-1]
		}
	}
	return e
}
