package policy

// This file has the accessors of a Dispatcher's state. They may be called between Steps and change nothing.

// Suspect reports whether this scheduler suspects a listed worker: the worker failed jobs, refused or lost a connection,
// left a probe unanswered or was silent about an attempt for too long, and has not recovered since.
func (d *Dispatcher) Suspect(id uint32) bool {
	w := d.workers[id]
	return w != nil && w.listed && w.suspect
}
