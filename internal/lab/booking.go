package lab

import (
	"time"
)

// did books work that has run to its end, by what becomes of it. Its news takes so long to its dispatcher.
func (l *Lab) did(s *send, way time.Duration) {
	o, w := s.try.order, &l.work
	sum := &w.InTime
	switch {
	case o.ran:
		sum = &w.Repeated
	case s.try.answered || s.over:
		sum = &w.Abandoned
	case l.now+way > l.due(o):
		sum = &w.Late
	}
	*sum += o.size.Seconds()
	if o.ran = o.ran || sum != &w.Abandoned; l.hosts[s.host].Room != l.nodes[s.node].room {
		w.Crossed += o.size.Seconds()
	}
}

// book adds to the tallies of the second in which an order was asked for, of all and of its room.
func (l *Lab) book(o *order, asked, inTime float64) {
	at := min(int((o.first-epoch)/time.Second), len(l.secs)-1)
	for _, t := range []*tally{&l.secs[at], &l.rooms[o.room][at]} {
		t.asked, t.inTime = t.asked+asked, t.inTime+inTime
	}
}

// due is until when an order is worth anything.
func (l *Lab) due(o *order) time.Duration {
	return o.first + l.sc.Classes[o.class].Within(o.size)
}
