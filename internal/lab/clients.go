package lab

import (
	"strconv"
	"time"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/scenario"
)

// nextArrival schedules the next client of a room: a Poisson process, with bursts if the scenario has them.
func (l *Lab) nextArrival(room int) {
	rate := l.scenario.rate() * l.scenario.shareOf(room) * l.loadFactor
	if b := l.scenario.Clients.Burst; b > 1 {
		if int((l.now-epoch)/time.Second)%10 == 9 {
			rate *= b
		} else {
			rate *= (10 - b) / 9
		}
	}
	at := l.now + time.Duration(l.arrivals.ExpFloat64()/max(rate, 1e-9)*1e9)
	if at < epoch+l.scenario.length {
		l.queue.push(event{at: at, kind: clientArrival, a: int32(room)})
	}
}

func (l *Lab) arrive(room int) {
	l.nextArrival(room)
	o := l.drawJob(room)
	o.worth = l.scenario.Classes[o.class].Worth * o.size.Seconds()
	k := &l.classTallies[o.class]
	k.asked += o.worth
	k.jobs++
	l.addToTallies(o, o.worth, 0)
	l.scheduleTry(o, l.now)
	if w := l.scenario.Waiting; w != nil && l.sizes.Float64() < w.Part {
		o := l.drawJob(room)
		o.waiting = &dispatch.Wait{Detached: true, NotBefore: time.Duration(l.sizes.Float64() * float64(w.delay))}
		l.report.Waiting++
		l.scheduleTry(o, l.now)
	}
}

// drawJob draws a random job.
func (l *Lab) drawJob(room int) *clientJob {
	k := scenario.Choose(l.scenario.Classes, l.arrivals.Float64())
	size := l.scenario.Classes[k].Size(l.sizes)
	l.lastJob++
	o := &clientJob{key: l.lastJob, class: k, room: room, requestedAt: l.now, size: time.Duration(size)}
	o.hint = time.Duration(size * l.hints.Rand())
	if t, ok := l.heavyTroubles[k]; ok && l.chance.Float64() < t.Share {
		o.size = time.Duration(float64(o.size) * t.Times)
	}
	o.size, o.hint = max(o.size, time.Millisecond), max(o.hint, time.Millisecond)
	return o
}

// scheduleTry schedules a client's next try. The front sends it to a dispatcher of the client's room, or of any room if that has none.
func (l *Lab) scheduleTry(o *clientJob, at time.Duration) {
	l.lastTry++
	l.queue.push(event{at: at, kind: tryArrival, try: &try{id: l.lastTry, job: o}})
}

func (l *Lab) try(t *try) {
	o := t.job
	o.tries++
	c := &l.scenario.Classes[o.class]
	if l.idealLanes != nil {
		l.assign(o)
		return
	}
	var there []int
	for _, same := range []bool{true, false} {
		for i, n := range l.nodes {
			if n.receivesClients && (n.room == o.room || !same) {
				there = append(there, i)
			}
		}
		if len(there) > 0 {
			break
		}
	}
	left := o.requestedAt + c.Wait - l.now
	if len(there) == 0 || left <= 0 {
		if o.waiting != nil {
			l.report.WaitingLost++
			return
		}
		l.report.Unreached++
		l.retry(o, 0, true)
		return
	}
	t.node = there[l.arrivals.IntN(len(there))]
	n := l.nodes[t.node]
	if !n.up { // the front has not noticed this yet
		l.report.Unreached++
		l.retry(o, 0, true)
		return
	}
	t.incarnation, t.deadline = n.incarnation, l.now+left
	m := dispatch.JobArrived{Job: t.id, Class: o.class, Tenant: -1, At: l.now, Budget: left, Size: o.hint, Slots: 1,
		Retry: o.tries > 1, Key: o.key, Keyed: !l.scenario.Clients.Keyless}
	if l.scenario.Clients.Keyless {
		m.Key = t.id
	}
	if l.scenario.Waiting != nil {
		m.Name, m.Wait = strconv.FormatUint(t.id, 16), o.waiting
	}
	if o.waiting != nil { // a waiting job may start up to twice its due time after NotBefore, and then needs its run time
		t.deadline += o.waiting.NotBefore + 2*l.scenario.Waiting.lim.DefaultDue
	}
	n.openTries[t.id] = t
	l.recordEvent(check.Event{Kind: check.Taken, Job: t.id, Node: t.node, Unsafe: c.Once, Deadline: t.deadline})
	l.enqueue(t.node, m)
}

// retry schedules a client's next try if the client retries in this case.
func (l *Lab) retry(o *clientJob, advice time.Duration, harmless bool) {
	cl := l.scenario.Clients
	c := &l.scenario.Classes[o.class]
	if o.finished || o.waiting != nil || o.tries > cl.Retries || cl.After == "" || cl.After == "none" || c.Once && !harmless {
		return
	}
	at := l.now + time.Millisecond
	if cl.After == "wait" {
		at = l.now + max(advice, time.Second)
	}
	if at < o.requestedAt+c.Wait {
		l.report.Retries++
		l.scheduleTry(o, at)
	}
}

// answer records the answer to a try. Later answers to the same try are ignored.
func (l *Lab) answer(t *try, a check.Answer) {
	if t == nil || t.answered {
		return
	}
	t.answered = true
	n := l.nodes[t.node]
	if n.incarnation == t.incarnation {
		delete(n.openTries, t.id)
	}
	l.recordEvent(check.Event{Kind: check.Answered, Job: t.id, Answer: a})
	l.addToDigest(tryArrival, t.id<<2|uint64(a))
	if a != check.Served || t.job.finished {
		return
	}
	o := t.job
	o.finished = true
	if o.waiting != nil {
		l.report.WaitingServed++
		waited := o.lastSentAt - o.requestedAt - o.waiting.NotBefore
		l.report.LongestWait = max(l.report.LongestWait, waited.Seconds()/l.scenario.Waiting.lim.DefaultDue.Seconds())
		return
	}
	k := &l.classTallies[o.class]
	k.served++
	l.report.Served++
	l.report.latency(o.class, l.now-o.requestedAt)
	if l.now <= l.deadline(o) {
		k.inTime += o.worth
		l.addToTallies(o, 0, o.worth)
		l.report.InTime++
	}
}
