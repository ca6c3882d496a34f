package localcluster

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseProc(t *testing.T) {
	var usage Usage
	stat := "4242 (odd ) name) S 1 4242 4242 0 -1 4194560 950 0 0 0 137 63 0 0 20 0 9 0 12345 123 456\n"
	require.NoError(t, parseStat(&usage, []byte(stat)))
	require.Equal(t, 2*time.Second, usage.Processor)
	require.NoError(t, parseStatus(&usage, []byte("Name:\tx\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\nThreads:\t9\n")))
	require.EqualValues(t, 1<<20, usage.Resident)
	require.EqualValues(t, 2<<20, usage.Peak)
	require.Equal(t, 9, usage.Threads)
	require.NoError(t, parseIO(&usage, []byte("rchar: 11\nwchar: 12\nsyscr: 13\nsyscw: 14\nread_bytes: 0\n")))
	require.Equal(t, []int64{11, 12, 13, 14}, []int64{usage.Received, usage.Sent, usage.Reads, usage.Writes})
}

func TestParseSchedstat(t *testing.T) {
	require.Equal(t, 1500*time.Microsecond, parseSchedstat([]byte("9000000 1500000 42\n")))
	require.Zero(t, parseSchedstat([]byte("")))
	require.Zero(t, parseSchedstat([]byte("1 x 2")))
}

func TestParseProcRejectsMalformedContent(t *testing.T) {
	var usage Usage
	for _, stat := range []string{"", "1 (x) S 1", "1 x S 1 2 3 4 5 6 7 8 9 10 11 12 13 14", "1 (x) S 1 4242 4242 0 -1 4194560 950 0 0 0 a 63 0"} {
		require.ErrorIs(t, parseStat(&usage, []byte(stat)), errMalformed, "%q", stat)
	}
	require.ErrorIs(t, parseStatus(&usage, []byte("VmRSS: 1 kB\n")), errMalformed)
	require.ErrorIs(t, parseIO(&usage, []byte("rchar: x\n")), errMalformed)
}

func TestReadUsageOfOwnProcess(t *testing.T) {
	usage, err := readUsage(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, usage.Resident)
	require.GreaterOrEqual(t, usage.Peak, usage.Resident)
	require.Positive(t, usage.Threads)
	require.Positive(t, usage.Files)
}

func TestUsageSumsAndDifferences(t *testing.T) {
	earlier := Usage{Processor: time.Second, Resident: 5, Peak: 9, Received: 10, Sent: 20, Reads: 1, Writes: 2}
	later := Usage{Processor: 3 * time.Second, Resident: 4, Peak: 12, Received: 15, Sent: 26, Reads: 8, Writes: 10}
	used := later.since(earlier)
	require.Equal(t, Usage{Processor: 2 * time.Second, Resident: 4, Peak: 12, Received: 5, Sent: 6, Reads: 7, Writes: 8}, used)
	sum := used.plus(used)
	require.EqualValues(t, 8, sum.Resident)
	require.EqualValues(t, 12, sum.Peak)
	cost := newRoleCost(roleOtherReplica, 2, sum, 4*time.Second)
	require.InDelta(t, 0.5, cost.Cores, 1e-9)
	require.InDelta(t, 7.0/4, cost.ReadsPerS, 1e-9)
}
