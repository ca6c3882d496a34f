package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
	"gaugeslip/policy/sizing"
)

// reach tells what is known of the way to a worker.
type reach uint8

const (
	reachUnheard   reach = iota // it has answered no hold of this scheduler, so that it may not know the token
	reachAnswering              // it has answered the last hold
	reachSilent                 // it hasn't
	reachOver                   // this life has ended
)

var reachNames = [...]string{reachUnheard: "unheard", reachAnswering: "answering", reachSilent: "silent", reachOver: "over"}

// worker is one life of a worker.
type worker struct {
	identity workerapi.Worker
	service  *service
	capacity Resources
	labels   []string
	listed   bool
	draining bool
	// unlistedAt is when it went off the list.
	unlistedAt       time.Duration
	reach            reach
	lossProposed     bool // WorkerLost is proposed
	clock            workerClock
	maxDueMs         int64 // the latest due time that was sent, on its clock
	hold             holdState
	answeredAt       time.Duration // when it answered a call last
	lastProposedEnd  uint64        // the highest number of an end that was proposed
	lastCommittedEnd uint64        // the highest number of an end that was committed
	runs             map[state.Run]*run
	runList          []*run    // the same, in an order that depends on nothing but the inputs
	used             Resources // of all runs that count
	withheld         []Resources
	freed            bool // it is among its service's freed workers
	health           health
	departure        departure
	// reservedFor is the held step for which room that is freed here is kept.
	reservedFor *step
}

// service is the workers of one kind, and what waits for them.
type service struct {
	name          string
	preconditions bool
	workers       []*worker // the listed ones, by name
	queue         *sizing.Queue[*step]
	tryAll        bool      // some held step has to be tried on all workers
	freed         []*worker // on which room has been freed
	shareBlocked  bool      // some held step may be kept back by its tenant's share

	// useQuarantined lets its overdue steps go to workers that are shut out.
	useQuarantined bool

	reserved      reservation
	sizes         *sizing.Map
	layout        sizing.Layout
	layoutAt      time.Duration
	layoutWorkers int
}

// sizeRanges is into how many ranges a service's workers are split.
const sizeRanges = 3

func (s *Scheduler) ensureService(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, queue: sizing.NewQueue[*step](), sizes: sizing.NewMap(sizeRanges)}
		s.services[name] = svc
		s.serviceOrder = append(s.serviceOrder, svc)
	}
	return svc
}

// ensureWorker gives the record of a life of a worker.
func (s *Scheduler) ensureWorker(instance string) *worker {
	w := s.workers[instance]
	if w == nil {
		w = &worker{identity: workerapi.Worker{Instance: instance}, runs: make(map[state.Run]*run), unlistedAt: s.now}
		s.workers[instance] = w
	}
	return w
}

// Listed takes in a whole list of the platform.
func (s *Scheduler) Listed(now time.Duration, instances []workerapi.Instance) {
	s.advance(now)
	s.lastMark++
	mark := s.lastMark
	s.firstHolds.fleet = len(instances)
	for i := range instances {
		w := s.ensureWorker(instances[i].ID)
		w.hold.mark = mark
		s.updateListed(w, &instances[i])
	}
	for _, instance := range s.unmarkedWorkers(mark) {
		s.updateUnlisted(s.workers[instance])
	}
}

// unmarkedWorkers are the workers that the last list lacks, in order.
func (s *Scheduler) unmarkedWorkers(mark uint64) []string {
	var instances []string
	for instance, w := range s.workers {
		if w.hold.mark != mark {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	return instances
}

// updateListed takes in what the platform tells of one worker.
func (s *Scheduler) updateListed(w *worker, instance *workerapi.Instance) {
	w.identity.Address = instance.Address
	w.capacity = allocatable(instance.Allocatable)
	if !slices.Equal(w.labels, instance.Labels) {
		w.labels = instance.Labels
	}
	if instance.State == workerapi.StateDraining {
		s.drain(w, instance.RemainingMs)
	}
	if !w.listed {
		w.listed = true
		s.joinService(w, s.ensureService(instance.Backend))
	}
	if w.reach == reachUnheard {
		s.scheduleHold(w, s.now)
	}
}

// joinService puts a worker among those of its service.
func (s *Scheduler) joinService(w *worker, svc *service) {
	w.service = svc
	at, _ := slices.BinarySearchFunc(svc.workers, w, byInstance)
	svc.workers = slices.Insert(svc.workers, at, w)
	s.capacityFreed(w)
}

func byInstance(a, b *worker) int { return cmp.Compare(a.identity.Instance, b.identity.Instance) }

// forgetAfter is how long a worker that is off the list is remembered.
const forgetAfter = 10 * time.Second

// updateUnlisted takes note that the platform doesn't list a worker any more.
func (s *Scheduler) updateUnlisted(w *worker) {
	if w.listed {
		w.listed = false
		w.unlistedAt = s.now
		if at, found := slices.BinarySearchFunc(w.service.workers, w, byInstance); found {
			w.service.workers = slices.Delete(w.service.workers, at, at+1)
		}
	}
	s.checkLoss(w)
	if len(w.runs) == 0 && !w.lossProposed && s.now-w.unlistedAt > forgetAfter {
		s.forgetWorker(w)
	}
}

// forgetWorker drops the record of a worker that is gone, and the replicated one.
func (s *Scheduler) forgetWorker(w *worker) {
	delete(s.workers, w.identity.Instance)
	if s.machine.Worker(w.identity.Instance) != nil {
		s.propose(state.Command{Kind: state.KindWorkerForgotten, WorkerForgotten: w.identity.Instance})
	}
}

// schedulable tells whether the worker may be given something.
func (w *worker) schedulable() bool {
	return w.listed && !w.draining && w.reach == reachAnswering && !w.lossProposed
}

// free is the room that is left: what was stated, less all that runs or may run, and less what a refusal has shown to be missing.
func (w *worker) free() Resources {
	free := w.capacity.minus(w.used)
	for _, missing := range w.withheld {
		free = free.minus(missing)
	}
	return free
}

// maxWithheld bounds how much is withheld after refusals.
const maxWithheld = 4

// withholdCapacity takes note that a worker refused a task for want of room.
func (s *Scheduler) withholdCapacity(w *worker, need Resources) {
	if len(w.withheld) < maxWithheld && len(w.runs) > 1 {
		w.withheld = append(w.withheld, need)
	}
}

// returnWithheld gives back one lane after a clean finish.
func (w *worker) returnWithheld() {
	if n := len(w.withheld); n > 0 {
		w.withheld = w.withheld[:n-1]
	}
}

// capacityFreed has held steps tried on a worker.
func (s *Scheduler) capacityFreed(w *worker) {
	if w.freed || w.service == nil || !w.schedulable() {
		return
	}
	w.freed = true
	w.service.freed = append(w.service.freed, w)
}

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.labels, label) }

func (w *worker) hasLabels(labels []string) bool {
	for _, label := range labels {
		if !w.hasLabel(label) {
			return false
		}
	}
	return true
}

// rack is the label that names where the worker stands: the last one.
func (w *worker) rack() string {
	if len(w.labels) == 0 {
		return ""
	}
	return w.labels[len(w.labels)-1]
}
