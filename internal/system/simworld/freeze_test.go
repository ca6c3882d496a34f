package simworld

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// frozenFor is long enough for another head and many changes; frozenPatience lets an answer that waits for the end of a freeze count.
const (
	frozenFor      = 3 * time.Second
	frozenPatience = 10 * time.Second
)

// A replica is frozen just before one of the next readings of its clock: between its check and its answer, between an order's check
// and its proposal, or anywhere else. Its operators wait. What it says after the freeze, to those who asked before and meanwhile, has to
// fit into the one history.
func TestAFrozenReplicaKeepsToTheOneHistory(t *testing.T) {
	for _, struck := range []role{roleHead, roleMiddle, roleTail} {
		for readings := 1; readings <= 36; readings += 3 {
			t.Run(fmt.Sprint(struck, " before reading ", readings), func(t *testing.T) {
				play(t, uint64(readings), options{replicas: 3, tolerance: 1}, func(w *world) {
					frozen := w.holder(struck)
					majority := w.move(0, 2000, 100*time.Millisecond, w.otherThan(frozen))
					time.Sleep(500 * time.Millisecond)
					var asking sync.WaitGroup
					ask := func(number int) {
						asking.Go(func() { w.askPatiently(number, frozen) })
						time.Sleep(time.Millisecond)
					}
					ask(0)
					w.replicas[frozen].freezeWithin(readings)
					for number := range 30 {
						ask(1 + number)
					}
					time.Sleep(frozenFor)
					for number := range 4 {
						asking.Go(func() { w.orderPatiently(31+number, frozen) })
					}
					time.Sleep(2 * time.Millisecond)
					w.note("thaw")
					w.replicas[frozen].thaw()
					for number := range 5 {
						ask(36 + number)
					}
					asking.Wait()
					majority.stop()
					require.Greater(t, majority.taken, 15, "the majority stood still")
					w.requireRegister()
				})
			})
		}
	}
}

// orderingAtOnce bounds the operators that give orders: refusals that last as long as a freeze may stand at any of its moments, and the
// checker tries all.
const orderingAtOnce = 6

// askPatiently reads, and every other time puts something on top of what it has read.
func (w *world) askPatiently(number, replica int) {
	o := w.newOperator(50 + number)
	o.patience = frozenPatience
	if read := o.read(replica); read.status == http.StatusOK && number%(41/orderingAtOnce) == 0 {
		o.replace(replica, order{base: read.version, version: read.version + 1, mark: 100_000 + number})
	}
}

// orderPatiently puts something on top of the newest that was acknowledged anywhere.
func (w *world) orderPatiently(number, replica int) {
	o := w.newOperator(50 + number)
	o.patience = frozenPatience
	newest := w.history.newest()
	o.replace(replica, order{base: newest, version: newest + 1, mark: 100_000 + number})
}

// newest is the highest number that was read or acknowledged so far.
func (h *history) newest() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	highest := uint64(0)
	for _, operation := range h.calls {
		highest = max(highest, newest(operation))
	}
	return highest
}
