package seeds

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	aloneVariable = "SEEDS_TEST_ALONE"
	manyVariable  = "SEEDS_TEST_MANY"
)

// recorder records whether a test was ended by Fatalf.
type recorder struct {
	testing.TB
	ended bool
}

func (r *recorder) Helper() {}

func (r *recorder) Fatalf(string, ...any) { r.ended = true }

func TestPlayed(t *testing.T) {
	assert.Equal(t, []uint64{5, 6, 7}, List(t, aloneVariable, manyVariable, 5, 3))
	assert.Equal(t, []uint64{0, 1}, List(t, "", "", 0, 2))
	t.Setenv(manyVariable, "1")
	assert.Equal(t, []uint64{5}, List(t, aloneVariable, manyVariable, 5, 3))
	t.Setenv(aloneVariable, "18446744073709551615")
	assert.Equal(t, []uint64{1<<64 - 1}, List(t, aloneVariable, manyVariable, 5, 3))
}

func TestInvalidSeedEndsTheTest(t *testing.T) {
	for _, text := range []string{"-1", "x", "1.5", "18446744073709551616"} {
		t.Setenv(aloneVariable, text)
		r := &recorder{TB: t}
		_, _ = Single(r, aloneVariable)
		require.True(t, r.ended, text)
	}
}
