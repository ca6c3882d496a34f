package state

import (
	"cmp"
	"maps"
	"slices"
)

// Capture is a snapshot of one moment that is made bit by bit while commands go on to be applied: a job that a command may change is
// written before that. It belongs to the machine's goroutine. Restore ends it.
type Capture struct {
	machine      *Machine
	format       byte
	ids          []JobID
	writtenCount int              // of ids
	saved        map[JobID][]byte // jobs that were written out of their order
	output       writer
	trailer      []byte // what comes after the jobs
}

// Capture begins a snapshot of this moment. One that is under way is given up.
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

// Continue writes so many bytes of jobs at least, and tells whether the snapshot is whole.
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

// Bytes gives the snapshot once it is whole, the same as Snapshot gave at the moment of Capture.
func (c *Capture) Bytes() []byte { return c.output.data }

// saveAffected writes the jobs that a command may change.
func (c *Capture) saveAffected(command *Command) {
	if c == nil {
		return
	}
	if all := command.Touched(c.saveJob); all {
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

// saveJob writes a job that was there at the moment of Capture and hasn't been written yet.
func (c *Capture) saveJob(id JobID) {
	at, found := slices.BinarySearch(c.ids, id)
	if _, kept := c.saved[id]; !found || kept || at < c.writtenCount {
		return
	}
	var w writer
	c.machine.writeJob(&w, c.machine.jobs[id], c.format)
	c.saved[id] = w.data
}
