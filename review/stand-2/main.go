// Command stand-2 starts the project's own programs as separate processes on loopback addresses, with stand-ins for workers, the platform,
// the clients and the operator, and runs one case of the second review. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result is the exit code of a case.
type result int

const (
	ruleHeld result = iota
	ruleBroken
	notRun
)

// cases are the cases by the name that a script passes.
var cases = map[string]func(c *cluster) (result, error){}

// caseLimit ends a case that takes too long. A script may take 120 s.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER-OF-PROGRAMS RECORD")
		os.Exit(int(notRun))
	}
	os.Exit(int(runCase(os.Args[1], os.Args[2], os.Args[3])))
}

func runCase(name, programs, recordPath string) result {
	body, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return notRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	c, err := newCluster(programs, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer c.close()
	c.logf("case %s, disruption: %v", name, c.trouble)
	found, err := c.runBounded(body)
	if err != nil {
		c.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	c.logf("rule broken: %v", found == ruleBroken)
	fmt.Printf("%s, disruption %v: rule broken: %v\n", name, c.trouble, found == ruleBroken)
	return found
}

// runBounded runs the case until it ends, a signal arrives or the time is over.
func (c *cluster) runBounded(body func(*cluster) (result, error)) (result, error) {
	type outcome struct {
		found result
		err   error
	}
	ended := make(chan outcome, 1)
	go func() {
		found, err := body(c)
		ended <- outcome{found, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-ended:
		return o.found, o.err
	case <-signals:
		return notRun, fmt.Errorf("ended by a signal")
	case <-time.After(caseLimit):
		return notRun, fmt.Errorf("the case takes too long")
	}
}
