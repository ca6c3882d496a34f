package decisionlab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Deployment says which workers there are, which jobs come, and what goes wrong.
type Deployment struct {
	Name string `toml:"name"`
	// Seconds is for how long jobs are handed in.
	Seconds float64 `toml:"seconds"`
	// Load is the work that is handed in as a part of what all workers' cores can do in that time.
	Load     float64       `toml:"load"`
	Workers  []WorkerClass `toml:"workers"`
	Jobs     []JobClass    `toml:"jobs"`
	Delays   Delays        `toml:"delays"`
	Troubles []Trouble     `toml:"troubles"`
}

// WorkerClass is workers that are alike.
type WorkerClass struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryGB float64 `toml:"memory_gb"`
	Racks    int     `toml:"racks"`
	Label    string  `toml:"label"`
	// Speed is how fast work is done there; 1 if it isn't told.
	Speed float64 `toml:"speed"`
}

// JobClass is jobs of one queue. Spreads are standard deviations of logarithms.
type JobClass struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"` // of all jobs
	Priority  int     `toml:"priority"`
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"` // of a job that misses its objective, up to three of them
	TargetMs  float64 `toml:"target_ms"`
	Extension float64 `toml:"extension"` // how many times its longest chain of steps a job may take besides
	Steps     float64 `toml:"steps"`
	Width     float64 `toml:"width"` // tasks of a step
	Seconds   float64 `toml:"seconds"`
	Spread    float64 `toml:"spread"`      // of a step's task time
	Uneven    float64 `toml:"uneven"`      // between the tasks of a step
	HintError float64 `toml:"hint_error"`  // of what clients say of a step's task time
	Cores     float64 `toml:"cores"`       // of a task, in the mean
	MemoryGB  float64 `toml:"memory_gb"`   // of a task, in the mean
	Near      float64 `toml:"near"`        // share of steps whose data lie in a rack
	Labelled  float64 `toml:"labelled"`    // share of steps that want a label
	Copies    float64 `toml:"speculative"` // share of steps whose tasks may run twice
	Fails     float64 `toml:"fails"`       // share of runs that fail of themselves
	Retries   int     `toml:"retries"`
}

// Delays are how long things take on the control side.
type Delays struct {
	CommitMs float64 `toml:"commit_ms"`
	CallMs   float64 `toml:"call_ms"` // one way
	Spread   float64 `toml:"spread"`  // standard deviation of the logarithm
	// LostAnswers is the share of calls whose answer doesn't come.
	LostAnswers float64 `toml:"lost_answers"`
}

// TroubleKind tells what a trouble does.
type TroubleKind string

// The kinds of trouble.
const (
	// TroubleCut keeps workers from hearing and being heard; what runs there goes on until its hold is over.
	TroubleCut TroubleKind = "cut"
	// TroubleCrash ends workers; they come back empty, as new lives.
	TroubleCrash TroubleKind = "crash"
	// TroubleGrey has all runs on some workers fail.
	TroubleGrey TroubleKind = "grey"
	// TroubleSlow divides the speed of workers by Factor.
	TroubleSlow TroubleKind = "slow"
	// TroubleHead takes the head away; a new one rebuilds its state.
	TroubleHead TroubleKind = "head"
)

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind    TroubleKind `toml:"kind"`
	At      float64     `toml:"at"`      // seconds
	Seconds float64     `toml:"seconds"` // how long
	Share   float64     `toml:"share"`   // of the workers
	Factor  float64     `toml:"factor"`
}

// lateObjectives is how many objectives after its begin a job still earns something.
const lateObjectives = 3

// Load reads a deployment from a file and checks it.
func Load(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a deployment from a text; the name stands in errors.
func Parse(name string, text []byte) (*Deployment, error) {
	var d Deployment
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, detailed(err))
	}
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("deployment %s:\n%w", name, err)
	}
	return &d, nil
}

// check finds all that can't be played.
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

// WithLoad is the same deployment with another load.
func (d *Deployment) WithLoad(load float64) *Deployment {
	other := *d
	other.Load = load
	return &other
}

// WithoutTroubles is the same deployment on a calm day.
func (d *Deployment) WithoutTroubles() *Deployment {
	other := *d
	other.Troubles = nil
	return &other
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
