package replica

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
)

const (
	longFaultDuration = 3 * time.Minute
	maxFaultLength    = time.Minute
	longWriteInterval = 100 * time.Millisecond
	// maxServiceGap is the longest allowed time without a commit, as no more machines are out than is tolerated.
	maxServiceGap = 6 * time.Second
	// maxFaultGap is the longest time between the starts of two faults; many faults overlap.
	maxFaultGap = 5 * time.Second
)

// Kinds of long faults.
const (
	longCutOff = iota
	longCutIn
	longCutOut
	longFreeze
	longAbsence
	longStall
	longFaultKinds
)

// longFaultTrial is a trial whose faults last up to a minute each and overlap within the tolerance, with restarts during them.
type longFaultTrial struct {
	*faultTrial
	committed int
}

// next injects a fault and schedules the next one.
func (l *longFaultTrial) next() {
	if l.now >= l.until {
		return
	}
	if m := l.victim(); m != nil {
		l.inject(m, l.random.IntN(longFaultKinds), l.randomDuration(500*time.Millisecond, maxFaultLength))
	}
	l.after(l.randomDuration(0, maxFaultGap), l.next)
}

// inject makes a machine suffer a fault of the given length.
func (l *longFaultTrial) inject(m *machine, kind int, length time.Duration) {
	l.lostUntil[m] = l.now + length + recoveryTime
	l.trace("%v long fault %d at %s for %v", l.now, kind, m.address, length)
	switch kind {
	case longCutOff, longCutIn, longCutOut:
		l.cutOff(m, map[int]int{longCutOff: faultCutOff, longCutIn: faultCutIn, longCutOut: faultCutOut}[kind], length)
		l.restartWithin(m, length)
	case longFreeze:
		m.freeze(length)
		l.restartWithin(m, length)
	case longAbsence:
		l.stopRandomly(m)
		l.after(length, m.start)
	case longStall:
		m.stalledUntil = min(l.now+length, l.until) // a hanging sync would outlast the end of the faults
	}
}

// restartWithin restarts a machine during its fault, in half of the cases.
func (l *longFaultTrial) restartWithin(m *machine, length time.Duration) {
	if l.random.IntN(2) == 0 {
		return
	}
	l.after(l.randomDuration(0, length), func() {
		if m.process != nil {
			l.stopRandomly(m)
			l.after(l.randomDuration(0, time.Second), m.start)
		}
	})
}

// stopRandomly kills a process, with or without a power loss or the loss of its disk.
func (l *longFaultTrial) stopRandomly(m *machine) {
	switch l.random.IntN(4) {
	case 0:
		m.kill()
	case 1:
		m.loseDisk()
	default:
		m.losePower()
	}
}

// checkService checks that entries are committed all the time.
func (l *longFaultTrial) checkService() {
	if l.now >= l.until {
		return
	}
	if len(l.oracle.entries) == l.committed {
		l.fail("nothing was committed for %v", maxServiceGap)
	}
	l.committed = len(l.oracle.entries)
	l.after(maxServiceGap, l.checkService)
}

// playLongTrial plays one seed.
func playLongTrial(seed uint64, trace func(string, ...any)) error {
	shapes := [][3]int{{3, 0, 1}, {3, 1, 1}, {5, 0, 2}, {3, 2, 2}}
	shape := shapes[seed%uint64(len(shapes))]
	w := newWorld(seed, shape[0], shape[1], shape[2])
	if trace != nil {
		w.trace = trace
	}
	l := &longFaultTrial{faultTrial: &faultTrial{world: w, lostUntil: make(map[*machine]time.Duration), until: warmUp + longFaultDuration}}
	w.writeLoop(longWriteInterval)
	w.run(warmUp)
	l.chooseNetwork()
	l.pauseRandomly()
	l.next()
	l.checkService()
	w.run(l.until)
	l.heal()
	l.checkRecovery()
	return w.failure
}

// In two of these seeds a disk stalls after other members have been dropped, and nothing was committed for over 6 s while the timeout
// grew to eight times StallAfter. In the others the member's own lost answers excused its disk again and again; in the last one a
// newcomer was admitted meanwhile, which restarted the member's time.
func TestStalledDisksAreToleratedForBoundedTime(t *testing.T) {
	for _, seed := range []uint64{58, 151, 179, 344, 375, 67} {
		assert.NoError(t, playLongTrial(seed, nil), "replay with GAUGESLIP_LONG_TRIAL=%d go test -run TestLongTrials ./coord/replica", seed)
	}
}

// TestLongTrials plays long faults. GAUGESLIP_LONG_TRIALS sets the number of seeds, GAUGESLIP_LONG_TRIAL selects one seed, with a trace.
func TestLongTrials(t *testing.T) {
	if seed, alone := seeds.Single(t, "GAUGESLIP_LONG_TRIAL"); alone {
		require.NoError(t, playLongTrial(seed, t.Logf))
		return
	}
	count := seeds.Count(t, "GAUGESLIP_LONG_TRIALS", 8)
	const parts = 4
	for part := range parts {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < count; seed += parts {
				err := playLongTrial(uint64(seed), nil)
				assert.NoError(t, err, "replay with GAUGESLIP_LONG_TRIAL=%d go test -run TestLongTrials ./coord/replica", seed)
			}
		})
	}
}
