package rig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// starter starts child processes from one locked thread: a child's parent-death signal fires when the thread that started it
// ends, and the Go runtime may end threads at any time.
type starter struct {
	requests chan func()
	done     chan struct{}
}

func newStarter() *starter {
	k := &starter{requests: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(k.done)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for do := range k.requests {
			do()
		}
	}()
	return k
}

// start starts a command that is killed when this process ends.
func (k *starter) start(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ran := make(chan struct{})
	k.requests <- func() { defer close(ran); err = c.Start() }
	<-ran
	return err
}

// close ends the thread. All children must have ended before.
func (k *starter) close() {
	close(k.requests)
	<-k.done
}

// maxLogBytes is the number of bytes kept from the end of a process's log.
const maxLogBytes = 64 << 10

// logTail keeps the last maxLogBytes written to it.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - maxLogBytes; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

// lines returns the kept lines that contain any of the words.
func (t *logTail) lines(words ...string) (all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for line := range bytes.Lines(t.text) {
		for _, w := range words {
			if strings.Contains(string(line), w) {
				all = append(all, strings.TrimSpace(string(line)))
				break
			}
		}
	}
	return all
}

// Process is a dispatcher's process over all its incarnations. Its methods are safe for concurrent use.
type Process struct {
	starter    *starter
	newCommand func(incarnation int) (*exec.Cmd, error) // returns the command of an incarnation, without outputs
	log        logTail

	mu            sync.Mutex
	cmd           *exec.Cmd
	incarnation   int
	exited        chan struct{} // closed when the present incarnation ends
	stopRequested bool          // a signal to end was sent
	crashes       int           // incarnations that ended without a request or with a failure
	lastChange    time.Time     // when it was last killed, paused, slowed or started
	stopped       bool          // SIGSTOP was sent
	stopSlow      chan struct{} // closed to end the present slow-down
	slowDone      chan struct{}
}

// Start starts a new incarnation. The one before must have ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return errors.New("rig: process: already running")
	}
	cmd, err := p.newCommand(p.incarnation)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := p.starter.start(cmd); err != nil {
		return fmt.Errorf("rig: process: %w", err)
	}
	p.incarnation++
	p.cmd, p.stopRequested, p.stopped, p.lastChange, p.exited = cmd, false, false, time.Now(), make(chan struct{})
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopRequested || err != nil && cmd.ProcessState.ExitCode() != -1 {
			p.crashes++ // no end was requested, or it exited by itself with an error
		}
		p.cmd, p.lastChange = nil, time.Now()
		close(exited)
	}()
	return nil
}

// Signal sends a signal. SIGKILL and SIGTERM count as a request to end. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopRequested = true
		fallthrough
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.lastChange, p.stopped = time.Now(), s == syscall.SIGSTOP
	}
	p.cmd.Process.Signal(s) // an error means that it has just ended
}

// Slow lets the process run for a share of each tenth of a second, until it is called with a share of 1.
func (p *Process) Slow(share float64) {
	p.mu.Lock()
	stop, done := p.stopSlow, p.slowDone
	p.stopSlow, p.slowDone, p.lastChange = nil, nil, time.Now()
	p.mu.Unlock()
	if stop != nil {
		close(stop)
		<-done
	}
	if share >= 1 {
		return
	}
	stop, done = make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.stopSlow, p.slowDone = stop, done
	p.mu.Unlock()
	const period = 100 * time.Millisecond
	go func() {
		defer close(done)
		defer p.Signal(syscall.SIGCONT)
		for {
			for _, x := range []struct {
				signal syscall.Signal
				share  float64
			}{{syscall.SIGSTOP, 1 - share}, {syscall.SIGCONT, share}} {
				p.Signal(x.signal)
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(period) * x.share)):
				}
			}
		}
	}()
}

// Await waits for the present incarnation to end. It returns false if that takes longer than within.
func (p *Process) Await(within time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// Stop ends the process with SIGTERM, or with SIGKILL if it takes longer than within.
func (p *Process) Stop(within time.Duration) {
	p.Slow(1)
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	if !p.Await(within) {
		p.Signal(syscall.SIGKILL)
		p.Await(time.Minute)
	}
}

// Running reports whether the process runs, and when it last started, ended, or was signalled or slowed.
func (p *Process) Running() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped { // a stop counts as a disturbance while it lasts
		return p.cmd != nil, time.Now()
	}
	return p.cmd != nil, p.lastChange
}

// Crashes returns the number of incarnations that ended without a request or with an exit code other than 0.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// findProgram returns the path of the dispatcher's program: the given path, or a build of this module's cmd/gaugeslip in dir.
func findProgram(path, dir string) (string, error) {
	if path != "" {
		return path, nil
	}
	out := dir + "/gaugeslip"
	build := exec.Command("go", "build", "-o", out, "gaugeslip/cmd/gaugeslip")
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("rig: building the dispatcher: %w: %s", err, text)
	}
	if _, err := os.Stat(out); err != nil {
		return "", fmt.Errorf("rig: %w", err)
	}
	return out, nil
}

// isSlowed reports whether Slow limits the process.
func (p *Process) isSlowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopSlow != nil
}
