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
	floor    float64
	longest  time.Duration   // advice that can be given
	turns    []time.Duration // by class
	classes  []offered
	order    []int // classes, the last refused first
	admit    float64
	streak   int           // jobs that ended in time, one after the other
	at       time.Duration // of the last arrival
	mean     float64       // work of a job
	promises float64       // work that may yet be promised to come back
}

// offered is what is asked for of a class.
type offered struct {
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
	lessRefused, lessLate, more = 0.01, 0.1, 0.02
	// Without such news it grows with time, by so much a second: a dispatcher that sees little, or whose clients have gone, comes
	// back as soon as one that sees much. Those that end in time one after the other count more and more, up to mostStreak times.
	drift      = 0.03
	mostStreak = 8
	// calm is where it is all again: it comes near to 1 of itself, but not up to it while now and then a job is late.
	calm        = 0.995
	forgetting  = 0.02 // of the means, a job
	leastTurn   = 50 * time.Millisecond
	usualAdvice = 2 * time.Second
)

// NewShedder makes one that lets everything in, for a dispatcher with these settings. Limits that are not sound, or that name
// classes that are not there, are an error that begins with the key.
func NewShedder(l Limits, cfg *policy.Config) (*Shedder, error) {
	order, err := l.ClassOrder(cfg)
	if err != nil {
		return nil, err
	}
	s := &Shedder{floor: l.Floor, order: order, admit: 1, longest: cmp.Or(cfg.MaxRetryAfter, usualAdvice)}
	for _, c := range cfg.Classes { // who comes a turn later must still be in time
		s.turns = append(s.turns, max(min(c.OnTime, s.longest), leastTurn))
	}
	s.classes = make([]offered, len(cfg.Classes))
	for i := range s.classes {
		s.classes[i].share = 1 / float64(len(cfg.Classes))
	}
	return s, nil
}

// ClassOrder is the order in which classes are kept, as numbers. By default the one that is worth more for its work is kept longer; where
// worth is by the job, its wait tells of its work.
func (l *Limits) ClassOrder(cfg *policy.Config) (all []int, err error) {
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

// place is where a job stands in its class at a time, 0 to 1: 0 as its turn begins, 1 as it ends.
func (s *Shedder) place(now time.Duration, class int, key uint64) float64 {
	turn := s.turns[class]
	// Mixed, so that keys that count on from one another are spread.
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	at := float64(now%turn)/float64(turn) - float64((key^key>>31)>>11)/(1<<53)
	return at - math.Floor(at)
}

// AdmitJob takes in a job at a time on a clock that all dispatchers share. False: it is to be refused at once, and its client
// told to come back after a while.
func (s *Shedder) AdmitJob(now time.Duration, j Job) (ok bool, after time.Duration) {
	if s.grow(drift * max(0, min(now-s.at, time.Minute)).Seconds()); now > s.at {
		s.at = now
	}
	work := j.Work.Seconds()
	s.mean = cmp.Or(s.mean, work, 1)
	if j.Work <= 0 {
		work = s.mean
	}
	s.mean += (work - s.mean) * forgetting
	// A class's share of the work, from jobs weighed by theirs: a few heavy ones must not swing it.
	weight := forgetting * min(work/s.mean, 4)
	for i := range s.classes {
		c := &s.classes[i]
		if c.share -= c.share * weight; i == j.Class {
			c.share += weight
		}
	}
	place := s.place(now, j.Class, j.Key)
	if j.Retry && !j.Keyed {
		place = 1 // it may have been refused anywhere: it is not dealt another place
	}
	if s.admit >= 1 || place < s.floor || s.position(j.Class, place) < s.admit {
		s.promises = min(s.promises+work*s.floor, 4*s.mean)
		return true, 0
	}
	// Its turn begins when its place is 0 again; a little later, so that it surely has.
	after = time.Duration((1 - place + s.floor/4) * float64(s.turns[j.Class]))
	if !j.Keyed || s.promises < work || after >= s.longest {
		return false, s.longest // there is no room in sight
	}
	s.promises -= work
	return false, after
}

// position is how much of the offered work comes before a job in the one order in which all shed.
func (s *Shedder) position(class int, place float64) float64 {
	at := s.floor
	for _, i := range s.order {
		if i == class {
			return at + (place-s.floor)*s.classes[i].share
		}
		at += (1 - s.floor) * s.classes[i].share
	}
	return at
}

// Outcome is what became of a job that was let in.
type Outcome uint8

// The ends that tell of room. Jobs that failed for other causes tell nothing.
const (
	InTime  Outcome = iota
	Late            // or its client left before it ended
	Refused         // the module refused it
)

// JobEnded tells what became of a job that was let in.
func (s *Shedder) JobEnded(work time.Duration, end Outcome) {
	w := min(work.Seconds()/max(s.mean, 1e-9), 3)
	if work <= 0 {
		w = 1
	}
	switch end {
	case InTime:
		s.streak = min(s.streak+1, mostStreak)
		s.grow(more * w * float64(s.streak))
	case Late:
		s.admit, s.streak = max(s.floor, s.admit*(1-lessLate*w)), 0
	case Refused:
		s.admit, s.streak = max(s.floor, s.admit*(1-lessRefused*w)), 0
	}
}

// grow lets in more.
func (s *Shedder) grow(by float64) {
	if s.admit += by; s.admit > calm {
		s.admit = 1
	}
}

// AdmittedShare is the share of the offered work that is let in now.
func (s *Shedder) AdmittedShare() float64 { return s.admit }
