package dataplane

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/jobspec"
)

var certaintySeed = flag.Uint64("certainty-seed", 0, "run only one seed of TestAnswersAreCertain")

const (
	certaintySeeds    = 300
	certaintyRequests = 40
)

// Whatever faults occur between the dispatcher and the core: a job answered with 2xx has been accepted by the core, a job
// answered with 429 or 503 is never accepted, and no client waits longer than it asked for.
func TestAnswersAreCertain(t *testing.T) {
	first, last := uint64(1), uint64(certaintySeeds)
	if *certaintySeed != 0 {
		first, last = *certaintySeed, *certaintySeed
	}
	statuses := map[int]int{}
	for seed := first; seed <= last; seed++ {
		synctest.Test(t, func(t *testing.T) { certaintyRun(t, seed, statuses) })
	}
	t.Logf("responses by status: %v", statuses)
	if *certaintySeed == 0 {
		for _, status := range []int{200, 429, 503, 504} {
			require.NotZero(t, statuses[status], "no response had status %d: too few faults", status)
		}
	}
}

func certaintyRun(t *testing.T, seed uint64, statuses map[int]int) {
	core := newFaultyCore(seed)
	directory := testDirectory(t, "a", "b", "c")
	poller := NewPoller(core, directory, []string{"a", "b", "c"}, func(error) {}, Options{})
	dispatcher := NewDispatcher(core, directory, poller.RequestPoll, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	var background, clients sync.WaitGroup
	background.Go(func() { poller.Run(ctx) })
	background.Go(func() { changeViews(ctx, core) })

	results := make([]int, certaintyRequests+1)
	for number := 1; number <= certaintyRequests; number++ {
		start := time.Duration(core.randomInt(4000)) * time.Millisecond
		wait := time.Duration(50+core.randomInt(4000)) * time.Millisecond
		clients.Go(func() {
			sleepFor(start)
			began := time.Now()
			results[number] = submitJob(dispatcher, uint64(number), wait)
			elapsed := time.Since(began)
			if results[number] == http.StatusOK && !core.isAccepted(uint64(number)) {
				t.Errorf("seed %d: job %d was answered 200 but the core hasn't accepted it", seed, number)
			}
			if limit := wait*85/100 + callSlack; elapsed > limit {
				t.Errorf("seed %d: job %d waited for %v, more than %v", seed, number, elapsed, limit)
			}
		})
	}
	clients.Wait()
	cancel()
	background.Wait()
	dispatcher.Wait()
	core.delayed.Wait()
	for number, status := range results[1:] {
		id := uint64(number + 1)
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			require.False(t, core.isAccepted(id), "seed %d: job %d was answered %d but the core accepted it", seed, id, status)
		case http.StatusOK, http.StatusGatewayTimeout:
		default:
			t.Errorf("seed %d: job %d was answered %d", seed, id, status)
		}
		statuses[status]++
	}
}

func submitJob(dispatcher *Dispatcher, number uint64, wait time.Duration) int {
	path := testPrefix + jobspec.ID(number).String()
	return serve(dispatcher, http.MethodPost, path, testBody, deadlineHeader, fmt.Sprint(wait.Milliseconds())).Code
}

func changeViews(ctx context.Context, core *faultyCore) {
	for pause.For(ctx, time.Duration(1+core.randomInt(1500))*time.Millisecond) == nil {
		core.changeView()
	}
}
