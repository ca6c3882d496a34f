package simworld

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// registerState is the register: the newest version and, as text, all configurations that were applied, the newest last.
type registerState struct {
	version uint64
	applied string
}

// refusedForGood reports whether the order can't be carried out with a version in force, nor with any later one. An operator takes a refusal
// as the end of its call, so no copy of it may be carried out after that.
func (o order) refusedForGood(inForce uint64) bool {
	return o.base < inForce || o.version <= o.base && o.base != inForce
}

func (o order) text() string { return fmt.Sprintf("/%d:%d/", o.version, o.mark) }

// register models the operators' API as one register with conditional writes. A repeated order always gets the same answer.
func register() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return registerState{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(registerState), input.(order), output.(callResult))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
	}
}

func step(now registerState, input order, answer callResult) (bool, registerState) {
	if input.read {
		if answer.status == http.StatusNotFound {
			return now.version == 0, now
		}
		read := order{version: answer.version, mark: answer.mark}
		return now.version == answer.version && strings.HasSuffix(now.applied, read.text()), now
	}
	known := strings.Contains(now.applied, input.text())
	fits := input.base == now.version && input.version > now.version
	switch {
	case answer.status == http.StatusOK && known:
		return true, now
	case answer.status == http.StatusOK:
		return fits, now.with(input)
	case answer.status == http.StatusPreconditionFailed:
		return !known && input.refusedForGood(now.version), now
	case answer.status == http.StatusBadRequest:
		return !known && input.version <= now.version, now
	case fits && !known: // an order without a definite answer applies where it fits, at the latest at the end
		return true, now.with(input)
	}
	return true, now
}

func (s registerState) with(applied order) registerState {
	return registerState{version: applied.version, applied: s.applied + applied.text()}
}

func isDefinite(answer callResult) bool {
	switch answer.status {
	case http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest, http.StatusNotFound:
		return true
	}
	return false
}

// checkableOperations returns the history for the checker. It omits reads without an answer, and writes without one that no other
// operation depends on. The other writes without a definite answer last to the end.
func (h *history) checkableOperations() []porcupine.Operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	applied := h.possiblyApplied()
	end := h.clock.Add(1)
	var operations []porcupine.Operation
	for _, operation := range h.calls {
		input, answer := operation.Input.(order), operation.Output.(callResult)
		if !isDefinite(answer) {
			if input.read || !applied.includes(input) {
				continue
			}
			operation.Return = end
		}
		operation.ClientId = len(operations)
		operations = append(operations, operation)
	}
	return slices.DeleteFunc(slices.Clone(operations), func(call porcupine.Operation) bool { return isImplied(call, operations, applied) })
}

// isImplied reports whether a call that changes nothing is valid wherever another call within its time is: a read of the same
// configuration or, for a refusal, a read of a version with which it is refused for good. Omitting these calls greatly reduces the checker's search.
func isImplied(call porcupine.Operation, operations []porcupine.Operation, applied mayHaveApplied) bool {
	input, answer := call.Input.(order), call.Output.(callResult)
	var shows func(callResult) bool
	switch {
	case input.read && answer.status == http.StatusOK:
		shows = func(other callResult) bool { return other.version == answer.version && other.mark == answer.mark }
	case answer.status == http.StatusPreconditionFailed && !applied.includes(input):
		shows = func(other callResult) bool { return input.refusedForGood(other.version) }
	default:
		return false
	}
	return slices.ContainsFunc(operations, func(other porcupine.Operation) bool {
		within := other.Call > call.Call && other.Return < call.Return
		read := other.Input.(order).read && other.Output.(callResult).status == http.StatusOK
		return within && read && shows(other.Output.(callResult))
	})
}

// mayHaveApplied maps each version that may have been in force to its mark, or to 0 if the mark is not known.
type mayHaveApplied map[uint64]int

// includes reports whether the order may have been in force.
func (k mayHaveApplied) includes(input order) bool {
	mark, found := k[input.version]
	return found && (mark == 0 || mark == input.mark)
}

// possiblyApplied returns the configurations that were read or acknowledged, and the versions that they are based on.
func (h *history) possiblyApplied() mayHaveApplied {
	applied := mayHaveApplied{}
	for _, operation := range h.calls {
		input, answer := operation.Input.(order), operation.Output.(callResult)
		if answer.status == http.StatusOK {
			applied[max(input.version, answer.version)] = max(input.mark, answer.mark)
		}
	}
	for grown := true; grown; {
		grown = false
		for _, operation := range h.calls {
			input := operation.Input.(order)
			if _, found := applied[input.base]; !input.read && !found && applied.includes(input) {
				applied[input.base], grown = 0, true
			}
		}
	}
	return applied
}

// requireRegister fails the test if the operators' histories are not linearizable as one register.
func (w *world) requireRegister() {
	w.t.Helper()
	operations := w.history.checkableOperations()
	w.requireOrder(operations)
	if porcupine.CheckOperations(register(), operations) {
		return
	}
	_, info := porcupine.CheckOperationsVerbose(register(), operations, 0)
	var longest []porcupine.Operation
	for _, found := range info.PartialLinearizationsOperations()[0] {
		if len(found) > len(longest) {
			longest = found
		}
	}
	left := slices.DeleteFunc(slices.Clone(operations), func(call porcupine.Operation) bool {
		return slices.ContainsFunc(longest, func(fits porcupine.Operation) bool { return fits.ClientId == call.ClientId })
	})
	slices.SortFunc(left, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	var lines strings.Builder
	fmt.Fprintf(&lines, "the end of the longest linearizable prefix:\n")
	for _, operation := range longest[max(0, len(longest)-maxShownCalls):] {
		writeOperation(&lines, operation)
	}
	fmt.Fprintf(&lines, "the first operations after it:\n")
	for _, operation := range left[:min(len(left), maxShownCalls)] {
		writeOperation(&lines, operation)
	}
	require.FailNow(w.t, "the operators' histories are not linearizable", "seed %d\n%s", w.seed, lines.String())
}

// requireOrder fails the test if a call returns an older configuration than a call that had ended before it began. Porcupine would find
// that too, but after a long search.
func (w *world) requireOrder(operations []porcupine.Operation) {
	w.t.Helper()
	shown := func(operation porcupine.Operation) uint64 {
		if answer := operation.Output.(callResult); answer.status == http.StatusOK {
			return answer.version
		}
		return 0
	}
	for _, later := range operations {
		if shown(later) == 0 {
			continue
		}
		for _, earlier := range operations {
			if earlier.Return < later.Call && newestVersion(earlier) > shown(later) {
				var lines strings.Builder
				writeOperation(&lines, earlier)
				writeOperation(&lines, later)
				require.FailNow(w.t, "a call returns an older configuration than an earlier call", "seed %d\n%s", w.seed, lines.String())
			}
		}
	}
}

// newestVersion returns the version that was certainly in force when the call ended, or 0 if the call does not show one.
func newestVersion(operation porcupine.Operation) uint64 {
	input, answer := operation.Input.(order), operation.Output.(callResult)
	if answer.status != http.StatusOK {
		return 0
	}
	return max(input.version, answer.version)
}

// maxShownCalls limits the calls printed before and after the first one that is not linearizable.
const maxShownCalls = 8

func writeOperation(lines *strings.Builder, operation porcupine.Operation) {
	fmt.Fprintf(lines, "%d to %d: %+v: %+v\n", operation.Call, operation.Return, operation.Input, operation.Output)
}

func TestRegisterModel(t *testing.T) {
	read := func(version uint64, mark int) porcupine.Operation {
		return porcupine.Operation{Input: order{read: true}, Output: callResult{status: 200, version: version, mark: mark}}
	}
	write := func(base, version uint64, mark, status int) porcupine.Operation {
		return porcupine.Operation{Input: order{base: base, version: version, mark: mark}, Output: callResult{status: status}}
	}
	for name, test := range map[string]struct {
		sound bool
		calls []porcupine.Operation
	}{
		"one after the other":             {true, []porcupine.Operation{write(0, 1, 1, 200), read(1, 1), write(1, 3, 2, 200), read(3, 2)}},
		"an old read":                     {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), read(1, 1)}},
		"two under one number":            {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(1, 2, 3, 200)}},
		"the same order again":            {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(0, 1, 1, 200)}},
		"the same order refused":          {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(0, 1, 1, 412)}},
		"a refusal of an order that fits": {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 412)}},
		"refused, and applied by an earlier copy": {false, []porcupine.Operation{write(0, 1, 1, 200), write(3, 4, 2, unclear), write(3, 4, 2, 412),
			write(1, 3, 3, 200), read(4, 2)}},
		"not refused yet, and applied later": {true, []porcupine.Operation{write(0, 1, 1, 200), write(3, 4, 2, unclear), write(3, 4, 2, 503),
			write(1, 3, 3, 200), read(4, 2)}},
		"on top of an older one":                 {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(1, 3, 3, 200)}},
		"an unclear one that was applied":        {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(2, 2)}},
		"an unclear one, and applied only later": {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(1, 1), read(2, 2)}},
		"an unclear one that comes and goes":     {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(2, 2), read(1, 1)}},
		"unclear ones that nothing was built on": {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 503), write(1, 2, 3, 503), read(1, 1)}},
	} {
		var h history
		for i, call := range test.calls {
			call.Call, call.Return = int64(2*i), int64(2*i+1)
			h.calls = append(h.calls, call)
			h.clock.Store(int64(2*i + 2))
		}
		require.Equal(t, test.sound, porcupine.CheckOperations(register(), h.checkableOperations()), name)
	}
}
