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

// SoakOptions configures a soak run. Zero values select the defaults.
type SoakOptions struct {
	Seed        uint64
	Replicas    int     // 3
	Dispatchers int     // 3
	Workers     int     // 12
	Rate        float64 // jobs per second, 8 by default
	// Large raises the processes to about what one machine bears. It overrides the numbers above.
	Large           bool
	TroubleDuration time.Duration // how long troubles last, 15 s by default
	// ConcurrentTroubles is the number of troubles that may be in progress at the same time, 3 by default.
	ConcurrentTroubles int
	// ProgramDir is the directory that contains relayednode.
	ProgramDir string
	// Dir is the directory for settings, data and logs. It has to be empty. Without it, the run uses a temporary directory, which
	// is kept only if there are findings.
	Dir string
	// Table receives one line per trouble. Nil disables it.
	Table io.Writer
}

// troubleLogName is the file in the run's directory that lists its troubles and findings with their times.
const troubleLogName = "troubles.log"

const (
	defaultSoakRate     = 8
	defaultSoakDuration = 15 * time.Second
	defaultSoakTracks   = 3

	// The size of a large run.
	largeReplicas    = 7
	largeDispatchers = 120
	largeWorkers     = 60
	largeRate        = 20

	// recoveryTimeout is the time after the troubles within which all replicas have to be back in the chain.
	recoveryTimeout = 25 * time.Second
	// finishTimeout is the time after that within which all accepted jobs have to finish.
	finishTimeout = 40 * time.Second
	// settleTimeout is the time after that within which all machines have to report the newest configuration.
	settleTimeout    = 10 * time.Second
	soakPollInterval = 100 * time.Millisecond
)

// Finding is a violated guarantee.
type Finding struct {
	At     time.Duration
	Rule   string
	Detail string
}

// SoakReport is the result of a soak run.
type SoakReport struct {
	Seed      uint64
	Processes int
	Troubles  map[string]int // by kind
	Jobs      SoakJobs
	Changes   SoakChanges
	Unruly    int // connections of unruly clients
	Kept      int // requests that were answered on kept connections
	Starts    int // accepted by workers
	Epoch     uint64
	Findings  []Finding
	Dir       string // directory of settings, data and logs, if it was kept
}

// Print writes the report as text.
func (r *SoakReport) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d processes, %d findings; jobs %+v; configurations %+v; %d unruly connections; %d answers on kept ones; %d starts; epoch %d; troubles %s\n", r.Seed,
		r.Processes, len(r.Findings), r.Jobs, r.Changes, r.Unruly, r.Kept, r.Starts, r.Epoch, countsText(r.Troubles))
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "  %8.3f s %s: %s\n", finding.At.Seconds(), finding.Rule, finding.Detail)
	}
	if r.Dir != "" {
		fmt.Fprintf(out, "  logs: %s\n", r.Dir)
	}
}

// soakRun is a soak run in progress.
type soakRun struct {
	options   SoakOptions
	relay     *relay.Relay
	cluster   *Cluster
	startTime time.Time

	mutex      sync.Mutex
	findings   []Finding
	troubles   map[string]int
	logMutex   sync.Mutex
	troubleLog io.WriteCloser // file named troubleLogName

	childLocks map[*Child]*sync.Mutex // at most one trouble at a time applies to a process
	disks      diskLosses
	clients    soakClients
	operator   soakOperator
	unruly     unrulyClients
	kept       keptConnections
}

func (o *SoakOptions) withDefaults() {
	if o.Large {
		o.Replicas, o.Dispatchers, o.Workers, o.Rate = largeReplicas, largeDispatchers, largeWorkers, largeRate
	}
	orDefault(&o.Replicas, defaultReplicas)
	orDefault(&o.Dispatchers, defaultDispatchers)
	orDefault(&o.Workers, defaultWorkers)
	orDefault(&o.Rate, defaultSoakRate)
	orDefault(&o.TroubleDuration, defaultSoakDuration)
	orDefault(&o.ConcurrentTroubles, defaultSoakTracks)
}

// Soak runs a cluster of real processes under overlapping troubles, which are all drawn from the seed, and reports the violated
// guarantees. It leaves no process behind.
func Soak(ctx context.Context, options SoakOptions) (*SoakReport, error) {
	options.withDefaults()
	relayServer, err := relay.Start(options.Seed)
	if err != nil {
		return nil, err
	}
	defer relayServer.Close()
	dir, err := soakDir(options.Dir)
	if err != nil {
		return nil, err
	}
	cluster, err := Start(Options{Replicas: options.Replicas, Dispatchers: options.Dispatchers, Workers: options.Workers, Seed: options.Seed,
		ProgramDir: options.ProgramDir, Dir: dir, Relay: relayServer.Address()})
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	s := &soakRun{options: options, relay: relayServer, cluster: cluster, startTime: time.Now(), troubles: make(map[string]int),
		childLocks: make(map[*Child]*sync.Mutex)}
	for _, child := range cluster.children() {
		s.childLocks[child] = &sync.Mutex{}
	}
	if s.troubleLog, err = os.Create(filepath.Join(dir, troubleLogName)); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	defer s.troubleLog.Close()
	s.disks.known = make(map[view.ReplicaID]bool)
	s.clients.setUp(s)
	s.operator.setUp(s)
	s.unruly.setUp(s)
	s.kept.setUp(s)
	return s.run(ctx)
}

func soakDir(wanted string) (string, error) {
	if wanted != "" {
		return wanted, nil
	}
	return os.MkdirTemp("", "gaugeslip-soak-")
}

func (s *soakRun) now() time.Duration { return time.Since(s.startTime) }

// addFinding records a violated guarantee.
func (s *soakRun) addFinding(rule, format string, arguments ...any) {
	found := Finding{At: s.now(), Rule: rule, Detail: fmt.Sprintf(format, arguments...)}
	s.mutex.Lock()
	s.findings = append(s.findings, found)
	s.mutex.Unlock()
	s.logLine("FOUND " + rule + ": " + found.Detail)
}

func (s *soakRun) logLine(line string) {
	s.logMutex.Lock()
	defer s.logMutex.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", s.now().Seconds(), line)
	_, _ = io.WriteString(s.troubleLog, text) // the logs remain if this write fails
	if s.options.Table != nil {
		_, _ = io.WriteString(s.options.Table, text)
	}
}

// httpClient returns a client whose connections go through the relay under a host name.
func (s *soakRun) httpClient(host string, timeout time.Duration) *http.Client {
	network := relay.Network{Relay: s.relay.Address(), Host: host}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: maxIdlePerHost}}
}

// run runs the load and the troubles, waits for recovery, and makes the final checks.
func (s *soakRun) run(ctx context.Context) (*SoakReport, error) {
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	loadContext, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.clients.load(loadContext) })
	group.Go(func() { s.operator.run(loadContext) })
	group.Go(func() { s.unruly.run(loadContext) })
	group.Go(func() { s.kept.run(loadContext) })
	s.cluster.fleet.world.SetCancelAllowance(s.cluster.plan.worldSettings.MaxHold + maxTroubleDuration)
	s.runTroubles(ctx)
	s.logLine("all troubles are over")
	s.awaitRecovery(ctx)
	s.cluster.fleet.world.SetCancelAllowance(0)
	stop()
	group.Wait()
	s.runFinalChecks(ctx)
	report := s.report()
	s.clients.close()
	s.operator.close()
	return report, ctx.Err()
}

// ready sends the first configuration and waits until all dispatchers serve.
func (s *soakRun) ready(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	direct := newClients(s.cluster.frontendAddresses(), s.cluster.tracker, s.cluster.fleet.world)
	defer direct.wait()
	return s.cluster.configure(limited, direct)
}

// runTroubles runs the tracks of troubles concurrently.
func (s *soakRun) runTroubles(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.TroubleDuration)
	defer cancel()
	var group sync.WaitGroup
	for number := range s.options.ConcurrentTroubles {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)+firstTrackStream))
		group.Go(func() { s.runTrack(limited, random) })
	}
	group.Wait()
}

func (s *soakRun) report() *SoakReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := &SoakReport{Seed: s.options.Seed, Processes: len(s.cluster.children()), Troubles: maps.Clone(s.troubles), Jobs: s.clients.count(), Changes: s.operator.count(),
		Unruly: int(s.unruly.opened.Load()), Kept: int(s.kept.answered.Load()), Starts: s.cluster.fleet.world.Stats().Starts, Findings: slices.Clone(s.findings)}
	if newest, err := s.cluster.newestView(); err == nil {
		report.Epoch = newest.Epoch
	}
	s.keepOrRemoveDir(report)
	return report
}

// keepOrRemoveDir keeps the directory if there are findings to investigate or if it was named in the options.
func (s *soakRun) keepOrRemoveDir(report *SoakReport) {
	if len(report.Findings) > 0 || s.options.Dir != "" {
		report.Dir = s.cluster.plan.dir
		return
	}
	s.cluster.removeDir = true
	for _, child := range s.cluster.children() {
		_ = os.Remove(filepath.Join(s.cluster.plan.dir, child.Name+".log"))
	}
}
