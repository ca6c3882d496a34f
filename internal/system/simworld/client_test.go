package simworld

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/hollow"
)

const (
	// clientDeadline is the deadline that clients send with a request. clientTimeout is how long they wait for the response.
	clientDeadline = 2 * time.Second
	clientTimeout  = 2200 * time.Millisecond
	// submitTimeout is how long a client retries a submission.
	submitTimeout = 20 * time.Second
)

// job is one job and what its client knows of it.
type job struct {
	id        string
	stage     hollow.Stage
	accepted  bool // a submission got a 2xx response
	unclear   bool // a submission got no definite answer
	cancelled bool // a DELETE was sent
}

// client submits jobs from a host of its own.
type client struct {
	world  *world
	http   *http.Transport
	number int
	mutex  sync.Mutex
	jobs   []*job
}

func (w *world) newClient(number int) *client {
	dial := w.net.Dialer(fmt.Sprintf("10.0.5.%d", number+1))
	created := &client{world: w, http: &http.Transport{DialContext: dial}, number: number}
	w.clients = append(w.clients, created)
	return created
}

// newJob creates a job and adds it to the workers' world.
func (c *client) newJob(stage hollow.Stage) *job {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	created := &job{id: fmt.Sprintf("%08x%08x", c.number+1, len(c.jobs)+1), stage: stage}
	c.jobs = append(c.jobs, created)
	c.world.farm.AddJob(hollow.Job{ID: created.id, Spec: "(text)", Backends: []string{service}, MaxRetries: 40, Stages: []hollow.Stage{stage}})
	return created
}

func (j *job) body() string {
	return fmt.Sprintf(`{"spec":"(text)","stages":[{"count":%d,"cpu":%d,"memMb":%d,"estimatedMs":%d,"longRunning":%t}]}`, j.stage.Count,
		j.stage.Need.CPU, j.stage.Need.MemoryMB, j.stage.Work.Milliseconds(), j.stage.LongRunning)
}

// call sends one request about a job to a dispatcher. Without a complete response the status is unclear.
func (c *client) call(dispatcher int, method, id, body string) (status int, answer string) {
	return c.request("http://"+frontendAddress(dispatcher)+"/barn/"+id, method, body)
}

func (c *client) request(location, method, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	httpRequest, _ := http.NewRequestWithContext(ctx, method, location, strings.NewReader(body))
	httpRequest.Host = "farm.example"
	httpRequest.GetBody = nil // the client itself retries
	httpRequest.Header.Set("X-Gaugeslip-Deadline", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.http.RoundTrip(httpRequest)
	if err != nil {
		c.world.logf("client: %s %s: %v", method, location, err)
		return unclear, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return unclear, ""
	}
	c.world.logf("client: %s %s: %d %s", method, location, response.StatusCode, read)
	return response.StatusCode, string(read)
}

// submit submits a job to one dispatcher after the other, until it is accepted or submitTimeout has passed.
func (c *client) submit(submitted *job) {
	turn := c.number
	for limit := time.Now().Add(submitTimeout); time.Now().Before(limit); turn++ {
		status, _ := c.call(turn%len(c.world.dispatchers), http.MethodPost, submitted.id, submitted.body())
		switch status {
		case http.StatusOK:
			submitted.accepted = true
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			submitted.unclear = true
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !submitted.unclear {
		c.world.farm.CancelJob(submitted.id) // every attempt was refused, so the job must never run
	}
}

// cancel sends a DELETE until it is acknowledged, and returns how long that took.
func (c *client) cancel(submitted *job) time.Duration {
	submitted.cancelled = true
	began := time.Now()
	for turn := c.number; time.Since(began) < submitTimeout; turn++ {
		status, _ := c.call(turn%len(c.world.dispatchers), http.MethodDelete, submitted.id, "")
		if status == http.StatusOK || status == http.StatusGone {
			c.world.farm.CancelJob(submitted.id)
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(began)
}

// state queries a job's state until there is a definite answer.
func (c *client) state(submitted *job) (status int, state string) {
	for try := range 10 {
		var text string
		status, text = c.call((c.number+try)%len(c.world.dispatchers), http.MethodGet, submitted.id, "")
		var answer struct{ State string }
		_ = json.Unmarshal([]byte(text), &answer)
		if status == http.StatusOK || status == http.StatusGone {
			return status, answer.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, ""
}

// shortStage returns a stage of a few short tasks.
func (w *world) shortStage() hollow.Stage {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return hollow.Stage{Count: 1 + w.random.IntN(3), Need: hollow.Resources{CPU: 500, MemoryMB: 64},
		Work: time.Duration(100+w.random.IntN(400)) * time.Millisecond}
}

// endlessStage returns a stage that runs until its job is cancelled.
func endlessStage() hollow.Stage {
	return hollow.Stage{Count: 1, Need: hollow.Resources{CPU: 100, MemoryMB: 16}, Work: time.Hour, LongRunning: true}
}

// requireJobs waits for all accepted jobs and checks that no rule was violated.
func (w *world) requireJobs(timeout time.Duration) {
	w.t.Helper()
	for limit := time.Now().Add(timeout); len(w.openJobs()) > 0 && time.Now().Before(limit); {
		time.Sleep(200 * time.Millisecond)
	}
	for _, open := range w.openJobs() {
		assert.Fail(w.t, "an accepted job is not done", "seed %d, job %s", w.seed, open.id)
	}
	for _, violation := range w.farm.Violations() {
		assert.Fail(w.t, "a rule is violated", "seed %d: %v", w.seed, violation)
	}
}

// openJobs returns the accepted jobs that end by themselves and have not.
func (w *world) openJobs() []*job {
	var open []*job
	for _, c := range w.clients {
		for _, submitted := range c.jobs {
			if submitted.accepted && !submitted.cancelled && !submitted.stage.LongRunning && !w.farm.JobDone(submitted.id) {
				open = append(open, submitted)
			}
		}
	}
	return open
}
