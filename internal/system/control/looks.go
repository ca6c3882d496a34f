package control

import (
	"cmp"
	"slices"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

const maxJobsPerReply = 10_000

// Workers returns the workers as the scheduler sees them. Only the head can answer.
func (s *Service) Workers(_ internalapi.WorkersArgs, reply *internalapi.WorkersReply) (err error) {
	*reply, err = queryOnLoop(s.node, s.node.workers)
	return err
}

func (n *Node) workers() internalapi.WorkersReply {
	if !n.acting() || n.scheduler == nil {
		return internalapi.WorkersReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	shown := n.scheduler.Snapshot()
	reply := internalapi.WorkersReply{Verdict: internalapi.Done, Held: shown.QueuedSteps}
	for i := range shown.Workers {
		reply.Workers = append(reply.Workers, workerOverview(&shown.Workers[i]))
	}
	return reply
}

func workerOverview(worker *scheduler.WorkerView) internalapi.WorkerOverview {
	return internalapi.WorkerOverview{
		Instance: worker.Instance, Address: worker.Address, Service: worker.Service, Reach: worker.Reach,
		Listed: worker.Listed, Draining: worker.Draining, Shut: worker.Quarantined,
		RoomCPU: worker.Capacity.CPU, RoomMemoryMb: worker.Capacity.MemoryMb, RoomGPUs: worker.Capacity.GPUs,
		UsedCPU: worker.Used.CPU, UsedMemoryMb: worker.Used.MemoryMb, UsedGPUs: worker.Used.GPUs,
		Runs: worker.Runs, Withheld: worker.Withheld, Slowness: worker.Slowness,
	}
}

// Jobs returns accepted jobs. Only the tail and the head can answer.
func (s *Service) Jobs(args internalapi.JobsArgs, reply *internalapi.JobsReply) error {
	answer := runOnLoop(s.node, operatorQueryTimeout, (*internalapi.JobsReply)(nil), func(answer func(*internalapi.JobsReply)) {
		s.node.engine.read(func(current bool) {
			found := s.node.listJobs(args, current)
			answer(&found)
		})
	})
	if answer == nil {
		return errBusy
	}
	*reply = *answer
	return nil
}

func (n *Node) listJobs(args internalapi.JobsArgs, current bool) internalapi.JobsReply {
	if !current {
		return internalapi.JobsReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	var jobs []internalapi.JobOverview
	for _, job := range n.engine.machine.Jobs() {
		if args.State == "" || job.State.String() == args.State {
			jobs = append(jobs, jobOverview(job))
		}
	}
	slices.SortFunc(jobs, func(a, b internalapi.JobOverview) int {
		return cmp.Or(cmp.Compare(b.AcceptedMs, a.AcceptedMs), cmp.Compare(a.ID, b.ID))
	})
	limit := maxJobsPerReply
	if args.Limit > 0 {
		limit = min(args.Limit, maxJobsPerReply)
	}
	return internalapi.JobsReply{Verdict: internalapi.Done, Jobs: jobs[:min(limit, len(jobs))], Total: len(jobs)}
}

func jobOverview(job *state.Job) internalapi.JobOverview {
	return internalapi.JobOverview{ID: uint64(job.ID), Route: job.Route, Service: job.Service, State: job.State.String(),
		Priority: job.Priority, MaxRetries: job.MaxRetries, AcceptedMs: job.AcceptedMs, OverMs: job.OverMs, Runs: job.Runs}
}
