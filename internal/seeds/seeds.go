// Package seeds determines which seeds a randomized test runs: a single one, or as many as an environment variable says. It is for
// tests only.
package seeds

import (
	"os"
	"strconv"
	"testing"
)

// Single returns the single seed that an environment variable sets. ok is false if the variable is unset. An invalid value fails the
// test.
func Single(t testing.TB, variable string) (seed uint64, ok bool) {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return 0, false
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return seed, true
}

// Count returns the number of seeds that an environment variable sets, or preset if it is unset. An invalid value fails the test.
func Count(t testing.TB, variable string, preset int) int {
	t.Helper()
	count, ok := Single(t, variable)
	if !ok {
		return preset
	}
	return int(count)
}

// List returns the seeds to run: the one that the variable alone sets, or else consecutive ones from first on, whose number is set
// by the variable many or is preset. An empty variable name counts as unset.
func List(t testing.TB, alone, many string, first uint64, preset int) []uint64 {
	t.Helper()
	if seed, ok := Single(t, alone); ok {
		return []uint64{seed}
	}
	var played []uint64
	for i := range Count(t, many, preset) {
		played = append(played, first+uint64(i))
	}
	return played
}
