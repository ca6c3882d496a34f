package localcluster

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/localcluster/relay"
)

// SoakOptions say how long a soak run lasts and how much goes wrong in it at a time. Zero values stand for the defaults.
type SoakOptions struct {
	Seed            uint64
	Replicas        int           // 3
	Dispatchers     int           // 3
	Workers         int           // 12
	Rate            float64       // jobs a second, 8 by default
	TroubleDuration time.Duration // how long troubles last, 15 s by default
	// ConcurrentTroubles is how many troubles there may be at a time, 3 by default.
	ConcurrentTroubles int
	// ProgramDir is the folder that holds relayednode.
	ProgramDir string
	// Dir holds settings, disks and logs and has to be empty; a temporary one where it isn't named. It is kept where something was found.
	Dir string
	// Table gets a line for each trouble; nil: none.
	Table io.Writer
}

// historyName is the file in a run's folder that tells its troubles and findings with their times.
const historyName = "troubles.log"

const (
	defaultSoakRate   = 8
	defaultSoakFor    = 15 * time.Second
	defaultSoakTracks = 3

	// soakRecovery is within how long after the troubles all replicas are in the chain again and jobs are taken.
	soakRecovery = 25 * time.Second
	// soakFinish is within how long after that all accepted jobs are over.
	soakFinish = 40 * time.Second
	// soakSettled is within how long after that all machines tell the newest configuration.
	soakSettled = 10 * time.Second
	soakPoll    = 100 * time.Millisecond
)

// Finding is a promise that a soak run saw broken.
type Finding struct {
	At     time.Duration
	Rule   string
	Detail string
}

// SoakReport is what a soak run came to.
type SoakReport struct {
	Seed     uint64
	Troubles map[string]int // by kind
	Jobs     SoakJobs
	Changes  SoakChanges
	Unruly   int // connections of unruly clients
	Starts   int // that workers took
	Epoch    uint64
	Findings []Finding
	Dir      string // of settings, disks and logs, where it was kept
}

// Print writes the report for people.
func (r *SoakReport) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d findings; jobs %+v; configurations %+v; %d unruly connections; %d starts; epoch %d; troubles %s\n", r.Seed,
		len(r.Findings), r.Jobs, r.Changes, r.Unruly, r.Starts, r.Epoch, countsText(r.Troubles))
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "  %8.3f s %s: %s\n", finding.At.Seconds(), finding.Rule, finding.Detail)
	}
	if r.Dir != "" {
		fmt.Fprintf(out, "  logs: %s\n", r.Dir)
	}
}

// soak is a soak run under way.
type soak struct {
	options SoakOptions
	relay   *relay.Relay
	cluster *Cluster
	zero    time.Time

	mutex    sync.Mutex
	findings []Finding
	troubles map[string]int
	telling  sync.Mutex
	history  io.WriteCloser // the troubles, in the run's folder

	busy  map[*Child]*sync.Mutex // who is struck, by one trouble at a time
	disks diskLosses
	jobs  soakClients
	admin soakOperator
	loud  unrulyClients
}

func (o *SoakOptions) withDefaults() {
	orDefault(&o.Replicas, defaultReplicas)
	orDefault(&o.Dispatchers, defaultDispatchers)
	orDefault(&o.Workers, defaultWorkers)
	orDefault(&o.Rate, defaultSoakRate)
	orDefault(&o.TroubleDuration, defaultSoakFor)
	orDefault(&o.ConcurrentTroubles, defaultSoakTracks)
}

// Soak runs one cluster of real processes under troubles that overlap, all drawn by the seed, and tells which promises it saw broken. It ends
// by itself and leaves no process behind.
func Soak(ctx context.Context, options SoakOptions) (*SoakReport, error) {
	options.withDefaults()
	carrier, err := relay.Start(options.Seed)
	if err != nil {
		return nil, err
	}
	defer carrier.Close()
	folder, err := soakFolder(options.Dir)
	if err != nil {
		return nil, err
	}
	cluster, err := Start(Options{Replicas: options.Replicas, Dispatchers: options.Dispatchers, Workers: options.Workers, Seed: options.Seed,
		ProgramDir: options.ProgramDir, Dir: folder, Relay: carrier.Address()})
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	s := &soak{options: options, relay: carrier, cluster: cluster, zero: time.Now(), troubles: make(map[string]int),
		busy: make(map[*Child]*sync.Mutex)}
	for _, child := range cluster.children() {
		s.busy[child] = &sync.Mutex{}
	}
	if s.history, err = os.Create(filepath.Join(folder, historyName)); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	defer s.history.Close()
	s.disks.known = make(map[view.ReplicaID]bool)
	s.jobs.open(s)
	s.admin.open(s)
	s.loud.open(s)
	return s.run(ctx)
}

func soakFolder(wanted string) (string, error) {
	if wanted != "" {
		return wanted, nil
	}
	return os.MkdirTemp("", "gaugeslip-soak-")
}

func (s *soak) now() time.Duration { return time.Since(s.zero) }

// find takes note of a broken promise.
func (s *soak) find(rule, format string, arguments ...any) {
	found := Finding{At: s.now(), Rule: rule, Detail: fmt.Sprintf(format, arguments...)}
	s.mutex.Lock()
	s.findings = append(s.findings, found)
	s.mutex.Unlock()
	s.tell("FOUND " + rule + ": " + found.Detail)
}

func (s *soak) tell(line string) {
	s.telling.Lock()
	defer s.telling.Unlock()
	told := fmt.Sprintf("%8.3f s  %s\n", s.now().Seconds(), line)
	_, _ = io.WriteString(s.history, told) // whoever lacks it has the logs
	if s.options.Table != nil {
		_, _ = io.WriteString(s.options.Table, told)
	}
}

// http makes a client whose connections go through the relay under a name.
func (s *soak) http(host string, timeout time.Duration) *http.Client {
	through := relay.Network{Relay: s.relay.Address(), Host: host}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: through.Dial, MaxIdleConnsPerHost: idlePerHost}}
}

// run plays the load and the troubles, heals everything, and looks at what is left.
func (s *soak) run(ctx context.Context) (*SoakReport, error) {
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.jobs.load(loading) })
	group.Go(func() { s.admin.run(loading) })
	group.Go(func() { s.loud.run(loading) })
	s.cluster.fleet.world.SetTrouble(s.cluster.plan.worldRules.MaxHold + mostTrouble)
	s.trouble(ctx)
	s.tell("all troubles are over")
	s.recover(ctx)
	s.cluster.fleet.world.SetTrouble(0)
	stop()
	group.Wait()
	s.finish(ctx)
	report := s.report()
	s.jobs.close()
	s.admin.close()
	return report, ctx.Err()
}

// ready puts the first configuration and waits until all dispatchers serve.
func (s *soak) ready(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	direct := newClients(s.cluster.frontends(), s.cluster.ledger, s.cluster.fleet.world)
	defer direct.wait()
	return s.cluster.configure(limited, direct)
}

// trouble runs the tracks of troubles.
func (s *soak) trouble(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.TroubleDuration)
	defer cancel()
	var group sync.WaitGroup
	for number := range s.options.ConcurrentTroubles {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)+firstTrackStream))
		group.Go(func() { s.track(limited, random) })
	}
	group.Wait()
}

func (s *soak) report() *SoakReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := &SoakReport{Seed: s.options.Seed, Troubles: maps.Clone(s.troubles), Jobs: s.jobs.count(), Changes: s.admin.count(),
		Unruly: int(s.loud.opened.Load()), Starts: s.cluster.fleet.world.Stats().Starts, Findings: slices.Clone(s.findings)}
	if newest, err := s.cluster.view(); err == nil {
		report.Epoch = newest.Epoch
	}
	s.keepOrRemove(report)
	return report
}

// keepOrRemove keeps the folder for whoever looks into a finding.
func (s *soak) keepOrRemove(report *SoakReport) {
	if len(report.Findings) > 0 || s.options.Dir != "" {
		report.Dir = s.cluster.plan.folder
		return
	}
	s.cluster.removeFolder = true
	for _, child := range s.cluster.children() {
		_ = os.Remove(filepath.Join(s.cluster.plan.folder, child.Name+".log"))
	}
}
