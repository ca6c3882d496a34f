package internalapi

import "gaugeslip/coord/view"

// The methods for operators, besides MethodOverview.
const (
	MethodWorkers   = Service + ".Workers"
	MethodJobs      = Service + ".Jobs"
	MethodJobDetail = Service + ".JobDetail"
	MethodHandover  = Service + ".Handover"
)

// Role is the role of a replica in the chain, as shown to operators.
type Role string

// The roles of a replica.
const (
	RoleHead    Role = "head"    // first of the chain, with the lease: the scheduler runs here
	RoleWaiting Role = "waiting" // first of the chain, without the lease
	RoleMember  Role = "member"
	RoleTail    Role = "tail"    // last of the chain: it answers reads
	RoleLearner Role = "learner" // not in the chain: it is catching up or waits to do so
	RoleStopped Role = "stopped" // its disk failed; it restarts by itself
)

// OverviewArgs asks a replica for its status and its knowledge of the chain.
type OverviewArgs struct{}

// OverviewReply is the status of a replica. All fields except Members and Learners describe the replica itself, whichever replica is the
// head.
type OverviewReply struct {
	Node, Zone string
	Self       view.Member
	Role       Role
	View       view.View
	UptimeMs   int64
	// LeaseMs is the remaining time of the head's lease, 0 on other replicas.
	LeaseMs int64
	// Scheduling reports whether the scheduler is active here.
	Scheduling                       bool
	Committed, Applied, Last, Synced uint64
	LogBytes                         int64
	ConfigVersion                    uint64
	Tolerance                        int
	// Leaving reports whether the replica is leaving the chain.
	Leaving  bool
	Members  []MemberOverview
	Learners []LearnerOverview
	Jobs     map[string]int // by state
	// Runs is how many runs may exist on workers.
	Runs int
}

// MemberOverview is one voter. Only the head knows the indexes and HeardMs, which is -1 elsewhere.
type MemberOverview struct {
	Member                  view.Member
	Position                int // in the chain, -1 if it is not in the chain
	HeardMs                 int64
	Received, Synced, Acked uint64
	Leaving, Gone           bool
}

// LearnerOverview is one replica that is catching up.
type LearnerOverview struct {
	Member             view.Member
	Acked              uint64
	HeardMs, PenaltyMs int64
	// Admitting reports that the head holds back writes until this learner has all entries.
	Admitting bool
}

// WorkersArgs asks the head for the workers.
type WorkersArgs struct{}

// WorkersReply is the scheduler's view of the workers, with verdict Done.
type WorkersReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Workers []WorkerOverview
	// Held is how many steps wait for capacity, by service.
	Held map[string]int
}

// WorkerOverview is one worker instance. CPU is in thousandths of a core, memory in megabytes.
type WorkerOverview struct {
	Instance, Address, Service, Reach string
	Listed, Draining, Shut            bool
	RoomCPU, RoomMemoryMb, RoomGPUs   int64
	UsedCPU, UsedMemoryMb, UsedGPUs   int64
	Runs, Withheld                    int
	Slowness                          float64
}

// JobsArgs asks the tail or the head for the newest jobs, at most Limit. State selects jobs of one state; if it is empty, all are returned.
type JobsArgs struct {
	State string
	Limit int
}

// JobsReply holds the jobs, newest first. Total also counts those that Limit left out.
type JobsReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Jobs    []JobOverview
	Total   int
}

// JobOverview is one job. Times of day are in milliseconds since 1970, 0 if there is none.
type JobOverview struct {
	ID                    uint64
	Route, Service, State string
	Priority, MaxRetries  int
	AcceptedMs, OverMs    int64
	// Runs is how many runs of the job may exist on workers.
	Runs int
}

// JobDetailArgs asks the head for one job.
type JobDetailArgs struct{ ID uint64 }

// JobDetailReply holds the job, with verdict Done. Tasks are those of the occurrences that have begun. TasksLeftOut counts the tasks that
// exceed the limit of a reply.
type JobDetailReply struct {
	Verdict      Verdict
	View         view.View // with NotHead
	Job          JobOverview
	Tasks        []TaskOverview
	TasksLeftOut int
}

// TaskOverview is one task of a job.
type TaskOverview struct {
	Time, Step, Index uint32
	// State is "waiting", "active", "paused" or "done", "blocked" while an earlier step is open, or the final state of the job.
	State             string
	Attempt, Failures uint32
	HasCheckpoint     bool
	Workers           []string // on which runs of the task may exist
	Why               string   // why the task does not start
	Spent             string   // its time so far by part, including that of the steps it waited for
	DeadlineMs        int64    // from now, negative if it has passed
	HasDeadline       bool
}

// HandoverArgs asks the head to hand over to its successor and to rejoin as a learner.
type HandoverArgs struct{}

// HandoverReply is the outcome of a handover. Text says what to do if the verdict is not Done.
type HandoverReply struct {
	Verdict Verdict
	View    view.View
	Text    string
}
