package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

const (
	expectInstanceHeader = "X-Gaugeslip-Expect-Instance"
	maxOrderBytes        = 64 << 10
)

// ServeHTTP implements the worker's side of the protocol.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxOrderBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var reply answer
	answered := false
	switch request.Method + " " + request.URL.Path {
	case "POST /run-start":
		reply, answered = handleOrder(worker, request, body, worker.start)
	case "POST /run-stop":
		reply, answered = handleOrder(worker, request, body, worker.stop)
	case "POST /hold":
		reply, answered = worker.handleHold(request, body)
	case "GET /healthz":
		reply, answered = worker.handleHealth()
	default:
		reply, answered = answer{status: http.StatusNotFound, bodyless: true}, true
	}
	if !answered {
		panic(http.ErrAbortHandler)
	}
	reply.write(writer)
}

// checkCall decides, before the body is read, whether a call is refused or aborted. It returns nil and false if the call is to be executed.
func (worker *Worker) checkCall(request *http.Request) (refusal *answer, abort bool) {
	if !worker.alive() {
		return nil, true
	}
	expected := request.Header.Get(expectInstanceHeader)
	if expected != "" && expected != worker.instance {
		worker.world.stats.OtherLife++
		return &answer{status: http.StatusMisdirectedRequest, ClockMs: worker.clockMs()}, false
	}
	if worker.faults.Busy {
		worker.world.stats.Busy++
		return &answer{status: http.StatusServiceUnavailable, bodyless: true}, false
	}
	return nil, false
}

// handleOrder executes a start or a stop. With the fault LateBy it executes the order later and gives no answer.
func handleOrder[Order any](worker *Worker, request *http.Request, body []byte, execute func(*Order) answer) (answer, bool) {
	world := worker.world
	world.lock()
	if worker.faults.Silent {
		world.unlock()
		worker.withholdAnswer(request)
		return answer{}, false
	}
	refusal, abort := worker.checkCall(request)
	if refusal != nil || abort {
		defer world.unlock()
		return valueOf(refusal), !abort
	}
	order := new(Order)
	if !decodeOrder(body, order) {
		defer world.unlock()
		return answer{status: http.StatusBadRequest, ClockMs: worker.clockMs()}, true
	}
	if worker.faults.LateBy > 0 {
		worker.executeLater(func() { execute(order) })
		world.unlock()
		worker.withholdAnswer(request)
		return answer{}, false
	}
	defer world.unlock()
	return execute(order), true
}

// executeLater executes an order after the delay LateBy, unless the instance has ended by then.
func (worker *Worker) executeLater(execute func()) {
	instance := worker.instance
	worker.world.after(worker.faults.LateBy, func() {
		if worker.alive() && worker.instance == instance {
			execute()
		}
	})
}

// withholdAnswer blocks a call until its caller gives up or the world is closed.
func (worker *Worker) withholdAnswer(request *http.Request) {
	worker.world.addUnanswered(1)
	defer worker.world.addUnanswered(-1)
	select {
	case <-request.Context().Done():
	case <-worker.world.closed:
	}
}

func (worker *Worker) handleHold(request *http.Request, body []byte) (answer, bool) {
	var order holdOrder
	reply, answered, waiting := worker.beginHold(request, body, &order)
	if waiting == nil {
		if !answered {
			worker.withholdAnswerIfSilent(request)
		}
		return reply, answered
	}
	select {
	case <-waiting.wake:
	case <-request.Context().Done():
	case <-worker.world.closed:
	}
	return worker.finishHold(request, waiting)
}

// beginHold executes a hold. It returns either the answer or a waiter for the next end.
func (worker *Worker) beginHold(request *http.Request, body []byte, order *holdOrder) (reply answer, answered bool, waiting *waiter) {
	world := worker.world
	world.lock()
	defer world.unlock()
	if worker.faults.Silent {
		return answer{}, false, nil
	}
	refusal, abort := worker.checkCall(request)
	if refusal != nil || abort {
		return valueOf(refusal), !abort, nil
	}
	if !decodeOrder(body, order) || order.WaitMs < 0 {
		return answer{status: http.StatusBadRequest, ClockMs: worker.clockMs()}, true, nil
	}
	refusal, ended := worker.hold(order)
	if refusal != nil {
		return *refusal, true, nil
	}
	if ended || order.WaitMs == 0 {
		return worker.listRuns(), true, nil
	}
	return answer{}, false, worker.wait(order.WaitMs)
}

// finishHold answers a hold that has waited. It gives no answer if the worker has become silent, is down or refuses the call.
func (worker *Worker) finishHold(request *http.Request, waiting *waiter) (answer, bool) {
	worker.world.lock()
	worker.endWait(waiting)
	refusal, abort := worker.checkCall(request)
	silent := worker.faults.Silent
	defer func() {
		if silent {
			worker.withholdAnswer(request)
		}
	}()
	defer worker.world.unlock()
	if refusal != nil || abort || silent {
		return answer{}, false
	}
	return worker.listRuns(), true
}

func (worker *Worker) withholdAnswerIfSilent(request *http.Request) {
	worker.world.lock()
	silent := worker.faults.Silent
	worker.world.unlock()
	if silent {
		worker.withholdAnswer(request)
	}
}

func (worker *Worker) handleHealth() (answer, bool) {
	worker.world.lock()
	defer worker.world.unlock()
	if !worker.alive() {
		return answer{}, false
	}
	if worker.faults.Busy || worker.state == workerDraining {
		return answer{status: http.StatusServiceUnavailable, bodyless: true}, true
	}
	return answer{status: http.StatusOK, bodyless: true}, true
}

// decodeOrder decodes a body. Fields that are not part of the protocol are an error, so that tests find them.
func decodeOrder(body []byte, order any) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(order) == nil
}

func valueOf(refusal *answer) answer {
	if refusal == nil {
		return answer{}
	}
	return *refusal
}

func (answer *answer) write(writer http.ResponseWriter) {
	if answer.bodyless {
		writer.WriteHeader(answer.status)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(answer.status)
	writer.Write(data)
}
