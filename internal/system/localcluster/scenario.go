package localcluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"gaugeslip/internal/scenario"
)

// Scenario is what a scenario file says: the cluster's size, the load and the troubles. What it leaves out stays as it was.
type Scenario struct {
	Name        string    `hcl:"name,label"`
	About       string    `hcl:"about,optional"`
	Length      string    `hcl:"length,optional"`
	Rate        float64   `hcl:"rate,optional"` // jobs a second
	Replicas    int       `hcl:"replicas,optional"`
	Dispatchers int       `hcl:"dispatchers,optional"`
	Workers     int       `hcl:"workers,optional"`
	Trouble     []Trouble `hcl:"trouble,block"`
	Range       hcl.Range `hcl:",def_range"`

	length time.Duration
}

// Trouble is something that goes wrong at a time, for a while.
type Trouble struct {
	// Kind is kill, freeze, restart, wipe or reconfigure.
	Kind string `hcl:"kind,label"`
	At   string `hcl:"at"`
	// Target is head, tail, replicas, dispatchers, workers, or one of them by number: replica:0, dispatcher:1, worker:7.
	Target string    `hcl:"target,optional"`
	For    string    `hcl:"for,optional"`
	Range  hcl.Range `hcl:",def_range"`

	at, length time.Duration
	target     target
}

// The kinds of trouble.
const (
	troubleKill        = "kill"        // the process is gone at once, and is started again after a while
	troubleFreeze      = "freeze"      // it stands still for a while
	troubleRestart     = "restart"     // it is asked to end, and started again
	troubleWipe        = "wipe"        // killed, and its disk is lost
	troubleReconfigure = "reconfigure" // the operator replaces the configuration
)

const defaultTroubleLength = 3 * time.Second

// The groups that a target names.
const (
	groupHead        = "head"
	groupTail        = "tail"
	groupReplicas    = "replicas"
	groupDispatchers = "dispatchers"
	groupWorkers     = "workers"
)

// target says whom a trouble strikes: a whole group, or one of it.
type target struct {
	group string
	index int // allOf: the whole group
}

const allOf = -1

var groupsOfOne = map[string]string{"replica": groupReplicas, "dispatcher": groupDispatchers, "worker": groupWorkers}

// parseTarget reads "head", "replicas" or "replica:0".
func parseTarget(text string) (target, error) {
	name, number, single := strings.Cut(text, ":")
	if !single {
		switch name {
		case groupHead, groupTail, groupReplicas, groupDispatchers, groupWorkers:
			return target{group: name, index: allOf}, nil
		}
		return target{}, fmt.Errorf("%q is none of head, tail, replicas, dispatchers, workers, replica:N, dispatcher:N, worker:N", text)
	}
	group, known := groupsOfOne[name]
	index, err := strconv.Atoi(number)
	if !known || err != nil || index < 0 {
		return target{}, fmt.Errorf("%q is none of replica:N, dispatcher:N, worker:N", text)
	}
	return target{group: group, index: index}, nil
}

// ParseTrouble reads a trouble of a command line: "KIND TARGET AT [FOR]", such as "kill head 5s 3s" or "reconfigure 4s".
func ParseTrouble(text string) (Trouble, error) {
	words := strings.Fields(text)
	read := Trouble{}
	if len(words) > 0 {
		read.Kind = words[0]
		words = words[1:]
	}
	if read.Kind != troubleReconfigure && len(words) > 0 {
		read.Target = words[0]
		words = words[1:]
	}
	if len(words) == 0 || len(words) > 2 {
		return Trouble{}, fmt.Errorf("%q is not of the form KIND TARGET AT [FOR], such as \"kill head 5s 3s\"", text)
	}
	read.At = words[0]
	if len(words) > 1 {
		read.For = words[1]
	}
	checker := &scenario.Checker{}
	read.Range.Filename = "--trouble"
	read.check(checker)
	return read, checker.Err
}

func (t *Trouble) check(checker *scenario.Checker) {
	t.at = checker.Time(t.Range, "at", t.At, 0)
	t.length = checker.Time(t.Range, "for", t.For, defaultTroubleLength)
	switch t.Kind {
	case troubleReconfigure:
		return
	case troubleKill, troubleFreeze, troubleRestart, troubleWipe:
	default:
		checker.Want(false, t.Range, "trouble", "%q is none of kill, freeze, restart, wipe, reconfigure", t.Kind)
		return
	}
	var err error
	t.target, err = parseTarget(t.Target)
	checker.Want(err == nil, t.Range, "target", "%v", err)
	wipes := t.target.group == groupDispatchers || t.target.group == groupWorkers
	checker.Want(t.Kind != troubleWipe || !wipes, t.Range, "target", "%s has no disk", t.Target)
}

// String tells the trouble in a few words.
func (t *Trouble) String() string {
	if t.Kind == troubleReconfigure {
		return fmt.Sprintf("%s at %v", t.Kind, t.at)
	}
	return fmt.Sprintf("%s %s at %v for %v", t.Kind, t.Target, t.at, t.length)
}

// LoadScenario reads a file that holds one scenario. Errors name file, line, column and key.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return parseScenario(text, path)
}

func parseScenario(text []byte, name string) (*Scenario, error) {
	var document struct {
		Scenario Scenario `hcl:"scenario,block"`
	}
	if err := scenario.Decode(text, name, &document); err != nil {
		return nil, err
	}
	read := &document.Scenario
	checker := &scenario.Checker{}
	read.length = checker.Time(read.Range, "length", read.Length, 0)
	checker.Want(read.Rate >= 0, read.Range, "rate", "0 or more")
	for i := range read.Trouble {
		read.Trouble[i].check(checker)
	}
	return read, checker.Err
}

// Apply puts what the scenario says into the options.
func (s *Scenario) Apply(options *Options) {
	override(&options.LoadDuration, s.length)
	override(&options.Rate, s.Rate)
	override(&options.Replicas, s.Replicas)
	override(&options.Dispatchers, s.Dispatchers)
	override(&options.Workers, s.Workers)
	options.Troubles = append(options.Troubles, s.Trouble...)
}

func override[T int | float64 | time.Duration](field *T, value T) {
	if value > 0 {
		*field = value
	}
}

func orDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
