package simworld

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/nodesettings"
)

// A replica that is cut off tells its operators so before they have gone on by themselves.
func TestACutOffReplicaSaysSoSoon(t *testing.T) {
	for i, struck := range []role{roleHead, roleMiddle, roleTail} {
		t.Run(string(struck), func(t *testing.T) {
			play(t, uint64(i)+1, options{replicas: 3, tolerance: 1}, func(w *world) {
				w.configure()
				lost := w.holder(struck)
				w.cut(lost, bothWays)
				time.Sleep(time.Second)
				o := w.newOperator(0)
				o.patience = callPatience
				var longest time.Duration
				for try := range 20 {
					read := o.read(lost)
					assert.Equal(t, http.StatusServiceUnavailable, read.status)
					replaced := o.replace(lost, order{base: 1, version: 2, mark: 3000 + try})
					assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, replaced.status)
					longest = max(longest, read.took, replaced.took)
				}
				t.Log("the longest answer took ", longest)
				assert.Less(t, longest, tryPatience)
			})
		})
	}
}

// An operator who goes from machine to machine at random, with longer and longer pauses, has an order acknowledged in time, whichever
// machine is lost or cut off.
func TestOrdersGetPastALostMachine(t *testing.T) {
	bounds := nodesettings.DefaultBounds()
	for name, lose := range map[string]func(w *world){
		"head killed": func(w *world) { w.replicas[w.holder(roleHead)].kill() },
		"head cut":    func(w *world) { w.cut(w.holder(roleHead), bothWays) },
		"middle cut":  func(w *world) { w.cut(w.holder(roleMiddle), bothWays) },
		"tail cut":    func(w *world) { w.cut(w.holder(roleTail), bothWays) },
	} {
		t.Run(name, func(t *testing.T) {
			var took []time.Duration
			for _, seed := range seedsToPlay(t, 10) {
				play(t, seed, options{replicas: 3, tolerance: 1}, func(w *world) {
					w.configure()
					time.Sleep(time.Second + time.Duration(w.draw(500))*time.Millisecond)
					lose(w)
					time.Sleep(time.Duration(w.draw(1000)) * time.Millisecond)
					took = append(took, w.orderUntilTaken())
				})
			}
			slices.Sort(took)
			t.Logf("of %d orders the middle one took %v, the longest %v", len(took), took[len(took)/2], took[len(took)-1])
			assert.Less(t, took[len(took)-1], bounds.AckTimeout())
		})
	}
}

// orderUntilTaken sends one order until it is acknowledged, and tells how long that took.
func (w *world) orderUntilTaken() time.Duration {
	o := w.newOperator(0)
	began := time.Now()
	pause := 100 * time.Millisecond
	for o.replace(w.draw(len(w.replicas)), order{base: 1, version: 2, mark: 3000}).status != http.StatusOK {
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return time.Since(began)
}
