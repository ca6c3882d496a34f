package jobspec

import (
	"cmp"
	"strconv"
	"strings"
)

// maxTaskNameLength is the length of the longest task name: the ID and three numbers of ten digits, each preceded by a dot.
const maxTaskNameLength = idDigits + 3*(1+10)

// Task identifies one task of a job. It can be used as a map key.
type Task struct {
	Job ID
	// Time is the number of the occurrence (0 for a job without a schedule), Step the index of the stage, Index that of the task in it.
	Time, Step, Index uint32
}

// ParseTask parses a task name of the form ID.TIME.STEP.INDEX. ok is false for anything that String doesn't produce.
func ParseTask(name string) (task Task, ok bool) {
	id, rest, _ := strings.Cut(name, ".")
	time, rest, _ := strings.Cut(rest, ".")
	step, index, _ := strings.Cut(rest, ".")
	if task.Job, ok = ParseID(id); !ok {
		return Task{}, false
	}
	if task.Time, ok = parseNumber(time); !ok {
		return Task{}, false
	}
	if task.Step, ok = parseNumber(step); !ok {
		return Task{}, false
	}
	if task.Index, ok = parseNumber(index); !ok {
		return Task{}, false
	}
	return task, true
}

// String returns the task name in the form ID.TIME.STEP.INDEX.
func (t Task) String() string {
	var name [maxTaskNameLength]byte
	return string(t.Append(name[:0]))
}

// Append appends the task name to text.
func (t Task) Append(text []byte) []byte {
	text = t.Job.Append(text)
	text = appendNumber(text, t.Time)
	text = appendNumber(text, t.Step)
	return appendNumber(text, t.Index)
}

// Compare orders tasks by job, time, step and index.
func (t Task) Compare(other Task) int {
	return cmp.Or(
		cmp.Compare(t.Job, other.Job),
		cmp.Compare(t.Time, other.Time),
		cmp.Compare(t.Step, other.Step),
		cmp.Compare(t.Index, other.Index),
	)
}

func appendNumber(text []byte, number uint32) []byte {
	text = append(text, '.')
	return strconv.AppendUint(text, uint64(number), 10)
}

func parseNumber(text string) (number uint32, ok bool) {
	if len(text) == 0 || (text[0] == '0' && len(text) > 1) {
		return 0, false
	}
	whole := uint64(0)
	for position := range len(text) {
		digit := text[position] - '0'
		if digit > 9 {
			return 0, false
		}
		whole = whole*10 + uint64(digit)
		if whole > 1<<32-1 {
			return 0, false
		}
	}
	return uint32(whole), true
}
