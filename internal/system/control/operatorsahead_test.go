package control

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/internalapi"
)

// An operator has two requests in progress, the second based on the first. The second must not be refused before the first is in force: a
// copy of it that waits in a machine that stands still would be carried out after the refusal (review, case 2).
func TestRequestOnAVersionYetToComeIsNotRefused(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		first, second := newOrder(1, 7, 10), newOrder(7, 9, 20)
		for _, m := range w.machines {
			assert.Equal(t, unclear, w.send(m, second, longTimeout).status, "machine %d", m.number)
		}
		w.expectStatus(w.others(head)[0], first, http.StatusOK)
		w.expectStatus(w.others(head)[1], second, http.StatusOK)
		for _, m := range w.machines {
			assert.Equal(t, uint64(9), w.send(m, operatorsCall{read: true}, longTimeout).version, "machine %d", m.number)
		}
	})
}

// A request is taken in one call if the version that it is based on comes while the machine still tries.
func TestRequestWaitsForTheVersionItIsBasedOn(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		version := uint64(1)
		for _, m := range w.machines {
			first, second := newOrder(version, version+1, 10), newOrder(version+1, version+3, 20)
			answered := make(chan int, 1)
			go func() { answered <- w.send(m, second, longTimeout).status }()
			time.Sleep(2 * forwardRetryInterval)
			w.expectStatus(w.others(m)[0], first, http.StatusOK)
			assert.Equal(t, http.StatusOK, <-answered, "machine %d", m.number)
			version += 3
		}
	})
}

// Once another version has taken the place of the one that a request is based on, the refusal is final.
func TestRequestOnAVersionThatLostIsRefused(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		lost, next := newOrder(1, 7, 10), newOrder(7, 9, 20)
		assert.Equal(t, unclear, w.send(head, next, longTimeout).status)
		w.expectStatus(head, newOrder(1, 8, 30), http.StatusOK)
		for _, m := range w.machines {
			w.expectStatus(m, lost, http.StatusPreconditionFailed)
			w.expectStatus(m, next, http.StatusPreconditionFailed)
		}
		w.expectStatus(head, newOrder(8, 10, 40), http.StatusOK)
		w.expectStatus(head, next, http.StatusPreconditionFailed)
	})
}

// A reply that a request can't be decided yet is 503, or 504 once a copy of the request may be carried out.
func TestUndecidedRequestHasNoDefiniteAnswer(t *testing.T) {
	notYet := replyWith(internalapi.NotYet, http.StatusServiceUnavailable)
	assert.Equal(t, http.StatusServiceUnavailable, replaceAtFollower(t, notYet).Status)
	assert.Equal(t, http.StatusGatewayTimeout, replaceAtFollower(t, replyWith(internalapi.InDoubt, http.StatusGatewayTimeout), notYet).Status)
	assert.Equal(t, http.StatusOK, replaceAtFollower(t, notYet, replyWith(internalapi.Done, http.StatusOK)).Status)
}
