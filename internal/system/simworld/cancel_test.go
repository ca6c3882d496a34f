package simworld

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/nodesettings"
)

// silenceDuration is shorter than a hold: a run on a worker that cannot be reached to stop it ends when its hold lapses.
const silenceDuration = 1500 * time.Millisecond

// disturbances are faults that leave the core stable.
var disturbances = []struct {
	name  string
	begin func(w *world)
}{
	{"nothing", func(*world) {}},
	{"a dispatcher cut off from the core", func(w *world) {
		for replica := range w.replicas {
			w.net.CutBoth(w.dispatchers[0].host, replicaHost(replica))
		}
	}},
	{"a dispatcher that gets no answers from the core", func(w *world) {
		for replica := range w.replicas {
			w.net.Cut(replicaHost(replica), w.dispatchers[0].host)
		}
	}},
	{"a dispatcher that stands still", func(w *world) { w.dispatchers[0].process.freeze() }},
	{"workers that say nothing for a while", func(w *world) {
		for _, worker := range w.farm.workers {
			worker.SetFaults(hollow.Faults{Silent: true})
			time.AfterFunc(silenceDuration, func() { worker.SetFaults(hollow.Faults{}) })
		}
	}},
	{"connections that end at any byte", func(w *world) {
		w.net.SetPlan(withoutClientSilence(connectionBreaks(w.seed, 4, 3000)))
		for _, open := range w.net.Conns() {
			open.Abort()
		}
	}},
	{"slow ways", func(w *world) {
		w.net.SetUsualLatency(20*time.Millisecond, 60*time.Millisecond)
	}},
	{"a head that is new", func(w *world) {
		w.replicas[w.replicaWithRole(roleHead)].kill()
		w.awaitHead(2)
		bounds := nodesettings.DefaultBounds()
		time.Sleep(bounds.Contact())
	}},
}

// withoutClientSilence changes a plan so that clients' connections are reset instead of falling silent: how long a client waits then
// depends on the client alone.
func withoutClientSilence(plan simnet.Plan) simnet.Plan {
	return func(from, to string, nth int) simnet.Fate {
		fate := plan(from, to, nth)
		if strings.HasPrefix(from, "10.0.5.") {
			for _, limit := range []*simnet.Limit{&fate.Out, &fate.Back} {
				if limit.Then == simnet.Silence {
					limit.Then = simnet.Reset
				}
			}
		}
		return fate
	}
}

// Every cancellation gets a 2xx or 410 response within the acknowledgement time-out while the core is stable, whatever else fails.
func TestCancelsAreAcknowledgedInTime(t *testing.T) {
	bounds := nodesettings.DefaultBounds()
	for i, disturbance := range disturbances {
		t.Run(disturbance.name, func(t *testing.T) {
			runInWorld(t, uint64(i)+1, options{replicas: 3, tolerance: 1, dispatchers: 2, workers: 4}, func(w *world) {
				w.configure()
				var clients sync.WaitGroup
				var mutex sync.Mutex
				var took []time.Duration
				disturbed := make(chan struct{})
				for number := range 6 {
					c := w.newClient(number)
					clients.Go(func() {
						var endlessJobs []*job
						for range 4 {
							endlessJobs = append(endlessJobs, c.newJob(endlessStage()))
							c.submit(endlessJobs[len(endlessJobs)-1])
						}
						<-disturbed
						for _, endless := range endlessJobs {
							span := c.cancel(endless)
							mutex.Lock()
							took = append(took, span)
							mutex.Unlock()
						}
					})
				}
				time.Sleep(3 * time.Second)
				disturbance.begin(w)
				close(disturbed)
				clients.Wait()
				longest := slices.Max(took)
				t.Log(fmt.Sprint(len(took), " cancels, longest ", longest))
				assert.Less(t, longest, bounds.AckTimeout())
				w.dispatchers[0].process.thaw()
				w.net.HealAll()
				time.Sleep(4 * time.Second)
				w.requireJobs(time.Second)
			})
		})
	}
}
