package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["queue-gone"] = playQueueGone }

// playQueueGone: the operator removes a queue of which a job is still at work. Its client then cancels the job.
func playQueueGone(w *world) (verdict, error) {
	first, second := route{"r-1", prefix, 3000, service}, route{"r-2", other, 3000, service}
	if err := w.open(config(5, first, second), service); err != nil {
		return couldNotRun, err
	}
	const id = "5c0e7a21d94b36f8"
	time.Sleep(contactTime)
	body := job("failed", []int{2500}, tasks(2, 2500).with("longRunning", true))
	if status, _ := w.client(0, http.MethodPost, other, id, body, 3*time.Second); status != http.StatusOK {
		return couldNotRun, fmt.Errorf("the job isn't taken: %d", status)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		if status, _ := w.replace(0, 5, config(7, first)); status != http.StatusOK {
			return couldNotRun, fmt.Errorf("the configuration isn't taken: %d", status)
		}
	}
	time.Sleep(500 * time.Millisecond)
	cancelled := time.Now()
	for number := 0; time.Since(cancelled) < ackTimeout; number++ {
		status, _ := w.client(number%edgeCount, http.MethodDelete, other, id, nil, 3*time.Second)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Until(cancelled.Add(20 * time.Second)))
	w.client(2, http.MethodGet, other, id, nil, 3*time.Second)
	late := w.startsAfter(id, cancelled.Add(ackTimeout+cancelTime))
	w.note("%d tasks were started later than ackTimeoutMs + cancel_ms after the cancel was first sent", late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
