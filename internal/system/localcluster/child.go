package localcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// starter starts children from one thread that lives as long as it does: a child's death signal fires when the thread that started
// it ends, and Go ends threads as it likes.
type starter struct {
	tasks chan func()
	done  chan struct{}
}

func newStarter() *starter {
	s := &starter{tasks: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for do := range s.tasks {
			do()
		}
	}()
	return s
}

func (s *starter) start(command *exec.Cmd) (err error) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ran := make(chan struct{})
	s.tasks <- func() {
		defer close(ran)
		err = command.Start()
	}
	<-ran
	return err
}

// close ends the thread; all children have to be over.
func (s *starter) close() {
	close(s.tasks)
	<-s.done
}

// childState is the state of a child.
type childState uint8

const (
	childDown childState = iota
	childRunning
	childFrozen
)

// Child is one process of the cluster over all its lives. Its methods may be called from any goroutine.
type Child struct {
	Name    string
	starter *starter
	command func() *exec.Cmd
	logPath string

	mutex        sync.Mutex
	state        childState
	process      *os.Process
	exited       chan struct{}
	endRequested bool   // somebody ended this life
	crashes      int    // lives that ended with nobody asking
	lastCrash    string // how the last of them ended
	earlierUsage Usage  // of the lives before
}

var errAlreadyRunning = errors.New("it runs")

// start begins a life.
func (c *Child) start() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != childDown {
		return fmt.Errorf("start %s: %w", c.Name, errAlreadyRunning)
	}
	output, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsFileMode)
	if err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	defer output.Close()
	command := c.command()
	command.Stdout, command.Stderr = output, output
	if err := c.starter.start(command); err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	c.state, c.process, c.exited, c.endRequested = childRunning, command.Process, make(chan struct{}), false
	go c.reap(command, c.exited)
	return nil
}

func (c *Child) reap(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // its state tells how it ended
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = childDown
	if !c.endRequested {
		c.crashes++
		c.lastCrash = command.ProcessState.String()
	}
	close(exited)
}

// signal sends a signal to the present life, if there is one, and gives what closes at its end.
func (c *Child) signal(signal syscall.Signal, ends bool, next childState) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == childDown {
		over := make(chan struct{})
		close(over)
		return over
	}
	if ends {
		c.endRequested = true
		if usage, err := readUsage(c.process.Pid); err == nil {
			c.earlierUsage = c.earlierUsage.plus(usage)
		}
	} else {
		c.state = next
	}
	_ = c.process.Signal(signal) // it may just have ended by itself
	return c.exited
}

// kill ends the present life at once and waits for it.
func (c *Child) kill() { <-c.signal(syscall.SIGKILL, true, childDown) }

// terminate asks the present life to end, and kills it when it hasn't by the limit.
func (c *Child) terminate(limit time.Duration) {
	exited := c.signal(syscall.SIGTERM, true, childDown)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		c.kill()
	}
}

// excuseExit tells whether the present life has ended by itself, and takes that as asked for: by a trouble that it may end for.
func (c *Child) excuseExit() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != childDown || c.endRequested {
		return false
	}
	c.endRequested = true
	c.crashes--
	return true
}

func (c *Child) freeze() { c.signal(syscall.SIGSTOP, false, childFrozen) }
func (c *Child) thaw()   { c.signal(syscall.SIGCONT, false, childRunning) }

// usage is what all lives so far have used; memory is that of the present one.
func (c *Child) usage() Usage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := c.earlierUsage
	total.Resident, total.Threads, total.Files = 0, 0, 0
	if c.state == childDown {
		return total
	}
	present, err := readUsage(c.process.Pid)
	if err != nil {
		return total
	}
	return total.plus(present)
}

// crashSummary tells how the last life that nobody ended has ended, and how many did.
func (c *Child) crashSummary() (how string, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastCrash, c.crashes
}
