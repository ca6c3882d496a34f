// Package seeds says which seeds a random test plays: one alone, or as many as the environment asks for. It is for tests only.
package seeds

import (
	"os"
	"strconv"
	"testing"
)

// Single gives the one seed that an environment variable asks for; ok is false where it is unset. Text that is no seed ends the test.
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

// Count gives how many seeds an environment variable asks for, or the preset where it is unset. Text that is no number ends the test.
func Count(t testing.TB, variable string, preset int) int {
	t.Helper()
	count, ok := Single(t, variable)
	if !ok {
		return preset
	}
	return int(count)
}

// List gives the seeds to play: the one that alone asks for, or else those from first on, as many as many asks for or the preset.
// An empty name asks for nothing.
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
