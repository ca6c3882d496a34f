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

// starter starts all child processes from one OS thread that lives until close. The parent death signal of a child fires when the
// thread that started it ends, and the Go runtime may end threads at any time.
type starter struct {
	tasks chan func()
	done  chan struct{}
}

func newStarter() *starter {
	s := &starter{tasks: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		runtime.LockOSThread() // never unlocked, so the thread ends with the goroutine
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

// close ends the thread. All children have to have exited before.
func (s *starter) close() {
	close(s.tasks)
	<-s.done
}

type childState uint8

const (
	childDown childState = iota
	childRunning
	childFrozen
)

// Child is one process of the cluster across all its restarts. Its methods are safe for concurrent use.
type Child struct {
	Name    string
	starter *starter
	command func() *exec.Cmd
	logPath string

	mutex        sync.Mutex
	state        childState
	process      *os.Process
	exited       chan struct{}
	endRequested bool      // the cluster has ended the current incarnation
	interrupted  time.Time // when an incarnation was last killed, stopped or continued
	takesSignals bool      // the current incarnation has told that it handles signals
	crashes      int       // incarnations that exited without a request
	lastCrash    string    // exit status of the last such incarnation
	earlierUsage Usage     // usage of earlier incarnations
}

var errAlreadyRunning = errors.New("already running")

// start starts a new incarnation.
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
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	defer writer.Close()
	command := c.command()
	command.Stdout, command.Stderr = output, output
	command.ExtraFiles = []*os.File{writer}
	if err := c.starter.start(command); err != nil {
		_ = reader.Close()
		return fmt.Errorf("start %s: %w", c.Name, err)
	}
	c.state, c.process, c.exited, c.endRequested, c.takesSignals = childRunning, command.Process, make(chan struct{}), false, false
	go c.reap(command, c.exited)
	go c.awaitSignalHandling(reader, c.exited)
	return nil
}

// SignalHandlingFile is the descriptor on which a process writes a byte once it handles signals. Before that a SIGHUP ends any program,
// whatever it does.
const SignalHandlingFile = 3

// awaitSignalHandling waits until an incarnation tells that it handles signals, or has exited.
func (c *Child) awaitSignalHandling(reader *os.File, incarnation chan struct{}) {
	defer reader.Close()
	count, _ := reader.Read(make([]byte, 1)) // the end of the pipe is the end of the process
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count == 1 && c.exited == incarnation {
		c.takesSignals = true
	}
}

func (c *Child) reap(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // ProcessState holds the exit status
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = childDown
	if !c.endRequested {
		c.crashes++
		c.lastCrash = command.ProcessState.String()
	}
	close(exited)
}

// signal sends a signal to the current incarnation, if there is one. It returns a channel that is closed when the incarnation has
// exited.
func (c *Child) signal(signal syscall.Signal, ends bool, next childState) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == childDown {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if ends {
		c.endRequested = true
		if usage, err := readUsage(c.process.Pid); err == nil {
			c.earlierUsage = c.earlierUsage.plus(usage)
		}
	} else {
		c.state = next
	}
	c.recordInterruption(signal)
	_ = c.process.Signal(signal) // the process may already have exited
	return c.exited
}

// kill ends the current incarnation with SIGKILL and waits for its exit.
func (c *Child) kill() { <-c.signal(syscall.SIGKILL, true, childDown) }

// interruptedSince reports whether an incarnation was killed or stood still after the given time.
func (c *Child) interruptedSince(moment time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state == childFrozen || c.interrupted.After(moment)
}

// recordInterruption records a signal that kills, stops or continues the process.
func (c *Child) recordInterruption(signal syscall.Signal) {
	switch signal {
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		c.interrupted = time.Now()
	}
}

// terminate sends SIGTERM to the current incarnation and kills it if it has not exited within the limit. It reports whether it exited in
// time.
func (c *Child) terminate(limit time.Duration) (inTime bool) {
	exited := c.signal(syscall.SIGTERM, true, childDown)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
		return true
	case <-timer.C:
		c.kill()
		return false
	}
}

// excuseExit reports whether the current incarnation has exited without a request. Such an exit then no longer counts as a crash. It
// is used after troubles that allow the process to exit.
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

// usage returns the usage of all incarnations so far. Memory, threads and descriptors are those of the current incarnation.
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

// crashSummary returns the number of exits without a request, and the status of the last one.
func (c *Child) crashSummary() (status string, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastCrash, c.crashes
}
