package scheduler

// TenantView is what waits of a tenant: tasks of open steps that take accelerators.
type TenantView struct {
	// Held tasks wait, for room or for the share.
	Held int
	// KeptBack are those of them that the tenant's share keeps back.
	KeptBack int
}

// Tenants shows what waits of each tenant of which something does, by name; empty for jobs without one.
func (s *Scheduler) Tenants() map[string]TenantView {
	views := make(map[string]TenantView)
	for _, svc := range s.serviceOrder {
		for _, st := range svc.queue.All() {
			if st.need.GPUs == 0 {
				continue
			}
			view := views[st.tenant()]
			view.Held += st.waitingTasks()
			if !s.shares.fit(st) {
				view.KeptBack += st.waitingTasks()
			}
			views[st.tenant()] = view
		}
	}
	return views
}

// waitingTasks is how many tasks of a held step wait.
func (st *step) waitingTasks() int {
	if st.stage.Gang {
		return len(st.tasks)
	}
	return len(st.waiting)
}
