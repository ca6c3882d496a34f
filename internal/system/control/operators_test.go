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

// longTimeout is that of a caller who waits for whatever the program says.
const longTimeout = time.Minute

// runOperators plays a story with a few replicas, the first configuration in force.
func runOperators(t *testing.T, replicas int, story func(w *operatorsSim, head *operatorsMachine)) {
	synctest.Test(t, func(t *testing.T) {
		w := newOperatorsSim(t, 1, replicas)
		head := w.head()
		w.expectStatus(head, newOrder(0, 1, 1), http.StatusOK)
		story(w, head)
		w.stop()
	})
}

// takeOverTimeout bounds how long an order is sent again while it has no clear answer: a head that ends is replaced within that.
const takeOverTimeout = 3 * time.Second

// expectStatus sends an order, unchanged again while it has no clear answer as operators do, and holds the answer.
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

// sendConcurrently sends one order to each machine at once and gives the answers.
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

// Two operators give one number to different changes on the same version, at whatever machines: one is confirmed, one refused.
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

// One order, sent to all machines again and again at once, is confirmed to everybody.
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

// An order's answer is lost; meanwhile the head, then all machines end, and some come back by a snapshot. It is confirmed anew.
func TestARepeatedOrderIsConfirmedWhateverHappenedBetween(t *testing.T) {
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
		for _, last := range w.machines { // each is the only one that was there all along, and then answers by itself
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

// What is older than all that is remembered may have been taken: it is neither confirmed nor refused.
func TestAnOrderOlderThanTheHistoryIsLeftUnclear(t *testing.T) {
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

// A head is cut off with an order in its log; the others take another one in its place. When it learns so, it refuses its own.
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

// A head stands still, out of touch, while the others take a change. Right when it wakes an order on top of that change waits there.
func TestResumedHeadRejectsNothingByStaleState(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		const standsStill = 2 * time.Second
		wakes := time.Now().Add(standsStill)
		head.freeze(standsStill)
		other := w.others(head)[0]
		assert.Eventually(t, func() bool { return w.send(other, newOrder(1, 3, 10), longTimeout).status == http.StatusOK }, time.Minute,
			time.Millisecond)
		time.Sleep(time.Until(wakes) - operatorTimeout/2)
		next := w.send(head, newOrder(3, 4, 10), longTimeout)
		assert.Equal(t, unclear, next.status)
		assert.False(t, time.Now().Before(wakes), "it has waited for the head to wake")
		stale := w.send(head, operatorsCall{read: true}, longTimeout)
		assert.Equal(t, unclear, stale.status)
		w.isolate(head, false, true, true)
		w.expectStatus(head, newOrder(3, 4, 10), http.StatusOK)
	})
}

// A change that is confirmed is seen by the next read at any machine, at once.
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

// A head is cut off with an order in its log and comes back into a system where nothing is written, until it is the head again. The
// order it has lost holds no other up.
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

// A head ends right after it has confirmed a change, before the others can know that. None of them acts on less: an order on that change
// isn't refused, and neither is the change itself when it comes again.
func TestANewHeadActsOnAllThatWasConfirmed(t *testing.T) {
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
