package policy

// What others may read of a Dispatcher's state between Steps. Reading decides nothing and changes nothing.

// Suspect tells whether this scheduler keeps away from a worker by its own judgement: it failed jobs, lost
// connections or left a probe unanswered, and has given no sign of life since.
func (d *Dispatcher) Suspect(id uint32) bool {
	w := d.workers[id]
	return w != nil && w.listed && w.suspect
}
