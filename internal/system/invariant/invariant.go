// Package invariant counts violations of invariants in a running process. A violation is always a bug in the program, whatever happened
// around it. It is counted by name and logged, and never ends the process by itself.
//
// On a nil Set, as in tests, the first violation panics.
package invariant

import (
	"fmt"
	"slices"
	"sync"

	"gaugeslip/internal/system/figures"
)

// Name is the name of an invariant. It is the label value of its counter and appears in the log.
type Name string

// Set counts the violations in one process. It is safe for concurrent use.
type Set struct {
	report func(Name, string)

	mutex  sync.Mutex
	counts map[Name]uint64
}

// NewSet returns a set that counts the named invariants. It calls report for the first violation of each name, and then for each violation
// whose number is a power of two, so that a repeated violation doesn't flood the log.
func NewSet(report func(name Name, detail string), names ...Name) *Set {
	s := &Set{report: report, counts: make(map[Name]uint64, len(names))}
	for _, name := range names {
		s.counts[name] = 0
	}
	return s
}

// Violated records a violation. On a nil Set it panics.
func (s *Set) Violated(name Name, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	if s == nil {
		panic(fmt.Sprintf("invariant broken: %s: %s", name, detail))
	}
	s.mutex.Lock()
	s.counts[name]++
	count := s.counts[name]
	s.mutex.Unlock()
	if count&(count-1) == 0 {
		s.report(name, detail)
	}
}

// Count is the number of violations of one invariant.
type Count struct {
	Name       Name
	Violations uint64
}

// Counts returns the counts of all invariants, sorted by name.
func (s *Set) Counts() []Count {
	if s == nil {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make([]Count, 0, len(s.counts))
	for name, violations := range s.counts {
		counts = append(counts, Count{name, violations})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return counts
}

// Write writes the counts as metrics.
func (s *Set) Write(w *figures.Writer) {
	counts := s.Counts()
	labelled := make([]figures.Labelled, len(counts))
	for i, count := range counts {
		labelled[i] = figures.Labelled{Label: string(count.Name), Value: float64(count.Violations)}
	}
	w.Counters("invariant_violations_total", "Violations of what must always hold; each is a fault of the program.", "invariant", labelled)
}

// LogMessage is the log message of a violation.
const LogMessage = "invariant broken"
