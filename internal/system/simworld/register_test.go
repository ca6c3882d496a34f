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

// registerState is all that was ever in force, the newest last, as text; the newest's number stands apart.
type registerState struct {
	version uint64
	taken   string
}

func (o order) text() string { return fmt.Sprintf("/%d:%d/", o.version, o.mark) }

// register is the operators' API as one register with conditional writes, that answers the same order alike for ever.
func register() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return registerState{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(registerState), input.(order), output.(answered))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
	}
}

func step(now registerState, asked order, answer answered) (bool, registerState) {
	if asked.read {
		if answer.status == http.StatusNotFound {
			return now.version == 0, now
		}
		read := order{version: answer.version, mark: answer.mark}
		return now.version == answer.version && strings.HasSuffix(now.taken, read.text()), now
	}
	known := strings.Contains(now.taken, asked.text())
	fits := asked.base == now.version && asked.version > now.version
	switch {
	case answer.status == http.StatusOK && known:
		return true, now
	case answer.status == http.StatusOK:
		return fits, now.with(asked)
	case answer.status == http.StatusPreconditionFailed:
		return !known && asked.base != now.version, now
	case answer.status == http.StatusBadRequest:
		return !known && asked.version <= now.version, now
	case fits && !known: // an order without a clear answer is taken where it fits, at the end of time if nowhere else
		return true, now.with(asked)
	}
	return true, now
}

func (s registerState) with(taken order) registerState {
	return registerState{version: taken.version, taken: s.taken + taken.text()}
}

func clear(answer answered) bool {
	switch answer.status {
	case http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest, http.StatusNotFound:
		return true
	}
	return false
}

// judged is the history for the checker: reads without an answer are left out, and so are orders without one that nothing builds on;
// the other unclear ones last to the end.
func (h *history) judged() []porcupine.Operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := h.ancestors()
	end := h.clock.Add(1)
	var judged []porcupine.Operation
	for _, operation := range h.calls {
		asked, answer := operation.Input.(order), operation.Output.(answered)
		if !clear(answer) {
			if asked.read || !taken.mayHold(asked) {
				continue
			}
			operation.Return = end
		}
		operation.ClientId = len(judged)
		judged = append(judged, operation)
	}
	return slices.DeleteFunc(slices.Clone(judged), func(call porcupine.Operation) bool { return implied(call, judged, taken) })
}

// implied tells whether a call that changes nothing fits wherever another fits that lies within its time: a read of the same, or for a
// refusal a call that shows another number in force. Without those the checker has far less to try.
func implied(call porcupine.Operation, judged []porcupine.Operation, taken known) bool {
	asked, answer := call.Input.(order), call.Output.(answered)
	var shows func(answered) bool
	switch {
	case asked.read && answer.status == http.StatusOK:
		shows = func(other answered) bool { return other.version == answer.version && other.mark == answer.mark }
	case answer.status == http.StatusPreconditionFailed && !taken.mayHold(asked):
		shows = func(other answered) bool { return other.version != asked.base }
	default:
		return false
	}
	return slices.ContainsFunc(judged, func(other porcupine.Operation) bool {
		within := other.Call > call.Call && other.Return < call.Return
		read := other.Input.(order).read && other.Output.(answered).status == http.StatusOK
		return within && read && shows(other.Output.(answered))
	})
}

// known is what may have been in force: each number with its mark, or with 0 where none is known.
type known map[uint64]int

// mayHold tells whether the order may have been in force.
func (k known) mayHold(asked order) bool {
	mark, found := k[asked.version]
	return found && (mark == 0 || mark == asked.mark)
}

// ancestors are the configurations that were read or acknowledged, and the numbers that they build on.
func (h *history) ancestors() known {
	taken := known{}
	for _, operation := range h.calls {
		asked, answer := operation.Input.(order), operation.Output.(answered)
		if answer.status == http.StatusOK {
			taken[max(asked.version, answer.version)] = max(asked.mark, answer.mark)
		}
	}
	for grown := true; grown; {
		grown = false
		for _, operation := range h.calls {
			asked := operation.Input.(order)
			if _, found := taken[asked.base]; !asked.read && !found && taken.mayHold(asked) {
				taken[asked.base], grown = 0, true
			}
		}
	}
	return taken
}

// requireRegister fails the test if the operators' histories aren't those of one register.
func (w *world) requireRegister() {
	w.t.Helper()
	judged := w.history.judged()
	w.requireOrder(judged)
	if porcupine.CheckOperations(register(), judged) {
		return
	}
	_, info := porcupine.CheckOperationsVerbose(register(), judged, 0)
	var longest []porcupine.Operation
	for _, found := range info.PartialLinearizationsOperations()[0] {
		if len(found) > len(longest) {
			longest = found
		}
	}
	left := slices.DeleteFunc(slices.Clone(judged), func(call porcupine.Operation) bool {
		return slices.ContainsFunc(longest, func(fits porcupine.Operation) bool { return fits.ClientId == call.ClientId })
	})
	slices.SortFunc(left, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	var lines strings.Builder
	fmt.Fprintf(&lines, "the longest beginning that is:\n")
	for _, operation := range longest[max(0, len(longest)-shownCalls):] {
		show(&lines, operation)
	}
	fmt.Fprintf(&lines, "what doesn't fit any more, first:\n")
	for _, operation := range left[:min(len(left), shownCalls)] {
		show(&lines, operation)
	}
	require.FailNow(w.t, "the operators' histories aren't those of one register", "seed %d\n%s", w.seed, lines.String())
}

// requireOrder fails the test where a call shows an older configuration than one that had ended before it began: porcupine would find
// that too, after a long search.
func (w *world) requireOrder(judged []porcupine.Operation) {
	w.t.Helper()
	shown := func(operation porcupine.Operation) uint64 {
		if answer := operation.Output.(answered); answer.status == http.StatusOK {
			return answer.version
		}
		return 0
	}
	for _, later := range judged {
		if shown(later) == 0 {
			continue
		}
		for _, earlier := range judged {
			if earlier.Return < later.Call && newest(earlier) > shown(later) {
				var lines strings.Builder
				show(&lines, earlier)
				show(&lines, later)
				require.FailNow(w.t, "a read shows what is older", "seed %d\n%s", w.seed, lines.String())
			}
		}
	}
}

// newest is the number that was in force for sure when the call ended; 0: it doesn't tell.
func newest(operation porcupine.Operation) uint64 {
	asked, answer := operation.Input.(order), operation.Output.(answered)
	if answer.status != http.StatusOK {
		return 0
	}
	return max(asked.version, answer.version)
}

// shownCalls is how many calls before and after the first that doesn't fit are shown.
const shownCalls = 8

func show(lines *strings.Builder, operation porcupine.Operation) {
	fmt.Fprintf(lines, "%d to %d: %+v: %+v\n", operation.Call, operation.Return, operation.Input, operation.Output)
}

func TestTheRegisterModel(t *testing.T) {
	read := func(version uint64, mark int) porcupine.Operation {
		return porcupine.Operation{Input: order{read: true}, Output: answered{status: 200, version: version, mark: mark}}
	}
	write := func(base, version uint64, mark, status int) porcupine.Operation {
		return porcupine.Operation{Input: order{base: base, version: version, mark: mark}, Output: answered{status: status}}
	}
	for name, test := range map[string]struct {
		sound bool
		calls []porcupine.Operation
	}{
		"one after the other":                    {true, []porcupine.Operation{write(0, 1, 1, 200), read(1, 1), write(1, 3, 2, 200), read(3, 2)}},
		"an old read":                            {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), read(1, 1)}},
		"two under one number":                   {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(1, 2, 3, 200)}},
		"the same order again":                   {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(0, 1, 1, 200)}},
		"the same order refused":                 {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(0, 1, 1, 412)}},
		"a refusal of an order that fits":        {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 412)}},
		"on top of an older one":                 {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 200), write(1, 3, 3, 200)}},
		"an unclear one that was taken":          {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(2, 2)}},
		"an unclear one, and taken only later":   {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(1, 1), read(2, 2)}},
		"an unclear one that comes and goes":     {false, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, unclear), read(2, 2), read(1, 1)}},
		"unclear ones that nothing was built on": {true, []porcupine.Operation{write(0, 1, 1, 200), write(1, 2, 2, 503), write(1, 2, 3, 503), read(1, 1)}},
	} {
		var h history
		for i, call := range test.calls {
			call.Call, call.Return = int64(2*i), int64(2*i+1)
			h.calls = append(h.calls, call)
			h.clock.Store(int64(2*i + 2))
		}
		require.Equal(t, test.sound, porcupine.CheckOperations(register(), h.judged()), name)
	}
}
