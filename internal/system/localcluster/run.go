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
	readyLimit = 40 * time.Second
	tableEvery = time.Second
	waitEvery  = 200 * time.Millisecond
	// lostSpan is how long a job may have nothing running though its turn has come, at the end of a run.
	lostSpan = 3 * time.Second
	// arrivalStream is the stream of random numbers of the jobs' times.
	arrivalStream = 2
)

// session is one cluster with its clients.
type session struct {
	options Options
	cluster *Cluster
	clients *clients
	drafter *drafter
	random  *rand.Rand
	from    time.Duration // of the load
	jobs    int
	telling sync.Mutex // of the table: troubles write to it too
}

func newSession(options Options) (*session, error) {
	cluster, err := Start(options)
	if err != nil {
		return nil, err
	}
	options = cluster.options
	return &session{
		options: options,
		cluster: cluster,
		clients: newClients(cluster.frontends(), cluster.ledger, cluster.fleet.world),
		drafter: newDrafter(options.Seed),
		random:  rand.New(rand.NewPCG(options.Seed, arrivalStream)),
	}, nil
}

// ready puts the configuration and waits until all dispatchers serve.
func (s *session) ready(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := s.cluster.configure(limited, s.clients); err != nil {
		return fmt.Errorf("the cluster isn't ready after %v: %w", readyLimit, err)
	}
	return nil
}

// close ends the clients first, so that none of them outlives the cluster.
func (s *session) close(cancel context.CancelFunc) {
	cancel()
	s.clients.wait()
	s.cluster.Stop()
}

// Run plays one cluster and tells what came of it. It ends by itself, and leaves no process behind.
func Run(ctx context.Context, options Options) (*Report, error) {
	s, err := newSession(options)
	if err != nil {
		return nil, err
	}
	following, cancel := context.WithCancel(ctx)
	defer s.close(cancel)
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	return s.play(following, cancel)
}

// play lets clients, troubles and the table run, waits for the jobs, and makes the report.
func (s *session) play(ctx context.Context, cancel context.CancelFunc) (*Report, error) {
	before, orders := s.cluster.look(), s.cluster.lookAtOrders()
	s.from = s.cluster.ledger.now()
	var group sync.WaitGroup
	showing, stopTable := context.WithCancel(ctx)
	group.Go(func() { s.table(showing) })
	troubles := &troublemaker{cluster: s.cluster, tell: s.tell, version: s.cluster.configuration.parsed.Version}
	var fault error
	troubled := make(chan struct{})
	go func() {
		defer close(troubled)
		fault = troubles.run(ctx, s.options.Troubles)
	}()
	err := s.load(ctx, s.options.Rate, s.options.LoadDuration, s.mixed)
	<-troubled
	if err == nil {
		err = fault
	}
	if err == nil {
		s.awaitJobs(ctx)
	}
	after, orderEnd := s.cluster.look(), s.cluster.lookAtOrders()
	stopTable()
	group.Wait()
	if err != nil || ctx.Err() != nil {
		return nil, firstOf(err, ctx.Err())
	}
	return s.report(before, after, orders.until(orderEnd), cancel), nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// load hands jobs in at random times for a while.
func (s *session) load(ctx context.Context, rate float64, span time.Duration, next func() (jobKind, *clusterconfig.Route)) error {
	end := s.cluster.ledger.now() + span
	due := s.cluster.ledger.now()
	for rate > 0 {
		due += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if due >= end {
			break
		}
		if wait := due - s.cluster.ledger.now(); wait > 0 && pause.For(ctx, wait) != nil {
			return ctx.Err()
		}
		if err := s.hand(ctx, next); err != nil {
			return err
		}
	}
	_ = pause.For(ctx, end-s.cluster.ledger.now())
	return ctx.Err()
}

func (s *session) hand(ctx context.Context, next func() (jobKind, *clusterconfig.Route)) error {
	kind, route := next()
	drawn, err := s.drafter.draw(kind, route)
	if err != nil {
		return err
	}
	s.jobs++
	s.clients.submit(ctx, drawn, kind)
	return nil
}

// mixed gives each queue a kind of job in turn.
func (s *session) mixed() (jobKind, *clusterconfig.Route) {
	routes := s.cluster.configuration.parsed.Routes
	number := s.random.IntN(len(routes))
	return jobKind(number % int(kindSteady)), &routes[number]
}

// awaitJobs waits until every accepted job is over, or patience is.
func (s *session) awaitJobs(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.DrainTimeout)
	defer cancel()
	for s.cluster.ledger.waiting() > 0 && pause.For(limited, waitEvery) == nil {
	}
}

func (s *session) tell(line string) {
	s.telling.Lock()
	defer s.telling.Unlock()
	if s.options.Table != nil {
		fmt.Fprintf(s.options.Table, "%6.1f s  %s\n", (s.cluster.ledger.now() - s.from).Seconds(), line)
	}
}

// table writes a line a second.
func (s *session) table(ctx context.Context) {
	if s.options.Table == nil {
		return
	}
	for pause.For(ctx, tableEvery) == nil {
		s.tell(s.cluster.line())
	}
}

// line tells how the cluster stands.
func (c *Cluster) line() string {
	jobs := c.ledger.count(false)
	chain := "no head"
	if newest, err := c.view(); err == nil {
		chain = fmt.Sprintf("epoch %d, head %s, chain of %d", newest.Epoch, replicaName(c.replicaAt(newest.Head().Address)), len(newest.Chain))
	}
	return fmt.Sprintf("%-38s jobs: %d sent, %d accepted, %d done; %d starts, %d broken rules", chain, jobs.Sent, jobs.Accepted, jobs.Done,
		jobs.Starts, len(c.fleet.world.Violations()))
}

// report sums up, ends the processes and reads a disk.
func (s *session) report(before, after usages, orders Orders, cancel context.CancelFunc) *Report {
	c := s.cluster
	report := &Report{
		Seed:        s.options.Seed,
		Replicas:    s.options.Replicas,
		Dispatchers: s.options.Dispatchers + s.options.HollowDispatchers,
		Workers:     s.options.Workers,
		Seconds:     s.options.LoadDuration.Seconds(),
		Jobs:        c.ledger.count(true),
		Latencies:   c.ledger.latencies(s.from),
		Orders:      orders,
	}
	if newest, err := c.view(); err == nil {
		report.Epoch = newest.Epoch
	}
	report.Roles = c.costs(before, after, c.head())
	violations := c.fleet.world.Violations()
	if report.Jobs.Lost > 0 {
		violations = append(violations, c.fleet.world.Lost(lostSpan)...)
	}
	report.noteRules(violations)
	for _, child := range c.children() {
		_, crashes := child.crashed()
		report.Crashes += crashes
	}
	cancel()
	s.clients.wait()
	c.end(c.children())
	report.Disk = c.readAnyDisk()
	return report
}

// readAnyDisk reads the disk of the first replica that has one to be read.
func (c *Cluster) readAnyDisk() DiskState {
	for i := range c.replicas {
		if held, err := readDisk(c.plan.dataFolder(i)); err == nil {
			return held
		}
	}
	return DiskState{}
}
