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

// keeper starts children from one thread that lives as long as it does: a child's death signal fires when the thread that
// started it ends, and Go ends threads as it likes.
type keeper struct {
	ask  chan func()
	done chan struct{}
}

func newKeeper() *keeper {
	k := &keeper{ask: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(k.done)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for do := range k.ask {
			do()
		}
	}()
	return k
}

// start starts a command so that it dies with this process.
func (k *keeper) start(c *exec.Cmd) (err error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ran := make(chan struct{})
	k.ask <- func() { defer close(ran); err = c.Start() }
	<-ran
	return err
}

// close ends the thread. Every child has to be over by then.
func (k *keeper) close() {
	close(k.ask)
	<-k.done
}

// logKept is how much of a process's log is kept, from its end.
const logKept = 64 << 10

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - logKept; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

// Lines are the kept lines that hold one of some words.
func (t *tail) lines(words ...string) (all []string) {
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

// Process is one dispatcher's process, over all its lives. Its methods may be called from any goroutine.
type Process struct {
	keeper *keeper
	make   func(life int) (*exec.Cmd, error) // of a life's command, without its outputs
	log    tail

	mu       sync.Mutex
	cmd      *exec.Cmd
	life     int
	exited   chan struct{} // of the present life
	asked    bool          // it was told to end
	crashes  int           // lives that ended with nobody asking, or badly
	touched  time.Time     // when it was last killed, paused, slowed or started
	stopped  bool          // it stands still
	slowed   chan struct{} // closed to end the present slowness
	slowDone chan struct{}
}

// Start begins a new life. The one before has to be over.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return errors.New("rig: process: it runs")
	}
	cmd, err := p.make(p.life)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := p.keeper.start(cmd); err != nil {
		return fmt.Errorf("rig: process: %w", err)
	}
	p.life++
	p.cmd, p.asked, p.stopped, p.touched, p.exited = cmd, false, false, time.Now(), make(chan struct{})
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.asked || err != nil && cmd.ProcessState.ExitCode() != -1 {
			p.crashes++ // nobody asked, or it ended by itself and badly
		}
		p.cmd, p.touched = nil, time.Now()
		close(exited)
	}()
	return nil
}

// Signal sends it one. Those that end it are remembered as asked for. A process that is over is left alone.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.asked = true
		fallthrough
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.touched, p.stopped = time.Now(), s == syscall.SIGSTOP
	}
	p.cmd.Process.Signal(s) // an error means that it has just ended
}

// Slow leaves the process a share of each tenth of a second, until share is 1 again.
func (p *Process) Slow(share float64) {
	p.mu.Lock()
	stop, done := p.slowed, p.slowDone
	p.slowed, p.slowDone, p.touched = nil, nil, time.Now()
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
	p.slowed, p.slowDone = stop, done
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

// Await returns when the present life is over, or after a while: false.
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

// Stop ends it for good: SIGTERM, and SIGKILL after a while.
func (p *Process) Stop(within time.Duration) {
	p.Slow(1)
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	if !p.Await(within) {
		p.Signal(syscall.SIGKILL)
		p.Await(time.Minute)
	}
}

// Running tells whether it runs, and since when nothing was done to it.
func (p *Process) Running() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped { // for as long as that lasts
		return p.cmd != nil, time.Now()
	}
	return p.cmd != nil, p.touched
}

// Crashes is how many of its lives ended though nobody asked, or with an exit code other than 0.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// program finds the dispatcher's program: the path given, or a build of this module's cmd/gaugeslip in dir.
func program(path, dir string) (string, error) {
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

// slowedNow tells whether it has only a share of its core.
func (p *Process) slowedNow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowed != nil
}
