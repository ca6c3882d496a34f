package control

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
)

// uncertainHistory returns a history in which the first sends of each request got no answer and the last one did. Readers see each
// configuration. The history's clock advances by one with each start and end of a call.
func uncertainHistory(orders, sends int, stale bool) *operatorsHistory {
	h := &operatorsHistory{}
	add := func(call operatorsCall, answer operatorsAnswer) {
		h.calls = append(h.calls, porcupine.Operation{Input: call, Output: answer, Call: h.clock.Add(1), Return: h.clock.Add(1)})
	}
	shown := func(order operatorsCall) {
		add(operatorsCall{read: true}, operatorsAnswer{status: http.StatusOK, version: order.version, body: order.body})
	}
	var first operatorsCall
	for version := range uint64(orders) {
		order := newOrder(version, version+1, int(version)+1)
		for range sends {
			add(order, operatorsAnswer{status: unclear})
		}
		add(order, operatorsAnswer{status: http.StatusOK})
		shown(order)
		if version == 0 {
			first = order
		}
	}
	if stale {
		shown(first)
	}
	return h
}

// The checker decides histories with many requests without an answer, linearizable or not.
func TestHistoriesOfManyUnclearOrdersAreDecided(t *testing.T) {
	everything := func(operatorsCall) bool { return true }
	for _, test := range []struct {
		stale bool
		want  porcupine.CheckResult
	}{{false, porcupine.Ok}, {true, porcupine.Illegal}} {
		judged := uncertainHistory(40, 3, test.stale).forChecker(everything)
		result, _ := porcupine.CheckOperationsVerbose(registerModel(), judged, historyCheckTimeout)
		assert.Equal(t, test.want, result, "stale read: %v", test.stale)
	}
}

// The reductions in forChecker do not change a verdict: small random histories get the same verdict with and without them.
func TestHistoryReductionKeepsCheckerVerdicts(t *testing.T) {
	verdicts := map[bool]int{}
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		h, taken := drawnHistory(random)
		want := porcupine.CheckOperations(registerModel(), h.complete(taken))
		assert.Equal(t, want, porcupine.CheckOperations(registerModel(), h.forChecker(taken)), "seed %d", seed)
		verdicts[want]++
	}
	assert.Greater(t, verdicts[true], 300)
	assert.Greater(t, verdicts[false], 300)
}

// drawnHistory returns a small random history. Its requests build on each other and each takes effect at one moment of one of its sends.
// Some answers are then replaced by random ones.
func drawnHistory(random *rand.Rand) (*operatorsHistory, func(operatorsCall) bool) {
	h := &operatorsHistory{}
	orders := make([]operatorsCall, 1+random.IntN(3))
	for i := range orders {
		orders[i] = newOrder(uint64(i), uint64(i)+1, i+1)
	}
	const span = 40
	for i, order := range orders {
		for range 1 + random.IntN(3) {
			from := int64(10*i + random.IntN(12))
			answer := operatorsAnswer{status: http.StatusOK}
			if random.IntN(2) == 0 {
				answer.status = unclear
			}
			h.calls = append(h.calls, porcupine.Operation{Input: order, Output: answer, Call: from, Return: from + 1 + random.Int64N(12)})
		}
	}
	for range 2 + random.IntN(5) {
		shown := orders[random.IntN(len(orders))]
		from := random.Int64N(span)
		h.calls = append(h.calls, porcupine.Operation{Input: operatorsCall{read: true}, Call: from, Return: from + 1 + random.Int64N(20),
			Output: operatorsAnswer{status: http.StatusOK, version: shown.version, body: shown.body}})
	}
	for range random.IntN(3) {
		refused := newOrder(uint64(random.IntN(len(orders)+1)), uint64(len(orders))+2, 99)
		from := random.Int64N(span)
		h.calls = append(h.calls, porcupine.Operation{Input: refused, Call: from, Return: from + 1 + random.Int64N(30),
			Output: operatorsAnswer{status: http.StatusPreconditionFailed}})
	}
	const apart = 64 // more than there are calls, so that no two moments are equal, as with the clock of a real history
	for i := range h.calls {
		call := &h.calls[i]
		call.Call, call.Return = call.Call*apart+int64(2*i), call.Return*apart+int64(2*i)+1
	}
	h.clock.Store(2 * span * apart)
	return h, func(call operatorsCall) bool { return call.version <= uint64(len(orders)) }
}
