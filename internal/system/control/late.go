package control

import (
	"time"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/scheduler"
)

// lateLogInterval is the time between two log lines about late jobs.
const lateLogInterval = 10 * time.Second

// lateCounts counts the jobs that missed their objective, and the time they spent on each part.
type lateCounts struct {
	jobs uint64
	// parts are the durations that late jobs spent on each part, without zero ones.
	parts [scheduler.PartCount]figures.Histogram
	// unloggedSpent and unloggedJobs cover the jobs that have not been logged yet.
	unloggedSpent scheduler.Spent
	unloggedJobs  uint64
	loggedAt      time.Duration
}

// record counts jobs that ended late.
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

// logLateJobsIfDue logs the late jobs since the last line, at most once per lateLogInterval.
func (n *Node) logLateJobsIfDue(now time.Duration) {
	if now-n.counts.lateJobs.loggedAt >= lateLogInterval {
		n.counts.lateJobs.loggedAt = now
		n.logUnloggedLateJobs()
	}
}

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
