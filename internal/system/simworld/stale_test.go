package simworld

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A dispatcher restarts and reaches only a replica that was isolated before the newest configuration. Once it reaches a majority, it uses
// nothing older. Until then it neither reports a queue as missing nor reports itself ready.
func TestDispatcherRestartNextToStaleReplica(t *testing.T) {
	for number, seeds := range []int{1, 3} {
		t.Run(fmt.Sprint(seeds, " seeds"), func(t *testing.T) {
			runInWorld(t, uint64(number)+1, options{replicas: 3, tolerance: 1, dispatchers: 1}, func(w *world) {
				w.configure()
				stale := w.replicaWithRole(roleTail)
				w.isolate(stale, bothWays)
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
				w.requireNoStaleAnswers(5*time.Second, 0)
				w.slowLinks(edge.host, 60*time.Millisecond)
				for replica := range w.replicas {
					w.net.Heal(edge.host, replicaHost(replica))
				}
				w.net.HealAll()
				w.requireNoStaleAnswers(5*time.Second, 5)
			})
		})
	}
}

// seedsFrom returns the seed nodes, with the given replica first.
func (w *world) seedsFrom(first int) []string {
	var seeds []string
	for offset := range w.replicas {
		seeds = append(seeds, controlAddress((first+offset)%len(w.replicas)))
	}
	return seeds
}

// slowLinks sets the latency between a host and all replicas.
func (w *world) slowLinks(host string, latency time.Duration) {
	for replica := range w.replicas {
		w.net.SetLatency(host, replicaHost(replica), latency, latency)
		w.net.SetLatency(replicaHost(replica), host, latency, latency)
	}
}

// requireNoStaleAnswers queries the dispatcher repeatedly for its readiness and for a queue that only the newest configuration has. The
// dispatcher must not report the queue as missing, nor be ready without it. At least the given number of answers must be right.
func (w *world) requireNoStaleAnswers(span time.Duration, least int) {
	asking := w.newClient(100 + len(w.clients))
	right := 0
	for limit := time.Now().Add(span); time.Now().Before(limit); time.Sleep(7 * time.Millisecond) {
		ready, _ := asking.request("http://"+dispatcherHost(0)+fmt.Sprintf(":%d/readyz", readinessPort), http.MethodGet, "")
		status, _ := asking.request("http://"+frontendAddress(0)+"/new/", http.MethodGet, "")
		assert.NotEqual(w.t, http.StatusNotFound, status, "seed %d: no such queue, at %v", w.seed, time.Since(w.startedAt))
		if ready == http.StatusOK {
			assert.Equal(w.t, http.StatusOK, status, "seed %d: ready without the newest configuration, at %v", w.seed, time.Since(w.startedAt))
		}
		if status == http.StatusOK {
			right++
		}
	}
	assert.GreaterOrEqual(w.t, right, least, "seed %d", w.seed)
}
