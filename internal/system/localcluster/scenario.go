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

// Scenario is the content of a scenario file: the size of the cluster, the load and the troubles. Omitted values leave the options
// unchanged.
type Scenario struct {
	Name        string    `hcl:"name,label"`
	About       string    `hcl:"about,optional"`
	Length      string    `hcl:"length,optional"`
	Rate        float64   `hcl:"rate,optional"` // jobs per second
	Replicas    int       `hcl:"replicas,optional"`
	Dispatchers int       `hcl:"dispatchers,optional"`
	Workers     int       `hcl:"workers,optional"`
	Trouble     []Trouble `hcl:"trouble,block"`
	Range       hcl.Range `hcl:",def_range"`

	duration time.Duration
}

// Trouble is a failure or an operator's action that starts at a given time and lasts for a while.
type Trouble struct {
	// Kind is kill, freeze, restart, wipe or reconfigure.
	Kind string `hcl:"kind,label"`
	At   string `hcl:"at"`
	// Target is head, tail, replicas, dispatchers or workers, or a single one of them, such as replica:0, dispatcher:1 or worker:7.
	Target string    `hcl:"target,optional"`
	For    string    `hcl:"for,optional"`
	Range  hcl.Range `hcl:",def_range"`

	startAfter, duration time.Duration
	target               target
}

// The kinds of trouble.
const (
	troubleKill        = "kill"        // kills the process and starts it again after a while
	troubleFreeze      = "freeze"      // suspends the process for a while
	troubleRestart     = "restart"     // terminates the process gracefully and starts it again
	troubleWipe        = "wipe"        // kills the process and removes its data before it starts again
	troubleReconfigure = "reconfigure" // the operator replaces the configuration
)

const defaultTroubleDuration = 3 * time.Second

// The groups that a target can name.
const (
	groupHead        = "head"
	groupTail        = "tail"
	groupReplicas    = "replicas"
	groupDispatchers = "dispatchers"
	groupWorkers     = "workers"
)

// target selects what a trouble applies to: a whole group or one member of it.
type target struct {
	group string
	index int // wholeGroup selects all members
}

const wholeGroup = -1

var groupBySingular = map[string]string{"replica": groupReplicas, "dispatcher": groupDispatchers, "worker": groupWorkers}

// parseTarget parses a target such as "head", "replicas" or "replica:0".
func parseTarget(text string) (target, error) {
	name, number, single := strings.Cut(text, ":")
	if !single {
		switch name {
		case groupHead, groupTail, groupReplicas, groupDispatchers, groupWorkers:
			return target{group: name, index: wholeGroup}, nil
		}
		return target{}, fmt.Errorf("%q is none of head, tail, replicas, dispatchers, workers, replica:N, dispatcher:N, worker:N", text)
	}
	group, known := groupBySingular[name]
	index, err := strconv.Atoi(number)
	if !known || err != nil || index < 0 {
		return target{}, fmt.Errorf("%q is none of replica:N, dispatcher:N, worker:N", text)
	}
	return target{group: group, index: index}, nil
}

// ParseTrouble parses a trouble from a command line. Its form is "KIND TARGET AT [FOR]", such as "kill head 5s 3s" or "reconfigure
// 4s".
func ParseTrouble(text string) (Trouble, error) {
	words := strings.Fields(text)
	parsed := Trouble{}
	if len(words) > 0 {
		parsed.Kind = words[0]
		words = words[1:]
	}
	if parsed.Kind != troubleReconfigure && len(words) > 0 {
		parsed.Target = words[0]
		words = words[1:]
	}
	if len(words) == 0 || len(words) > 2 {
		return Trouble{}, fmt.Errorf("%q is not of the form KIND TARGET AT [FOR], such as \"kill head 5s 3s\"", text)
	}
	parsed.At = words[0]
	if len(words) > 1 {
		parsed.For = words[1]
	}
	checker := &scenario.Checker{}
	parsed.Range.Filename = "--trouble"
	parsed.validate(checker)
	return parsed, checker.Err
}

func (t *Trouble) validate(checker *scenario.Checker) {
	t.startAfter = checker.Time(t.Range, "at", t.At, 0)
	t.duration = checker.Time(t.Range, "for", t.For, defaultTroubleDuration)
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
	hasNoDisk := t.target.group == groupDispatchers || t.target.group == groupWorkers
	checker.Want(t.Kind != troubleWipe || !hasNoDisk, t.Range, "target", "%s has no disk", t.Target)
}

// String returns a short description.
func (t *Trouble) String() string {
	if t.Kind == troubleReconfigure {
		return fmt.Sprintf("%s at %v", t.Kind, t.startAfter)
	}
	return fmt.Sprintf("%s %s at %v for %v", t.Kind, t.Target, t.startAfter, t.duration)
}

// LoadScenario reads a file that contains one scenario. Errors name file, line, column and key.
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
	parsed := &document.Scenario
	checker := &scenario.Checker{}
	parsed.duration = checker.Time(parsed.Range, "length", parsed.Length, 0)
	checker.Want(parsed.Rate >= 0, parsed.Range, "rate", "0 or more")
	for i := range parsed.Trouble {
		parsed.Trouble[i].validate(checker)
	}
	return parsed, checker.Err
}

// Apply copies the scenario's values into the options.
func (s *Scenario) Apply(options *Options) {
	override(&options.LoadDuration, s.duration)
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
