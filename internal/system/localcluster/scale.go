package localcluster

import (
	"context"
	"fmt"
	"io"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/clusterconfig"
)

// The load of a scale run, relative to the number of workers. It is modelled on a deployment with 2,300 workers, a peak of 250
// starts per second and 20,000 running tasks.
const (
	startsPerSecondPerWorker = 250.0 / 2300
	runningPerWorker         = 20_000.0 / 2300
	workersPerDispatcher     = 10
	minDispatchers           = 6
	fillTimeout              = time.Minute
	warmUpDuration           = 3 * time.Second
	contactTimeout           = 30 * time.Second
	fillJobsPerSecond        = 20
	notInForce               = -1 // reported in place of seconds if the configuration was not in force everywhere in time
)

// ScaleOptions configures a scale run of one size.
type ScaleOptions struct {
	Options
	// Window is how long the steady load is measured.
	Window time.Duration
}

// SizeReport is the result for a cluster of one size.
type SizeReport struct {
	Report
	// ContactSeconds is the time from the configuration until the head has contacted every worker.
	ContactSeconds float64 `json:"contact_s"`
	// FillSeconds is the time until the resident tasks had started, Resident is how many of them had started, and FillStartsPerS is
	// the rate of their starts.
	FillSeconds    float64 `json:"fill_s"`
	Resident       int     `json:"resident"`
	ResidentWanted int     `json:"resident_wanted"`
	FillStartsPerS float64 `json:"fill_starts_s"`
	// ConfigurationSeconds is the time from sending a changed configuration until it was in force at the last dispatcher. It is -1 if
	// that did not happen within the time limit.
	ConfigurationSeconds float64 `json:"configuration_s"`
	WindowSeconds        float64 `json:"window_s"`
}

// RunSize runs a cluster with the number of workers in the options. It starts resident tasks, which outlast the run, and then measures
// a steady load.
func RunSize(ctx context.Context, options ScaleOptions) (*SizeReport, error) {
	options.Rate = startsPerSecondPerWorker * float64(options.Workers) / steadyTasks
	options.LoadDuration = options.Window
	dispatchers := max(minDispatchers, options.Workers/workersPerDispatcher)
	options.withDefaults()
	options.HollowDispatchers = max(0, dispatchers-options.Dispatchers)
	s, err := newSession(options.Options)
	if err != nil {
		return nil, err
	}
	clientContext, cancel := context.WithCancel(ctx)
	defer s.close(cancel)
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	s.loadStart = s.cluster.tracker.now()
	size := &SizeReport{ResidentWanted: int(runningPerWorker * float64(options.Workers)), WindowSeconds: options.Window.Seconds()}
	s.awaitContact(ctx, size)
	if err := s.startResidentTasks(clientContext, size); err != nil {
		return nil, err
	}
	return size, s.measure(clientContext, cancel, size)
}

// awaitContact waits until the workers have received as many holds as there are workers.
func (s *session) awaitContact(ctx context.Context, size *SizeReport) {
	limited, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	for s.cluster.fleet.world.Stats().Holds < s.options.Workers && pause.For(limited, pollInterval) == nil {
	}
	size.ContactSeconds = (s.cluster.tracker.now() - s.loadStart).Seconds()
	s.logLine("all workers were called on, or patience is over")
}

// startResidentTasks submits the tasks that outlast the run, causes the troubles meanwhile, and waits for the tasks to start.
func (s *session) startResidentTasks(ctx context.Context, size *SizeReport) error {
	start := s.cluster.tracker.now()
	troubles := &troubleInjector{cluster: s.cluster, logLine: s.logLine, configVersion: s.cluster.configuration.parsed.Version}
	troubleResult := make(chan error, 1)
	go func() { troubleResult <- troubles.run(ctx, s.options.Troubles) }()
	startsBefore := s.cluster.fleet.world.Stats().Starts
	limited, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	jobs := (size.ResidentWanted + residentTasks - 1) / residentTasks
	for range jobs {
		if err := s.submitNext(ctx, s.residentJob); err != nil {
			return err
		}
		_ = pause.For(limited, time.Second/fillJobsPerSecond)
	}
	started := 0
	for limited.Err() == nil {
		if started = s.cluster.fleet.world.Stats().Starts - startsBefore; started >= size.ResidentWanted {
			break
		}
		_ = pause.For(limited, pollInterval)
	}
	size.Resident = started
	size.FillSeconds = (s.cluster.tracker.now() - start).Seconds()
	size.FillStartsPerS = float64(started) / size.FillSeconds
	s.logLine(fmt.Sprintf("%d of %d lasting tasks started", started, size.ResidentWanted))
	return firstError(<-troubleResult, ctx.Err())
}

func (s *session) residentJob() (jobKind, *clusterconfig.Route) {
	return kindResident, s.nextRoute()
}

func (s *session) steadyJob() (jobKind, *clusterconfig.Route) {
	return kindSteady, s.nextRoute()
}

// nextRoute assigns jobs to services in turn, as workers are assigned.
func (s *session) nextRoute() *clusterconfig.Route {
	config := s.cluster.configuration.parsed
	service := config.Services[s.submitted%len(config.Services)].Name
	for i := range config.Routes {
		if config.Routes[i].Backend == service {
			return &config.Routes[i]
		}
	}
	return &config.Routes[0]
}

// measure runs the steady load, samples the usage after a warm-up, and creates the report.
func (s *session) measure(ctx context.Context, cancel context.CancelFunc, size *SizeReport) error {
	if err := s.load(ctx, s.options.Rate, warmUpDuration, s.steadyJob); err != nil {
		return err
	}
	s.loadStart = s.cluster.tracker.now()
	before, orders := s.cluster.sampleUsage(), s.cluster.sampleOrders()
	if err := s.load(ctx, s.options.Rate, s.options.LoadDuration, s.steadyJob); err != nil {
		return err
	}
	after, orderEnd := s.cluster.sampleUsage(), s.cluster.sampleOrders()
	s.logLine("measured")
	s.awaitJobs(ctx)
	seconds, err := s.measureConfiguration(ctx)
	if err != nil {
		s.logLine(err.Error())
		seconds = notInForce
	}
	size.ConfigurationSeconds = seconds
	size.Report = *s.report(before, after, orders.until(orderEnd), cancel)
	return nil
}

// measureConfiguration adds a route and returns the seconds until the last dispatcher answers for it.
func (s *session) measureConfiguration(ctx context.Context) (float64, error) {
	current := s.cluster.configuration.parsed.Version
	body, err := s.cluster.configuration.withProbeRoute(current + 1)
	if err != nil {
		return 0, err
	}
	limited, cancel := context.WithTimeout(ctx, reconfigureTimeout)
	defer cancel()
	start := time.Now()
	operator := newOperator(s.cluster.controlAddresses())
	defer operator.close()
	if err := operator.replace(limited, current, body); err != nil {
		return 0, err
	}
	if err := s.clients.awaitAllReady(limited, probeHost, probePrefix); err != nil {
		return 0, fmt.Errorf("a dispatcher does not have the configuration after %v: %w", reconfigureTimeout, err)
	}
	return time.Since(start).Seconds(), nil
}

// PrintSizes writes a table with one line per size.
func PrintSizes(out io.Writer, sizes []*SizeReport) error {
	printRoleTable(out, sizes)
	return printSizeTable(out, sizes)
}
