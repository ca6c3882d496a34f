package state

import (
	"cmp"
	"fmt"
	"hash/crc64"
	"maps"
	"slices"

	"gaugeslip/internal/system/jobspec"
)

// The snapshot formats. snapshotFormat is still written while no job has a tenant, so that replicas that do not know tenants can read it.
const (
	snapshotFormat       = 1
	tenantSnapshotFormat = 2 // each job is followed by its tenant
)

const (
	minSnapshotCapacity = 1 << 16
	// snapshotHeadroomDivisor gives the headroom of the buffer for the next snapshot: 1/8 of the length of the last one.
	snapshotHeadroomDivisor = 8
)

var crcTable = crc64.MakeTable(crc64.ECMA)

func checksum(body []byte) uint64 { return crc64.Checksum(body, crcTable) }

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (m *Machine) Snapshot() []byte {
	w := &writer{data: make([]byte, 0, max(minSnapshotCapacity, m.lastSnapshotLength+m.lastSnapshotLength/snapshotHeadroomDivisor))}
	format := m.snapshotFormat()
	m.writeHeader(w, format)
	for _, id := range slices.SortedFunc(maps.Keys(m.jobs), cmp.Compare[JobID]) {
		m.writeJob(w, m.jobs[id], format)
	}
	m.writeTrailer(w)
	m.lastSnapshotLength = len(w.data)
	return w.data
}

// writeHeader writes everything that precedes the jobs.
func (m *Machine) writeHeader(w *writer, format byte) {
	w.byte(format)
	w.uint(m.config.Version)
	w.bytes(m.config.Body)
	w.uint(uint64(len(m.history)))
	for _, past := range m.history {
		w.uint(past.version)
		w.fixed(past.sum)
	}
	w.uint(uint64(len(m.jobs)))
}

func (m *Machine) writeJob(w *writer, job *Job, format byte) {
	w.job(job)
	if format == tenantSnapshotFormat {
		w.string(job.Tenant)
	}
}

// writeTrailer writes everything that follows the jobs.
func (m *Machine) writeTrailer(w *writer) {
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
	w.jobAccepted(&job.JobAccepted)
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

// Restore replaces the whole state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	r := &reader{data: snapshot}
	format := r.byte()
	if format != snapshotFormat && format != tenantSnapshotFormat {
		return fmt.Errorf("snapshot format: %w", ErrCorrupt)
	}
	next := New()
	next.config = Config{Version: r.uint(), Body: r.bytes()}
	next.history = make([]appliedVersion, r.count())
	for i := range next.history {
		next.history[i] = appliedVersion{version: r.uint(), sum: r.fixed()}
	}
	for range r.count() {
		if err := next.readJob(r, format); err != nil {
			return err
		}
	}
	for range r.count() {
		next.ensureWorker(r.string()).LastSeen = r.uint()
	}
	if err := r.finish(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	next.configureQuotas()
	next.lastSnapshotLength = len(snapshot)
	*m = *next
	return nil
}

func (m *Machine) readJob(r *reader, format byte) error {
	job := &Job{JobAccepted: *r.jobAccepted(), State: JobState(r.byte()), OverMs: r.int()}
	times := r.count()
	if len(job.Body) > 0 {
		spec, err := jobspec.Parse(job.Body)
		if err != nil {
			return fmt.Errorf("snapshot: job %s: %w", job.ID, err)
		}
		job.Spec, job.Times = spec, map[uint32]*Occurrence{}
	}
	for range times {
		if job.Spec == nil {
			return fmt.Errorf("snapshot: job %s has occurrences but no body: %w", job.ID, ErrCorrupt)
		}
		m.readOccurrence(r, job, uint32(r.uint()))
	}
	if format == tenantSnapshotFormat {
		job.Tenant = r.string()
	}
	if job.State == CancelledUnseen {
		m.addCancelledUnseen(job)
		return nil
	}
	m.chargeRuns(job)
	m.jobs[job.ID] = job
	if !job.State.Finished() {
		m.pending[job.Route]++
	}
	return nil
}

func (m *Machine) readOccurrence(r *reader, job *Job, k uint32) {
	occurrence := job.ensureOccurrence(k)
	for s := range occurrence.Steps {
		step := &occurrence.Steps[s]
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
				m.ensureWorker(placement.Worker).Runs[Run{Task: name, Attempt: placement.Attempt}] = struct{}{}
			}
		}
	}
}
