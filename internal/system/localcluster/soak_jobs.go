package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/hollow"
)

const (
	soakHost         = "client"
	maxSoakTries     = 12
	singleTryShare   = 0.25 // share of jobs that are submitted once, whatever the answer
	doubledShare     = 0.15 // share of jobs that are submitted twice concurrently
	cancelledShare   = 0.12
	cancelledFirst   = 0.04 // share of jobs that are cancelled before they are submitted
	maxCancelDelay   = 1500 * time.Millisecond
	minLongRunning   = 2 * time.Second // until a long-running job is cancelled
	extraStatusCalls = 2               // status calls after a job has finished
	jobStream        = 7
)

// SoakJobs counts the jobs of a soak run by outcome.
type SoakJobs struct {
	Sent, Accepted, Refused, Doubt, Completed, Failed, Cancelled, Waiting int
}

// soakJob is the clients' knowledge of one job.
type soakJob struct {
	*jobDraft
	maxTries                   int // attempts to submit it
	accepted, refused, inDoubt bool
	cancelRequested, cancelled bool
	mustNotRun                 bool   // its cancellation was answered before it was submitted
	state                      string // last reported state
	finished                   bool
}

// soakClients submit jobs, cancel some of them, and poll their states. They check every answer.
type soakClients struct {
	soak          *soakRun
	client        *http.Client
	addresses     []string
	generator     *jobGenerator
	random        *rand.Rand
	group         sync.WaitGroup
	followContext context.Context // context of the job goroutines, which outlast the load
	stopFollowing context.CancelFunc

	mutex sync.Mutex
	jobs  []*soakJob
}

func (c *soakClients) setUp(s *soakRun) {
	c.soak = s
	c.client = s.httpClient(soakHost, clientTimeout)
	c.addresses = s.cluster.frontendAddresses()
	c.generator = newJobGenerator(s.options.Seed)
	c.random = rand.New(rand.NewPCG(s.options.Seed, jobStream))
	c.followContext, c.stopFollowing = context.WithCancel(context.Background())
}

func (c *soakClients) close() {
	c.stopFollowing()
	c.group.Wait()
	c.client.CloseIdleConnections()
}

// load submits jobs at random times until the context ends.
func (c *soakClients) load(ctx context.Context) {
	routes := c.soak.cluster.configuration.parsed.Routes
	for {
		gap := time.Duration(c.random.ExpFloat64() / c.soak.options.Rate * float64(time.Second))
		if pause.For(ctx, gap) != nil {
			return
		}
		number := c.random.IntN(len(routes))
		draft, shape, err := c.generator.generateSoak(jobKind(number%int(kindSteady)), &routes[number], time.Now(), c.soak.cluster.fleet.world.Now())
		if err != nil {
			c.soak.addFinding("FAULT", "no job drawn: %v", err)
			return
		}
		job := &soakJob{jobDraft: draft}
		doubled, cancels := c.random.Float64() < doubledShare, c.random.Float64() < cancelledShare
		delay := time.Duration(c.random.Int64N(int64(maxCancelDelay)))
		if shape == shapeLongRunning {
			cancels, delay = true, minLongRunning+2*delay
		}
		cancelsFirst := c.random.Float64() < cancelledFirst
		c.mutex.Lock()
		c.jobs = append(c.jobs, job)
		c.mutex.Unlock()
		c.soak.cluster.fleet.world.AddJob(draft.job)
		job.maxTries = maxSoakTries
		if c.random.Float64() < singleTryShare {
			job.maxTries = 1
		}
		c.group.Go(func() {
			if cancelsFirst {
				c.cancelUnknown(c.followContext, job)
			}
			c.runJob(c.followContext, job, doubled, cancels, delay)
		})
	}
}

// cancelUnknown cancels a job that nobody has submitted yet. Once that is answered, no copy of the job may run.
func (c *soakClients) cancelUnknown(ctx context.Context, job *soakJob) {
	c.soak.cluster.tracker.add(job.id, kindQuick)
	c.mutex.Lock()
	job.cancelRequested = true
	c.mutex.Unlock()
	for range job.maxTries {
		status, body, err := c.call(ctx, http.MethodDelete, job)
		switch {
		case err == nil && (status == http.StatusGone || status == http.StatusOK):
			c.mutex.Lock()
			job.mustNotRun = true
			c.mutex.Unlock()
			c.soak.cluster.fleet.world.CancelJob(job.id)
			return
		case err == nil && status != http.StatusTooManyRequests && status < http.StatusInternalServerError:
			c.soak.addFinding("CONFIG", "the cancelling of job %s was answered %d: %s", job.id, status, body)
		}
		if pause.For(ctx, statusPollInterval) != nil {
			return
		}
	}
}

// checkCancelledFirst checks that no job ran whose cancellation was answered before it was submitted.
func (c *soakClients) checkCancelledFirst() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, job := range c.jobs {
		if job.mustNotRun && c.soak.cluster.tracker.hasStarted(job.id) {
			c.soak.addFinding("UNASKED", "job %s ran, and its cancelling was answered before it was submitted", job.id)
		}
	}
}

// runJob takes one job from its submission to its end.
func (c *soakClients) runJob(ctx context.Context, job *soakJob, doubled, cancels bool, delay time.Duration) {
	if doubled {
		var group sync.WaitGroup
		group.Go(func() { c.submit(ctx, job) })
		group.Go(func() { c.submit(ctx, job) })
		group.Wait()
	} else {
		c.submit(ctx, job)
	}
	accepted := c.settleSubmission(job)
	if !accepted {
		return
	}
	if cancels {
		_ = pause.For(ctx, delay)
		c.cancel(ctx, job)
	}
	c.pollStatus(ctx, job)
}

// settleSubmission records that no client submits the job any more.
func (c *soakClients) settleSubmission(job *soakJob) (accepted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !job.accepted && !job.inDoubt {
		job.refused = true
		c.soak.cluster.fleet.world.RefuseJob(job.id)
	}
	return job.accepted
}

// submit submits the job until it is accepted or definitely rejected, at most maxTries times.
func (c *soakClients) submit(ctx context.Context, job *soakJob) {
	gap := firstRetryDelay
	for range job.maxTries {
		status, body, err := c.call(ctx, http.MethodPost, job)
		if c.recordSubmit(job, status, body, err) || pause.For(ctx, gap) != nil {
			return
		}
		gap = min(2*gap, time.Second)
	}
}

// recordSubmit records the answer to a submission and reports whether the job was accepted.
func (c *soakClients) recordSubmit(job *soakJob, status int, body []byte, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		job.inDoubt = true
	case status == http.StatusOK:
		job.accepted = true
		return true
	case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
		c.soak.addFinding("CONFIG", "job %s was answered %d: %s", job.id, status, body)
	}
	return false
}

// cancel sends cancellations until there is a definite answer.
func (c *soakClients) cancel(ctx context.Context, job *soakJob) {
	c.mutex.Lock()
	job.cancelRequested = true
	c.mutex.Unlock()
	for {
		status, _, err := c.call(ctx, http.MethodDelete, job)
		switch {
		case err == nil && status == http.StatusOK:
			c.mutex.Lock()
			job.cancelled = true
			c.mutex.Unlock()
			c.soak.cluster.fleet.world.CancelJob(job.id)
			return
		case err == nil && status == http.StatusGone:
			c.soak.addFinding("LOST", "job %s was accepted, and its cancelling answered 410", job.id)
			return
		}
		if pause.For(ctx, statusPollInterval) != nil {
			return
		}
	}
}

// pollStatus polls the job's state until the job has finished, and a few times after that.
func (c *soakClients) pollStatus(ctx context.Context, job *soakJob) {
	left := 1 + extraStatusCalls
	for left > 0 && pause.For(ctx, statusPollInterval+time.Duration(rand.Int64N(int64(statusPollInterval)))) == nil {
		status, body, err := c.call(ctx, http.MethodGet, job)
		if err != nil || status >= http.StatusInternalServerError {
			continue
		}
		if status != http.StatusOK {
			c.soak.addFinding("LOST", "job %s was accepted, and its state is answered %d", job.id, status)
			return
		}
		var answer struct {
			State string `json:"state"`
		}
		if json.Unmarshal(body, &answer) != nil {
			c.soak.addFinding("MIXED", "the state of job %s can't be read: %q", job.id, body)
			return
		}
		if c.recordState(job, answer.State) {
			left--
		}
	}
}

// stateOrder is the order in which a job's states may follow each other.
var stateOrder = []string{"pending", "running", "completed", "failed", "cancelled"}

// recordState checks and records a reported state. It reports whether the state is final.
func (c *soakClients) recordState(job *soakJob, state string) (finished bool) {
	world := c.soak.cluster.fleet.world
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous, current := slices.Index(stateOrder, job.state), slices.Index(stateOrder, state)
	if current < previous || job.finished && state != job.state {
		c.soak.addFinding("STATE", "job %s was shown as %s after %s", job.id, state, job.state)
	}
	job.state = state
	job.finished = current >= slices.Index(stateOrder, "completed")
	switch {
	case current < 0:
		c.soak.addFinding("MIXED", "job %s is shown as %q", job.id, state)
	case state == "completed" && !world.JobDone(job.id):
		c.soak.addFinding("MIXED", "job %s is shown as completed, and it isn't", job.id)
	case state == "failed" && !world.JobRetriesExhausted(job.id):
		c.soak.addFinding("LOST", "job %s is shown as failed without cause", job.id)
	case state == "cancelled" && !job.cancelRequested:
		c.soak.addFinding("LOST", "job %s is shown as cancelled, and nobody cancelled it", job.id)
	case state == "cancelled" && !job.cancelled && !job.mustNotRun: // shown, though no cancellation got a clear answer
		job.cancelled = true
		world.CancelJob(job.id)
	}
	return job.finished
}

func (c *soakClients) call(ctx context.Context, method string, job *soakJob) (int, []byte, error) {
	return callRandomDispatcher(ctx, c.client, method, c.addresses, job.jobDraft)
}

// awaitFinished waits until all accepted jobs have finished.
func (c *soakClients) awaitFinished(ctx context.Context) {
	for len(c.unfinished()) > 0 && pause.For(ctx, soakPollInterval) == nil {
	}
	for _, job := range c.unfinished() {
		c.soak.addFinding("LOST", "job %s, %s, accepted, isn't over %v after the troubles", job.id, job.state, finishTimeout)
	}
	c.checkCancelledFirst()
	for _, lost := range c.soak.cluster.fleet.world.Lost(lostAfter) {
		if job := c.acceptedJob(lost); job != nil {
			c.soak.addFinding("LOST", "%s; it is shown as %q, its cancelling requested: %v", lost.String(), job.state, job.cancelRequested)
		}
	}
}

// acceptedJob returns the job of a lost task if it was accepted, or nil.
func (c *soakClients) acceptedJob(lost hollow.Violation) *soakJob {
	id, _, _ := bytes.Cut([]byte(lost.Task), []byte("."))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := slices.IndexFunc(c.jobs, func(job *soakJob) bool { return job.id == string(id) && job.accepted })
	if at < 0 {
		return nil
	}
	return c.jobs[at]
}

func (c *soakClients) unfinished() (waiting []*soakJob) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, job := range c.jobs {
		if job.accepted && !job.finished {
			waiting = append(waiting, job)
		}
	}
	return waiting
}

func (c *soakClients) count() (counted SoakJobs) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted.Sent = len(c.jobs)
	for _, job := range c.jobs {
		switch {
		case job.accepted:
			counted.Accepted++
		case job.refused:
			counted.Refused++
		default:
			counted.Doubt++
		}
		switch job.state {
		case "completed":
			counted.Completed++
		case "failed":
			counted.Failed++
		case "cancelled":
			counted.Cancelled++
		default:
			counted.Waiting++
		}
	}
	return counted
}
