package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["many"] = playMany }

const (
	smallJobs  = 16
	largeJobs  = 3
	largeTasks = 6000
	finishTime = 14 * time.Second // finish_s
	clientTime = 3 * time.Second  // the clients' deadline
	clientTry  = 5                // a first try and four retries
)

// playMany: small jobs of two queues are accepted and completed. Then, in trouble, three large jobs come at once, whose tasks ask for
// nothing. finish_s after the last job, the clients ask for the small jobs.
func playMany(c *cluster) (result, error) {
	first := configuration{version: 5, routes: []route{{"r-main", "/lohu930/", envio, 3000}, {"r-third", "/pule252/", triagem, 3000}}}
	if err := c.open(first, map[string]int{envio: 6, triagem: 6}); err != nil {
		return notRun, err
	}
	time.Sleep(contactTime)
	paths := make([]string, smallJobs)
	for i := range paths {
		paths[i] = fmt.Sprintf("%s%016x", []string{"/lohu930/", "/pule252/"}[i%2], 0xa000+i)
		if answer := c.client(c.edge[i%edgeCount], "POST", paths[i], job(2, 300), clientTime); answer.status != 200 {
			return notRun, fmt.Errorf("small job %d isn't taken: %d", i, answer.status)
		}
	}
	time.Sleep(2 * time.Second)
	for i, path := range paths {
		if answer := c.client(c.edge[i%edgeCount], "GET", path, nil, clientTime); answer.text != `{"state":"completed"}` {
			return notRun, fmt.Errorf("small job %d isn't completed before: %d %s", i, answer.status, answer.text)
		}
	}
	go c.logLarge()
	if c.trouble {
		for k := range largeJobs {
			path := fmt.Sprintf("/lohu930/%016x", 0xb000+k)
			if answer := c.client(c.edge[k], "POST", path, jobWithoutNeed(largeTasks, 300), clientTime); k == 0 && answer.status != 200 {
				return notRun, fmt.Errorf("no large job is taken: %d", answer.status)
			}
		}
	}
	c.logf("end of the traffic")
	time.Sleep(finishTime)
	unanswered := c.askAll(paths)
	for _, m := range c.core {
		text, _ := os.ReadFile(filepath.Join(c.folder, m.name+".log"))
		c.logf("%s: %d times a lease lost, %d views, %d panics", m.name, strings.Count(string(text), "lease lost"),
			strings.Count(string(text), "INFO view"), strings.Count(string(text), "panic:"))
	}
	c.logf("%d of %d accepted jobs have got no answer in time", unanswered, len(paths))
	if unanswered > 0 {
		c.logAnswerTime(paths[0])
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// answerWatch is how long after the start of the case it is noted whether a job's state comes after all.
const answerWatch = 60 * time.Second

// logAnswerTime notes when the state of a job comes after all. It has no part in the verdict.
func (c *cluster) logAnswerTime(path string) {
	for try := 0; c.now() < answerWatch; try++ {
		if c.client(c.edge[try%edgeCount], "GET", path, nil, clientTime).status == 200 {
			c.logf("its state comes %.1f s after the start", c.now().Seconds())
			return
		}
		time.Sleep(time.Second)
	}
	c.logf("its state hasn't come %.1f s after the start", c.now().Seconds())
}

// askAll asks for all jobs at once, each as a client does: at one dispatcher after the other, five times at most. It returns for how many
// jobs no state came.
func (c *cluster) askAll(paths []string) int {
	var asking sync.WaitGroup
	var mutex sync.Mutex
	unanswered := 0
	for i, path := range paths {
		asking.Go(func() {
			for try := range clientTry {
				if c.client(c.edge[(i+try)%edgeCount], "GET", path, nil, clientTime).status == 200 {
					return
				}
				time.Sleep(200 * time.Millisecond << try)
			}
			mutex.Lock()
			defer mutex.Unlock()
			unanswered++
		})
	}
	asking.Wait()
	return unanswered
}
