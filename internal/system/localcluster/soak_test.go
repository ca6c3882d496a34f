package localcluster

import (
	"bytes"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
)

// soakShort is how long troubles last in the form for CI.
const soakShort = 6 * time.Second

// TestSoak runs real processes under troubles that overlap. GAUGESLIP_SOAKS gives the number of seeds, GAUGESLIP_SOAK one seed, and
// GAUGESLIP_SOAK_FOR how many seconds troubles last; with GAUGESLIP_SOAK_LOG each trouble is told.
func TestSoak(t *testing.T) {
	programs := t.TempDir()
	require.NoError(t, BuildRelayed(t.Context(), programs))
	length := soakShort
	if seconds, given := seeds.Single(t, "GAUGESLIP_SOAK_FOR"); given {
		length = time.Duration(seconds) * time.Second
	}
	for _, seed := range seeds.List(t, "GAUGESLIP_SOAK", "GAUGESLIP_SOAKS", 1, 1) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			options := SoakOptions{Seed: seed, TroubleDuration: length, ProgramDir: programs}
			if os.Getenv("GAUGESLIP_SOAK_LOG") != "" {
				options.Table = os.Stderr
			}
			report, err := Soak(t.Context(), options)
			require.NoError(t, err)
			var told bytes.Buffer
			report.Print(&told)
			t.Log(told.String())
			require.Empty(t, report.Findings, "replay with GAUGESLIP_SOAK=%d go test -run TestSoak ./internal/system/localcluster\n%s", seed, told.String())
			require.Positive(t, report.Jobs.Completed)
			require.Positive(t, report.Changes.Acknowledged)
		})
	}
}
