package simworld

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/nodesettings"
)

// An isolated replica refuses operators' calls before their attempt times out, so that they can try another replica.
func TestIsolatedReplicaRefusesSoon(t *testing.T) {
	for i, affected := range []role{roleHead, roleMiddle, roleTail} {
		t.Run(string(affected), func(t *testing.T) {
			runInWorld(t, uint64(i)+1, options{replicas: 3, tolerance: 1}, func(w *world) {
				w.configure()
				isolated := w.replicaWithRole(affected)
				w.isolate(isolated, bothWays)
				time.Sleep(time.Second)
				o := w.newOperator(0)
				o.timeout = callTimeout
				var longest time.Duration
				for try := range 20 {
					read := o.read(isolated)
					assert.Equal(t, http.StatusServiceUnavailable, read.status)
					replaced := o.replace(isolated, order{base: 1, version: 2, mark: 3000 + try})
					assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, replaced.status)
					longest = max(longest, read.took, replaced.took)
				}
				t.Log("the longest answer took ", longest)
				assert.Less(t, longest, attemptTimeout)
			})
		})
	}
}

// An operator tries random replicas with growing pauses. Its order is acknowledged in time, whichever machine is lost or isolated.
func TestReplaceSucceedsWithoutOneMachine(t *testing.T) {
	bounds := nodesettings.DefaultBounds()
	for name, lose := range map[string]func(w *world){
		"head killed": func(w *world) { w.replicas[w.replicaWithRole(roleHead)].kill() },
		"head cut":    func(w *world) { w.isolate(w.replicaWithRole(roleHead), bothWays) },
		"middle cut":  func(w *world) { w.isolate(w.replicaWithRole(roleMiddle), bothWays) },
		"tail cut":    func(w *world) { w.isolate(w.replicaWithRole(roleTail), bothWays) },
	} {
		t.Run(name, func(t *testing.T) {
			var took []time.Duration
			for _, seed := range testSeeds(t, 10) {
				runInWorld(t, seed, options{replicas: 3, tolerance: 1}, func(w *world) {
					w.configure()
					time.Sleep(time.Second + time.Duration(w.randomIntN(500))*time.Millisecond)
					lose(w)
					time.Sleep(time.Duration(w.randomIntN(1000)) * time.Millisecond)
					took = append(took, w.orderUntilTaken())
				})
			}
			slices.Sort(took)
			t.Logf("of %d orders the median took %v, the longest %v", len(took), took[len(took)/2], took[len(took)-1])
			assert.Less(t, took[len(took)-1], bounds.AckTimeout())
		})
	}
}

// orderUntilTaken sends one order until it is acknowledged, and returns how long that took.
func (w *world) orderUntilTaken() time.Duration {
	o := w.newOperator(0)
	began := time.Now()
	pause := 100 * time.Millisecond
	for o.replace(w.randomIntN(len(w.replicas)), order{base: 1, version: 2, mark: 3000}).status != http.StatusOK {
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return time.Since(began)
}
