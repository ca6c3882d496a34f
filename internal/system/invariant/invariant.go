// Package invariant counts violations of what must always hold in a running process. A violation is a fault of the program, whatever has
// happened around it: it is counted by name, reported to the log, and never ends the process by itself.
//
// Code that is given no Set, as in tests, panics at the first violation.
package invariant

import (
	"fmt"
	"slices"
	"sync"

	"gaugeslip/internal/system/figures"
)

// Name names an invariant; it is the label of its counter and the word in the log.
type Name string

// Set counts the violations of one process. It is safe for concurrent use.
type Set struct {
	report func(Name, string)

	mutex  sync.Mutex
	counts map[Name]uint64
}

// NewSet makes a set that counts the named invariants. report is told of the first violation of each name and, from then on, of every one
// whose number is a power of two, so that a fault that repeats doesn't fill the log.
func NewSet(report func(name Name, detail string), names ...Name) *Set {
	s := &Set{report: report, counts: make(map[Name]uint64, len(names))}
	for _, name := range names {
		s.counts[name] = 0
	}
	return s
}

// Violated takes note of a violation. On a nil Set it panics.
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

// Count is how often one invariant was violated.
type Count struct {
	Name       Name
	Violations uint64
}

// Counts gives all invariants by name.
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

// Write writes the counts as figures.
func (s *Set) Write(w *figures.Writer) {
	counts := s.Counts()
	labelled := make([]figures.Labelled, len(counts))
	for i, count := range counts {
		labelled[i] = figures.Labelled{Label: string(count.Name), Value: float64(count.Violations)}
	}
	w.Counters("invariant_violations_total", "Violations of what must always hold; each is a fault of the program.", "invariant", labelled)
}

// LogMessage is the message under which violations are logged.
const LogMessage = "invariant broken"
