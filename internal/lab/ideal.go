package lab

import (
	"time"

	"gaugeslip/internal/fleet"
)

// An ideal run is the reference for measuring misplacement. One decision maker for the whole fleet knows each job's true size, when
// each lane is free and which hosts are lost, and has no network delay. As in other runs, jobs on a host are lost with the host.

// lane is one lane of a host.
type lane struct {
	host   *fleet.Host
	freeAt time.Duration
	job    *clientJob // the last assigned job
}

// NewIdeal prepares a run without dispatchers: a job goes to the lane where it ends first, and is refused if that is too late.
func NewIdeal(sc *Scenario, seed uint64) (*Lab, error) {
	l, err := New(sc, seed, false)
	if err != nil {
		return nil, err
	}
	for _, h := range l.hosts {
		for range h.Lanes {
			l.idealLanes = append(l.idealLanes, lane{host: h, freeAt: epoch})
		}
	}
	return l, nil
}

// assign places or refuses one job.
func (l *Lab) assign(o *clientJob) {
	var best *lane
	end := time.Duration(0)
	for i := range l.idealLanes {
		x := &l.idealLanes[i]
		if !x.host.Reachable() || x.host.Draining() {
			continue
		}
		speed := x.host.Capacity(l.now) / float64(x.host.Lanes)
		if at := max(x.freeAt, l.now) + time.Duration(float64(o.size)/speed); best == nil || at < end {
			best, end = x, at
		}
	}
	if best == nil || end > l.deadline(o) {
		l.report.Refused++
		l.retry(o, 0, true)
		return
	}
	best.freeAt, best.job = end, o
	o.finished = true
	l.classTallies[o.class].served++
	l.classTallies[o.class].inTime += o.worth
	l.report.Served++
	l.report.InTime++
	l.report.latency(o.class, end-o.requestedAt)
	l.addToTallies(o, 0, o.worth)
}

// releaseLostHost takes back the last job of each busy lane of a lost host from an ideal run's results. A job that is safe to repeat
// is assigned again; others are lost.
func (l *Lab) releaseLostHost(h *fleet.Host) {
	for i := range l.idealLanes {
		x := &l.idealLanes[i]
		o := x.job
		if x.host != h || o == nil || x.freeAt <= l.now {
			continue
		}
		x.job, x.freeAt = nil, l.now
		o.finished = false
		l.classTallies[o.class].served--
		l.classTallies[o.class].inTime -= o.worth
		l.report.Served--
		l.report.InTime--
		l.addToTallies(o, 0, -o.worth)
		if !l.scenario.Classes[o.class].Once {
			l.assign(o)
		}
	}
}
