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

// configure puts a first configuration in force and waits until every dispatcher has it.
func (w *world) configure() {
	w.t.Helper()
	operator := w.newOperator(9)
	for try := 0; operator.replace(try%len(w.replicas), order{version: 1, mark: 2000}).status != http.StatusOK; try++ {
		require.Less(w.t, try, 50, "seed %d: no configuration is taken", w.seed)
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

// visible is how long after a task's end its job's state may be told as before.
const visible = 3 * time.Second

// breaking is a plan under which every share-th connection ends at a byte that is drawn: by a reset, an early end, or in silence.
func breaking(seed uint64, share, mostBytes int) simnet.Plan {
	random := rand.New(rand.NewPCG(seed, 5))
	limit := func() simnet.Limit {
		if random.IntN(share) > 0 {
			return simnet.Limit{}
		}
		return simnet.Limit{Bytes: int64(random.IntN(mostBytes)), Then: simnet.Ending(1 + random.IntN(3))}
	}
	return func(string, string, int) simnet.Fate { return simnet.Fate{Out: limit(), Back: limit()} }
}

// Connections of all kinds end at any byte of questions and answers: each accepted job runs to its end, none twice at once, and none
// that was refused.
func TestJobsUnderResetsEverywhere(t *testing.T) {
	for _, seed := range seedsToPlay(t, 3) {
		play(t, seed, options{replicas: 3, tolerance: 1, dispatchers: 2, workers: 4}, func(w *world) {
			w.configure()
			w.net.SetPlan(breaking(seed, 3, 6000))
			var clients sync.WaitGroup
			for number := range 4 {
				c := w.newClient(number)
				clients.Go(func() {
					for range 12 {
						c.submit(c.newJob(w.short()))
						time.Sleep(150 * time.Millisecond)
					}
				})
			}
			clients.Wait()
			w.net.SetPlan(nil)
			w.requireJobs(20 * time.Second)
			time.Sleep(visible)
			require.Greater(t, w.requireStates(), 36, "seed %d", seed)
		})
	}
}

// requireStates asks for the state of every job that was accepted, and tells how many those are.
func (w *world) requireStates() int {
	accepted := 0
	for _, c := range w.clients {
		for _, made := range c.jobs {
			if !made.accepted || made.cancelled {
				continue
			}
			accepted++
			status, state := c.state(made)
			assert.Equal(w.t, "completed", state, "seed %d, job %s: %d", w.seed, made.id, status)
		}
	}
	return accepted
}
