package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a play has shown.
type verdict int

const (
	held verdict = iota
	broken
	couldNotRun
)

var cases = map[string]func(*world) (verdict, error){}

// The service and the queues of a play's configurations.
const (
	service = "dele69a"
	prefix  = "/pufi791/"
	other   = "/lohu930/"
)

func main() {
	programs := flag.String("programs", "target", "folder of the project's programs")
	record := flag.String("record", "record.txt", "file that takes what was sent, answered and run")
	flag.Parse()
	os.Exit(int(play(flag.Arg(0), *programs, *record)))
}

// longest is the longest time that a play may take.
const longest = 110 * time.Second

func play(name, programs, record string) verdict {
	steps := cases[name]
	if steps == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return couldNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer os.RemoveAll(folder)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", programs: programs, folder: folder, record: file, began: time.Now(), starts: map[string][]time.Time{}}
	reservation, err := w.reserve()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer reservation.Close()
	defer w.close()
	w.note("case %s, disruption: %v", name, w.trouble)
	result, err := w.run(steps)
	if err != nil {
		w.note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	w.note("rule broken: %v", result == broken)
	fmt.Printf("%s, disruption %v: rule broken: %v\n", name, w.trouble, result == broken)
	return result
}

// run plays the steps of a case. It gives up on a signal, or when the case takes too long.
func (w *world) run(steps func(*world) (verdict, error)) (verdict, error) {
	type outcome struct {
		result verdict
		err    error
	}
	over := make(chan outcome, 1)
	go func() {
		result, err := steps(w)
		over <- outcome{result, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case found := <-over:
		return found.result, found.err
	case <-signals:
		return couldNotRun, errors.New("ended by a signal")
	case <-time.After(longest):
		return couldNotRun, errors.New("it takes too long")
	}
}
