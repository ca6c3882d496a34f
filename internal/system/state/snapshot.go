package state

import (
	"cmp"
	"fmt"
	"hash/crc64"
	"maps"
	"slices"

	"gaugeslip/internal/system/jobspec"
)

// The formats of a snapshot. The first is still written where no job has a tenant, so that replicas which know no tenants read it.
const (
	snapshotFormat       = 1
	tenantSnapshotFormat = 2 // each job is followed by its tenant
)

const (
	leastSnapshot = 1 << 16
	// snapshotGrowth: room is made for a snapshot that is longer by this part than the one before.
	snapshotGrowth = 8
)

var sumTable = crc64.MakeTable(crc64.ECMA)

func checksum(body []byte) uint64 { return crc64.Checksum(body, sumTable) }

// Snapshot gives the whole state, the same bytes for the same state.
func (m *Machine) Snapshot() []byte {
	w := &writer{data: make([]byte, 0, max(leastSnapshot, m.snapshotBytes+m.snapshotBytes/snapshotGrowth))}
	format := m.snapshotFormat()
	m.writeStart(w, format)
	for _, id := range slices.SortedFunc(maps.Keys(m.jobs), cmp.Compare[JobID]) {
		m.writeJob(w, m.jobs[id], format)
	}
	m.writeEnd(w)
	m.snapshotBytes = len(w.data)
	return w.data
}

// writeStart writes what comes before the jobs.
func (m *Machine) writeStart(w *writer, format byte) {
	w.byte(format)
	w.uint(m.config.Version)
	w.bytes(m.config.Body)
	w.uint(uint64(len(m.history)))
	for _, before := range m.history {
		w.uint(before.version)
		w.fixed(before.sum)
	}
	w.uint(uint64(len(m.jobs)))
}

func (m *Machine) writeJob(w *writer, job *Job, format byte) {
	w.job(job)
	if format == tenantSnapshotFormat {
		w.string(job.Tenant)
	}
}

// writeEnd writes what comes after the jobs.
func (m *Machine) writeEnd(w *writer) {
	w.uint(uint64(len(m.workers)))
	for _, instance := range slices.Sorted(maps.Keys(m.workers)) {
		w.string(instance)
		w.uint(m.workers[instance].LastSeen)
	}
}

func (m *Machine) snapshotFormat() byte {
	for _, job := range m.jobs {
		if job.Tenant != "" {
			return tenantSnapshotFormat
		}
	}
	return snapshotFormat
}

func (w *writer) job(job *Job) {
	w.accepted(&job.JobAccepted)
	w.byte(byte(job.State))
	w.int(job.OverMs)
	w.uint(uint64(len(job.Times)))
	for _, k := range slices.Sorted(maps.Keys(job.Times)) {
		w.uint(uint64(k))
		for i := range job.Times[k].Steps {
			w.step(&job.Times[k].Steps[i])
		}
	}
}

func (w *writer) step(step *Step) {
	w.uint(uint64(step.GangFailures))
	w.uint(uint64(step.GangFailed))
	for i := range step.Tasks {
		task := &step.Tasks[i]
		w.uint(uint64(task.Attempt))
		w.uint(uint64(task.Failures))
		w.bool(task.Done)
		w.string(task.Checkpoint)
		w.uint(uint64(len(task.Placements)))
		for _, placement := range task.Placements {
			w.uint(uint64(placement.Attempt))
			w.string(placement.Worker)
		}
	}
}

// Restore puts a snapshot in the place of the whole state; on an error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	r := &reader{data: snapshot}
	format := r.byte()
	if format != snapshotFormat && format != tenantSnapshotFormat {
		return fmt.Errorf("snapshot's format: %w", ErrCorrupt)
	}
	next := New()
	next.config = Config{Version: r.uint(), Body: r.bytes()}
	next.history = make([]taken, r.count())
	for i := range next.history {
		next.history[i] = taken{version: r.uint(), sum: r.fixed()}
	}
	for range r.count() {
		if err := next.readJob(r, format); err != nil {
			return err
		}
	}
	for range r.count() {
		next.openWorker(r.string()).LastSeen = r.uint()
	}
	if err := r.done(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	next.promise()
	next.snapshotBytes = len(snapshot)
	*m = *next
	return nil
}

func (m *Machine) readJob(r *reader, format byte) error {
	job := &Job{JobAccepted: *r.accepted(), State: JobState(r.byte()), OverMs: r.int()}
	times := r.count()
	if len(job.Body) > 0 {
		spec, err := jobspec.Parse(job.Body)
		if err != nil {
			return fmt.Errorf("snapshot's job %s: %w", job.ID, err)
		}
		job.Spec, job.Times = spec, map[uint32]*Occurrence{}
	}
	for range times {
		if job.Spec == nil {
			return fmt.Errorf("snapshot's job %s has due times without a body: %w", job.ID, ErrCorrupt)
		}
		m.readTime(r, job, uint32(r.uint()))
	}
	if format == tenantSnapshotFormat {
		job.Tenant = r.string()
	}
	m.chargeAll(job)
	m.jobs[job.ID] = job
	if !job.State.Finished() {
		m.pending[job.Route]++
	}
	return nil
}

func (m *Machine) readTime(r *reader, job *Job, k uint32) {
	time := job.openTime(k)
	for s := range time.Steps {
		step := &time.Steps[s]
		step.GangFailures, step.GangFailed = uint32(r.uint()), uint32(r.uint())
		for i := range step.Tasks {
			task := &step.Tasks[i]
			task.Attempt, task.Failures = uint32(r.uint()), uint32(r.uint())
			if r.bool() {
				step.markDone(i)
			}
			task.Checkpoint = r.string()
			for range r.count() {
				placement := Placement{Attempt: uint32(r.uint()), Worker: r.string()}
				name := TaskName{Job: job.ID, Time: k, Step: uint32(s), Index: uint32(i)}
				task.Placements = append(task.Placements, placement)
				job.Runs++
				m.openWorker(placement.Worker).Runs[Run{Task: name, Attempt: placement.Attempt}] = struct{}{}
			}
		}
	}
}
