package simworld

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A dispatcher starts again next to a replica that was cut off before the newest configuration: as soon as it reaches a majority it
// acts by nothing older. Until then it says of no queue that it isn't there, and wants no clients.
func TestADispatcherRestartsNextToAStaleReplica(t *testing.T) {
	for number, seeds := range []int{1, 3} {
		t.Run(fmt.Sprint(seeds, " seeds"), func(t *testing.T) {
			play(t, uint64(number)+1, options{replicas: 3, tolerance: 1, dispatchers: 1}, func(w *world) {
				w.configure()
				stale := w.holder(roleTail)
				w.cut(stale, bothWays)
				w.awaitHead(2)
				newer := order{base: 1, version: 2, mark: 3000}
				require.Equal(t, http.StatusOK, w.newOperator(0).replace(w.awaitHead(2), newer.withRoute("new")).status)
				edge := w.dispatchers[0]
				edge.kill()
				for replica := range w.replicas {
					w.net.CutBoth(edge.host, replicaHost(replica))
				}
				w.net.Heal(edge.host, replicaHost(stale))
				edge.start(w.seedsFrom(stale)[:seeds])
				w.askForNewQueue(5*time.Second, 0)
				w.slowly(edge.host, 60*time.Millisecond)
				for replica := range w.replicas {
					w.net.Heal(edge.host, replicaHost(replica))
				}
				w.net.HealAll()
				w.askForNewQueue(5*time.Second, 5)
			})
		})
	}
}

// seedsFrom are the seeds, that replica's first.
func (w *world) seedsFrom(first int) []string {
	var seeds []string
	for offset := range w.replicas {
		seeds = append(seeds, controlAddress((first+offset)%len(w.replicas)))
	}
	return seeds
}

// slowly gives a host a long way to all replicas.
func (w *world) slowly(host string, latency time.Duration) {
	for replica := range w.replicas {
		w.net.SetLatency(host, replicaHost(replica), latency, latency)
		w.net.SetLatency(replicaHost(replica), host, latency, latency)
	}
}

// askForNewQueue asks the dispatcher all the time for a queue that only the newest configuration has, and whether it is ready: it may
// say neither that there is no such queue nor that it is ready without knowing it. At least so many answers have to be right.
func (w *world) askForNewQueue(span time.Duration, least int) {
	asking := w.newClient(100 + len(w.clients))
	right := 0
	for limit := time.Now().Add(span); time.Now().Before(limit); time.Sleep(7 * time.Millisecond) {
		ready, _ := asking.request("http://"+dispatcherHost(0)+fmt.Sprintf(":%d/readyz", readinessPort), http.MethodGet, "")
		status, _ := asking.request("http://"+frontendAddress(0)+"/new/", http.MethodGet, "")
		assert.NotEqual(w.t, http.StatusNotFound, status, "seed %d: no such queue, at %v", w.seed, time.Since(w.began))
		if ready == http.StatusOK {
			assert.Equal(w.t, http.StatusOK, status, "seed %d: ready without the newest, at %v", w.seed, time.Since(w.began))
		}
		if status == http.StatusOK {
			right++
		}
	}
	assert.GreaterOrEqual(w.t, right, least, "seed %d", w.seed)
}
