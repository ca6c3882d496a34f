package state

import "fmt"

// Kind tells which command an entry of the chain holds.
type Kind byte

// The kinds of command.
const (
	KindConfigReplaced Kind = iota + 1
	KindJobAccepted
	KindJobCancelled
	KindTasksStarting
	KindStartsVoided
	KindTasksEnded
	KindWorkerLost
	KindJobsForgotten
	// kindTenantJobAccepted is on the wire what KindJobAccepted is for a job of a tenant. Jobs of nobody keep the older form, so that
	// replicas which know no tenants read everything as long as the configuration names none.
	kindTenantJobAccepted
	KindWorkerForgotten
)

// Command is one change of the replicated state; exactly the field that Kind names is set.
type Command struct {
	Kind           Kind
	ConfigReplaced *ConfigReplaced
	JobAccepted    *JobAccepted
	JobCancelled   *JobCancelled
	TasksStarting  []Start
	StartsVoided   []Run
	TasksEnded     *TasksEnded
	WorkerLost     string // the worker's instance: nothing runs there any more of what may have
	// WorkerForgotten is the instance of a life that is over for good: its record is dropped, with the number of its last end.
	WorkerForgotten string
	JobsForgotten   []JobID
}

// ConfigReplaced puts a whole configuration in the place of version Base.
type ConfigReplaced struct {
	Base, Version uint64
	Body          []byte
}

// JobAccepted takes a job into custody, with what its queue said at that time.
type JobAccepted struct {
	ID              JobID
	Route, Service  string
	Priority        int
	MaxRetries      int
	Extension       float64
	TargetLatencyMs float64
	AcceptedMs      int64 // time of day, milliseconds since 1970
	Body            []byte
	// Tenant names whose share of accelerators the job's runs count against; empty when it is nobody's.
	Tenant string
}

// JobCancelled ends a job on its client's wish.
type JobCancelled struct {
	ID   JobID
	AtMs int64
}

// Start is the intent to start one run of a task on a worker; it is sent only once this is committed.
type Start struct {
	Run
	Worker     string
	Checkpoint string
}

// Run names one run of a task.
type Run struct {
	Task    TaskName
	Attempt uint32
}

// TasksEnded are ends that a worker has listed, in the order of their numbers.
type TasksEnded struct {
	Worker string
	Ends   []End
}

// End is one end that a worker has listed.
type End struct {
	Run
	Number     uint64
	How        EndReason
	Checkpoint string
}

// EndReason tells in which way a run ended.
type EndReason byte

// The ways in which a run ends.
const (
	Done EndReason = iota + 1
	Failed
	Stopped
	Lapsed
	GangBroken     // another member of its gang ended
	GangIncomplete // it waited too long for the others of its gang
)

var howNames = map[EndReason]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", GangBroken: "broken", GangIncomplete: "alone"}

// String gives the word that workers use.
func (h EndReason) String() string { return howNames[h] }

// ParseEndReason reads the word that workers use; a word that isn't known counts as Stopped, which spends no attempt.
func ParseEndReason(word string) EndReason {
	for how, name := range howNames {
		if name == word {
			return how
		}
	}
	return Stopped
}

// Encode gives the command's bytes for the chain.
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
		w.accepted(c.JobAccepted)
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
		w.ended(c.TasksEnded)
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

// AffectedJobs calls touch with each job that the command may change, some of them more than once. all is true where any job may be
// among them, as that depends on the state; it isn't called then.
func (c *Command) AffectedJobs(touch func(JobID)) (all bool) {
	switch c.Kind {
	case KindJobAccepted:
		touch(c.JobAccepted.ID)
	case KindJobCancelled:
		touch(c.JobCancelled.ID)
	case KindTasksStarting:
		for i := range c.TasksStarting {
			touch(c.TasksStarting[i].Task.Job)
		}
	case KindStartsVoided:
		for i := range c.StartsVoided {
			touch(c.StartsVoided[i].Task.Job)
		}
	case KindTasksEnded:
		for i := range c.TasksEnded.Ends {
			touch(c.TasksEnded.Ends[i].Task.Job)
		}
	case KindJobsForgotten:
		for _, id := range c.JobsForgotten {
			touch(id)
		}
	case KindWorkerLost:
		return true
	}
	return false
}

// wireKind is the kind that the command's bytes begin with.
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

func (w *writer) accepted(job *JobAccepted) {
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

func (r *reader) accepted() *JobAccepted {
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

func (w *writer) ended(ended *TasksEnded) {
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

func (r *reader) ended() *TasksEnded {
	ended := &TasksEnded{Worker: r.string(), Ends: make([]End, r.count())}
	for i := range ended.Ends {
		ended.Ends[i] = End{Run: r.run(), Number: r.uint(), How: EndReason(r.byte()), Checkpoint: r.string()}
	}
	return ended
}

// Decode reads a command; bytes that are none give an error that wraps ErrCorrupt.
func Decode(data []byte) (Command, error) {
	r := &reader{data: data}
	c := Command{Kind: Kind(r.byte())}
	switch c.Kind {
	case KindConfigReplaced:
		c.ConfigReplaced = &ConfigReplaced{Base: r.uint(), Version: r.uint(), Body: r.bytes()}
	case KindJobAccepted:
		c.JobAccepted = r.accepted()
	case kindTenantJobAccepted:
		tenant := r.string()
		c.Kind, c.JobAccepted = KindJobAccepted, r.accepted()
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
		c.TasksEnded = r.ended()
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
	if err := r.done(); err != nil {
		return Command{}, fmt.Errorf("command of kind %d: %w", c.Kind, err)
	}
	return c, nil
}
