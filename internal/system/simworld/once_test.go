package simworld

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

// configure applies a first configuration and waits until every dispatcher has it.
func (w *world) configure() {
	w.t.Helper()
	operator := w.newOperator(9)
	for try := 0; operator.replace(try%len(w.replicas), order{version: 1, mark: 2000}).status != http.StatusOK; try++ {
		require.Less(w.t, try, 50, "seed %d: no configuration was accepted", w.seed)
		time.Sleep(100 * time.Millisecond)
	}
	asking := w.newClient(200)
	for number := range w.dispatchers {
		for try := 0; ; try++ {
			if status, _ := asking.call(number, http.MethodGet, "", ""); status == http.StatusOK {
				break
			}
			require.Less(w.t, try, 50, "seed %d: dispatcher %d has no configuration", w.seed, number)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stateDelay is how long after the end of a task its job may still be shown in its earlier state.
const stateDelay = 3 * time.Second

// connectionBreaks is a plan in which one in share connections ends at a random byte: by a reset, an early end, or in silence.
func connectionBreaks(seed uint64, share, mostBytes int) simnet.Plan {
	random := rand.New(rand.NewPCG(seed, 5))
	limit := func() simnet.Limit {
		if random.IntN(share) > 0 {
			return simnet.Limit{}
		}
		return simnet.Limit{Bytes: int64(random.IntN(mostBytes)), Then: simnet.Ending(1 + random.IntN(3))}
	}
	return func(string, string, int) simnet.Fate { return simnet.Fate{Out: limit(), Back: limit()} }
}

// Connections of all kinds end at any byte of requests and responses. Each accepted job completes, no task runs twice at once, and no
// refused job runs.
func TestJobsRunOnceDespiteBrokenConnections(t *testing.T) {
	for _, seed := range testSeeds(t, 3) {
		runInWorld(t, seed, options{replicas: 3, tolerance: 1, dispatchers: 2, workers: 4}, func(w *world) {
			w.configure()
			w.net.SetPlan(connectionBreaks(seed, 3, 6000))
			var clients sync.WaitGroup
			for number := range 4 {
				c := w.newClient(number)
				clients.Go(func() {
					for range 12 {
						c.submit(c.newJob(w.shortStage()))
						time.Sleep(150 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			w.net.SetPlan(nil)
			w.requireJobs(20 * time.Second)
			time.Sleep(stateDelay)
			require.Greater(t, w.requireStates(), 36, "seed %d", seed)
		})
	}
}

// requireStates checks the state of every accepted job that was not cancelled, and returns their number.
func (w *world) requireStates() int {
	accepted := 0
	for _, c := range w.clients {
		for _, submitted := range c.jobs {
			if !submitted.accepted || submitted.cancelled {
				continue
			}
			accepted++
			status, state := c.state(submitted)
			assert.Equal(w.t, "completed", state, "seed %d, job %s: %d", w.seed, submitted.id, status)
		}
	}
	return accepted
}
