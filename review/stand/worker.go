package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A worker is a stand-in for one worker, as the page PROTOCOL.md describes it. It guards its room. What a task needs and how it ends is
// in the text of its job's spec, see plan.
type worker struct {
	world   *world
	service string
	address string
	zone    string
	labels  []string // its kind and its rack
	cpu     int

	mutex     sync.Mutex
	changed   *sync.Cond
	server    *http.Server
	life      int
	down      bool
	instance  string
	started   time.Time
	fence     uint64
	heldUntil int64
	used      int
	runs      map[runKey]*run
	rejected  map[string]int // highest attempt of a task that was stopped or that ended here
	finished  [][5]any
	last      uint64
}

type runKey struct {
	task    string
	attempt int
}

type run struct {
	key       runKey
	cpu       int
	startedAt time.Time
	works     time.Duration
	timer     *time.Timer
}

// plan is the JSON text of a job's spec: for each step how long a task works, what it takes, and how it ends.
type plan struct {
	Ms  []int  `json:"ms"`
	CPU int    `json:"cpu"`
	End string `json:"end"`
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DueAtMs    int64  `json:"dueAtMs"`
	FenceToken uint64 `json:"fenceToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

type reply struct {
	ClockMs  int64    `json:"clockMs,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Running  [][4]any `json:"running,omitempty"`
	Finished [][5]any `json:"finished,omitempty"`
}

const maxHold = 6 * time.Second

func newWorker(w *world, number int, service, ip string) (*worker, error) {
	kind := []string{"a", "a", "b"}[number%3]
	worker := &worker{
		world: w, service: service, address: ip + ":8080", zone: zones[number%len(zones)], labels: []string{kind, fmt.Sprintf("r1-%d", number/5)}, cpu: 32000,
		instance: fmt.Sprintf("i-%06x00", 0x7f3a00+number), started: time.Now().Add(-time.Duration(number+1) * time.Minute),
		runs: map[runKey]*run{}, rejected: map[string]int{},
	}
	worker.changed = sync.NewCond(&worker.mutex)
	go worker.lapseLoop()
	return worker, worker.listen()
}

func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the worker's life: what runs there is gone, and its port is dead until it returns, as another instance at the same address.
func (w *worker) crash(down time.Duration) {
	w.mutex.Lock()
	w.world.note("worker %s crashes with %d runs, for %v", w.instance, len(w.runs), down)
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.runs, w.rejected, w.finished = map[runKey]*run{}, map[string]int{}, nil
	w.life++
	w.down = true
	w.mutex.Unlock()
	w.changed.Broadcast()
	_ = w.server.Close()
	time.AfterFunc(down, func() {
		w.mutex.Lock()
		w.instance = w.instance[:len(w.instance)-2] + fmt.Sprintf("%02x", w.life)
		w.started, w.fence, w.heldUntil, w.used, w.last = time.Now().Add(-time.Second), 0, 0, 0, 0
		w.down = false
		w.mutex.Unlock()
		if err := w.listen(); err != nil {
			w.world.note("worker %s doesn't return: %v", w.instance, err)
			return
		}
		w.world.note("the worker is back as %s", w.instance)
	})
}

// running returns how many tasks run here.
func (w *worker) running() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.runs)
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// lapseLoop ends all runs once the hold is over.
func (w *worker) lapseLoop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mutex.Lock()
		if len(w.runs) > 0 && w.clock() > w.heldUntil {
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mutex.Unlock()
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/healthz" {
		out.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.down {
		panic(http.ErrAbortHandler) // it came in just as the worker crashed
	}
	if expected := in.Header.Get("X-Gaugeslip-Expect-Instance"); expected != "" && expected != w.instance {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.FenceToken < w.fence {
		w.answer(out, http.StatusConflict, reply{Reason: "fence"})
		return
	}
	w.fence = o.FenceToken
	switch in.URL.Path {
	case "/run-start":
		w.start(out, &o)
	case "/run-stop":
		w.stop(out, &o)
	case "/hold":
		w.hold(out, &o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, status int, r reply) {
	r.ClockMs = w.clock()
	data, _ := json.Marshal(r)
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(data)))
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *worker) renew(due int64) {
	w.heldUntil = max(w.heldUntil, min(due, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, o *order) {
	key := runKey{o.Task, o.Attempt}
	if w.runs[key] != nil {
		w.renew(o.DueAtMs)
		w.answer(out, http.StatusOK, reply{})
		return
	}
	if o.DueAtMs <= w.clock() {
		w.answer(out, http.StatusConflict, reply{Reason: "late"})
		return
	}
	w.renew(o.DueAtMs)
	if o.Attempt <= w.rejected[o.Task] {
		w.answer(out, http.StatusConflict, reply{Reason: "old"})
		return
	}
	var p plan
	step := stepOf(o.Task)
	if json.Unmarshal([]byte(o.Spec), &p) != nil || step >= len(p.Ms) {
		w.answer(out, http.StatusBadRequest, reply{})
		return
	}
	if w.used+p.CPU > w.cpu {
		w.answer(out, http.StatusConflict, reply{Reason: "room"})
		return
	}
	r := &run{key: key, cpu: p.CPU, startedAt: time.Now(), works: time.Duration(p.Ms[step]) * time.Millisecond}
	w.runs[key] = r
	w.used += p.CPU
	w.world.note("start  %s attempt %d on %s, fence %d", o.Task, o.Attempt, w.instance, o.FenceToken)
	w.world.noteStart(o.Task)
	how := p.End
	if how == "" {
		how = "done"
	}
	r.timer = time.AfterFunc(r.works, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.runs[key] == r {
			w.end(r, how)
		}
	})
	w.answer(out, http.StatusOK, reply{})
}

// end lists the end of a run. The mutex is held.
func (w *worker) end(r *run, how string) {
	r.timer.Stop()
	delete(w.runs, r.key)
	w.used -= r.cpu
	w.rejected[r.key.task] = max(w.rejected[r.key.task], r.key.attempt)
	w.last++
	w.finished = append(w.finished, [5]any{w.last, r.key.task, r.key.attempt, how, ""})
	w.world.note("end    %s attempt %d on %s: %s", r.key.task, r.key.attempt, w.instance, how)
	w.changed.Broadcast()
}

func (w *worker) stop(out http.ResponseWriter, o *order) {
	w.rejected[o.Task] = max(w.rejected[o.Task], o.Attempt)
	if r := w.runs[runKey{o.Task, o.Attempt}]; r != nil {
		w.end(r, "stopped")
	}
	w.answer(out, http.StatusOK, reply{})
}

func (w *worker) hold(out http.ResponseWriter, o *order) {
	w.renew(o.DueAtMs)
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= o.LastSeen {
		w.finished = w.finished[1:]
	}
	wait := time.Duration(min(o.WaitMs, 2000)) * time.Millisecond
	life := w.life
	if len(w.finished) == 0 && wait > 0 {
		over := false
		timer := time.AfterFunc(wait, func() {
			w.mutex.Lock()
			over = true
			w.mutex.Unlock()
			w.changed.Broadcast()
		})
		for len(w.finished) == 0 && !over && w.life == life {
			w.changed.Wait()
		}
		timer.Stop()
	}
	if w.life != life {
		panic(http.ErrAbortHandler)
	}
	var r reply
	for key, run := range w.runs {
		percent := int(min(99, 100*time.Since(run.startedAt)/max(run.works, 1)))
		r.Running = append(r.Running, [4]any{key.task, key.attempt, "", percent})
	}
	r.Finished = append(r.Finished, w.finished[:min(len(w.finished), 500)]...)
	w.answer(out, http.StatusOK, r)
}

// jobOf returns the ID of the job that a task belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the number of the step that a task, ID.K.STEP.INDEX, belongs to.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	step, _ := strconv.Atoi(parts[2])
	return step
}
