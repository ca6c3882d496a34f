package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker as the page "Running tasks" describes one. Its clock is the time since its start, in milliseconds.
type worker struct {
	cluster     *cluster
	id, service string
	address     string
	zone, rack  string
	began       time.Time

	mutex     sync.Mutex
	fence     uint64
	heldTo    int64 // on its clock
	runs      map[runName]*time.Timer
	startedAt map[runName]time.Time
	work      map[runName]time.Duration
	cpu       map[runName]int
	rejected  map[string]int // per task: runs up to this one are rejected
	ends      []end
	lastEnd   int
	changed   chan struct{} // closed at the next end
	used      int
}

type runName struct {
	task    string
	attempt int
}

type end struct {
	number int
	run    runName
	how    string
}

const (
	workerCPU = 32000
	// taskCPU is what a task takes, in thousandths of a core, unless its spec says that it asks for nothing.
	taskCPU  = 1000
	maxHold  = 6000 // maxHoldMs
	stopTime = 50 * time.Millisecond
)

func startWorker(c *cluster, number int, service string) (*worker, error) {
	w := &worker{cluster: c, id: fmt.Sprintf("i-%04d", number), service: service, address: c.address(workerSubnet, number, 8080),
		zone: zones[number%len(zones)], rack: fmt.Sprintf("r%d-1", number%len(zones)), began: time.Now(), runs: map[runName]*time.Timer{},
		startedAt: map[runName]time.Time{}, work: map[runName]time.Duration{}, cpu: map[runName]int{}, rejected: map[string]int{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	go func() { _ = http.Serve(listener, mux) }()
	go w.expire()
	return w, nil
}

// listed returns the worker's entry in the platform's list.
func (w *worker) listed() map[string]any {
	return map[string]any{"backend": w.service, "address": w.address, "zone": w.zone, "version": "v1", "capacity": 8, "state": "ready",
		"coldRemainingMs": 0, "allocatable": map[string]int{"cpu": workerCPU, "memMb": 65536, "gpus": 0}, "labels": []string{"a", w.rack}, "id": w.id}
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// order holds the fields of all calls.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DueAtMs    int64  `json:"dueAtMs"`
	FenceToken uint64 `json:"fenceToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (w *worker) serve(carryOut func(order) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, request *http.Request) {
		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if meant := request.Header.Get("X-Gaugeslip-Expect-Instance"); meant != "" && meant != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := carryOut(o)
		if body == nil {
			body = map[string]any{}
		}
		w.mutex.Lock()
		body["clockMs"] = w.clock()
		w.mutex.Unlock()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(body)
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// renew extends the time for which everything here is held. The mutex is held.
func (w *worker) renew(dueAtMs int64) {
	w.heldTo = max(w.heldTo, min(dueAtMs, w.clock()+maxHold))
}

func (w *worker) start(o order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	run := runName{o.Task, o.Attempt}
	switch {
	case o.FenceToken < w.fence:
		return refused("fence")
	case w.runs[run] != nil:
		w.fence = o.FenceToken
		w.renew(o.DueAtMs)
		return http.StatusOK, nil
	}
	w.fence = o.FenceToken
	if o.DueAtMs <= w.clock() {
		return refused("late")
	}
	w.renew(o.DueAtMs)
	if o.Attempt <= w.rejected[o.Task] {
		return refused("old")
	}
	var ms int
	if _, err := fmt.Sscanf(o.Spec, "work %d", &ms); err != nil {
		return http.StatusBadRequest, nil
	}
	cpu := taskCPU
	if strings.HasSuffix(o.Spec, asksNothing) {
		cpu = 0
	}
	if w.used+cpu > workerCPU {
		return refused("room")
	}
	w.used += cpu
	w.cpu[run] = cpu
	w.startedAt[run], w.work[run] = time.Now(), time.Duration(ms)*time.Millisecond
	w.runs[run] = time.AfterFunc(w.work[run], func() { w.finish(run, "done") })
	w.cluster.noteStart(o.Task, w)
	if cpu == 0 {
		w.cluster.countLarge(1, 0)
	} else {
		w.cluster.logf("worker %s of %s begins %s, run %d, token %d", w.id, w.service, o.Task, o.Attempt, o.FenceToken)
	}
	return http.StatusOK, nil
}

func (w *worker) finish(run runName, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runs[run] == nil {
		return
	}
	w.runs[run].Stop()
	delete(w.runs, run)
	cpu := w.cpu[run]
	w.used -= cpu
	delete(w.cpu, run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, run, how})
	w.rejected[run.task] = max(w.rejected[run.task], run.attempt)
	close(w.changed)
	w.changed = make(chan struct{})
	if cpu == 0 {
		w.cluster.countLarge(0, 1)
	} else {
		w.cluster.logf("worker %s of %s ends %s, run %d: %s", w.id, w.service, run.task, run.attempt, how)
	}
}

func (w *worker) stop(o order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if o.FenceToken < w.fence {
		return refused("fence")
	}
	w.fence = o.FenceToken
	run := runName{o.Task, o.Attempt}
	if w.runs[run] != nil {
		time.AfterFunc(stopTime, func() { w.finish(run, "stopped") })
	} else {
		w.rejected[o.Task] = max(w.rejected[o.Task], o.Attempt)
	}
	return http.StatusOK, nil
}

func (w *worker) hold(o order) (int, map[string]any) {
	w.mutex.Lock()
	if o.FenceToken < w.fence {
		w.mutex.Unlock()
		return refused("fence")
	}
	w.fence = o.FenceToken
	w.renew(o.DueAtMs)
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	changed, waits := w.changed, len(w.ends) == 0 && o.WaitMs > 0
	w.mutex.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	running, finished := [][]any{}, [][]any{}
	for run := range w.runs {
		percent := 0
		if w.work[run] > 0 {
			percent = min(99, int(100*time.Since(w.startedAt[run])/w.work[run]))
		}
		running = append(running, []any{run.task, run.attempt, "", percent})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// expire kills everything that runs once the hold is over.
func (w *worker) expire() {
	for range time.Tick(20 * time.Millisecond) {
		w.mutex.Lock()
		var lapsed []runName
		if w.clock() > w.heldTo {
			for run := range w.runs {
				lapsed = append(lapsed, run)
			}
		}
		w.mutex.Unlock()
		for _, run := range lapsed {
			w.finish(run, "lapsed")
		}
	}
}
