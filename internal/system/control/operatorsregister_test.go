package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
)

// unclear stands for a call without a clear answer.
const unclear = 0

// operatorsCall is what an operator sent: an order to put a body in force on top of a base, or a read.
type operatorsCall struct {
	read          bool
	base, version uint64
	body          string
	invalid       bool // the body can't be taken
}

// operatorsAnswer is what came back; version and body are those of a read.
type operatorsAnswer struct {
	status  int
	version uint64
	body    string
}

// registerState is all that was in force, newest first. sum stands for all of it.
type registerState struct {
	version uint64
	body    string
	sum     uint64
	before  *registerState
}

func (s *registerState) has(call operatorsCall) bool {
	for at := s; at != nil; at = at.before {
		if at.version == call.version && at.body == call.body {
			return at.version > 0
		}
	}
	return false
}

func (s *registerState) with(call operatorsCall) *registerState {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %d %s", s.sum, call.version, call.body)
	return &registerState{version: call.version, body: call.body, sum: hash.Sum64(), before: s}
}

// registerModel is the operator's API as one register with conditional writes that knows all that was ever in force.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return &registerState{} },
		Equal: func(a, b any) bool { return a.(*registerState).sum == b.(*registerState).sum },
		Step: func(state, input, output any) (bool, any) {
			return stepRegister(state.(*registerState), input.(operatorsCall), output.(operatorsAnswer))
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
		DescribeState:     func(state any) string { return strconv.FormatUint(state.(*registerState).version, 10) },
	}
}

func stepRegister(now *registerState, call operatorsCall, answer operatorsAnswer) (bool, *registerState) {
	if call.read {
		return answer.version == now.version && answer.body == now.body, now
	}
	fits := call.base == now.version && call.version > now.version && !call.invalid
	switch answer.status {
	case http.StatusOK, unclear: // an unclear one that was never in force isn't part of the history
		if now.has(call) {
			return true, now
		}
		return fits, now.with(call)
	case http.StatusPreconditionFailed:
		return !now.has(call) && call.base != now.version, now
	case http.StatusBadRequest:
		return call.invalid || !now.has(call) && call.version <= now.version, now
	}
	return false, now
}

// operatorsHistory collects calls with their order in time.
type operatorsHistory struct {
	clock atomic.Int64
	mutex sync.Mutex
	calls []porcupine.Operation
}

// record makes a call and notes it, with an end only if its answer is clear. A read without an answer says nothing.
func (h *operatorsHistory) record(session int, call operatorsCall, make func() operatorsAnswer) operatorsAnswer {
	began := h.clock.Add(1)
	answer := make()
	ended := h.clock.Add(1)
	if call.read && answer.status == unclear {
		return answer
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls = append(h.calls, porcupine.Operation{ClientId: session, Input: call, Call: began, Output: answer, Return: ended})
	return answer
}

// forChecker is the history for the checker, without what changes no verdict but has it try far more. Several unclear sends of one order are
// one, from the first of them on: one of them took effect at most. It may have taken effect until somebody was shown so, and not later: where
// it comes after that, it changes nothing.
func (h *operatorsHistory) forChecker(everTaken func(operatorsCall) bool) []porcupine.Operation {
	shown := h.firstShown()
	unclearSends := make(map[operatorsCall]int) // where in judged
	var judged []porcupine.Operation
	for _, operation := range h.complete(everTaken) {
		call, answer := operation.Input.(operatorsCall), operation.Output.(operatorsAnswer)
		if call.read || answer.status != unclear {
			operation.ClientId = len(judged)
			judged = append(judged, operation)
			continue
		}
		if at, found := unclearSends[call]; found {
			judged[at].Call = min(judged[at].Call, operation.Call)
			continue
		}
		if moment, found := shown[call.version]; found {
			operation.Return = moment
		}
		unclearSends[call] = len(judged)
		operation.ClientId = len(judged)
		judged = append(judged, operation)
	}
	judged = slices.DeleteFunc(judged, func(operation porcupine.Operation) bool { return operation.Call >= operation.Return })
	return slices.DeleteFunc(slices.Clone(judged), func(operation porcupine.Operation) bool {
		return implied(operation, judged, everTaken)
	})
}

// implied tells whether a call that changes nothing fits wherever a read fits that lies within its time: a read of the same, or for the refusal
// of an order that was never in force a read of another version than its base.
func implied(operation porcupine.Operation, judged []porcupine.Operation, everTaken func(operatorsCall) bool) bool {
	call, answer := operation.Input.(operatorsCall), operation.Output.(operatorsAnswer)
	if !call.read && (answer.status != http.StatusPreconditionFailed || everTaken(call)) {
		return false
	}
	return slices.ContainsFunc(judged, func(other porcupine.Operation) bool {
		if !other.Input.(operatorsCall).read || other.Call <= operation.Call || other.Return >= operation.Return {
			return false
		}
		shown := other.Output.(operatorsAnswer)
		if call.read {
			return shown == answer
		}
		return shown.version != call.base
	})
}

// firstShown is for each version that was in force when the first call ended that shows it: a read of it, its confirmation, or that of
// an order on top of it.
func (h *operatorsHistory) firstShown() map[uint64]int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	shown := make(map[uint64]int64)
	show := func(version uint64, moment int64) {
		if earlier, found := shown[version]; !found || moment < earlier {
			shown[version] = moment
		}
	}
	for _, operation := range h.calls {
		call, answer := operation.Input.(operatorsCall), operation.Output.(operatorsAnswer)
		switch {
		case answer.status != http.StatusOK:
		case call.read:
			show(answer.version, operation.Return)
		default:
			show(call.version, operation.Return)
			show(call.base, operation.Return)
		}
	}
	return shown
}

// complete is the whole history: unclear orders last to its end, and those that were never in force are left out.
func (h *operatorsHistory) complete(everTaken func(operatorsCall) bool) []porcupine.Operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	end := h.clock.Add(1)
	var judged []porcupine.Operation
	for _, operation := range h.calls {
		call, answer := operation.Input.(operatorsCall), operation.Output.(operatorsAnswer)
		if !call.read && answer.status == unclear {
			if !everTaken(call) {
				continue
			}
			operation.Return = end
		}
		operation.ClientId = len(judged) // calls of a session may overlap
		judged = append(judged, operation)
	}
	return judged
}

// operatorsBody is a whole configuration under a number, told from others by a time-out.
func operatorsBody(version uint64, mark int) string {
	body := strings.Replace(testConfig, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(body, `"timeoutMs":2000`, fmt.Sprintf(`"timeoutMs":%d`, mark), 1)
}

// newOrder is an order for a new body; a mark of 0 makes it invalid.
func newOrder(base, version uint64, mark int) operatorsCall {
	return operatorsCall{base: base, version: version, body: operatorsBody(version, mark), invalid: mark == 0}
}

// send makes an operator's call of a machine and waits for its answer for the timeout at most. Answers of 5xx aren't clear.
func (w *operatorsSim) send(m *operatorsMachine, call operatorsCall, timeout time.Duration) operatorsAnswer {
	p := m.running()
	if p == nil {
		return operatorsAnswer{}
	}
	answers := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		recorder := httptest.NewRecorder()
		api := newOperatorAPI(0)
		api.replace, api.read, api.metrics = p.replaceOrForward, p.readOrForward, http.NotFound
		api.handler().ServeHTTP(recorder, request(call))
		answers <- recorder
	}()
	select {
	case answer := <-answers:
		if !p.alive() {
			return operatorsAnswer{}
		}
		got := read(call, answer)
		if got.status == http.StatusOK {
			w.confirm(max(call.version, got.version))
		}
		return got
	case <-time.After(timeout):
		return operatorsAnswer{}
	}
}

func request(call operatorsCall) *http.Request {
	if call.read {
		return httptest.NewRequest(http.MethodGet, "/Config.Read", http.NoBody)
	}
	made := httptest.NewRequest(http.MethodPost, "/Config.Replace", strings.NewReader(call.body))
	made.Header.Set(baseVersionHeader, strconv.FormatUint(call.base, 10))
	return made
}

func read(call operatorsCall, answer *httptest.ResponseRecorder) operatorsAnswer {
	switch {
	case answer.Code >= http.StatusInternalServerError:
		return operatorsAnswer{}
	case !call.read:
		return operatorsAnswer{status: answer.Code}
	case answer.Code == http.StatusNotFound:
		return operatorsAnswer{status: answer.Code}
	}
	var config struct{ Version uint64 }
	if err := json.NewDecoder(bytes.NewReader(answer.Body.Bytes())).Decode(&config); err != nil {
		panic(err)
	}
	return operatorsAnswer{status: answer.Code, version: config.Version, body: answer.Body.String()}
}

// mark tells a body from others with the same number.
func mark(body string) string {
	_, after, _ := strings.Cut(body, `"timeoutMs":`)
	before, _, _ := strings.Cut(after, ",")
	return before
}
