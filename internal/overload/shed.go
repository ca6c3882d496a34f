package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gaugeslip/policy"
)

// Shedder refuses jobs before they reach the decision module, while the load exceeds what can be done in time. It uses only what one
// dispatcher sees, but in such a way that all dispatchers come to the same decision on a job:
//
//   - Each job has a phase from 0 to 1 within its class, which follows from its key (what it concerns) and the time. The phase advances
//     with time and wraps around once per period, so that a job refused by one dispatcher is refused by the others too if it is
//     retried at once, and no job is refused for ever. A period is as long as the class's target beyond its running time: a client that
//     retries one period later may still be in time.
//   - Classes have a fixed order, by worth per work. The floors of all classes come before everything else.
//   - The share of the offered work that is admitted is learned from the outcome of admitted jobs. It decreases with each one that the
//     module refused or that ended late, and increases with each one that ended in time.
//
// A refusal here is harmless, since the job was not sent anywhere. A client that gets a time to retry can rely on it: at that time its
// phase is within the floor, and no more work gets such a time than the floor can hold. Use NewShedder; the zero value is not valid.
type Shedder struct {
	floor          float64
	maxRetryAfter  time.Duration   // longest retry time that may be advised
	periods        []time.Duration // by class
	classes        []classLoad
	order          []int // classes, the one refused last first
	admittedShare  float64
	streak         int // jobs in a row that ended in time
	lastArrival    time.Duration
	meanWork       float64 // of a job
	promisableWork float64 // work that may still get a time to retry
}

// classLoad is the load that a class offers.
type classLoad struct {
	share float64 // of the offered work
}

// Job describes a job to the Shedder.
type Job struct {
	Class int
	Key   uint64        // what the job concerns, equal in all retries of its client; any number if not Keyed
	Keyed bool          // Key is valid
	Retry bool          // the client says that it has sent the job before
	Work  time.Duration // as hinted; 0: the mean
}

const (
	// The admitted share decreases by these shares with each job of mean work that the module refused, which cost nothing, or that
	// ended late. It increases by the third with each one that ended in time. docs/design/overload.md has the reasons for the numbers.
	decreaseRefused, decreaseLate, increase = 0.01, 0.1, 0.02
	// Without outcomes the share increases by this much per second, so that a dispatcher with little traffic, or whose clients have
	// gone, recovers as soon as one with much. Jobs in a row that end in time increase the share by a growing multiple, up to
	// maxStreak.
	recoveryRate = 0.03
	maxStreak    = 8
	// From this share on all is admitted: the share comes near 1 by itself, but does not reach it while a few jobs are late.
	fullAbove            = 0.995
	smoothing            = 0.02 // of the means, per job
	minPeriod            = 50 * time.Millisecond
	defaultMaxRetryAfter = 2 * time.Second
)

// NewShedder returns a Shedder that admits all jobs at first, for a dispatcher with these settings. Limits that are invalid or that
// name unknown classes are an error whose text starts with the key.
func NewShedder(l Limits, cfg *policy.Config) (*Shedder, error) {
	order, err := l.ClassOrder(cfg)
	if err != nil {
		return nil, err
	}
	s := &Shedder{floor: l.Floor, order: order, admittedShare: 1, maxRetryAfter: cmp.Or(cfg.MaxRetryAfter, defaultMaxRetryAfter)}
	for _, c := range cfg.Classes { // a client that retries a period later must still be in time
		s.periods = append(s.periods, max(min(c.OnTime, s.maxRetryAfter), minPeriod))
	}
	s.classes = make([]classLoad, len(cfg.Classes))
	for i := range s.classes {
		s.classes[i].share = 1 / float64(len(cfg.Classes))
	}
	return s, nil
}

// ClassOrder returns the numbers of the classes, the one refused last first. By default the class with more worth per work is refused
// later. Where worth is per job, the class's deadline stands for its work.
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
			return nil, &orderError{name, "is unknown"}
		}
		delete(named, name)
		all = append(all, i)
	}
	for name := range named {
		return nil, &orderError{name, "is missing, or another class is listed twice"}
	}
	return all, nil
}

type orderError struct{ class, why string }

func (e *orderError) Error() string { return "order: class \"" + e.class + "\" " + e.why }

// phase returns the phase of a job within its class at a time, from 0 at the start of its period to 1 at the end.
func (s *Shedder) phase(now time.Duration, class int, key uint64) float64 {
	period := s.periods[class]
	// The key is mixed, so that consecutive keys are spread.
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	at := float64(now%period)/float64(period) - float64((key^key>>31)>>11)/(1<<53)
	return at - math.Floor(at)
}

// AdmitJob decides on a job at a time on a clock that all dispatchers share. If ok is false, the job is to be refused at once, with
// after as advice when to retry.
func (s *Shedder) AdmitJob(now time.Duration, j Job) (ok bool, after time.Duration) {
	if s.increaseAdmission(recoveryRate * max(0, min(now-s.lastArrival, time.Minute)).Seconds()); now > s.lastArrival {
		s.lastArrival = now
	}
	work := j.Work.Seconds()
	s.meanWork = cmp.Or(s.meanWork, work, 1)
	if j.Work <= 0 {
		work = s.meanWork
	}
	s.meanWork += (work - s.meanWork) * smoothing
	// Shares of classes are averaged over jobs weighted by work, with a limit, so that a few large jobs do not distort them.
	weight := smoothing * min(work/s.meanWork, 4)
	for i := range s.classes {
		c := &s.classes[i]
		if c.share -= c.share * weight; i == j.Class {
			c.share += weight
		}
	}
	phase := s.phase(now, j.Class, j.Key)
	if j.Retry && !j.Keyed {
		phase = 1 // a retry without a key may have been refused anywhere: it gets no other phase
	}
	if s.admittedShare >= 1 || phase < s.floor || s.workAhead(j.Class, phase) < s.admittedShare {
		s.promisableWork = min(s.promisableWork+work*s.floor, 4*s.meanWork)
		return true, 0
	}
	// The job's period starts when its phase is 0 again. A little is added, to be surely past that.
	after = time.Duration((1 - phase + s.floor/4) * float64(s.periods[j.Class]))
	if !j.Keyed || s.promisableWork < work || after >= s.maxRetryAfter {
		return false, s.maxRetryAfter // no capacity in sight
	}
	s.promisableWork -= work
	return false, after
}

// workAhead returns the share of the offered work that precedes a job in the order that all dispatchers use.
func (s *Shedder) workAhead(class int, phase float64) float64 {
	at := s.floor
	for _, i := range s.order {
		if i == class {
			return at + (phase-s.floor)*s.classes[i].share
		}
		at += (1 - s.floor) * s.classes[i].share
	}
	return at
}

// Outcome is what became of an admitted job.
type Outcome uint8

// The outcomes that depend on capacity. Jobs that failed for other causes are not reported.
const (
	InTime  Outcome = iota
	Late            // or its client left before the end
	Refused         // by the module
)

// JobEnded records the outcome of an admitted job.
func (s *Shedder) JobEnded(work time.Duration, end Outcome) {
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
	case Refused:
		s.admittedShare, s.streak = max(s.floor, s.admittedShare*(1-decreaseRefused*w)), 0
	}
}

// increaseAdmission increases the admitted share.
func (s *Shedder) increaseAdmission(by float64) {
	if s.admittedShare += by; s.admittedShare > fullAbove {
		s.admittedShare = 1
	}
}

// AdmittedShare returns the share of the offered work that is admitted now.
func (s *Shedder) AdmittedShare() float64 { return s.admittedShare }
