package control

import (
	"errors"
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// LogName is the name of a replica's log in its data directory.
const LogName = logName

// operatorQueryTimeout bounds how long an operator's query waits for the loop.
const operatorQueryTimeout = 2 * time.Second

var errBusy = errors.New("the replica is too busy to answer; ask again")

// queryOnLoop runs an operator's query on the loop and returns its result, or errBusy after operatorQueryTimeout.
func queryOnLoop[T any](n *Node, question func() T) (T, error) {
	var none T
	answer := runOnLoop(n, operatorQueryTimeout, (*T)(nil), func(answer func(*T)) {
		found := question()
		answer(&found)
	})
	if answer == nil {
		return none, errBusy
	}
	return *answer, nil
}

// Overview returns the status of the replica and its knowledge of the chain.
func (s *Service) Overview(_ internalapi.OverviewArgs, reply *internalapi.OverviewReply) (err error) {
	*reply, err = queryOnLoop(s.node, s.node.overview)
	return err
}

// overview builds the reply to Overview. It runs on the loop.
func (n *Node) overview() internalapi.OverviewReply {
	status := n.engine.replica.Status(n.now())
	jobs, runs := countJobs(n.engine.machine)
	reply := internalapi.OverviewReply{
		Node:          n.settings.NodeName,
		Zone:          n.settings.Zone,
		Self:          status.Self,
		Role:          n.role(&status),
		View:          status.View,
		UptimeMs:      n.now().Milliseconds(),
		LeaseMs:       status.Lease.Milliseconds(),
		Scheduling:    n.acting(),
		Committed:     status.Committed,
		Applied:       n.engine.appliedIndex,
		Last:          status.Last,
		Synced:        status.Synced,
		LogBytes:      n.engine.disk.logSize(),
		ConfigVersion: n.engine.machine.Config().Version,
		Tolerance:     n.settings.FaultTolerance.Machines,
		Leaving:       status.Leaving,
		Jobs:          jobs,
		Runs:          runs,
	}
	for i := range status.Members {
		reply.Members = append(reply.Members, memberOverview(&status.Members[i]))
	}
	for i := range status.Learners {
		learner := &status.Learners[i]
		reply.Learners = append(reply.Learners, internalapi.LearnerOverview{Member: learner.Member, Acked: learner.Acked,
			HeardMs: learner.Heard.Milliseconds(), PenaltyMs: learner.Penalty.Milliseconds(),
			Admitting: status.Admitting == learner.Member.ID})
	}
	return reply
}

func memberOverview(member *replica.MemberStatus) internalapi.MemberOverview {
	heard := int64(-1)
	if member.Heard >= 0 {
		heard = member.Heard.Milliseconds()
	}
	return internalapi.MemberOverview{Member: member.Member, Position: member.Position, HeardMs: heard, Received: member.Received,
		Synced: member.Synced, Acked: member.Acked, Leaving: member.Leaving, Gone: member.Gone}
}

func (n *Node) role(status *replica.Status) internalapi.Role {
	last := len(status.View.Chain) - 1
	switch {
	case n.engine.closed:
		return internalapi.RoleStopped
	case status.Head:
		return internalapi.RoleHead
	case status.Position < 0:
		return internalapi.RoleLearner
	case status.Position == 0:
		return internalapi.RoleWaiting
	case status.Position == last:
		return internalapi.RoleTail
	}
	return internalapi.RoleMember
}

// countJobs counts the jobs by state, and the runs that may exist on workers.
func countJobs(machine *state.Machine) (jobs map[string]int, runs int) {
	counts := [state.CancelledUnseen + 1]int{}
	for _, job := range machine.Jobs() {
		if int(job.State) < len(counts) {
			counts[job.State]++
		}
		runs += job.Runs
	}
	jobs = make(map[string]int, len(counts))
	for number, count := range counts {
		jobs[state.JobState(number).String()] = count
	}
	return jobs, runs
}
