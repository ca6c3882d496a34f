package control

import (
	"time"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/scheduler"
)

// lateLogInterval is how often the log is told of late jobs, if there were any.
const lateLogInterval = 10 * time.Second

// lateCounts sum up the jobs that missed their objective, by what their time was spent on.
type lateCounts struct {
	jobs uint64
	// parts are the times that late jobs have spent on each part, where they spent any.
	parts [scheduler.PartCount]figures.Histogram
	// unloggedSpent is what the log hasn't been told yet.
	unloggedSpent scheduler.Spent
	unloggedJobs  uint64
	loggedAt      time.Duration
}

// record takes in jobs that have ended late.
func (c *lateCounts) record(late []scheduler.LateJob) {
	for i := range late {
		c.jobs++
		c.unloggedJobs++
		for part, length := range late[i].Spent {
			if length > 0 {
				c.parts[part].Observe(length)
				c.unloggedSpent[part] += length
			}
		}
	}
}

// logLateJobsIfDue logs the late jobs since the last time, now and then.
func (n *Node) logLateJobsIfDue(now time.Duration) {
	if now-n.counts.lateJobs.loggedAt >= lateLogInterval {
		n.counts.lateJobs.loggedAt = now
		n.logUnloggedLateJobs()
	}
}

// logUnloggedLateJobs logs the late jobs that haven't been told yet.
func (n *Node) logUnloggedLateJobs() {
	c := &n.counts.lateJobs
	if c.unloggedJobs == 0 {
		return
	}
	n.logger.Info("jobs late", "jobs", c.unloggedJobs, "spent", c.unloggedSpent)
	c.unloggedSpent, c.unloggedJobs = scheduler.Spent{}, 0
}

func (c *lateCounts) write(w *figures.Writer) {
	w.Counter("jobs_late_total", "Jobs, and due times of timed ones, that were completed after their objective while this replica was the head.", float64(c.jobs))
	for part := range scheduler.PartCount {
		w.Histogram("late_"+part.String()+"_seconds", "Time of late jobs: "+lateHelp[part]+".", &c.parts[part])
	}
}

var lateHelp = [scheduler.PartCount]string{
	scheduler.PartBeforeHead: "before this head knew that their turn had come",
	scheduler.PartCapacity:   "waiting for room, for their turn or near their data",
	scheduler.PartBackoff:    "pausing after starts that were refused or ends that came too soon",
	scheduler.PartStart:      "from a start's intent to the worker's answer",
	scheduler.PartUnanswered: "while an order without an answer might still be carried out",
	scheduler.PartRun:        "running",
	scheduler.PartSlow:       "running, far behind what was expected",
	scheduler.PartSilent:     "on workers that didn't answer",
	scheduler.PartFailed:     "on runs that failed",
	scheduler.PartStopped:    "on runs that were stopped, lapsed or broken off",
	scheduler.PartLost:       "on runs that went with their worker",
	scheduler.PartEndCommit:  "from a listed end to its commit",
}
