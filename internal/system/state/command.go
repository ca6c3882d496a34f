package state

import "fmt"

// Kind is the type of a command in a chain entry.
type Kind byte

// The kinds of commands. Their numbers are part of the encoding.
const (
	KindConfigReplaced Kind = iota + 1
	KindJobAccepted
	KindJobCancelled
	KindTasksStarting
	KindStartsVoided
	KindTasksEnded
	KindWorkerLost
	KindJobsForgotten
	// kindTenantJobAccepted is the encoded form of KindJobAccepted for a job with a tenant. A job without a tenant keeps the older
	// form, so that replicas that do not know tenants can read every entry while the configuration names no tenant.
	kindTenantJobAccepted
	KindWorkerForgotten
)

// Command is one change of the replicated state. Exactly the field that Kind names is set.
type Command struct {
	Kind           Kind
	ConfigReplaced *ConfigReplaced
	JobAccepted    *JobAccepted
	JobCancelled   *JobCancelled
	TasksStarting  []Start
	StartsVoided   []Run
	TasksEnded     *TasksEnded
	WorkerLost     string // instance ID of the worker; none of the runs recorded for it exists any longer
	// WorkerForgotten is the instance ID of a worker that will not return. Its record, including LastSeen, is deleted.
	WorkerForgotten string
	JobsForgotten   []JobID
}

// ConfigReplaced replaces the configuration of version Base by a complete new one.
type ConfigReplaced struct {
	Base, Version uint64
	Body          []byte
}

// JobAccepted accepts a job, with the settings that its route had at that time.
type JobAccepted struct {
	ID              JobID
	Route, Service  string
	Priority        int
	MaxRetries      int
	Extension       float64
	TargetLatencyMs float64
	AcceptedMs      int64 // Unix time in milliseconds
	Body            []byte
	// Tenant is the tenant whose accelerator share the job's runs count against; empty if the job has no tenant.
	Tenant string
}

// JobCancelled ends a job at its client's request.
type JobCancelled struct {
	ID   JobID
	AtMs int64
}

// Start is the intent to start one run of a task on a worker. The start order is sent only after the intent is committed.
type Start struct {
	Run
	Worker     string
	Checkpoint string
}

// Run identifies one run of a task.
type Run struct {
	Task    TaskName
	Attempt uint32
}

// TasksEnded holds ends that a worker has listed, in the order of their numbers.
type TasksEnded struct {
	Worker string
	Ends   []End
}

// End is the end of one run, as a worker has listed it.
type End struct {
	Run
	Number     uint64
	How        EndReason
	Checkpoint string
}

// EndReason is the reason why a run ended.
type EndReason byte

// The reasons why a run ends.
const (
	Done EndReason = iota + 1
	Failed
	Stopped
	Lapsed
	GangBroken     // another member of its gang ended
	GangIncomplete // it waited too long for the other members of its gang
)

var endReasonNames = map[EndReason]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", GangBroken: "broken", GangIncomplete: "alone"}

// String returns the word that workers use.
func (h EndReason) String() string { return endReasonNames[h] }

// ParseEndReason parses the word that workers use. An unknown word counts as Stopped, which does not count as a failure.
func ParseEndReason(word string) EndReason {
	for how, name := range endReasonNames {
		if name == word {
			return how
		}
	}
	return Stopped
}

// Encode returns the encoded command for the chain.
func (c Command) Encode() []byte {
	w := &writer{data: make([]byte, 0, 128)}
	w.byte(byte(c.wireKind()))
	switch c.Kind {
	case KindConfigReplaced:
		w.uint(c.ConfigReplaced.Base)
		w.uint(c.ConfigReplaced.Version)
		w.bytes(c.ConfigReplaced.Body)
	case KindJobAccepted:
		if c.JobAccepted.Tenant != "" {
			w.string(c.JobAccepted.Tenant)
		}
		w.jobAccepted(c.JobAccepted)
	case KindJobCancelled:
		w.fixed(uint64(c.JobCancelled.ID))
		w.int(c.JobCancelled.AtMs)
	case KindTasksStarting:
		w.starts(c.TasksStarting)
	case KindStartsVoided:
		w.uint(uint64(len(c.StartsVoided)))
		for _, run := range c.StartsVoided {
			w.run(run)
		}
	case KindTasksEnded:
		w.tasksEnded(c.TasksEnded)
	case KindWorkerLost:
		w.string(c.WorkerLost)
	case KindWorkerForgotten:
		w.string(c.WorkerForgotten)
	case KindJobsForgotten:
		w.uint(uint64(len(c.JobsForgotten)))
		for _, id := range c.JobsForgotten {
			w.fixed(uint64(id))
		}
	}
	return w.data
}

// AffectedJobs calls visit for each job that the command may change, possibly more than once per job. It returns true, without calling
// visit, if the affected jobs depend on the state, so that any job may be among them.
func (c *Command) AffectedJobs(visit func(JobID)) (all bool) {
	switch c.Kind {
	case KindJobAccepted:
		visit(c.JobAccepted.ID)
	case KindJobCancelled:
		visit(c.JobCancelled.ID)
	case KindTasksStarting:
		for i := range c.TasksStarting {
			visit(c.TasksStarting[i].Task.Job)
		}
	case KindStartsVoided:
		for i := range c.StartsVoided {
			visit(c.StartsVoided[i].Task.Job)
		}
	case KindTasksEnded:
		for i := range c.TasksEnded.Ends {
			visit(c.TasksEnded.Ends[i].Task.Job)
		}
	case KindJobsForgotten:
		for _, id := range c.JobsForgotten {
			visit(id)
		}
	case KindWorkerLost:
		return true
	}
	return false
}

// wireKind returns the kind that is written at the start of the encoded command.
func (c Command) wireKind() Kind {
	if c.Kind == KindJobAccepted && c.JobAccepted.Tenant != "" {
		return kindTenantJobAccepted
	}
	return c.Kind
}

func (w *writer) run(run Run) {
	w.task(run.Task)
	w.uint(uint64(run.Attempt))
}

func (r *reader) run() Run { return Run{Task: r.task(), Attempt: uint32(r.uint())} }

func (w *writer) jobAccepted(job *JobAccepted) {
	w.fixed(uint64(job.ID))
	w.string(job.Route)
	w.string(job.Service)
	w.int(int64(job.Priority))
	w.int(int64(job.MaxRetries))
	w.float(job.Extension)
	w.float(job.TargetLatencyMs)
	w.int(job.AcceptedMs)
	w.bytes(job.Body)
}

func (r *reader) jobAccepted() *JobAccepted {
	return &JobAccepted{ID: JobID(r.fixed()), Route: r.string(), Service: r.string(), Priority: int(r.int()),
		MaxRetries: int(r.int()), Extension: r.float(), TargetLatencyMs: r.float(), AcceptedMs: r.int(), Body: r.bytes()}
}

func (w *writer) starts(starts []Start) {
	w.uint(uint64(len(starts)))
	for i := range starts {
		w.run(starts[i].Run)
		w.string(starts[i].Worker)
		w.string(starts[i].Checkpoint)
	}
}

func (r *reader) starts() []Start {
	starts := make([]Start, r.count())
	for i := range starts {
		starts[i] = Start{Run: r.run(), Worker: r.string(), Checkpoint: r.string()}
	}
	return starts
}

func (w *writer) tasksEnded(ended *TasksEnded) {
	w.string(ended.Worker)
	w.uint(uint64(len(ended.Ends)))
	for i := range ended.Ends {
		end := &ended.Ends[i]
		w.run(end.Run)
		w.uint(end.Number)
		w.byte(byte(end.How))
		w.string(end.Checkpoint)
	}
}

func (r *reader) tasksEnded() *TasksEnded {
	ended := &TasksEnded{Worker: r.string(), Ends: make([]End, r.count())}
	for i := range ended.Ends {
		ended.Ends[i] = End{Run: r.run(), Number: r.uint(), How: EndReason(r.byte()), Checkpoint: r.string()}
	}
	return ended
}

// Decode decodes a command. If the data is not a valid command, the error wraps ErrCorrupt.
func Decode(data []byte) (Command, error) {
	r := &reader{data: data}
	c := Command{Kind: Kind(r.byte())}
	switch c.Kind {
	case KindConfigReplaced:
		c.ConfigReplaced = &ConfigReplaced{Base: r.uint(), Version: r.uint(), Body: r.bytes()}
	case KindJobAccepted:
		c.JobAccepted = r.jobAccepted()
	case kindTenantJobAccepted:
		tenant := r.string()
		c.Kind, c.JobAccepted = KindJobAccepted, r.jobAccepted()
		c.JobAccepted.Tenant = tenant
	case KindJobCancelled:
		c.JobCancelled = &JobCancelled{ID: JobID(r.fixed()), AtMs: r.int()}
	case KindTasksStarting:
		c.TasksStarting = r.starts()
	case KindStartsVoided:
		c.StartsVoided = make([]Run, r.count())
		for i := range c.StartsVoided {
			c.StartsVoided[i] = r.run()
		}
	case KindTasksEnded:
		c.TasksEnded = r.tasksEnded()
	case KindWorkerLost:
		c.WorkerLost = r.string()
	case KindWorkerForgotten:
		c.WorkerForgotten = r.string()
	case KindJobsForgotten:
		c.JobsForgotten = make([]JobID, r.count())
		for i := range c.JobsForgotten {
			c.JobsForgotten[i] = JobID(r.fixed())
		}
	default:
		r.fail()
	}
	if err := r.finish(); err != nil {
		return Command{}, fmt.Errorf("command of kind %d: %w", c.Kind, err)
	}
	return c, nil
}
