package scheduler

// TenantView counts a tenant's waiting tasks that take accelerators.
type TenantView struct {
	// WaitingTasks is how many tasks wait, for capacity or for the share.
	WaitingTasks int
	// ShareBlocked is how many of them are blocked by the tenant's share.
	ShareBlocked int
}

// Tenants returns the counts of each tenant with waiting tasks, by name; the name is empty for jobs without a tenant.
func (s *Scheduler) Tenants() map[string]TenantView {
	views := make(map[string]TenantView)
	for _, svc := range s.serviceOrder {
		for _, st := range svc.queue.All() {
			if st.need.GPUs == 0 {
				continue
			}
			view := views[st.tenant()]
			view.WaitingTasks += st.waitingTasks()
			if !s.shares.fit(st) {
				view.ShareBlocked += st.waitingTasks()
			}
			views[st.tenant()] = view
		}
	}
	return views
}

// waitingTasks returns how many tasks of a queued step wait.
func (st *step) waitingTasks() int {
	if st.stage.Gang {
		return len(st.tasks)
	}
	return len(st.waiting)
}
