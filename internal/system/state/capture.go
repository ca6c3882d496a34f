package state

import (
	"cmp"
	"maps"
	"slices"
)

// Capture is a snapshot of one moment that is written in slices while further commands are applied. A job that a command may change is
// saved before the command is applied. A Capture belongs to the goroutine of its Machine. Restore ends it.
type Capture struct {
	machine      *Machine
	format       byte
	ids          []JobID
	writtenCount int              // number of ids that are in output
	saved        map[JobID][]byte // encoded jobs that a command was about to change before their turn
	output       writer
	trailer      []byte // the part of the snapshot that follows the jobs
}

// Capture starts a snapshot of the current state. It abandons a capture that is in progress.
func (m *Machine) Capture() *Capture {
	c := &Capture{machine: m, format: m.snapshotFormat(), saved: map[JobID][]byte{}}
	c.ids = slices.SortedFunc(maps.Keys(m.jobs), cmp.Compare[JobID])
	var end writer
	m.writeHeader(&c.output, c.format)
	m.writeTrailer(&end)
	c.trailer = end.data
	m.capture = c
	return c
}

// Continue writes at least the given number of bytes of jobs, and reports whether the snapshot is complete.
func (c *Capture) Continue(bytes int) bool {
	for target := len(c.output.data) + bytes; c.writtenCount < len(c.ids) && len(c.output.data) < target; c.writtenCount++ {
		id := c.ids[c.writtenCount]
		if data, ok := c.saved[id]; ok {
			c.output.data = append(c.output.data, data...)
			delete(c.saved, id)
			continue
		}
		c.machine.writeJob(&c.output, c.machine.jobs[id], c.format)
	}
	if c.writtenCount < len(c.ids) {
		return false
	}
	c.output.data, c.trailer = append(c.output.data, c.trailer...), nil
	if c.machine.capture == c {
		c.machine.capture = nil
	}
	return true
}

// Bytes returns the snapshot once it is complete. It equals what Snapshot would have returned when Capture was called.
func (c *Capture) Bytes() []byte { return c.output.data }

// saveAffected saves the jobs that a command may change.
func (c *Capture) saveAffected(command *Command) {
	if c == nil {
		return
	}
	if all := command.AffectedJobs(c.saveJob); all {
		c.saveJobsOf(command.WorkerLost)
	}
}

func (c *Capture) saveJobsOf(instance string) {
	if worker := c.machine.workers[instance]; worker != nil {
		for run := range worker.Runs {
			c.saveJob(run.Task.Job)
		}
	}
}

// saveJob saves a job that existed when Capture was called and that is not written yet.
func (c *Capture) saveJob(id JobID) {
	at, found := slices.BinarySearch(c.ids, id)
	if _, kept := c.saved[id]; !found || kept || at < c.writtenCount {
		return
	}
	var w writer
	c.machine.writeJob(&w, c.machine.jobs[id], c.format)
	c.saved[id] = w.data
}
