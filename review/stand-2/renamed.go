package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["renamed"] = playRenamed }

// The services of the cases.
const (
	envio   = "dele69a"
	triagem = "xano55b"
)

// renamedClients is the number of clients of one dispatcher in case "renamed". Each has a connection of its own, as clients have on any day.
const renamedClients = 24

// afterID returns the ID of the job that a client hands in after the change.
func afterID(client int) string { return fmt.Sprintf("%016x", 0xb200+client) }

// playRenamed: while one dispatcher stands still, a configuration drops a queue and gives its name to a new queue of another service.
// Clients' requests for the dropped queue reach the dispatcher before it runs again.
func playRenamed(c *cluster) (result, error) {
	first := configuration{version: 5, routes: []route{{"r-main", "/lohu930/", envio, 3000}, {"r-second", "/pufi791/", envio, 3000}, {"r-third", "/pule252/", triagem, 3000}}}
	next := configuration{version: 7, routes: []route{{"r-main", "/lohu930/", envio, 3000}, {"r-third", "/pule252/", triagem, 3000}, {"r-second", "/puxa403/", triagem, 3000}}}
	if err := c.open(first, map[string]int{envio: 6, triagem: 6}); err != nil {
		return notRun, err
	}
	time.Sleep(contactTime + time.Second)
	const before = "00000000000000a1"
	if answer := c.client(c.edge[0], "POST", "/pufi791/"+before, job(2, 300), 3*time.Second); answer.status != 200 {
		return notRun, fmt.Errorf("the job before the change isn't taken: %d", answer.status)
	}
	var clients sync.WaitGroup
	handedIn := make(chan struct{})
	for i := range renamedClients {
		client := c.keptClient(c.edge[0])
		client.call("GET", "/lohu930/", nil, 3*time.Second) // opens the connection
		clients.Go(func() {
			<-handedIn
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			client.call("POST", "/pufi791/"+afterID(i), job(2, 300), 3*time.Second)
		})
	}
	time.Sleep(time.Second)
	if c.trouble {
		c.signal(c.edge[0], syscall.SIGSTOP)
	}
	if err := c.change(next); err != nil {
		return notRun, err
	}
	time.Sleep(500 * time.Millisecond)
	close(handedIn)
	time.Sleep(2500 * time.Millisecond)
	if c.trouble {
		c.signal(c.edge[0], syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	found := ruleHeld
	for i := range renamedClients {
		for _, s := range c.startsOf(afterID(i)) {
			if s.service != envio { // no configuration sends /pufi791/ to another service
				c.logf("%s was handed in at /pufi791/ and began on %s, a worker of %s", s.task, s.worker, s.service)
				found = ruleBroken
			}
		}
	}
	return found, nil
}
