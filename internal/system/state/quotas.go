package state

import (
	"fmt"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/quota"
)

// Quotas returns the ledger of all tenants' accelerators. The caller must not modify it. Restore replaces it.
func (m *Machine) Quotas() *quota.Ledger { return m.quotas }

// CheckShare checks whether a job could run if its tenant's whole share were free. If not, the error is a *quota.OversizeError. A job that
// was accepted before its tenant's share became too small waits until the share is large enough again. While the configuration names no
// tenant, CheckShare returns nil without parsing the job.
func (m *Machine) CheckShare(job *JobAccepted) error {
	if !m.quotas.InForce() {
		return nil
	}
	spec, err := jobspec.Parse(job.Body)
	if err != nil {
		return fmt.Errorf("job %s: %w", job.ID, err)
	}
	limit := m.quotas.Limit(job.Tenant)
	for index := range spec.Stages {
		if need := acceleratorsAtOnce(&spec.Stages[index]); need > limit {
			return &quota.OversizeError{Tenant: job.Tenant, Stage: index, Need: need, Limit: limit}
		}
	}
	return nil
}

// acceleratorsAtOnce returns the number of accelerators of a step that can only be taken together: those of a whole gang or of one task.
func acceleratorsAtOnce(stage *jobspec.Stage) int64 {
	switch {
	case stage.Count == 0:
		return 0
	case stage.Gang:
		return int64(stage.Count) * stage.GPUs
	}
	return stage.GPUs
}

// configureQuotas applies the quotas of the current configuration. It depends on the body of that configuration alone, since Restore calls
// it too. A body that can't be parsed sets no quotas.
func (m *Machine) configureQuotas() {
	plan := quota.Plan{}
	if config, err := clusterconfig.Parse(m.config.Body); err == nil {
		plan = config.Quotas.Plan()
	}
	m.quotas.Configure(plan)
}

// accelerators returns the number of accelerators that one run of a step takes.
func (j *Job) accelerators(step uint32) int64 { return j.Spec.Stages[step].GPUs }

// startGroupSize returns how many of the first starts the share must admit together: all members of a gang, or one.
func (m *Machine) startGroupSize(starts []Start) int {
	first := &starts[0]
	job := m.jobs[first.Task.Job]
	if job == nil || job.Spec == nil || int(first.Task.Step) >= len(job.Spec.Stages) || !job.Spec.Stages[first.Task.Step].Gang {
		return 1
	}
	count := 1
	for count < len(starts) && sameGang(first, &starts[count]) {
		count++
	}
	return count
}

func sameGang(a, b *Start) bool {
	return a.Task.Job == b.Task.Job && a.Task.Time == b.Task.Time && a.Task.Step == b.Task.Step && a.Attempt == b.Attempt
}

// withinShare reports whether the otherwise valid starts fit into their tenant's share together. All starts must belong to one job.
func (m *Machine) withinShare(starts []Start) bool {
	if !m.quotas.InForce() {
		return true
	}
	need := int64(0)
	for i := range starts {
		if m.MayStart(&starts[i]) {
			need += m.jobs[starts[i].Task.Job].accelerators(starts[i].Task.Step)
		}
	}
	return need == 0 || m.quotas.Fits(m.jobs[starts[0].Task.Job].Tenant, need)
}

// chargeRuns charges all runs of a job that may exist to its tenant's account.
func (m *Machine) chargeRuns(job *Job) {
	for _, occurrence := range job.Times {
		for step := range occurrence.Steps {
			m.quotas.Charge(job.Tenant, occurrence.Steps[step].placements()*job.accelerators(uint32(step)))
		}
	}
}

func (s *Step) placements() int64 {
	count := 0
	for i := range s.Tasks {
		count += len(s.Tasks[i].Placements)
	}
	return int64(count)
}

// recountAccelerators counts from the tasks how many accelerators each tenant uses.
func (m *Machine) recountAccelerators() map[string]int64 {
	used := make(map[string]int64)
	for _, job := range m.jobs {
		for _, occurrence := range job.Times {
			for step := range occurrence.Steps {
				used[job.Tenant] += occurrence.Steps[step].placements() * job.accelerators(uint32(step))
			}
		}
	}
	return used
}
