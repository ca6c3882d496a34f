package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
	"gaugeslip/policy/sizing"
)

// reach is whether a worker answers holds.
type reach uint8

const (
	reachUnheard   reach = iota // has answered no hold of this scheduler, so it may not know the token
	reachAnswering              // has answered the last hold
	reachSilent                 // has stopped answering
	reachOver                   // this instance has ended
)

var reachNames = [...]string{reachUnheard: "unheard", reachAnswering: "answering", reachSilent: "silent", reachOver: "over"}

// worker is one worker instance: one process lifetime of a worker.
type worker struct {
	identity workerapi.Worker
	service  *service
	capacity Resources
	labels   []string
	listed   bool
	draining bool
	// unlistedAt is when the platform stopped listing it.
	unlistedAt       time.Duration
	reach            reach
	lossProposed     bool // a WorkerLost command is proposed
	clock            workerClock
	maxDueMs         int64 // highest due time that was sent, on the worker's clock
	hold             holdState
	answeredAt       time.Duration // when it last answered a call
	lastProposedEnd  uint64        // highest number of an end that was proposed
	lastCommittedEnd uint64        // highest number of an end that was committed
	runs             map[state.Run]*run
	runList          []*run    // the same runs in a deterministic order
	used             Resources // by all runs whose phase uses capacity
	withheld         []Resources
	freed            bool // it is in its service's freed list
	health           health
	departure        departure
	// reservedFor is the queued step for which the worker is reserved.
	reservedFor *step
}

// service groups the workers of one backend and the steps that wait for them.
type service struct {
	name          string
	preconditions bool
	workers       []*worker // the listed ones, ordered by instance
	queue         *sizing.Queue[*step]
	tryAll        bool      // some queued step has to be tried on all workers
	freed         []*worker // workers with freed capacity
	shareBlocked  bool      // some queued step may be blocked by its tenant's share

	// useQuarantined lets overdue steps use quarantined workers.
	useQuarantined bool

	reserved      reservation
	sizes         *sizing.Map
	layout        sizing.Layout
	layoutAt      time.Duration
	layoutWorkers int
}

// sizeRanges is the number of ranges by task size into which a service's workers are split.
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

// ensureWorker returns the record of a worker instance and creates it if needed.
func (s *Scheduler) ensureWorker(instance string) *worker {
	w := s.workers[instance]
	if w == nil {
		w = &worker{identity: workerapi.Worker{Instance: instance}, runs: make(map[state.Run]*run), unlistedAt: s.now}
		s.workers[instance] = w
	}
	return w
}

// Listed applies a complete list of the platform's workers.
func (s *Scheduler) Listed(now time.Duration, instances []workerapi.Instance) {
	s.advance(now)
	s.lastMark++
	mark := s.lastMark
	s.firstHolds.fleet = len(instances)
	for i := range instances {
		w := s.ensureWorker(instances[i].ID)
		w.hold.listMark = mark
		s.updateListed(w, &instances[i])
	}
	for _, instance := range s.unmarkedWorkers(mark) {
		s.updateUnlisted(s.workers[instance])
	}
}

// unmarkedWorkers returns the workers that are not in the last list, in order.
func (s *Scheduler) unmarkedWorkers(mark uint64) []string {
	var instances []string
	for instance, w := range s.workers {
		if w.hold.listMark != mark {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	return instances
}

// updateListed applies what the platform lists about one worker.
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

// joinService adds a worker to its service.
func (s *Scheduler) joinService(w *worker, svc *service) {
	w.service = svc
	at, _ := slices.BinarySearchFunc(svc.workers, w, byInstance)
	svc.workers = slices.Insert(svc.workers, at, w)
	s.capacityFreed(w)
}

func byInstance(a, b *worker) int { return cmp.Compare(a.identity.Instance, b.identity.Instance) }

// forgetAfter is how long an unlisted worker is remembered.
const forgetAfter = 10 * time.Second

// updateUnlisted handles a worker that the platform does not list.
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

// forgetWorker removes the record of a worker that is gone, here and in the replicated state.
func (s *Scheduler) forgetWorker(w *worker) {
	delete(s.workers, w.identity.Instance)
	if s.machine.Worker(w.identity.Instance) != nil {
		s.propose(state.Command{Kind: state.KindWorkerForgotten, WorkerForgotten: w.identity.Instance})
	}
}

// schedulable reports whether starts may be sent to the worker.
func (w *worker) schedulable() bool {
	return w.listed && !w.draining && w.reach == reachAnswering && !w.lossProposed
}

// free returns the free capacity: what was stated, minus all runs that use or may use it, minus what refusals have shown to be missing.
func (w *worker) free() Resources {
	free := w.capacity.minus(w.used)
	for _, missing := range w.withheld {
		free = free.minus(missing)
	}
	return free
}

// maxWithheld limits how many needs are withheld after refusals.
const maxWithheld = 4

// withholdCapacity reduces a worker's capacity by the need of a task that it refused for lack of capacity.
func (s *Scheduler) withholdCapacity(w *worker, need Resources) {
	if len(w.withheld) < maxWithheld && len(w.runs) > 1 {
		w.withheld = append(w.withheld, need)
	}
}

// returnWithheld returns one withheld need after a successful run.
func (w *worker) returnWithheld() {
	if n := len(w.withheld); n > 0 {
		w.withheld = w.withheld[:n-1]
	}
}

// capacityFreed has queued steps tried on a worker.
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

// rack returns the label that names the worker's location: the last one.
func (w *worker) rack() string {
	if len(w.labels) == 0 {
		return ""
	}
	return w.labels[len(w.labels)-1]
}
