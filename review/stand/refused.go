package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused: an operator has two orders in progress, the second on top of the first, and the machine that it asks stands still.
func playRefused(w *world) (verdict, error) {
	main := route{"r-1", prefix, 3000, service}
	if err := w.open(config(5, main), service); err != nil {
		return couldNotRun, err
	}
	time.Sleep(contactTime + time.Second)
	seventh := config(7, main, route{"r-2", other, 3000, service})
	ninth := config(9, route{"r-1", prefix, 2500, service}, route{"r-2", other, 3000, service})
	if w.trouble {
		w.core[2].signal(syscall.SIGSTOP)
		w.note("%s stands still", w.core[2].name)
	}
	acknowledged := make(chan int, 1)
	go func() {
		status, _ := w.replace(2, 5, seventh)
		if status == 0 {
			time.Sleep(300 * time.Millisecond)
			status, _ = w.replace(0, 5, seventh)
		}
		acknowledged <- status
	}()
	time.Sleep(50 * time.Millisecond)
	status, _ := w.replace(2, 7, ninth)
	if status == 0 {
		time.Sleep(100 * time.Millisecond)
		status, _ = w.replace(1, 7, ninth)
	}
	if first := <-acknowledged; first != http.StatusOK {
		return couldNotRun, fmt.Errorf("version 7 is answered %d", first)
	}
	if w.trouble {
		time.Sleep(200 * time.Millisecond)
		w.core[2].signal(syscall.SIGCONT)
		w.note("%s runs again", w.core[2].name)
	}
	time.Sleep(5 * time.Second)
	newest := 0
	for i := range w.core {
		newest = max(newest, w.read(i))
	}
	w.note("version 9 was answered %d, version %d is in force", status, newest)
	if newest == 9 && status >= 400 && status < 500 {
		return broken, nil
	}
	return held, nil
}
