package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/scheduler"
)

func TestLateJobsAreReportedByPart(t *testing.T) {
	var text bytes.Buffer
	n := &Node{logger: log.New(&text)}
	n.logLateJobsIfDue(lateLogInterval)
	assert.Empty(t, text.String(), "there were no late jobs")
	n.counts.lateJobs.record([]scheduler.LateJob{
		{ID: 1, Spent: scheduler.Spent{scheduler.PartCapacity: 2 * time.Second, scheduler.PartRun: time.Second}},
		{ID: 2, Spent: scheduler.Spent{scheduler.PartRun: time.Second}},
	})
	n.logLateJobsIfDue(2*lateLogInterval - 1)
	assert.Empty(t, text.String(), "the interval has not passed")
	n.logLateJobsIfDue(2 * lateLogInterval)
	assert.Contains(t, text.String(), `jobs late jobs=2 spent="room 2000ms, run 2000ms"`)
	var w figures.Writer
	n.counts.lateJobs.write(&w)
	assert.Contains(t, string(w.Bytes()), "gaugeslip_jobs_late_total 2")
	assert.Contains(t, string(w.Bytes()), "gaugeslip_late_run_seconds_count 2")
	assert.Contains(t, string(w.Bytes()), "gaugeslip_late_room_seconds_sum 2\n")
	text.Reset()
	n.logLateJobsIfDue(4 * lateLogInterval)
	assert.Empty(t, text.String(), "each job is logged once")
}
