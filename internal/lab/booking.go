package lab

import (
	"time"
)

// recordCompletedWork adds the work of a completed job to the total for its outcome. way is the network delay to the dispatcher.
func (l *Lab) recordCompletedWork(s *send, way time.Duration) {
	o, w := s.try.job, &l.work
	sum := &w.InTime
	switch {
	case o.completed:
		sum = &w.Repeated
	case s.try.answered || s.ended:
		sum = &w.Abandoned
	case l.now+way > l.deadline(o):
		sum = &w.Late
	}
	*sum += o.size.Seconds()
	if o.completed = o.completed || sum != &w.Abandoned; l.hosts[s.host].Room != l.nodes[s.node].room {
		w.Crossed += o.size.Seconds()
	}
}

// addToTallies adds to the tallies of the second in which a job was requested, in total and for its room.
func (l *Lab) addToTallies(o *clientJob, asked, inTime float64) {
	at := min(int((o.requestedAt-epoch)/time.Second), len(l.perSecond)-1)
	for _, t := range []*tally{&l.perSecond[at], &l.perRoom[o.room][at]} {
		t.asked, t.inTime = t.asked+asked, t.inTime+inTime
	}
}

// deadline returns the time until which a job has a value.
func (l *Lab) deadline(o *clientJob) time.Duration {
	return o.requestedAt + l.scenario.Classes[o.class].Within(o.size)
}
