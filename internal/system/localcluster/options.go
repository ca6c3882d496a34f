package localcluster

import (
	"fmt"
	"io"
	"time"
)

// Options say how large a cluster is, what its clients do and what goes wrong. Zero values stand for the defaults.
type Options struct {
	Replicas    int // 3
	Dispatchers int // 3, each a process of its own
	// HollowDispatchers run beside them, all in one process.
	HollowDispatchers int
	Workers           int     // 12
	Rate              float64 // jobs a second, 5 by default
	// For is how long clients hand jobs in, 15 s by default; Patience is how long the run then waits for what isn't over, 20 s.
	For, Patience time.Duration
	// Seed is that of the jobs, their times and the troubles' choices.
	Seed uint64
	// ConfigurationFile is the operator's configuration; empty for the built-in one.
	ConfigurationFile string
	Troubles          []Trouble
	// Programs is the folder of the programs controlplane and dataplane.
	Programs string
	// Relay is the address of the relay through which all processes reach each other; empty: directly. The folder of the programs has to
	// hold relayednode then.
	Relay string
	// Self is this module's gaugelab program; it runs hollow dispatchers and profiled replicas. Only they need it.
	Self string
	// Profiles is a folder for processor and heap profiles of the replicas; empty: none.
	Profiles string
	// ReplicaMemoryMb is what settings give replicas; 0 stands for that of the core machines.
	ReplicaMemoryMb float64
	// ReplicaFiles is how many descriptors settings give replicas; 0 stands for those of the core machines.
	ReplicaFiles int
	// ListRate is how many calls a second the platform's list takes, 30 by default, and ListPage how many workers a page holds, 50.
	ListRate float64
	ListPage int
	// Folder holds settings, disks and logs; empty for a temporary one that is removed at the end.
	Folder string
	// Table gets a line a second; nil: none.
	Table io.Writer
}

const (
	defaultReplicas     = 3
	defaultDispatchers  = 3
	defaultWorkers      = 12
	defaultRate         = 5
	defaultDuration     = 15 * time.Second
	defaultDrainTimeout = 20 * time.Second

	maxReplicas     = 9
	maxProcesses    = 200 // processes
	maxWorkers      = 2500
	maxRate         = 2000
	maxDuration     = time.Hour
	maxDrainTimeout = 10 * time.Minute
)

func (o *Options) withDefaults() {
	orDefault(&o.Replicas, defaultReplicas)
	orDefault(&o.Dispatchers, defaultDispatchers)
	orDefault(&o.Workers, defaultWorkers)
	orDefault(&o.Rate, defaultRate)
	orDefault(&o.For, defaultDuration)
	orDefault(&o.Patience, defaultDrainTimeout)
	orDefault(&o.ListRate, platformRatePerS)
	orDefault(&o.ListPage, platformPageSize)
}

// validate tells what this machine can't be asked for.
func (o *Options) validate() error {
	switch {
	case o.Replicas < 1 || o.Replicas > maxReplicas:
		return fmt.Errorf("%d replicas: 1 to %d", o.Replicas, maxReplicas)
	case o.Dispatchers < 1 || o.Dispatchers > maxProcesses:
		return fmt.Errorf("%d dispatchers: 1 to %d", o.Dispatchers, maxProcesses)
	case o.HollowDispatchers < 0 || o.Dispatchers+o.HollowDispatchers > maxDispatchers:
		return fmt.Errorf("%d hollow dispatchers: %d at the most", o.HollowDispatchers, maxDispatchers-o.Dispatchers)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return fmt.Errorf("%d workers: 1 to %d", o.Workers, maxWorkers)
	case o.Rate < 0 || o.Rate > maxRate:
		return fmt.Errorf("%v jobs a second: 0 to %d", o.Rate, maxRate)
	case o.For < 0 || o.For > maxDuration:
		return fmt.Errorf("%v: 0s to %v", o.For, maxDuration)
	case o.ListRate <= 0 || o.ListPage <= 0:
		return fmt.Errorf("list of %v calls a second, pages of %d: more than 0", o.ListRate, o.ListPage)
	case o.Patience < 0 || o.Patience > maxDrainTimeout:
		return fmt.Errorf("patience of %v: 0s to %v", o.Patience, maxDrainTimeout)
	}
	return nil
}

// tolerance is how many replicas may be lost at once.
func (o *Options) tolerance() int { return (o.Replicas - 1) / 2 }
