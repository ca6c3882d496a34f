package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["last-step"] = playLastStep }

// playLastStep: jobs end with a step that has no tasks. A worker crashes, so that the steps before it end in another order.
func playLastStep(w *world) (verdict, error) {
	if err := w.open(config(5, route{"r-1", prefix, 3000, service}), service); err != nil {
		return couldNotRun, err
	}
	const jobs, gap = 9, 3500
	for k := 1; k <= jobs; k++ {
		short := k * gap
		long := short + 2000
		body := job("", []int{long, short, 0}, tasks(1, long).with("requirements", "a"), tasks(1, short).with("requirements", "b"),
			stage{"dependsOn": []int{0}})
		if status, _ := w.client(k%edgeCount, http.MethodPost, prefix, fmt.Sprintf("%016x", k), body, 3*time.Second); status != http.StatusOK {
			return couldNotRun, fmt.Errorf("job %d isn't taken: %d", k, status)
		}
	}
	time.Sleep(time.Second)
	if w.trouble {
		var most *worker
		for _, worker := range w.workers {
			if worker.labels[0] == "b" && (most == nil || worker.running() > most.running()) {
				most = worker
			}
		}
		most.crash(4500 * time.Millisecond)
	}
	time.Sleep((jobs*gap + 10000) * time.Millisecond)
	for k := 1; k <= jobs; k++ {
		w.client(k%edgeCount, http.MethodGet, prefix, fmt.Sprintf("%016x", k), nil, 3*time.Second)
	}
	often := 0
	for _, p := range w.core {
		w.note("%s has ended by itself %d times; its log says %q", p.name, p.ownEnds, p.panics())
		if p.ownEnds >= 3 {
			often++
		}
	}
	if 2*often >= coreCount {
		return broken, nil
	}
	return held, nil
}
