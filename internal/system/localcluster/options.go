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
	// LoadDuration is how long clients hand jobs in, 15 s by default; Patience is how long the run then waits for what isn't over, 20 s.
	LoadDuration, DrainTimeout time.Duration
	// Seed is that of the jobs, their times and the troubles' choices.
	Seed uint64
	// ConfigurationFile is the operator's configuration; empty for the built-in one.
	ConfigurationFile string
	Troubles          []Trouble
	// ProgramDir is the folder of the programs controlplane and dataplane.
	ProgramDir string
	// Relay is the address of the relay through which all processes reach each other; empty: directly. The folder of the programs has to
	// hold relayednode then.
	Relay string
	// GaugelabPath is this module's gaugelab program; it runs hollow dispatchers and profiled replicas. Only they need it.
	GaugelabPath string
	// ProfileDir is a folder for processor and heap profiles of the replicas; empty: none.
	ProfileDir string
	// ReplicaMemoryMb is what settings give replicas; 0 stands for that of the core machines.
	ReplicaMemoryMb float64
	// ReplicaMaxOpenFiles is how many descriptors settings give replicas; 0 stands for those of the core machines.
	ReplicaMaxOpenFiles int
	// ListRate is how many calls a second the platform's list takes, 30 by default, and ListPage how many workers a page holds, 50.
	ListRate float64
	ListPage int
	// Dir holds settings, disks and logs; empty for a temporary one that is removed at the end.
	Dir string
	// Table gets a line a second; nil: none.
	Table io.Writer
}

const (
	defaultReplicas    = 3
	defaultDispatchers = 3
	defaultWorkers     = 12
	defaultRate        = 5
	defaultFor         = 15 * time.Second
	defaultPatience    = 20 * time.Second

	mostReplicas = 9
	mostChildren = 200 // processes
	mostWorkers  = 2500
	mostRate     = 2000
	mostFor      = time.Hour
	mostPatience = 10 * time.Minute
)

func (o *Options) withDefaults() {
	orDefault(&o.Replicas, defaultReplicas)
	orDefault(&o.Dispatchers, defaultDispatchers)
	orDefault(&o.Workers, defaultWorkers)
	orDefault(&o.Rate, defaultRate)
	orDefault(&o.LoadDuration, defaultFor)
	orDefault(&o.DrainTimeout, defaultPatience)
	orDefault(&o.ListRate, platformRatePerS)
	orDefault(&o.ListPage, platformPageSize)
}

// check tells what this machine can't be asked for.
func (o *Options) check() error {
	switch {
	case o.Replicas < 1 || o.Replicas > mostReplicas:
		return fmt.Errorf("%d replicas: 1 to %d", o.Replicas, mostReplicas)
	case o.Dispatchers < 1 || o.Dispatchers > mostChildren:
		return fmt.Errorf("%d dispatchers: 1 to %d", o.Dispatchers, mostChildren)
	case o.HollowDispatchers < 0 || o.Dispatchers+o.HollowDispatchers > mostMachines:
		return fmt.Errorf("%d hollow dispatchers: %d at the most", o.HollowDispatchers, mostMachines-o.Dispatchers)
	case o.Workers < 1 || o.Workers > mostWorkers:
		return fmt.Errorf("%d workers: 1 to %d", o.Workers, mostWorkers)
	case o.Rate < 0 || o.Rate > mostRate:
		return fmt.Errorf("%v jobs a second: 0 to %d", o.Rate, mostRate)
	case o.LoadDuration < 0 || o.LoadDuration > mostFor:
		return fmt.Errorf("%v: 0s to %v", o.LoadDuration, mostFor)
	case o.ListRate <= 0 || o.ListPage <= 0:
		return fmt.Errorf("list of %v calls a second, pages of %d: more than 0", o.ListRate, o.ListPage)
	case o.DrainTimeout < 0 || o.DrainTimeout > mostPatience:
		return fmt.Errorf("patience of %v: 0s to %v", o.DrainTimeout, mostPatience)
	}
	return nil
}

// tolerance is how many replicas may be lost at once.
func (o *Options) tolerance() int { return (o.Replicas - 1) / 2 }
