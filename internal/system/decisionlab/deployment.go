package decisionlab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Deployment describes the workers, the jobs that arrive, and the faults.
type Deployment struct {
	Name string `toml:"name"`
	// Seconds is the time during which jobs are submitted.
	Seconds float64 `toml:"seconds"`
	// Load is the submitted work as a fraction of what all workers' cores can do in that time.
	Load     float64       `toml:"load"`
	Workers  []WorkerClass `toml:"workers"`
	Jobs     []JobClass    `toml:"jobs"`
	Delays   Delays        `toml:"delays"`
	Troubles []Trouble     `toml:"troubles"`
}

// WorkerClass describes a number of identical workers.
type WorkerClass struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryGB float64 `toml:"memory_gb"`
	Racks    int     `toml:"racks"`
	Label    string  `toml:"label"`
	// Speed is the relative speed of work there; 0 means 1.
	Speed float64 `toml:"speed"`
}

// JobClass describes the jobs of one queue. Spread, Uneven and HintError are standard deviations of logarithms.
type JobClass struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of all jobs
	Priority  int     `toml:"priority"`
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"` // fraction of the worth for a job that takes up to three objectives
	TargetMs  float64 `toml:"target_ms"`
	Extension float64 `toml:"extension"` // factor on the job's critical path, which is added to the target
	Steps     float64 `toml:"steps"`
	Width     float64 `toml:"width"` // tasks per step
	Seconds   float64 `toml:"seconds"`
	Spread    float64 `toml:"spread"`      // of a step's task time
	Uneven    float64 `toml:"uneven"`      // between the tasks of a step
	HintError float64 `toml:"hint_error"`  // of the clients' estimates of a step's task time
	Cores     float64 `toml:"cores"`       // of a task, in the mean
	MemoryGB  float64 `toml:"memory_gb"`   // of a task, in the mean
	Near      float64 `toml:"near"`        // share of steps whose data are in one rack
	Labelled  float64 `toml:"labelled"`    // share of steps that require a label
	Copies    float64 `toml:"speculative"` // share of steps whose tasks may run speculatively
	Fails     float64 `toml:"fails"`       // share of runs that fail because of the task
	Retries   int     `toml:"retries"`
}

// Delays are the mean durations on the control side.
type Delays struct {
	CommitMs float64 `toml:"commit_ms"`
	CallMs   float64 `toml:"call_ms"` // one way
	Spread   float64 `toml:"spread"`  // standard deviation of the logarithm
	// LostAnswers is the share of calls whose answer is lost.
	LostAnswers float64 `toml:"lost_answers"`
}

// TroubleKind is the kind of a fault.
type TroubleKind string

// The kinds of trouble.
const (
	// TroubleCut isolates workers. Their runs continue until the hold lapses.
	TroubleCut TroubleKind = "cut"
	// TroubleCrash stops workers. They restart without runs, as new instances.
	TroubleCrash TroubleKind = "crash"
	// TroubleGrey makes all runs on some workers fail.
	TroubleGrey TroubleKind = "grey"
	// TroubleSlow divides the speed of workers by Factor.
	TroubleSlow TroubleKind = "slow"
	// TroubleHead stops the head. A new head rebuilds its state.
	TroubleHead TroubleKind = "head"
)

// Trouble is a fault that lasts for a while.
type Trouble struct {
	Kind    TroubleKind `toml:"kind"`
	At      float64     `toml:"at"`      // seconds
	Seconds float64     `toml:"seconds"` // duration
	Share   float64     `toml:"share"`   // of the workers
	Factor  float64     `toml:"factor"`
}

// maxLateObjectives is the number of objectives within which a late job still earns LateWorth.
const maxLateObjectives = 3

// Load reads a deployment from a file and checks it.
func Load(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a deployment from a text. Errors contain the name.
func Parse(name string, text []byte) (*Deployment, error) {
	var d Deployment
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, decodeError(err))
	}
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("deployment %s:\n%w", name, err)
	}
	return &d, nil
}

// check returns an error with everything in the deployment that is invalid.
func (d *Deployment) check() error {
	var found []error
	wrong := func(format string, arguments ...any) { found = append(found, fmt.Errorf(format, arguments...)) }
	if d.Seconds <= 0 || d.Load <= 0 {
		wrong("seconds and load: want more than 0")
	}
	if len(d.Workers) == 0 || len(d.Jobs) == 0 {
		wrong("workers and jobs: want one class each at least")
	}
	for i, class := range d.Workers {
		if class.Count <= 0 || class.Cores <= 0 || class.MemoryGB <= 0 {
			wrong("workers[%d]: count, cores and memory_gb: want more than 0", i)
		}
	}
	for i, class := range d.Jobs {
		if class.Share <= 0 || class.Worth <= 0 || class.Seconds <= 0 || class.Cores <= 0 || class.Retries <= 0 {
			wrong("jobs[%d] %s: share, worth, seconds, cores and retries: want more than 0", i, class.Name)
		}
		if class.Fails < 0 || class.Fails >= 1 {
			wrong("jobs[%d] %s: fails: want a share below 1", i, class.Name)
		}
	}
	for i, trouble := range d.Troubles {
		switch trouble.Kind {
		case TroubleCut, TroubleCrash, TroubleGrey, TroubleHead:
		case TroubleSlow:
			if trouble.Factor <= 1 {
				wrong("troubles[%d]: factor: want more than 1", i)
			}
		default:
			wrong("troubles[%d]: unknown kind %q", i, trouble.Kind)
		}
	}
	return errors.Join(found...)
}

// WithLoad returns a copy of the deployment with another load.
func (d *Deployment) WithLoad(load float64) *Deployment {
	other := *d
	other.Load = load
	return &other
}

// WithoutTroubles returns a copy of the deployment without faults.
func (d *Deployment) WithoutTroubles() *Deployment {
	other := *d
	other.Troubles = nil
	return &other
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
