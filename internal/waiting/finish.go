package waiting

import (
	"time"
)

// finish puts a job into its final state. It emits an answer only if answer is set; otherwise the answer comes from
// elsewhere.
func (r *Queue) finish(now time.Duration, i uint32, s State, status int, why string, answer bool) {
	e := r.all.at(i)
	if e.state.Final() {
		return
	}
	r.pace.out -= int(e.out) // later outcomes of these sends are ignored
	r.leave(now, i, s)
	r.note(now, e, Record{Kind: Over, State: s, Status: status, Result: e.result})
	for _, q := range []*queue{&r.timers, &r.ready, &r.again, &r.ends} {
		q.remove(i)
	}
	if !e.is(fresh) {
		r.held--
		r.bodies -= int64(e.bytes)
		if e.client.jobs--; e.client.jobs == 0 {
			delete(r.shares, e.client.name)
		}
		if r.freedAt > 0 {
			r.freeGap += (min(now-r.freedAt, time.Minute) - r.freeGap) / 8
		}
		r.freedAt, r.advised = now, max(0, r.advised-1)
		switch s {
		case Served:
			r.stats.Served++
		case Refused:
			r.stats.Refused++
		case Failed:
			r.stats.Failed++
		case Cancelled:
			r.stats.Cancelled++
		}
	}
	delete(r.open, e.number)
	e.state, e.status, e.client, e.bytes = s, uint16(status), nil, 0
	e.sent = max(e.sent, e.ready)
	if answer {
		r.do(Action{Kind: Answer, Job: Job{Number: e.number}, Status: status, Reason: why})
	}
	for _, a := range r.askers[i] {
		delete(r.asks, a)
		r.do(Action{Kind: Reply, Query: a, Status: StatusServed, Info: r.info(now, i)})
	}
	delete(r.askers, i)
	if e.edges != 0 {
		r.ended = append(r.ended, i)
	}
	if !e.is(indexed) {
		r.drop(i)
		return
	}
	e.entered = now // from here on entered is the time at which the job ended
	if r.newest != 0 {
		r.all.at(r.newest).next = i
	} else {
		r.oldest = i
	}
	r.newest, e.next = i, 0
	r.stats.Kept++
	if r.shedAt == 0 {
		r.shedAt = i
	}
	r.shed()
}

// storeResult stores the result of a job. shedResults may have to drop older ones for it.
func (r *Queue) keep(e *entry, result []byte) {
	if e.is(fresh) {
		return // its client has received it on its connection
	}
	e.result = string(result)
	r.results += int64(len(result))
}

// shedResults drops the oldest results while bodies and results exceed MaxBytes. Their jobs stay known.
func (r *Queue) shed() {
	for r.bodies+r.results > r.lim.MaxBytes && r.shedAt != 0 {
		e := r.all.at(r.shedAt)
		if len(e.result) > 0 {
			r.results -= int64(len(e.result))
			e.result = ""
			e.flags |= shed
			r.stats.ResultsShed++
		}
		r.shedAt = e.next
	}
}

// evictKept forgets final jobs whose retention has ended, and the oldest ones if there are more than MaxKept.
func (r *Queue) forget(now time.Duration, work *int) {
	for ; *work > 0 && r.oldest != 0; *work-- {
		i := r.oldest
		e := r.all.at(i)
		old := now-e.entered >= r.lim.Retention
		if !old && r.stats.Kept <= r.lim.MaxKept || e.edges != 0 { // its dependants must be notified first
			return
		}
		if !old {
			r.stats.ForgottenEarly++
		}
		r.oldest = e.next
		if r.newest == i {
			r.newest = 0
		}
		if r.shedAt == i {
			r.shedAt = e.next
		}
		r.results -= int64(len(e.result))
		r.stats.Kept--
		delete(r.names, e.name)
		r.drop(i)
	}
}
