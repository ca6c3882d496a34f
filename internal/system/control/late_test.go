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

func TestLateJobsAreToldByPart(t *testing.T) {
	var text bytes.Buffer
	n := &Node{logger: log.New(&text)}
	n.tellOfLateJobs(tellLateEvery)
	assert.Empty(t, text.String(), "there were none")
	n.counts.late.note([]scheduler.LateJob{
		{ID: 1, Spent: scheduler.Spent{scheduler.PartCapacity: 2 * time.Second, scheduler.PartRun: time.Second}},
		{ID: 2, Spent: scheduler.Spent{scheduler.PartRun: time.Second}},
	})
	n.tellOfLateJobs(2*tellLateEvery - 1)
	assert.Empty(t, text.String(), "it was told lately")
	n.tellOfLateJobs(2 * tellLateEvery)
	assert.Contains(t, text.String(), `jobs late jobs=2 spent="room 2000ms, run 2000ms"`)
	var w figures.Writer
	n.counts.late.write(&w)
	assert.Contains(t, string(w.Bytes()), "gaugeslip_jobs_late_total 2")
	assert.Contains(t, string(w.Bytes()), "gaugeslip_late_run_seconds_count 2")
	assert.Contains(t, string(w.Bytes()), "gaugeslip_late_room_seconds_sum 2\n")
	text.Reset()
	n.tellOfLateJobs(4 * tellLateEvery)
	assert.Empty(t, text.String(), "each job is told once")
}
