package internalapi

import "gaugeslip/coord/view"

// The methods for operators, besides MethodOverview.
const (
	MethodWorkers   = Service + ".Workers"
	MethodJobs      = Service + ".Jobs"
	MethodJobDetail = Service + ".JobDetail"
	MethodHandover  = Service + ".Handover"
)

// Role tells what a replica is in the chain, as operators see it.
type Role string

// The roles of a replica.
const (
	RoleHead    Role = "head"    // of the chain, with the lease: the scheduler runs here
	RoleWaiting Role = "waiting" // first of the chain, without the lease
	RoleMember  Role = "member"
	RoleTail    Role = "tail"    // last of the chain: reads are answered here
	RoleLearner Role = "learner" // not in the chain: it catches up, or wants to
	RoleStopped Role = "stopped" // its disk refused; it tries again by itself
)

// OverviewArgs asks a replica for what it knows of itself and of the chain.
type OverviewArgs struct{}

// OverviewReply is what a replica knows; everything but Members and Learners is its own, whoever the head is.
type OverviewReply struct {
	Node, Zone string
	Self       view.Member
	Role       Role
	View       view.View
	UptimeMs   int64
	// LeaseMs is what is left of the head's lease, 0 at others.
	LeaseMs int64
	// Scheduling tells whether the scheduler acts here.
	Scheduling                       bool
	Committed, Applied, Last, Synced uint64
	LogBytes                         int64
	ConfigVersion                    uint64
	Tolerance                        int
	// Leaving tells that the replica is on its way out of the chain.
	Leaving  bool
	Members  []MemberOverview
	Learners []LearnerOverview
	Jobs     map[string]int // by state
	// Runs is how many runs may exist on workers.
	Runs int
}

// MemberOverview is one voter; the indexes and HeardMs are known at the head alone, HeardMs is -1 elsewhere.
type MemberOverview struct {
	Member                  view.Member
	Position                int // in the chain, -1 without a place
	HeardMs                 int64
	Received, Synced, Acked uint64
	Leaving, Gone           bool
}

// LearnerOverview is one replica that catches up.
type LearnerOverview struct {
	Member             view.Member
	Acked              uint64
	HeardMs, PenaltyMs int64
	// Admitting tells that writes are held back until it has everything.
	Admitting bool
}

// WorkersArgs asks the head for the workers.
type WorkersArgs struct{}

// WorkersReply is the scheduler's view of the workers, with Done.
type WorkersReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Workers []WorkerOverview
	// Held is how many steps wait for room, by service.
	Held map[string]int
}

// WorkerOverview is one life of a worker. CPU is in thousandths of a core, memory in megabytes.
type WorkerOverview struct {
	Instance, Address, Service, Reach string
	Listed, Draining, Shut            bool
	RoomCPU, RoomMemoryMb, RoomGPUs   int64
	UsedCPU, UsedMemoryMb, UsedGPUs   int64
	Runs, Withheld                    int
	Slowness                          float64
}

// JobsArgs asks the tail or the head for jobs: those of one state, or all with an empty one; the newest ones, Limit at most.
type JobsArgs struct {
	State string
	Limit int
}

// JobsReply holds them, the newest first; Total counts those that Limit left out too.
type JobsReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Jobs    []JobOverview
	Total   int
}

// JobOverview is one job. Times of day are in milliseconds since 1970, 0 where there is none.
type JobOverview struct {
	ID                    uint64
	Route, Service, State string
	Priority, MaxRetries  int
	AcceptedMs, OverMs    int64
	// Runs is how many runs of it may exist on workers.
	Runs int
}

// JobDetailArgs asks the head for one job.
type JobDetailArgs struct{ ID uint64 }

// JobDetailReply holds it, with Done. Tasks are those of the due times that have come; TasksLeftOut counts those for which there was
// no room in the reply.
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
	// State is waiting, active, paused, done, or blocked by an earlier step.
	State             string
	Attempt, Failures uint32
	HasCheckpoint     bool
	Workers           []string // on which runs of it may exist
	Why               string   // what keeps it from starting
	Spent             string   // its time so far by part, with that of the steps it waited for
	DeadlineMs        int64    // from now, negative when it is past
	HasDeadline       bool
}

// HandoverArgs asks the head to hand over to its successor and to come back as a learner.
type HandoverArgs struct{}

// HandoverReply tells what came of it; Text says what to do where it isn't Done.
type HandoverReply struct {
	Verdict Verdict
	View    view.View
	Text    string
}
