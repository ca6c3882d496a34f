package control

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/state"
)

// longTimeout is the timeout of a caller that waits for any answer of the program.
const longTimeout = time.Minute

// runOperators runs a scenario with the given number of replicas after the first configuration is in force.
func runOperators(t *testing.T, replicas int, scenario func(w *operatorsSim, head *operatorsMachine)) {
	synctest.Test(t, func(t *testing.T) {
		w := newOperatorsSim(t, 1, replicas)
		head := w.head()
		w.expectStatus(head, newOrder(0, 1, 1), http.StatusOK)
		scenario(w, head)
		w.stop()
	})
}

// takeOverTimeout bounds how long a request is repeated while it has no clear answer. A failed head is replaced within that time.
const takeOverTimeout = 3 * time.Second

// expectStatus sends a request, repeats it unchanged while it has no clear answer, as operators do, and checks the status.
func (w *operatorsSim) expectStatus(m *operatorsMachine, call operatorsCall, status int) {
	if test, ok := w.t.(*testing.T); ok {
		test.Helper()
	}
	answer := w.send(m, call, longTimeout)
	for limit := time.Now().Add(takeOverTimeout); status != unclear && answer.status == unclear && time.Now().Before(limit); {
		time.Sleep(forwardRetryInterval)
		answer = w.send(m, call, longTimeout)
	}
	assert.Equal(w.t, status, answer.status, "machine %d, base %d, version %d", m.number, call.base, call.version)
}

// sendConcurrently sends one request to each machine at the same time and returns the statuses.
func (w *operatorsSim) sendConcurrently(calls map[*operatorsMachine]operatorsCall) map[*operatorsMachine]int {
	var mutex sync.Mutex
	var all sync.WaitGroup
	statuses := map[*operatorsMachine]int{}
	for m, call := range calls {
		all.Go(func() {
			status := w.send(m, call, longTimeout).status
			mutex.Lock()
			defer mutex.Unlock()
			statuses[m] = status
		})
	}
	all.Wait()
	return statuses
}

// Two operators use one version number for different changes based on the same version, at any two machines. One is confirmed and one
// rejected.
func TestOneNumberIsConfirmedOnce(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, _ *operatorsMachine) {
		version := uint64(1)
		for _, one := range w.machines {
			for _, other := range w.others(one) {
				calls := map[*operatorsMachine]operatorsCall{one: newOrder(version, version+2, 10), other: newOrder(version, version+2, 20)}
				statuses := w.sendConcurrently(calls)
				assert.ElementsMatch(t, []int{http.StatusOK, http.StatusPreconditionFailed}, []int{statuses[one], statuses[other]})
				for m, call := range calls {
					w.expectStatus(other, call, statuses[m])
				}
				version += 2
			}
		}
	})
}

// One request, sent repeatedly and concurrently to all machines, is confirmed each time.
func TestCopiesOfAnOrderAreAllConfirmed(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, _ *operatorsMachine) {
		const copies = 8
		var all sync.WaitGroup
		for i := range copies {
			all.Go(func() { w.expectStatus(w.machines[i%len(w.machines)], newOrder(1, 5, 10), http.StatusOK) })
		}
		all.Wait()
		w.expectStatus(w.machines[0], newOrder(5, 6, 10), http.StatusOK)
		w.expectStatus(w.machines[1], newOrder(1, 5, 10), http.StatusOK)
		w.expectStatus(w.machines[2], newOrder(1, 5, 11), http.StatusPreconditionFailed)
	})
}

// The answer to a request is lost. Then the head fails, later all machines do, and some restore the state from a snapshot. The repeated
// request is still confirmed.
func TestRepeatedOrderIsConfirmedAfterFaults(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		order, later := newOrder(1, 4, 10), newOrder(4, 9, 20)
		w.send(head, order, time.Millisecond) // the answer is lost
		w.expectStatus(w.others(head)[0], order, http.StatusOK)
		w.expectStatus(head, later, http.StatusOK)
		head.kill(true)
		w.expectStatus(w.others(head)[0], order, http.StatusOK)
		w.expectStatus(w.others(head)[1], newOrder(1, 4, 11), http.StatusPreconditionFailed)
		for version := uint64(9); version < 9+4*operatorsKeepEntries; version++ {
			w.expectStatus(w.others(head)[0], newOrder(version, version+1, 10), http.StatusOK)
		}
		head.start()
		w.head()
		for _, m := range w.machines {
			m.kill(true)
		}
		w.heal()
		for _, last := range w.machines { // each machine answers before it restarts; the last one has then run without a restart the longest
			w.head()
			w.expectStatus(last, order, http.StatusOK)
			w.expectStatus(last, later, http.StatusOK)
			w.expectStatus(last, newOrder(4, 9, 21), http.StatusPreconditionFailed)
			last.leave()
			time.Sleep(time.Second)
			last.kill(false)
			last.start()
		}
	})
}

// A request older than the remembered history may have been accepted. It is neither confirmed nor rejected.
func TestOrderOlderThanHistoryIsInDoubt(t *testing.T) {
	runOperators(t, 1, func(w *operatorsSim, head *operatorsMachine) {
		p := head.running()
		const many = 1100
		for version := uint64(1); version < many; version++ {
			command := &state.ConfigReplaced{Base: version, Version: version + 1, Body: []byte(operatorsBody(version+1, 10))}
			p.loop.post(func() {
				p.engine.propose(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: command}, func(state.Result, commitStatus) {})
			})
		}
		time.Sleep(time.Second)
		w.expectStatus(head, newOrder(many, many+1, 10), http.StatusOK)
		w.expectStatus(head, newOrder(1, 2, 10), unclear)
		w.expectStatus(head, newOrder(1, 2, 11), unclear)
		w.expectStatus(head, newOrder(many-2, many-1, 10), http.StatusOK)
		w.expectStatus(head, newOrder(many-2, many-1, 11), http.StatusPreconditionFailed)
		w.expectStatus(head, newOrder(1, many+2, 11), http.StatusPreconditionFailed)
		head.kill(true)
		head.start()
		w.head()
		w.expectStatus(head, newOrder(1, 2, 10), unclear)
		w.expectStatus(head, newOrder(many, many+1, 10), http.StatusOK)
	})
}

// A head is cut off with a request in its log, and the others accept another one at the same index. When the head learns of it, it rejects
// its own.
func TestOrderWhoseIndexWasTakenIsNotConfirmed(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		lost, won := newOrder(1, 3, 10), newOrder(1, 3, 20)
		statuses := make(chan int, 1)
		go func() { statuses <- w.send(head, lost, longTimeout).status }()
		other := w.others(head)[0]
		assert.Eventually(t, func() bool { return w.send(other, won, longTimeout).status == http.StatusOK }, time.Minute, time.Millisecond)
		w.isolate(head, false, true, true)
		assert.NotEqual(t, http.StatusOK, <-statuses)
		w.expectStatus(head, lost, http.StatusPreconditionFailed)
		w.expectStatus(head, won, http.StatusOK)
	})
}

// A head is paused and cut off while the others accept a change. A request based on that change is waiting at the head when it resumes.
func TestResumedHeadRejectsNothingByStaleState(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		const pauseLength = 2 * time.Second
		resumesAt := time.Now().Add(pauseLength)
		head.freeze(pauseLength)
		other := w.others(head)[0]
		assert.Eventually(t, func() bool { return w.send(other, newOrder(1, 3, 10), longTimeout).status == http.StatusOK }, time.Minute,
			time.Millisecond)
		time.Sleep(time.Until(resumesAt) - operatorTimeout/2)
		next := w.send(head, newOrder(3, 4, 10), longTimeout)
		assert.Equal(t, unclear, next.status)
		assert.False(t, time.Now().Before(resumesAt), "the request has waited for the head to resume")
		stale := w.send(head, operatorsCall{read: true}, longTimeout)
		assert.Equal(t, unclear, stale.status)
		w.isolate(head, false, true, true)
		w.expectStatus(head, newOrder(3, 4, 10), http.StatusOK)
	})
}

// A confirmed change is visible at once to the next read at any machine.
func TestAConfirmedChangeIsReadAtOnce(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, _ *operatorsMachine) {
		for version := uint64(1); version < 30; version++ {
			w.expectStatus(w.machines[version%3], newOrder(version, version+1, 10), http.StatusOK)
			for _, m := range w.machines {
				assert.Equal(t, version+1, w.send(m, operatorsCall{read: true}, longTimeout).version, "machine %d", m.number)
			}
		}
	})
}

// A head is cut off with a request in its log, rejoins while nothing is written, and later becomes the head again. The lost request must
// not block others.
func TestLostOrderDoesNotBlockOthers(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		w.send(head, newOrder(1, 2, 10), historyTimeout)
		time.Sleep(historyTimeout)
		w.isolate(head, false, true, true)
		for next := w.head(); next != head; next = w.head() {
			next.kill(false)
			time.Sleep(2 * time.Second)
			next.start()
		}
		w.expectStatus(head, newOrder(1, 2, 20), http.StatusOK)
		w.expectStatus(head, newOrder(1, 2, 10), http.StatusPreconditionFailed)
	})
}

// A head fails right after it has confirmed a change, before the others can know of the commit. The next head must have the change: it
// rejects neither a request based on it nor the repeated change.
func TestNewHeadHasAllConfirmedChanges(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		const changes = 8
		for version := uint64(1); version <= 2*changes; version += 2 {
			w.expectStatus(head, newOrder(version, version+1, 10), http.StatusOK)
			head.kill(false)
			for _, m := range w.others(head) {
				w.expectStatus(m, newOrder(version+1, version+2, 10), http.StatusOK)
				w.expectStatus(m, newOrder(version, version+1, 10), http.StatusOK)
			}
			head.start()
			head = w.head()
		}
	})
}
