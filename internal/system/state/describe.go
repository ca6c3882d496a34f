package state

import "fmt"

var kindNames = [...]string{
	KindConfigReplaced:  "config-replaced",
	KindJobAccepted:     "job-accepted",
	KindJobCancelled:    "job-cancelled",
	KindTasksStarting:   "tasks-starting",
	KindStartsVoided:    "starts-voided",
	KindTasksEnded:      "tasks-ended",
	KindWorkerLost:      "worker-lost",
	KindWorkerForgotten: "worker-forgotten",
	KindJobsForgotten:   "jobs-forgotten",
}

// String returns the kind's name as shown to operators.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", byte(k))
}

var outcomeNames = [...]string{Applied: "applied", Repeated: "repeated", Conflict: "conflict", Stale: "stale", Unknown: "unknown",
	Malformed: "malformed", BaseAhead: "base-ahead", TooMany: "too-many"}

// String returns the outcome's name as shown to operators.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome-%d", byte(o))
}

// Summary returns a short description of what the command changes.
func (c Command) Summary() string {
	switch c.Kind {
	case KindConfigReplaced:
		return fmt.Sprintf("version %d on %d, %d bytes", c.ConfigReplaced.Version, c.ConfigReplaced.Base, len(c.ConfigReplaced.Body))
	case KindJobAccepted:
		return fmt.Sprintf("job %s on %s for %s", c.JobAccepted.ID, c.JobAccepted.Route, c.JobAccepted.Service)
	case KindJobCancelled:
		return fmt.Sprintf("job %s", c.JobCancelled.ID)
	case KindTasksStarting:
		return summarize(c.TasksStarting, func(s Start) string { return fmt.Sprintf("%s#%d on %s", s.Task, s.Attempt, s.Worker) })
	case KindStartsVoided:
		return summarize(c.StartsVoided, func(r Run) string { return fmt.Sprintf("%s#%d", r.Task, r.Attempt) })
	case KindTasksEnded:
		return c.TasksEnded.Worker + ": " + summarize(c.TasksEnded.Ends, func(e End) string {
			return fmt.Sprintf("%s#%d %s (%d)", e.Task, e.Attempt, e.How, e.Number)
		})
	case KindWorkerLost:
		return c.WorkerLost
	case KindWorkerForgotten:
		return c.WorkerForgotten
	case KindJobsForgotten:
		return summarize(c.JobsForgotten, func(id JobID) string { return id.String() })
	}
	return ""
}

// maxSummaryItems is the number of items that a summary names. It only counts the others.
const maxSummaryItems = 3

func summarize[T any](items []T, describe func(T) string) string {
	text := ""
	for i, item := range items {
		if i == maxSummaryItems {
			return fmt.Sprintf("%s, and %d more", text, len(items)-maxSummaryItems)
		}
		if i > 0 {
			text += ", "
		}
		text += describe(item)
	}
	return text
}
