package simworld

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// freezeDuration is long enough for a new head and many writes. frozenAnswerTimeout is long enough for answers that wait for the end of a
// freeze.
const (
	freezeDuration      = 3 * time.Second
	frozenAnswerTimeout = 10 * time.Second
)

// A replica is frozen just before one of the next readings of its clock: between its check and its answer, between an order's check and
// its proposal, or anywhere else. Its operators wait. Its answers after the freeze, to earlier and later calls, have to fit into one
// linearizable history.
func TestFrozenReplicaStaysLinearizable(t *testing.T) {
	for _, affected := range []role{roleHead, roleMiddle, roleTail} {
		for readings := 1; readings <= 36; readings += 3 {
			t.Run(fmt.Sprint(affected, " before reading ", readings), func(t *testing.T) {
				runInWorld(t, uint64(readings), options{replicas: 3, tolerance: 1}, func(w *world) {
					frozen := w.replicaWithRole(affected)
					majority := w.startReplacing(0, 2000, 100*time.Millisecond, w.allExcept(frozen))
					time.Sleep(500 * time.Millisecond)
					var asking sync.WaitGroup
					ask := func(number int) {
						asking.Go(func() { w.readThroughFreeze(number, frozen) })
						time.Sleep(time.Millisecond)
					}
					ask(0)
					w.replicas[frozen].freezeAfterReadings(readings)
					for number := range 30 {
						ask(1 + number)
					}
					time.Sleep(freezeDuration)
					for number := range 4 {
						asking.Go(func() { w.replaceThroughFreeze(31+number, frozen) })
					}
					time.Sleep(2 * time.Millisecond)
					w.logf("thaw")
					w.replicas[frozen].thaw()
					for number := range 5 {
						ask(36 + number)
					}
					asking.Wait()
					majority.stop()
					require.Greater(t, majority.acknowledged, 15, "the majority made too little progress")
					w.requireRegister()
				})
			})
		}
	}
}

// maxReplacingOperators limits the operators that write. A refusal that lasts as long as a freeze may be placed at any moment of it, and
// the checker tries all.
const maxReplacingOperators = 6

// readThroughFreeze reads the configuration and, for some operators, replaces what it has read.
func (w *world) readThroughFreeze(number, replica int) {
	o := w.newOperator(50 + number)
	o.timeout = frozenAnswerTimeout
	if read := o.read(replica); read.status == http.StatusOK && number%(41/maxReplacingOperators) == 0 {
		o.replace(replica, order{base: read.version, version: read.version + 1, mark: 100_000 + number})
	}
}

// replaceThroughFreeze replaces the newest configuration that was acknowledged anywhere.
func (w *world) replaceThroughFreeze(number, replica int) {
	o := w.newOperator(50 + number)
	o.timeout = frozenAnswerTimeout
	newest := w.history.newestVersion()
	o.replace(replica, order{base: newest, version: newest + 1, mark: 100_000 + number})
}

// newestVersion returns the highest version that was read or acknowledged so far.
func (h *history) newestVersion() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	highest := uint64(0)
	for _, operation := range h.calls {
		highest = max(highest, newestVersion(operation))
	}
	return highest
}
