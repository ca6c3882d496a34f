package state

import (
	"cmp"
	"maps"
	"slices"
)

// Capture is a snapshot of one moment that is made bit by bit while commands go on to be applied: a job that a command may change is
// written before that. It belongs to the machine's goroutine. Restore ends it.
type Capture struct {
	machine *Machine
	format  byte
	ids     []JobID
	written int              // of ids
	early   map[JobID][]byte // jobs that were written out of their order
	whole   writer
	end     []byte // what comes after the jobs
}

// Capture begins a snapshot of this moment. One that is under way is given up.
func (m *Machine) Capture() *Capture {
	c := &Capture{machine: m, format: m.snapshotFormat(), early: map[JobID][]byte{}}
	c.ids = slices.SortedFunc(maps.Keys(m.jobs), cmp.Compare[JobID])
	var end writer
	m.writeStart(&c.whole, c.format)
	m.writeEnd(&end)
	c.end = end.data
	m.capture = c
	return c
}

// Continue writes so many bytes of jobs at least, and tells whether the snapshot is whole.
func (c *Capture) Continue(bytes int) bool {
	for target := len(c.whole.data) + bytes; c.written < len(c.ids) && len(c.whole.data) < target; c.written++ {
		id := c.ids[c.written]
		if data, ok := c.early[id]; ok {
			c.whole.data = append(c.whole.data, data...)
			delete(c.early, id)
			continue
		}
		c.machine.writeJob(&c.whole, c.machine.jobs[id], c.format)
	}
	if c.written < len(c.ids) {
		return false
	}
	c.whole.data, c.end = append(c.whole.data, c.end...), nil
	if c.machine.capture == c {
		c.machine.capture = nil
	}
	return true
}

// Bytes gives the snapshot once it is whole, the same as Snapshot gave at the moment of Capture.
func (c *Capture) Bytes() []byte { return c.whole.data }

// before writes the jobs that a command may change.
func (c *Capture) before(command *Command) {
	if c == nil {
		return
	}
	if all := command.AffectedJobs(c.keep); all {
		c.keepRunsOf(command.WorkerLost)
	}
}

func (c *Capture) keepRunsOf(instance string) {
	if worker := c.machine.workers[instance]; worker != nil {
		for run := range worker.Runs {
			c.keep(run.Task.Job)
		}
	}
}

// keep writes a job that was there at the moment of Capture and hasn't been written yet.
func (c *Capture) keep(id JobID) {
	at, found := slices.BinarySearch(c.ids, id)
	if _, kept := c.early[id]; !found || kept || at < c.written {
		return
	}
	var w writer
	c.machine.writeJob(&w, c.machine.jobs[id], c.format)
	c.early[id] = w.data
}
