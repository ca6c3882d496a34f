package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/check"
	"gaugeslip/internal/emulator"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/freeport"
	"gaugeslip/internal/node"
)

// fleetSpec returns the fleet that demo and emulate run on sockets: hosts of two kinds in turn, five of each by default, as in
// scenarios/calm-friday.hcl but ten times as fast.
func fleetSpec(hosts int) (specs []emulator.Spec, p fleet.Params) {
	for i := range hosts {
		s := emulator.Spec{Kind: "small-box", Room: "bole-room", Lanes: 2, Speed: 1}
		if i%2 == 1 {
			s.Kind, s.Lanes, s.Speed = "wide-box", 3, 0.75
		}
		specs = append(specs, s)
	}
	return specs, fleet.Params{Queue: 16, ColdFrom: 0.12, WarmUp: 5 * time.Second, TipMultiple: 3, OverloadFor: 2 * time.Second,
		ReportEvery: 50 * time.Millisecond, Progress: time.Second, ProbeWork: 75 * time.Microsecond}
}

// dispatcherSettings are the settings of the demo's dispatcher, in the platform's format.
const dispatcherSettings = `{"family-info":{"class-stretch":[1.75,2.0],"report-x0":"free slots","tells-start":true,"progress":1000.0},
"kinds":["small-box","wide-box"],"limits":{"cancel":true,"conn-idle":30000.0,"connect-timeout":250.0,"max-attempts":6,
"max-retry-after":2000.0,"most-held":20000,"probes":true,"retry-after":true},"localities":["bole-room"],"locality":"bole-room",
"ordinal":0,"replicas-of-me":1,"prices":{"probe":0.002,"waste":0.02},"profiles":[
{"credit":5.0,"deadline":4000.0,"effect":"retryable","name":"plot-load","on-time":200.0},
{"credit":10.0,"deadline":8000.0,"effect":"fragile","name":"harvest-sale","on-time":500.0}],
"registry-mode":"ask","report":{"fields":["q","rif","x0"],"how":"pull"},"rules":{"cold-from":0.12,"warm-up":5000.0,
"tip-multiple":3.0,"overload-for":2000.0,"drain-grace":3000.0},"value-by":"work"}`

// loadClasses returns the classes of jobs that the load sends, and the mean work of a job in seconds.
func loadClasses() ([]emulator.LoadClass, float64) {
	return []emulator.LoadClass{
		{Name: "plot-load", Part: 0.62, Mean: 70 * time.Millisecond, Sigma: 0.4, OnTime: 200 * time.Millisecond, Stretch: 1.75,
			Patience: 4 * time.Second, Worth: 5},
		{Name: "harvest-sale", Part: 0.38, Mean: 400 * time.Millisecond, Sigma: 0.4, OnTime: 500 * time.Millisecond, Stretch: 2,
			Patience: 8 * time.Second, Worth: 10}}, 0.62*0.07 + 0.38*0.4
}

// startDispatcher starts a real dispatcher on a free loopback address inside this process. stop shuts it down in the same way as SIGTERM and
// waits until it has ended.
func startDispatcher(ctx context.Context, f *emulator.Fleet) (addr string, stop func() error, err error) {
	reserved, err := freeport.Reserve()
	if err != nil {
		return "", nil, err
	}
	defer reserved.Close() // after the dispatcher listens, or has failed to
	addr = reserved.Address()
	dir, err := os.MkdirTemp("", "gaugelab")
	if err != nil {
		return "", nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": f.Discovery, "seed": "1",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(f.List()),
		"settings": json.RawMessage(dispatcherSettings)})
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "config.json"), text, 0o600)
	}
	if err != nil {
		return "", nil, errors.Join(err, os.RemoveAll(dir))
	}
	files := &node.Files{Config: filepath.Join(dir, "config.json")}
	cfg, own, err := files.Load()
	if err != nil {
		return "", nil, errors.Join(err, os.RemoveAll(dir))
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- node.Run(inner, cfg, own, files, nil) }()
	stop = func() error {
		cancel()
		return errors.Join(<-ended, os.RemoveAll(dir))
	}
	up, done := context.WithTimeout(ctx, 10*time.Second)
	defer done()
	if err := emulator.Await(up, addr); err != nil {
		return "", nil, errors.Join(err, stop())
	}
	return addr, stop, nil
}

// observer reports the runs on hosts and the answers to clients to the checker. On sockets only these are observable, so it checks that each
// job gets one answer and that jobs which must not run twice run once.
type observer struct {
	mu      sync.Mutex
	checker *check.Checker
	ids     map[string]uint64
	started time.Time
	lastID  uint64
}

func newObserver() *observer {
	return &observer{checker: check.New(check.Rules{AnswerGrace: time.Second}), ids: map[string]uint64{}, started: time.Now()}
}

// record reports an event of a job to the checker, with the current time. The first event of a job also records the job as accepted. The
// caller holds the lock.
func (o *observer) record(id string, e check.Event) {
	e.At = time.Since(o.started)
	if o.ids[id] == 0 {
		o.lastID++
		o.ids[id] = o.lastID
		o.checker.See(check.Event{Kind: check.Taken, At: e.At, Job: o.lastID, Deadline: e.At + 10*time.Second,
			Unsafe: strings.HasPrefix(id, "harvest-sale")}) // the job IDs of a Load begin with the class
	}
	e.Job = o.ids[id]
	o.checker.See(e)
}

func (o *observer) jobRan(s emulator.Sight) {
	if s.Kind != emulator.Ran {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(s.Job, check.Event{Kind: check.Ran})
}

func (o *observer) jobAnswered(id, _ string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := check.Failed
	switch status {
	case 200:
		answer = check.Served
	case 429, 503:
		answer = check.Refused
	}
	o.record(id, check.Event{Kind: check.Answered, Answer: answer})
}

func demoCommand() *cobra.Command {
	var length time.Duration
	var rate float64
	var hosts int
	var calm bool
	c := &cobra.Command{Use: "demo", Short: "Run a fleet, discovery, a dispatcher and load on loopback, inject faults, and report",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			slog.SetDefault(slog.New(slog.DiscardHandler))                 // the demo's output replaces the dispatcher's log
			ctx, out := cmd.Context(), &lockedWriter{w: cmd.OutOrStdout()} // the load and the fault injection both print
			specs, p := fleetSpec(hosts)
			w := newObserver()
			f, err := emulator.Start(specs, p, 1, w.jobRan)
			if err != nil {
				return err
			}
			defer f.Close()
			addr, stop, err := startDispatcher(ctx, f)
			if err != nil {
				return err
			}
			kinds, work := loadClasses()
			lanes := 0.0
			for _, s := range specs {
				lanes += float64(s.Lanes) * s.Speed
			}
			fmt.Fprintf(out, "%d game workers, discovery at %s, a dispatcher at %s; %.0f jobs a second for %v\n", hosts, f.Discovery, addr,
				rate*lanes/work, length)
			l := &emulator.Load{Addr: addr, Rate: rate * lanes / work, Length: length, Classes: kinds, Seed: 1, MaxOpen: 500, Seen: w.jobAnswered,
				Progress: func(r *emulator.Result) { r.Print(out) }}
			troubles, ended := context.WithCancel(ctx)
			done := make(chan struct{})
			if calm {
				close(done)
			} else {
				go func() {
					defer close(done)
					for _, x := range []struct {
						at   time.Duration
						what string
						do   func()
					}{
						{length / 4, "one game worker goes silent", func() { f.Hosts[0].Vanish() }},
						{length / 2, "another is killed, and a third drains", func() { f.Hosts[1].Kill(); f.Hosts[2].Drain() }},
						{3 * length / 4, "the first two come back, cold", func() { f.Hosts[0].Restart(); f.Hosts[1].Restart() }},
					} {
						select {
						case <-troubles.Done():
							return
						case <-time.After(time.Until(w.started.Add(x.at))):
							fmt.Fprintln(out, "-- "+x.what)
							x.do()
						}
					}
				}()
			}
			r := l.Run(ctx)
			ended()
			<-done
			fmt.Fprintln(out, "== report")
			r.Print(out)
			err = stop()
			w.mu.Lock()
			defer w.mu.Unlock()
			fmt.Fprintf(out, "%d jobs checked, %d broken rules\n", w.checker.Checked(), len(w.checker.Breaches()))
			for _, b := range w.checker.Breaches() {
				fmt.Fprintln(out, "  ", b)
			}
			return err
		}}
	c.Flags().DurationVar(&length, "for", 12*time.Second, "duration of the load")
	c.Flags().Float64Var(&rate, "load", 0.6, "offered work, as a share of the fleet's capacity")
	c.Flags().IntVar(&hosts, "hosts", 10, "game workers")
	c.Flags().BoolVar(&calm, "calm", false, "inject no faults")
	return c
}

func emulateCommand() *cobra.Command {
	var hosts int
	var length time.Duration
	c := &cobra.Command{Use: "emulate", Short: "Run game workers and discovery on loopback until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			specs, p := fleetSpec(hosts)
			f, err := emulator.Start(specs, p, 1, nil)
			if err != nil {
				return err
			}
			defer f.Close()
			fmt.Fprintf(cmd.OutOrStdout(), "discovery %s\n", f.Discovery)
			for _, h := range f.Hosts {
				fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", h.Name, h.Addr)
			}
			select {
			case <-cmd.Context().Done():
			case <-time.After(length):
			}
			return nil
		}}
	c.Flags().IntVar(&hosts, "hosts", 10, "game workers")
	c.Flags().DurationVar(&length, "for", time.Hour, "maximum duration")
	return c
}

func loadCommand() *cobra.Command {
	var addr string
	var rate float64
	var length time.Duration
	var seed uint64
	c := &cobra.Command{Use: "load", Short: "Send jobs to a dispatcher at a fixed rate, without waiting for earlier jobs (open loop)", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			host, _, err := net.SplitHostPort(addr)
			if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
				return usageError{fmt.Errorf("load: --addr: %q is no loopback address", addr)}
			}
			kinds, _ := loadClasses()
			l := &emulator.Load{Addr: addr, Rate: rate, Length: length, Classes: kinds, Seed: seed, MaxOpen: 2000,
				Progress: func(r *emulator.Result) {
					fmt.Fprintf(cmd.ErrOrStderr(), "%.0f s, service %.3f\n", r.Elapsed.Seconds(), r.Service())
				}}
			l.Run(cmd.Context()).Print(cmd.OutOrStdout())
			return nil
		}}
	c.Flags().StringVar(&addr, "addr", "", "the dispatcher's address")
	c.Flags().Float64Var(&rate, "rate", 50, "jobs per second")
	c.Flags().DurationVar(&length, "for", 10*time.Second, "duration of the load")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	return c
}

// lockedWriter serializes writes of several goroutines to one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}
