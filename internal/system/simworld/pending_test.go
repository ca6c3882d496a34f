package simworld

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/hollow"
)

// pending queries a dispatcher for the number of jobs of the queue that have not begun.
func (c *client) pending(dispatcher int) (status int, body string) {
	return c.request("http://"+frontendAddress(dispatcher)+"/barn/", http.MethodGet, "")
}

// The count of a queue is the number of its accepted jobs of which no task has begun. Running jobs are not counted; jobs whose start
// was sent and not answered are.
func TestQueueCountsJobsThatHaveNotBegun(t *testing.T) {
	runInWorld(t, 1, options{replicas: 3, tolerance: 1, dispatchers: 1, workers: 1}, func(w *world) {
		w.configure()
		c := w.newClient(0)
		wide := hollow.Stage{Count: 1, Need: hollow.Resources{CPU: 3000, MemoryMB: 64}, Work: 20 * time.Second}
		running, waiting, silent := c.newJob(wide), c.newJob(wide), c.newJob(endlessStage())
		c.submit(running)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, w.farm.Stats().Starts)
		status, body := c.pending(0)
		require.Equal(t, http.StatusOK, status)
		assert.JSONEq(t, `{"pending":0}`, body, "the job is running")
		c.submit(waiting)
		time.Sleep(2 * time.Second)
		_, body = c.pending(0)
		assert.JSONEq(t, `{"pending":1}`, body, "no capacity is left for the second job")
		w.farm.workers[0].SetFaults(hollow.Faults{Silent: true})
		c.submit(silent)
		time.Sleep(2 * time.Second)
		_, body = c.pending(0)
		assert.JSONEq(t, `{"pending":2}`, body, "the start was not answered")
		w.farm.workers[0].SetFaults(hollow.Faults{})
		w.requireJobs(50 * time.Second)
		_, body = c.pending(0)
		assert.JSONEq(t, `{"pending":0}`, body)
	})
}

// A job that began before a change of head is not pending after it, once the new head has contacted the workers.
func TestNewHeadCountsJobsThatHaveNotBegun(t *testing.T) {
	runInWorld(t, 2, options{replicas: 3, tolerance: 1, dispatchers: 1, workers: 1}, func(w *world) {
		w.configure()
		c := w.newClient(0)
		wide := hollow.Stage{Count: 1, Need: hollow.Resources{CPU: 3000, MemoryMB: 64}, Work: 20 * time.Second}
		c.submit(c.newJob(wide))
		c.submit(c.newJob(wide))
		time.Sleep(2 * time.Second)
		w.replicas[w.replicaWithRole(roleHead)].kill()
		w.awaitHead(2)
		time.Sleep(3 * time.Second)
		status, body := c.pending(0)
		require.Equal(t, http.StatusOK, status)
		assert.JSONEq(t, `{"pending":1}`, body)
	})
}
