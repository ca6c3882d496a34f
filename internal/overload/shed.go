package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gaugeslip/policy"
)

// Shedder decides at the door which jobs are refused before the decision module is asked at all, while more is asked for than
// can be done in time. It acts on what one dispatcher sees itself, but so that all come to the same verdict on a job:
//
//   - Each job has a place in its class that follows from its key (what it concerns) and the time alone. The place moves with
//     time, through the whole class in one turn, so that a job refused here is refused elsewhere too as long as it comes at
//     once, and nobody is shut out for ever. A turn is as long as the class's aim beyond its running time: who comes a turn
//     later may still be in time.
//   - Classes stand in one order, the dearest for its work first. The floor of each class comes before all else.
//   - What share of the offered work is let in, is learned from what became of the jobs that were: it shrinks with each that
//     the module refused or that ended late, and grows with each that ended in time.
//
// A refusal at the door is harmless by itself: the job went nowhere. Who is told to come back in time for its turn has a
// promise: at that time its place is in the floor, and no more are promised than the floor can hold. The zero value is of no
// use, see NewShedder.
type Shedder struct {
	floor          float64
	maxRetryAfter  time.Duration   // advice that can be given
	periods        []time.Duration // by class
	classes        []classLoad
	order          []int // classes, the last refused first
	admittedShare  float64
	streak         int           // jobs that ended in time, one after the other
	lastArrival    time.Duration // of the last arrival
	meanWork       float64       // work of a job
	promisableWork float64       // work that may yet be promised to come back
}

// classLoad is what is asked for of a class.
type classLoad struct {
	share float64 // of the work that is offered
}

// Job is what the Shedder has to know of one.
type Job struct {
	Class int
	Key   uint64        // of what it concerns, alike in each of its client's tries; any number where there is none
	Keyed bool          // there is
	Retry bool          // its client says that it has asked before
	Work  time.Duration // as hinted; 0: the mean
}

const (
	// What is let in shrinks by these shares with each job of mean work that the module refused, which cost nobody anything, or
	// that ended late, and grows by more with each that ended in time. Weighed in docs/design/overload.md.
	decreaseRefused, decreaseLate, increase = 0.01, 0.1, 0.02
	// Without such news it grows with time, by so much a second: a dispatcher that sees little, or whose clients have gone, comes
	// back as soon as one that sees much. Those that end in time one after the other count more and more, up to maxStreak times.
	recoveryRate = 0.03
	maxStreak    = 8
	// fullAbove is where it is all again: it comes near to 1 of itself, but not up to it while now and then a job is late.
	fullAbove            = 0.995
	smoothing            = 0.02 // of the means, a job
	minPeriod            = 50 * time.Millisecond
	defaultMaxRetryAfter = 2 * time.Second
)

// NewShedder makes one that lets everything in, for a dispatcher with these settings. Limits that are not sound, or that name
// classes that are not there, are an error that begins with the key.
func NewShedder(l Limits, cfg *policy.Config) (*Shedder, error) {
	order, err := l.Ranked(cfg)
	if err != nil {
		return nil, err
	}
	s := &Shedder{floor: l.Floor, order: order, admittedShare: 1, maxRetryAfter: cmp.Or(cfg.MaxRetryAfter, defaultMaxRetryAfter)}
	for _, c := range cfg.Classes { // who comes a turn later must still be in time
		s.periods = append(s.periods, max(min(c.OnTime, s.maxRetryAfter), minPeriod))
	}
	s.classes = make([]classLoad, len(cfg.Classes))
	for i := range s.classes {
		s.classes[i].share = 1 / float64(len(cfg.Classes))
	}
	return s, nil
}

// Ranked is the order in which classes are kept, as numbers. By default the one that is worth more for its work is kept longer; where
// worth is by the job, its wait tells of its work.
func (l *Limits) Ranked(cfg *policy.Config) (all []int, err error) {
	named := map[string]int{}
	for i, c := range cfg.Classes {
		named[c.Name] = i
		if len(l.Order) == 0 {
			all = append(all, i)
		}
	}
	if len(l.Order) == 0 {
		worth := func(i int) float64 {
			c := &cfg.Classes[i]
			if cfg.WorthByWork {
				return c.Worth
			}
			return c.Worth / max(c.Deadline.Seconds(), 1e-3)
		}
		slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(worth(b), worth(a)) })
		return all, nil
	}
	for _, name := range l.Order {
		i, ok := named[name]
		if !ok {
			return nil, &orderError{name, "is no class"}
		}
		delete(named, name)
		all = append(all, i)
	}
	for name := range named {
		return nil, &orderError{name, "is missing, or another stands there twice"}
	}
	return all, nil
}

type orderError struct{ class, why string }

func (e *orderError) Error() string { return "order: class \"" + e.class + "\" " + e.why }

// phase is where a job stands in its class at a time, 0 to 1: 0 as its turn begins, 1 as it ends.
func (s *Shedder) phase(now time.Duration, class int, key uint64) float64 {
	turn := s.periods[class]
	// Mixed, so that keys that count on from one another are spread.
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	at := float64(now%turn)/float64(turn) - float64((key^key>>31)>>11)/(1<<53)
	return at - math.Floor(at)
}

// Arrived takes in a job at a time on a clock that all dispatchers share. False: it is to be refused at once, and its client
// told to come back after a while.
func (s *Shedder) Arrived(now time.Duration, j Job) (ok bool, after time.Duration) {
	if s.increaseAdmission(recoveryRate * max(0, min(now-s.lastArrival, time.Minute)).Seconds()); now > s.lastArrival {
		s.lastArrival = now
	}
	work := j.Work.Seconds()
	s.meanWork = cmp.Or(s.meanWork, work, 1)
	if j.Work <= 0 {
		work = s.meanWork
	}
	s.meanWork += (work - s.meanWork) * smoothing
	// A class's share of the work, from jobs weighed by theirs: a few heavy ones must not swing it.
	weight := smoothing * min(work/s.meanWork, 4)
	for i := range s.classes {
		c := &s.classes[i]
		if c.share -= c.share * weight; i == j.Class {
			c.share += weight
		}
	}
	place := s.phase(now, j.Class, j.Key)
	if j.Retry && !j.Keyed {
		place = 1 // it may have been refused anywhere: it is not dealt another place
	}
	if s.admittedShare >= 1 || place < s.floor || s.workAhead(j.Class, place) < s.admittedShare {
		s.promisableWork = min(s.promisableWork+work*s.floor, 4*s.meanWork)
		return true, 0
	}
	// Its turn begins when its place is 0 again; a little later, so that it surely has.
	after = time.Duration((1 - place + s.floor/4) * float64(s.periods[j.Class]))
	if !j.Keyed || s.promisableWork < work || after >= s.maxRetryAfter {
		return false, s.maxRetryAfter // there is no room in sight
	}
	s.promisableWork -= work
	return false, after
}

// workAhead is how much of the offered work comes before a job in the one order in which all shed.
func (s *Shedder) workAhead(class int, place float64) float64 {
	at := s.floor
	for _, i := range s.order {
		if i == class {
			return at + (place-s.floor)*s.classes[i].share
		}
		at += (1 - s.floor) * s.classes[i].share
	}
	return at
}

// End is what became of a job that was let in.
type End uint8

// The ends that tell of room. Jobs that failed for other causes tell nothing.
const (
	InTime End = iota
	Late       // or its client left before it ended
	NoRoom     // the module refused it
)

// Came tells what became of a job that was let in.
func (s *Shedder) Came(work time.Duration, end End) {
	w := min(work.Seconds()/max(s.meanWork, 1e-9), 3)
	if work <= 0 {
		w = 1
	}
	switch end {
	case InTime:
		s.streak = min(s.streak+1, maxStreak)
		s.increaseAdmission(increase * w * float64(s.streak))
	case Late:
		s.admittedShare, s.streak = max(s.floor, s.admittedShare*(1-decreaseLate*w)), 0
	case NoRoom:
		s.admittedShare, s.streak = max(s.floor, s.admittedShare*(1-decreaseRefused*w)), 0
	}
}

// increaseAdmission lets in more.
func (s *Shedder) increaseAdmission(by float64) {
	if s.admittedShare += by; s.admittedShare > fullAbove {
		s.admittedShare = 1
	}
}

// Admit is the share of the offered work that is let in now.
func (s *Shedder) Admit() float64 { return s.admittedShare }
