package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/hollow"
)

const (
	maxTries              = 8
	clientTimeout         = 3500 * time.Millisecond
	deadlineHeader        = "X-Gaugeslip-Deadline"
	firstRetryDelay       = 100 * time.Millisecond
	readyPollInterval     = 100 * time.Millisecond
	statusPollInterval    = 150 * time.Millisecond
	maxStatusPollInterval = time.Second
	maxIdlePerHost        = 64
)

// clients submit jobs to dispatchers and poll their states until they are finished.
type clients struct {
	addresses []string // frontends
	client    *http.Client
	tracker   *jobTracker
	world     *hollow.World
	group     sync.WaitGroup
}

func newClients(addresses []string, tracker *jobTracker, world *hollow.World) *clients {
	return &clients{addresses: addresses, tracker: tracker, world: world,
		client: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}}}
}

// submit submits a job on a new goroutine, which then polls its state until it is finished or the context ends.
func (c *clients) submit(ctx context.Context, draft *jobDraft, kind jobKind) {
	c.tracker.add(draft.id, kind)
	c.world.AddJob(draft.job)
	c.group.Go(func() {
		if c.submitUntilAnswered(ctx, draft) && kind != kindResident {
			c.pollUntilFinished(ctx, draft)
		}
	})
}

// submitUntilAnswered retries a submission until the job is accepted or the attempts are used up. It reports whether the job was
// accepted.
func (c *clients) submitUntilAnswered(ctx context.Context, draft *jobDraft) bool {
	inDoubt := false
	gap := firstRetryDelay
	for range maxTries {
		c.tracker.countTry(draft.id)
		status, _, err := c.call(ctx, http.MethodPost, draft)
		switch {
		case err == nil && status == http.StatusOK:
			c.tracker.setOutcome(draft.id, outcomeAccepted)
			return true
		case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			inDoubt = true
		}
		if pause.For(ctx, gap) != nil {
			break
		}
		gap *= 2
	}
	if !inDoubt {
		c.tracker.setOutcome(draft.id, outcomeRefused)
		c.world.RefuseJob(draft.id)
	}
	return false
}

// pollUntilFinished polls a job's state until the job is finished.
func (c *clients) pollUntilFinished(ctx context.Context, draft *jobDraft) {
	gap := max(statusPollInterval, draft.work)
	for pause.For(ctx, gap) == nil {
		gap = min(max(gap/4, statusPollInterval)*2, maxStatusPollInterval)
		status, body, err := c.call(ctx, http.MethodGet, draft)
		if err != nil {
			continue
		}
		if status == http.StatusGone {
			if c.tracker.markUnknown(draft.id) {
				return
			}
			continue
		}
		if reported := parseOutcome(body); reported != outcomeUnknown {
			c.tracker.setOutcome(draft.id, reported)
			return
		}
	}
}

// parseOutcome parses the response to a query for a job's state.
func parseOutcome(body []byte) outcome {
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return outcomeUnknown
	}
	switch answer.State {
	case "completed":
		return outcomeDone
	case "failed", "cancelled":
		return outcomeFailed
	}
	return outcomeUnknown
}

// call sends a request about a job to a random dispatcher.
func (c *clients) call(ctx context.Context, method string, draft *jobDraft) (int, []byte, error) {
	return callRandomDispatcher(ctx, c.client, method, c.addresses, draft)
}

// callRandomDispatcher sends a request about a job to a random one of the addresses. A POST request submits the job.
func callRandomDispatcher(ctx context.Context, client *http.Client, method string, addresses []string, draft *jobDraft) (int, []byte, error) {
	address := addresses[rand.IntN(len(addresses))]
	var content io.Reader
	if method == http.MethodPost {
		content = bytes.NewReader(draft.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+draft.route.PathPrefix+draft.id, content)
	if err != nil {
		return 0, nil, err
	}
	request.Host = draft.route.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(deadlineHeader, strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	return doRequest(client, request)
}

// awaitAllReady waits until every dispatcher answers for a route, which shows that its configuration is in force there.
func (c *clients) awaitAllReady(ctx context.Context, host, prefix string) error {
	failures := make([]error, len(c.addresses))
	var group sync.WaitGroup
	for i, address := range c.addresses {
		group.Go(func() { failures[i] = c.awaitReady(ctx, address, host, prefix) })
	}
	group.Wait()
	return firstError(failures...)
}

func (c *clients) awaitReady(ctx context.Context, address, host, prefix string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+prefix, nil)
		if err != nil {
			return err
		}
		request.Host = host
		if response, err := c.client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if pause.For(ctx, readyPollInterval) != nil {
			return ctx.Err()
		}
	}
}

// wait waits until all clients are done. No job may be submitted after that.
func (c *clients) wait() {
	c.group.Wait()
	c.client.CloseIdleConnections()
}
