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
	// clientDeadline is what clients say that they wait for an answer, clientPatience what they wait.
	clientDeadline = 2 * time.Second
	clientPatience = 2200 * time.Millisecond
	// submitPatience is how long a client sends a job again.
	submitPatience = 20 * time.Second
)

// job is one job of a client, with what its client knows of it.
type job struct {
	id        string
	stage     hollow.Stage
	accepted  bool // a 2xx
	unclear   bool // a try without a clear answer
	cancelled bool // a DELETE was sent
}

// client hands jobs in from a host of its own.
type client struct {
	world  *world
	http   *http.Transport
	number int
	mutex  sync.Mutex
	jobs   []*job
}

func (w *world) newClient(number int) *client {
	dial := w.net.Dialer(fmt.Sprintf("10.0.5.%d", number+1))
	made := &client{world: w, http: &http.Transport{DialContext: dial}, number: number}
	w.clients = append(w.clients, made)
	return made
}

// newJob makes a job known to the workers.
func (c *client) newJob(stage hollow.Stage) *job {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	made := &job{id: fmt.Sprintf("%08x%08x", c.number+1, len(c.jobs)+1), stage: stage}
	c.jobs = append(c.jobs, made)
	c.world.farm.AddJob(hollow.Job{ID: made.id, Spec: "(text)", Backends: []string{service}, MaxRetries: 40, Stages: []hollow.Stage{stage}})
	return made
}

func (j *job) body() string {
	return fmt.Sprintf(`{"spec":"(text)","stages":[{"count":%d,"cpu":%d,"memMb":%d,"estimatedMs":%d,"longRunning":%t}]}`, j.stage.Count,
		j.stage.Need.CPU, j.stage.Need.MemoryMB, j.stage.Work.Milliseconds(), j.stage.LongRunning)
}

// call sends one request about a job to a dispatcher; without a whole answer the status is unclear.
func (c *client) call(dispatcher int, method, id, body string) (status int, answer string) {
	return c.request("http://"+frontendAddress(dispatcher)+"/barn/"+id, method, body)
}

func (c *client) request(location, method, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	made, _ := http.NewRequestWithContext(ctx, method, location, strings.NewReader(body))
	made.Host = "farm.example"
	made.GetBody = nil // a client that sends again does so itself
	made.Header.Set("X-Gaugeslip-Deadline", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.http.RoundTrip(made)
	if err != nil {
		c.world.note("client: %s %s: %v", method, location, err)
		return unclear, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return unclear, ""
	}
	c.world.note("client: %s %s: %d %s", method, location, response.StatusCode, read)
	return response.StatusCode, string(read)
}

// submit hands a job in at one dispatcher after the other, until it is taken or the patience is over.
func (c *client) submit(made *job) {
	turn := c.number
	for limit := time.Now().Add(submitPatience); time.Now().Before(limit); turn++ {
		status, _ := c.call(turn%len(c.world.dispatchers), http.MethodPost, made.id, made.body())
		switch status {
		case http.StatusOK:
			made.accepted = true
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			made.unclear = true
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !made.unclear {
		c.world.farm.CancelJob(made.id) // all tries were refused: it never runs
	}
}

// cancel sends a DELETE until it is acknowledged, and tells how long that took.
func (c *client) cancel(made *job) time.Duration {
	made.cancelled = true
	began := time.Now()
	for turn := c.number; time.Since(began) < submitPatience; turn++ {
		status, _ := c.call(turn%len(c.world.dispatchers), http.MethodDelete, made.id, "")
		if status == http.StatusOK || status == http.StatusGone {
			c.world.farm.CancelJob(made.id)
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(began)
}

// state asks for a job's state until there is a clear answer.
func (c *client) state(made *job) (status int, state string) {
	for try := range 10 {
		var text string
		status, text = c.call((c.number+try)%len(c.world.dispatchers), http.MethodGet, made.id, "")
		var answer struct{ State string }
		_ = json.Unmarshal([]byte(text), &answer)
		if status == http.StatusOK || status == http.StatusGone {
			return status, answer.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, ""
}

// short is a job of a few short tasks.
func (w *world) short() hollow.Stage {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return hollow.Stage{Count: 1 + w.random.IntN(3), Need: hollow.Resources{CPU: 500, MemoryMB: 64},
		Work: time.Duration(100+w.random.IntN(400)) * time.Millisecond}
}

// long is a job that runs until it is cancelled.
func long() hollow.Stage {
	return hollow.Stage{Count: 1, Need: hollow.Resources{CPU: 100, MemoryMB: 16}, Work: time.Hour, LongRunning: true}
}

// requireJobs waits for all accepted jobs, and checks that each ran as often as it may.
func (w *world) requireJobs(patience time.Duration) {
	w.t.Helper()
	for limit := time.Now().Add(patience); len(w.openJobs()) > 0 && time.Now().Before(limit); {
		time.Sleep(200 * time.Millisecond)
	}
	for _, open := range w.openJobs() {
		assert.Fail(w.t, "an accepted job isn't done", "seed %d, job %s", w.seed, open.id)
	}
	for _, violation := range w.farm.Violations() {
		assert.Fail(w.t, "a rule is broken", "seed %d: %v", w.seed, violation)
	}
}

// openJobs are those that were accepted, run to their end by themselves, and haven't.
func (w *world) openJobs() []*job {
	var open []*job
	for _, c := range w.clients {
		for _, made := range c.jobs {
			if made.accepted && !made.cancelled && !made.stage.LongRunning && !w.farm.JobDone(made.id) {
				open = append(open, made)
			}
		}
	}
	return open
}
