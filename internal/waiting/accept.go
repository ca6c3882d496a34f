package waiting

import (
	"slices"
	"time"
)

// AddFresh adds a job that does not wait. If it returns false, the job has been answered and must not be passed on.
func (r *Queue) AddFresh(now time.Duration, j *Job) bool {
	if r.names[j.Name] != 0 {
		r.refuse(j, StatusConflict, "the id is already used", 0)
		return false
	}
	if j.Class < len(r.patience) {
		r.patience[j.Class] = max(r.patience[j.Class], min(j.Deadline-j.Arrived, r.fleet.Classes[j.Class].Deadline))
	}
	i := r.add(j, fresh|attached)
	e := r.all.at(i)
	e.state, e.entered, e.ready = Released, now, now
	e.flags |= unsent
	if r.lim.RememberFresh {
		e.flags |= indexed
		r.names[e.name] = i
	}
	r.stats.Fresh++
	return true
}

func (r *Queue) add(j *Job, flags uint16) uint32 {
	i := r.take()
	e := r.all.at(i)
	*e = entry{name: j.Name, number: j.Number, arrived: j.Arrived, deadline: j.Deadline, size: j.Size,
		class: int16(j.Class), tenant: int16(j.Tenant), slots: int16(j.Slots), bytes: uint32(j.Bytes), flags: flags}
	r.open[j.Number] = i
	return i
}

func (r *Queue) refuse(j *Job, status int, why string, after time.Duration) {
	r.do(Action{Kind: Answer, Job: Job{Number: j.Number}, Status: status, Reason: why, RetryAfter: after})
}

// Submit adds a job that asks to wait. The job is either answered at once or held; a detached job that is held is also
// accepted.
//
// A job can wait only for jobs that are known when it arrives, and becomes known itself only afterwards. Predecessors
// are always older, so there can be no cycle.
func (r *Queue) Submit(now time.Duration, j *Job) {
	r.stats.Submitted++
	if r.names[j.Name] != 0 {
		r.refuse(j, StatusConflict, "the id is already used", 0)
		return
	}
	due := j.Due
	if due == 0 {
		due = r.lim.DefaultDue
	}
	switch {
	case due > r.lim.MaxDue:
		r.refuse(j, 400, "X-Due-Ms: more than max_due allows", 0)
		return
	case j.NotBefore-j.Arrived > r.lim.MaxDelay: // measured from the arrival, so that late processing makes no difference
		r.refuse(j, 400, "X-Not-Before-Ms: more than max_delay allows", 0)
		return
	case len(j.After) > maxAfter:
		r.refuse(j, 400, "X-After: more than 16 ids", 0)
		return
	case r.closing:
		r.refuse(j, StatusFull, "stopping", time.Second)
		return
	case j.Attached && max(j.NotBefore, now) >= j.Deadline-lastCall:
		r.refuse(j, StatusRefused, "the wait does not fit into the time that is left", 0)
		return
	}
	unmet, met := [maxAfter]uint32{}, true
	n := 0
	for _, name := range j.After {
		p := r.names[name]
		switch {
		case p == 0:
			r.refuse(j, StatusConflict, "X-After: unknown id "+name, 0)
			return
		case r.all.at(p).state == Served || r.all.at(p).state.Final() && r.lim.RunOnFailure:
		case r.all.at(p).state.Final():
			met = false
		case !slices.Contains(unmet[:n], p):
			unmet[n] = p
			n++
		}
	}
	if why := r.full(j); why != "" {
		r.stats.Full++
		r.refuse(j, StatusFull, why, r.advice(now))
		return
	}
	flags := indexed
	if j.Attached {
		flags |= attached
	}
	i := r.add(j, flags)
	e := r.all.at(i)
	e.ready, e.dueMS = j.NotBefore, uint32((due+time.Millisecond-1)/time.Millisecond)
	r.names[e.name] = i
	r.held++
	r.count(e, j.Client)
	r.bodies += int64(e.bytes)
	if !met {
		r.finish(now, i, Failed, StatusDependency, "a job that it waits for was not served", true)
		return
	}
	if !j.Attached {
		e.flags |= promised
		if r.records != nil {
			kept := *j
			kept.Due, kept.After = e.due(), nil
			for _, p := range unmet[:n] {
				kept.After = append(kept.After, r.all.at(p).name)
			}
			r.note(now, e, Record{Kind: Promised, Job: kept})
		}
		r.do(Action{Kind: Accept, Job: Job{Number: j.Number}})
	} else {
		r.ends.push(i, e.deadline-lastCall)
	}
	for _, p := range unmet[:n] {
		r.all.at(p).edges = r.link(i, e.number, r.all.at(p).edges)
	}
	e.preds = uint8(n)
	if e.ready > now {
		r.timers.push(i, e.ready)
	} else if n == 0 {
		r.makeReady(now, i)
	}
}

// clientJobs counts the held jobs of one client.
type share struct {
	name string
	jobs int
}

// countForClient adds a job to the count of its client.
func (r *Queue) count(e *entry, client string) {
	s := r.shares[client]
	if s == nil {
		s = &share{name: client}
		r.shares[client] = s
	}
	s.jobs++
	e.client = s
}

// addEdge creates an edge and returns its index.
func (r *Queue) link(of uint32, number uint64, next uint32) uint32 {
	x := edge{of, number, next}
	if i := r.spare; i != 0 {
		r.spare = r.edges.at(i).next
		*r.edges.at(i) = x
		return i
	}
	return r.edges.push(x)
}

// exceededLimit names the limit that a job would exceed; "": none.
func (r *Queue) full(j *Job) string {
	switch {
	case r.held >= r.lim.MaxJobs:
		return "as many jobs wait as may"
	case r.bodies+int64(j.Bytes) > r.lim.MaxBytes:
		return "the bodies of waiting jobs take all the room there is"
	case r.shares[j.Client] != nil && r.shares[j.Client].jobs >= max(1, int(r.lim.ClientShare*float64(r.lim.MaxJobs))):
		return "this client has as many waiting jobs as it may"
	}
	return ""
}

// retryAfter estimates when a rejected client can find free space: after the earliest possible end of a held job, plus
// the mean interval between freed places for each client that was already told to retry. Each client is thereby
// directed to a place of its own.
func (r *Queue) advice(now time.Duration) time.Duration {
	gap := max(r.freeGap, time.Millisecond)
	first := gap
	if at, ok := r.timers.next(); ok && r.pace.in+r.ready.len()+r.again.len() == 0 {
		first = max(at-now, gap)
	}
	r.advised++
	return min(max(first+time.Duration(r.advised)*gap, time.Second), time.Hour).Round(time.Millisecond)
}
