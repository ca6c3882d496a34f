package localcluster

import (
	"context"
	"fmt"
	"io"
	"time"

	"gaugeslip/internal/pause"
	"gaugeslip/internal/system/clusterconfig"
)

// The load of a scale run, each as a share of the workers: that of a deployment with 2,300 workers, 250 starts a second at its
// peak and 20,000 tasks that run.
const (
	startsASecondPerWorker = 250.0 / 2300
	runningPerWorker       = 20_000.0 / 2300
	workersADispatcher     = 10
	leastDispatchers       = 6
	fillLimit              = time.Minute
	settleSpan             = 3 * time.Second
	contactLimit           = 30 * time.Second
	fillJobsASecond        = 20
	notInForce             = -1 // seconds: a configuration that wasn't in force everywhere when patience was over
)

// ScaleOptions say how a scale run plays each size.
type ScaleOptions struct {
	Options
	// Window is how long the steady load is measured.
	Window time.Duration
}

// SizeReport is what a cluster of one size came to.
type SizeReport struct {
	Report
	// ContactSeconds is the time from the configuration until the head has been in touch with every worker.
	ContactSeconds float64 `json:"contact_s"`
	// FillSeconds is the time until the tasks that outlast the run had started, Resident how many had, FillStartsPerS their rate.
	FillSeconds    float64 `json:"fill_s"`
	Resident       int     `json:"resident"`
	Wanted         int     `json:"resident_wanted"`
	FillStartsPerS float64 `json:"fill_starts_s"`
	// ConfigurationSeconds is the time from the send of a changed configuration until the last dispatcher had it in force;
	// -1: it hadn't when patience was over.
	ConfigurationSeconds float64 `json:"configuration_s"`
	WindowSeconds        float64 `json:"window_s"`
}

// RunSize plays a cluster of the options' number of workers: tasks that outlast the run, then a steady load that is measured.
func RunSize(ctx context.Context, options ScaleOptions) (*SizeReport, error) {
	options.Rate = startsASecondPerWorker * float64(options.Workers) / steadyTasks
	options.LoadDuration = options.Window
	dispatchers := max(leastDispatchers, options.Workers/workersADispatcher)
	options.withDefaults()
	options.HollowDispatchers = max(0, dispatchers-options.Dispatchers)
	s, err := newSession(options.Options)
	if err != nil {
		return nil, err
	}
	following, cancel := context.WithCancel(ctx)
	defer s.close(cancel)
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	s.from = s.cluster.ledger.now()
	size := &SizeReport{Wanted: int(runningPerWorker * float64(options.Workers)), WindowSeconds: options.Window.Seconds()}
	s.awaitContact(ctx, size)
	if err := s.fill(following, size); err != nil {
		return nil, err
	}
	return size, s.measure(following, cancel, size)
}

// awaitContact waits until every worker has been called on.
func (s *session) awaitContact(ctx context.Context, size *SizeReport) {
	limited, cancel := context.WithTimeout(ctx, contactLimit)
	defer cancel()
	for s.cluster.fleet.world.Stats().Holds < s.options.Workers && pause.For(limited, waitEvery) == nil {
	}
	size.ContactSeconds = (s.cluster.ledger.now() - s.from).Seconds()
	s.tell("all workers were called on, or patience is over")
}

// fill hands in the tasks that outlast the run, has the troubles strike meanwhile, and waits for the starts.
func (s *session) fill(ctx context.Context, size *SizeReport) error {
	begun := s.cluster.ledger.now()
	troubles := &troublemaker{cluster: s.cluster, tell: s.tell, version: s.cluster.configuration.parsed.Version}
	troubled := make(chan error, 1)
	go func() { troubled <- troubles.run(ctx, s.options.Troubles) }()
	first := s.cluster.fleet.world.Stats().Starts
	limited, cancel := context.WithTimeout(ctx, fillLimit)
	defer cancel()
	jobs := (size.Wanted + residentTasks - 1) / residentTasks
	for range jobs {
		if err := s.hand(ctx, s.resident); err != nil {
			return err
		}
		_ = pause.For(limited, time.Second/fillJobsASecond)
	}
	started := 0
	for limited.Err() == nil {
		if started = s.cluster.fleet.world.Stats().Starts - first; started >= size.Wanted {
			break
		}
		_ = pause.For(limited, waitEvery)
	}
	size.Resident = started
	size.FillSeconds = (s.cluster.ledger.now() - begun).Seconds()
	size.FillStartsPerS = float64(started) / size.FillSeconds
	s.tell(fmt.Sprintf("%d of %d lasting tasks started", started, size.Wanted))
	return firstOf(<-troubled, ctx.Err())
}

func (s *session) resident() (jobKind, *clusterconfig.Route) {
	return kindResident, s.routeInTurn()
}

func (s *session) steady() (jobKind, *clusterconfig.Route) {
	return kindSteady, s.routeInTurn()
}

// routeInTurn spreads jobs over the services as the workers are.
func (s *session) routeInTurn() *clusterconfig.Route {
	config := s.cluster.configuration.parsed
	service := config.Services[s.jobs%len(config.Services)].Name
	for i := range config.Routes {
		if config.Routes[i].Backend == service {
			return &config.Routes[i]
		}
	}
	return &config.Routes[0]
}

// measure plays the steady load, looks at its second part, and makes the report.
func (s *session) measure(ctx context.Context, cancel context.CancelFunc, size *SizeReport) error {
	if err := s.load(ctx, s.options.Rate, settleSpan, s.steady); err != nil {
		return err
	}
	s.from = s.cluster.ledger.now()
	before, orders := s.cluster.look(), s.cluster.lookAtOrders()
	if err := s.load(ctx, s.options.Rate, s.options.LoadDuration, s.steady); err != nil {
		return err
	}
	after, orderEnd := s.cluster.look(), s.cluster.lookAtOrders()
	s.tell("measured")
	s.awaitJobs(ctx)
	seconds, err := s.timeConfiguration(ctx)
	if err != nil {
		s.tell(err.Error())
		seconds = notInForce
	}
	size.ConfigurationSeconds = seconds
	size.Report = *s.report(before, after, orders.until(orderEnd), cancel)
	return nil
}

// timeConfiguration adds a queue and gives the seconds until the last dispatcher answers for it.
func (s *session) timeConfiguration(ctx context.Context) (float64, error) {
	current := s.cluster.configuration.parsed.Version
	body, err := s.cluster.configuration.withProbe(current + 1)
	if err != nil {
		return 0, err
	}
	limited, cancel := context.WithTimeout(ctx, reconfigureLimit)
	defer cancel()
	begun := time.Now()
	operator := newOperator(s.cluster.controls())
	defer operator.close()
	if err := operator.replace(limited, current, body); err != nil {
		return 0, err
	}
	if err := s.clients.readyAll(limited, probeHost, probePrefix); err != nil {
		return 0, fmt.Errorf("a dispatcher hasn't the configuration after %v: %w", reconfigureLimit, err)
	}
	return time.Since(begun).Seconds(), nil
}

// PrintSizes writes a table with a line for each size.
func PrintSizes(out io.Writer, sizes []*SizeReport) error {
	printRoleTable(out, sizes)
	return printSizeTable(out, sizes)
}
