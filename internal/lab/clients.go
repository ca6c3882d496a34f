package lab

import (
	"strconv"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/scenario"
)

// nextArrival plans the next client of a room: a Poisson process, in bursts where the scenario says so.
func (l *Lab) nextArrival(room int) {
	rate := l.sc.rate() * l.sc.shareOf(room) * l.surge
	if b := l.sc.Clients.Burst; b > 1 {
		if int((l.now-epoch)/time.Second)%10 == 9 {
			rate *= b
		} else {
			rate *= (10 - b) / 9
		}
	}
	at := l.now + time.Duration(l.arrivals.ExpFloat64()/max(rate, 1e-9)*1e9)
	if at < epoch+l.sc.length {
		l.cal.push(event{at: at, kind: arrives, a: int32(room)})
	}
}

func (l *Lab) arrive(room int) {
	l.nextArrival(room)
	o := l.draw(room)
	o.worth = l.sc.Classes[o.class].Worth * o.size.Seconds()
	k := &l.cls[o.class]
	k.asked += o.worth
	k.jobs++
	l.book(o, o.worth, 0)
	l.attempt(o, l.now)
	if w := l.sc.Waiting; w != nil && l.sizes.Float64() < w.Part {
		o := l.draw(room)
		o.wait = &dispatch.Wait{Detached: true, NotBefore: time.Duration(l.sizes.Float64() * float64(w.delay))}
		l.rep.Waiting++
		l.attempt(o, l.now)
	}
}

// draw makes an order.
func (l *Lab) draw(room int) *order {
	k := scenario.Choose(l.sc.Classes, l.arrivals.Float64())
	size := l.sc.Classes[k].Size(l.sizes)
	l.orders++
	o := &order{key: l.orders, class: k, room: room, first: l.now, size: time.Duration(size)}
	o.hint = time.Duration(size * l.hints.Rand())
	if t, ok := l.heavy[k]; ok && l.chance.Float64() < t.Share {
		o.size = time.Duration(float64(o.size) * t.Times)
	}
	o.size, o.hint = max(o.size, time.Millisecond), max(o.hint, time.Millisecond)
	return o
}

// attempt sends a client's next try through the front to a dispatcher of its room, or of any where none is there.
func (l *Lab) attempt(o *order, at time.Duration) {
	l.next++
	l.cal.push(event{at: at, kind: tries, try: &try{id: l.next, order: o}})
}

func (l *Lab) try(t *try) {
	o := t.order
	o.tries++
	c := &l.sc.Classes[o.class]
	if l.ideal != nil {
		l.assign(o)
		return
	}
	var there []int
	for _, same := range []bool{true, false} {
		for i, n := range l.nodes {
			if n.dealt && (n.room == o.room || !same) {
				there = append(there, i)
			}
		}
		if len(there) > 0 {
			break
		}
	}
	left := o.first + c.Wait - l.now
	if len(there) == 0 || left <= 0 {
		if o.wait != nil {
			l.rep.WaitingLost++
			return
		}
		l.rep.Unreached++
		l.again(o, 0, true)
		return
	}
	t.node = there[l.arrivals.IntN(len(there))]
	n := l.nodes[t.node]
	if !n.up { // the front has not noticed yet
		l.rep.Unreached++
		l.again(o, 0, true)
		return
	}
	t.life, t.deadline = n.life, l.now+left
	m := dispatch.JobArrived{Job: t.id, Class: o.class, Tenant: -1, At: l.now, Budget: left, Size: o.hint, Slots: 1,
		Retry: o.tries > 1, Key: o.key, Keyed: !l.sc.Clients.Keyless}
	if l.sc.Clients.Keyless {
		m.Key = t.id
	}
	if l.sc.Waiting != nil {
		m.Name, m.Wait = strconv.FormatUint(t.id, 16), o.wait
	}
	if o.wait != nil { // twice its due time once it may run, and then it runs
		t.deadline += o.wait.NotBefore + 2*l.sc.Waiting.lim.DefaultDue
	}
	n.open[t.id] = t
	l.see(check.Event{Kind: check.Taken, Job: t.id, Node: t.node, Unsafe: c.Once, Deadline: t.deadline})
	l.tell(t.node, m)
}

// again has a client try once more, where it does so.
func (l *Lab) again(o *order, advice time.Duration, harmless bool) {
	cl := l.sc.Clients
	c := &l.sc.Classes[o.class]
	if o.over || o.wait != nil || o.tries > cl.Retries || cl.After == "" || cl.After == "none" || c.Once && !harmless {
		return
	}
	at := l.now + time.Millisecond
	if cl.After == "wait" {
		at = l.now + max(advice, time.Second)
	}
	if at < o.first+c.Wait {
		l.rep.Retries++
		l.attempt(o, at)
	}
}

// answer gives a try its one answer.
func (l *Lab) answer(t *try, a check.Answer) {
	if t == nil || t.answered {
		return
	}
	t.answered = true
	n := l.nodes[t.node]
	if n.life == t.life {
		delete(n.open, t.id)
	}
	l.see(check.Event{Kind: check.Answered, Job: t.id, Answer: a})
	l.note(tries, t.id<<2|uint64(a))
	if a != check.Served || t.order.over {
		return
	}
	o := t.order
	o.over = true
	if o.wait != nil {
		l.rep.WaitingServed++
		waited := o.sent - o.first - o.wait.NotBefore
		l.rep.LongestWait = max(l.rep.LongestWait, waited.Seconds()/l.sc.Waiting.lim.DefaultDue.Seconds())
		return
	}
	k := &l.cls[o.class]
	k.served++
	l.rep.Served++
	l.rep.latency(o.class, l.now-o.first)
	if l.now <= l.due(o) {
		k.inTime += o.worth
		l.book(o, 0, o.worth)
		l.rep.InTime++
	}
}
