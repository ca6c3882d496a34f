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

// unclear is the status of a call without a clear answer.
const unclear = 0

// operatorsCall is an operator's call: a request to put a body in force based on a version, or a read.
type operatorsCall struct {
	read          bool
	base, version uint64
	body          string
	invalid       bool // the body is invalid
}

// operatorsAnswer is the answer to a call. version and body are set for reads.
type operatorsAnswer struct {
	status  int
	version uint64
	body    string
}

// refusedForGood reports whether the call can't be carried out with a version in force, nor with any later one. An operator takes a refusal
// as the end of its call, so no copy of it may be carried out after that.
func (c operatorsCall) refusedForGood(inForce uint64) bool {
	return c.base < inForce || c.version <= c.base && c.base != inForce
}

// registerState is the list of all configurations ever in force, newest first. sum is a hash of the whole list.
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

// registerModel is a linearizability model of the operators' API: one register with conditional writes that remembers every configuration
// ever in force.
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
	case http.StatusOK, unclear: // an unclear request that was never in force is not part of the history
		if now.has(call) {
			return true, now
		}
		return fits, now.with(call)
	case http.StatusPreconditionFailed:
		return !now.has(call) && call.refusedForGood(now.version), now
	case http.StatusBadRequest:
		return call.invalid || !now.has(call) && call.version <= now.version, now
	}
	return false, now
}

// operatorsHistory collects calls with logical start and end times.
type operatorsHistory struct {
	clock atomic.Int64
	mutex sync.Mutex
	calls []porcupine.Operation
}

// record makes a call and records it. A read without an answer gives no information and is left out.
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

// forChecker returns the history without the calls that cannot change the verdict but make the checker search far longer. Several unclear
// sends of one request become one that starts with the first, because at most one of them took effect. It may have taken effect until an
// answer showed it and no later: after that it changes nothing.
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

// implied reports whether a call without effect fits wherever a read within its time fits: for a read, a read with the same result; for the
// rejection of a request that was never in force, a read of a version with which it is refused for good.
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
		return call.refusedForGood(shown.version)
	})
}

// firstShown returns, for each version, when the first call ended that shows that it was in force: a read of it, its confirmation, or the
// confirmation of a request based on it.
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

// complete returns the whole history. Unclear requests last to its end; those that were never in force are left out.
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

// operatorsBody returns a complete configuration with the given version. The mark, used as a timeout, distinguishes it from others of the
// same version.
func operatorsBody(version uint64, mark int) string {
	body := strings.Replace(testConfig, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(body, `"timeoutMs":2000`, fmt.Sprintf(`"timeoutMs":%d`, mark), 1)
}

// newOrder returns a request with a new body. A mark of 0 makes it invalid.
func newOrder(base, version uint64, mark int) operatorsCall {
	return operatorsCall{base: base, version: version, body: operatorsBody(version, mark), invalid: mark == 0}
}

// send makes an operator's call at a machine and waits for its answer, at most for the timeout. Answers of 5xx are unclear.
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

// mark returns the mark of a body.
func mark(body string) string {
	_, after, _ := strings.Cut(body, `"timeoutMs":`)
	before, _, _ := strings.Cut(after, ",")
	return before
}
