package waiting

import (
	"time"
)

// finish puts a job into its final state. It emits an answer only if answer is set; otherwise the answer comes from
// elsewhere.
func (q *Queue) finish(now time.Duration, i uint32, s State, status int, why string, answer bool) {
	e := q.entries.at(i)
	if e.state.Final() {
		return
	}
	q.pacer.sendsOut -= int(e.sendsOut) // later outcomes of these sends are ignored
	q.endTurn(now, i, s)
	q.record(now, e, Record{Kind: Finished, State: s, Status: status, Result: e.result})
	for _, h := range []*timeHeap{&q.timers, &q.ready, &q.backoff, &q.deadlines} {
		h.remove(i)
	}
	if !e.has(fresh) {
		q.held--
		q.bodyBytes -= int64(e.bodyBytes)
		if e.clientJobs.jobs--; e.clientJobs.jobs == 0 {
			delete(q.byClient, e.clientJobs.name)
		}
		if q.lastFreed > 0 {
			q.meanFreeInterval += (min(now-q.lastFreed, time.Minute) - q.meanFreeInterval) / 8
		}
		q.lastFreed, q.advisedClients = now, max(0, q.advisedClients-1)
		switch s {
		case Served:
			q.stats.Served++
		case Refused:
			q.stats.Refused++
		case Failed:
			q.stats.Failed++
		case Cancelled:
			q.stats.Cancelled++
		}
	}
	delete(q.active, e.number)
	e.state, e.status, e.clientJobs, e.bodyBytes = s, uint16(status), nil, 0
	e.sent = max(e.sent, e.ready)
	if answer {
		q.emit(Action{Kind: Answer, Job: Job{Number: e.number}, Status: status, Reason: why})
	}
	for _, a := range q.queriesByEntry[i] {
		delete(q.queries, a)
		q.emit(Action{Kind: Reply, Query: a, Status: StatusServed, Info: q.info(now, i)})
	}
	delete(q.queriesByEntry, i)
	if e.dependants != 0 {
		q.unnotified = append(q.unnotified, i)
	}
	if !e.has(indexed) {
		q.freeEntry(i)
		return
	}
	e.entered = now // from here on entered is the time at which the job ended
	if q.newestKept != 0 {
		q.entries.at(q.newestKept).next = i
	} else {
		q.oldestKept = i
	}
	q.newestKept, e.next = i, 0
	q.stats.Kept++
	if q.nextToShed == 0 {
		q.nextToShed = i
	}
	q.shedResults()
}

// storeResult stores the result of a job. shedResults may have to drop older ones for it.
func (q *Queue) storeResult(e *entry, result []byte) {
	if e.has(fresh) {
		return // its client has received it on its connection
	}
	e.result = string(result)
	q.resultBytes += int64(len(result))
}

// shedResults drops the oldest results while bodies and results exceed MaxBytes. Their jobs stay known.
func (q *Queue) shedResults() {
	for q.bodyBytes+q.resultBytes > q.limits.MaxBytes && q.nextToShed != 0 {
		e := q.entries.at(q.nextToShed)
		if len(e.result) > 0 {
			q.resultBytes -= int64(len(e.result))
			e.result = ""
			e.flags |= resultShed
			q.stats.ResultsShed++
		}
		q.nextToShed = e.next
	}
}

// evictKept forgets final jobs whose retention has ended, and the oldest ones if there are more than MaxKept.
func (q *Queue) evictKept(now time.Duration, work *int) {
	for ; *work > 0 && q.oldestKept != 0; *work-- {
		i := q.oldestKept
		e := q.entries.at(i)
		old := now-e.entered >= q.limits.Retention
		if !old && q.stats.Kept <= q.limits.MaxKept || e.dependants != 0 { // its dependants must be notified first
			return
		}
		if !old {
			q.stats.ForgottenEarly++
		}
		q.oldestKept = e.next
		if q.newestKept == i {
			q.newestKept = 0
		}
		if q.nextToShed == i {
			q.nextToShed = e.next
		}
		q.resultBytes -= int64(len(e.result))
		q.stats.Kept--
		delete(q.byName, e.name)
		q.freeEntry(i)
	}
}
