package localcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/clusterconfig"
)

const (
	readyTimeout  = 40 * time.Second
	tableInterval = time.Second
	pollInterval  = 200 * time.Millisecond
	// lostAfter is how long a due job may have no running task at the end of a run before it counts as lost.
	lostAfter = 3 * time.Second
	// arrivalStream is the random number stream for the submission times of jobs.
	arrivalStream = 2
)

// session is one cluster with its clients.
type session struct {
	options    Options
	cluster    *Cluster
	clients    *clients
	generator  *jobGenerator
	random     *rand.Rand
	loadStart  time.Duration // when the load began
	submitted  int
	tableMutex sync.Mutex // serializes lines of the table, which troubles write to as well
}

func newSession(options Options) (*session, error) {
	cluster, err := Start(options)
	if err != nil {
		return nil, err
	}
	options = cluster.options
	return &session{
		options:   options,
		cluster:   cluster,
		clients:   newClients(cluster.frontendAddresses(), cluster.tracker, cluster.fleet.world),
		generator: newJobGenerator(options.Seed),
		random:    rand.New(rand.NewPCG(options.Seed, arrivalStream)),
	}, nil
}

// configure sends the configuration and waits until all dispatchers serve.
func (s *session) configure(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.cluster.configure(limited, s.clients); err != nil {
		return fmt.Errorf("cluster not ready after %v: %w", readyTimeout, err)
	}
	return nil
}

// close stops the clients before the cluster, so that no client outlives it.
func (s *session) close(cancel context.CancelFunc) {
	cancel()
	s.clients.wait()
	s.cluster.Stop()
}

// Run starts a cluster, runs load and troubles on it, and returns a report. It leaves no process behind.
func Run(ctx context.Context, options Options) (*Report, error) {
	s, err := newSession(options)
	if err != nil {
		return nil, err
	}
	clientContext, cancel := context.WithCancel(ctx)
	defer s.close(cancel)
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	return s.runLoad(clientContext, cancel)
}

// runLoad runs clients, troubles and the table, waits for the jobs, and creates the report.
func (s *session) runLoad(ctx context.Context, cancel context.CancelFunc) (*Report, error) {
	before, orders := s.cluster.sampleUsage(), s.cluster.sampleOrders()
	s.loadStart = s.cluster.tracker.now()
	var group sync.WaitGroup
	tableContext, stopTable := context.WithCancel(ctx)
	group.Go(func() { s.table(tableContext) })
	troubles := &troubleInjector{cluster: s.cluster, logLine: s.logLine, configVersion: s.cluster.configuration.parsed.Version}
	var fault error
	troublesDone := make(chan struct{})
	go func() {
		defer close(troublesDone)
		fault = troubles.run(ctx, s.options.Troubles)
	}()
	err := s.load(ctx, s.options.Rate, s.options.LoadDuration, s.mixedJob)
	<-troublesDone
	if err == nil {
		err = fault
	}
	if err == nil {
		s.awaitJobs(ctx)
	}
	after, orderEnd := s.cluster.sampleUsage(), s.cluster.sampleOrders()
	stopTable()
	group.Wait()
	if err != nil || ctx.Err() != nil {
		return nil, firstError(err, ctx.Err())
	}
	return s.report(before, after, orders.until(orderEnd), cancel), nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// load submits jobs at random times for the duration span.
func (s *session) load(ctx context.Context, rate float64, span time.Duration, next func() (jobKind, *clusterconfig.Route)) error {
	end := s.cluster.tracker.now() + span
	due := s.cluster.tracker.now()
	for rate > 0 {
		due += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if due >= end {
			break
		}
		if wait := due - s.cluster.tracker.now(); wait > 0 && pause.For(ctx, wait) != nil {
			return ctx.Err()
		}
		if err := s.submitNext(ctx, next); err != nil {
			return err
		}
	}
	_ = pause.For(ctx, end-s.cluster.tracker.now())
	return ctx.Err()
}

func (s *session) submitNext(ctx context.Context, next func() (jobKind, *clusterconfig.Route)) error {
	kind, route := next()
	draft, err := s.generator.generate(kind, route)
	if err != nil {
		return err
	}
	s.submitted++
	s.clients.submit(ctx, draft, kind)
	return nil
}

// mixedJob picks a random route, and the kind of job that belongs to it.
func (s *session) mixedJob() (jobKind, *clusterconfig.Route) {
	routes := s.cluster.configuration.parsed.Routes
	number := s.random.IntN(len(routes))
	return jobKind(number % int(kindSteady)), &routes[number]
}

// awaitJobs waits until every accepted job is finished or the time for that is over.
func (s *session) awaitJobs(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.DrainTimeout)
	defer cancel()
	for s.cluster.tracker.unfinished() > 0 && pause.For(limited, pollInterval) == nil {
	}
}

func (s *session) logLine(line string) {
	s.tableMutex.Lock()
	defer s.tableMutex.Unlock()
	if s.options.Table != nil {
		fmt.Fprintf(s.options.Table, "%6.1f s  %s\n", (s.cluster.tracker.now() - s.loadStart).Seconds(), line)
	}
}

// table writes one line per second.
func (s *session) table(ctx context.Context) {
	if s.options.Table == nil {
		return
	}
	for pause.For(ctx, tableInterval) == nil {
		s.logLine(s.cluster.statusLine())
	}
}

// statusLine summarizes the state of the cluster.
func (c *Cluster) statusLine() string {
	jobs := c.tracker.count(false)
	chain := "no head"
	if newest, err := c.newestView(); err == nil {
		chain = fmt.Sprintf("epoch %d, head %s, chain of %d", newest.Epoch, replicaName(c.replicaIndex(newest.Head().Address)), len(newest.Chain))
	}
	return fmt.Sprintf("%-38s jobs: %d sent, %d accepted, %d done; %d starts, %d broken rules", chain, jobs.Sent, jobs.Accepted, jobs.Done,
		jobs.Starts, len(c.fleet.world.Violations()))
}

// report creates the report. It ends the processes and then reads the disk of one replica.
func (s *session) report(before, after usageSample, orders Orders, cancel context.CancelFunc) *Report {
	c := s.cluster
	report := &Report{
		Seed:        s.options.Seed,
		Replicas:    s.options.Replicas,
		Dispatchers: s.options.Dispatchers + s.options.HollowDispatchers,
		Workers:     s.options.Workers,
		Seconds:     s.options.LoadDuration.Seconds(),
		Jobs:        c.tracker.count(true),
		Latencies:   c.tracker.latencies(s.loadStart),
		Orders:      orders,
	}
	if newest, err := c.newestView(); err == nil {
		report.Epoch = newest.Epoch
	}
	report.Roles = c.roleCosts(before, after, c.headIndex())
	violations := c.fleet.world.Violations()
	if report.Jobs.Lost > 0 {
		violations = append(violations, c.fleet.world.Lost(lostAfter)...)
	}
	report.addViolations(violations)
	for _, child := range c.children() {
		_, crashes := child.crashSummary()
		report.Crashes += crashes
	}
	cancel()
	s.clients.wait()
	c.endProcesses(c.children())
	report.Disk = c.readFirstDisk()
	return report
}

// readFirstDisk reads the disk of the first replica whose disk is readable.
func (c *Cluster) readFirstDisk() DiskState {
	for i := range c.replicas {
		if disk, err := readDisk(c.plan.dataDir(i)); err == nil {
			return disk
		}
	}
	return DiskState{}
}
