package replica

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
)

// Kinds of faults. All but the last three hit one machine and count against the tolerance.
const (
	faultKill = iota
	faultPower
	faultDisk
	faultFreeze
	faultCutOff
	faultCutIn
	faultCutOut
	faultCutPair
	faultStall
	faultDiskRefuses
	faultLeave
	faultReplace
	faultKillAll
	faultPowerAll
	faultPowerAllDisks
	faultKinds
)

// recoveryTime is how long a machine counts as lost after its return.
const recoveryTime = 4 * time.Second

// faultTrial is a random series of faults, either within the tolerance or severe. Severe faults hit any number of machines, take no more
// disks in all than may be lost at once, and make members start elections at any time. Nothing has to be served meanwhile, but every
// committed entry has to survive.
type faultTrial struct {
	*world
	severe    bool
	lostUntil map[*machine]time.Duration
	until     time.Duration
	lostDisks int // by severe faults
}

// keepDisk reports whether a severe fault has to leave a disk intact, and counts the disk as lost otherwise.
func (t *faultTrial) keepDisk() bool {
	if t.lostDisks >= t.tolerance {
		return true
	}
	t.lostDisks++
	return false
}

func (t *faultTrial) next() {
	if t.now >= t.until {
		return
	}
	t.fault(t.random.IntN(faultKinds))
	if t.severe {
		t.after(t.randomDuration(0, 500*time.Millisecond), t.next)
		return
	}
	t.after(t.randomDuration(20*time.Millisecond, 2500*time.Millisecond), t.next)
}

func (t *faultTrial) lost() int {
	lost := 0
	for _, m := range t.machines {
		if !m.removed && t.lostUntil[m] > t.now {
			lost++
		}
	}
	return lost
}

// victim returns a machine that may be lost now, or nil.
func (t *faultTrial) victim() *machine {
	m := t.machines[t.random.IntN(len(t.machines))]
	if head := t.head(); head != nil && t.random.IntN(3) == 0 {
		m = head
	}
	if t.severe && m.process != nil && !m.removed {
		return m
	}
	if m.removed || t.lostUntil[m] > t.now || t.lost() >= t.tolerance || m.process == nil {
		return nil
	}
	return m
}

func (t *faultTrial) fault(kind int) {
	switch kind {
	case faultKillAll, faultPowerAll, faultPowerAllDisks:
		t.faultAll(kind)
		return
	}
	m := t.victim()
	if m == nil {
		return
	}
	if t.severe && (kind == faultDisk || kind == faultReplace) && t.keepDisk() {
		kind = faultPower
	}
	length := t.randomDuration(100*time.Millisecond, 3*time.Second)
	t.lostUntil[m] = t.now + length + recoveryTime
	t.trace("%v fault %d at %s for %v", t.now, kind, m.address, length)
	switch kind {
	case faultKill:
		m.kill()
		t.after(length/3, m.start)
	case faultPower:
		m.losePower()
		t.after(length, m.start)
	case faultDisk:
		m.loseDisk()
		t.after(length/3, m.start)
	case faultFreeze:
		m.freeze(length)
	case faultCutOff, faultCutIn, faultCutOut:
		t.cutOff(m, kind, length)
	case faultCutPair:
		t.cutPair(m, length)
	case faultStall:
		m.stalledUntil = min(t.now+length, t.until) // a hanging sync would outlast the end of the faults
	case faultDiskRefuses:
		t.failDisk(m, length)
	case faultLeave:
		t.leave(m, length)
	case faultReplace:
		t.replace(m, length)
	}
}

func (t *faultTrial) cutOff(m *machine, kind int, length time.Duration) {
	for _, other := range t.machines {
		if other == m {
			continue
		}
		if kind != faultCutIn {
			t.cuts[[2]string{m.address, other.address}] = t.now + length
		}
		if kind != faultCutOut {
			t.cuts[[2]string{other.address, m.address}] = t.now + length
		}
	}
}

func (t *faultTrial) cutPair(m *machine, length time.Duration) {
	other := t.machines[t.random.IntN(len(t.machines))]
	if other == m {
		return
	}
	t.cuts[[2]string{m.address, other.address}] = t.now + length
	if t.random.IntN(2) == 0 {
		t.cuts[[2]string{other.address, m.address}] = t.now + length
	}
}

// failDisk makes the disk refuse writes; the process ends later.
func (t *faultTrial) failDisk(m *machine, length time.Duration) {
	m.dropPending()
	m.syncingWrites = 1 // nothing is written any more
	m.input(DiskFailed{})
	life := m.incarnation
	t.after(length/2, func() {
		if m.process != nil && m.incarnation == life {
			m.syncingWrites = 0
			m.losePower()
			t.after(length/2, m.start)
		}
	})
}

// leave stops and restarts a machine in a planned way.
func (t *faultTrial) leave(m *machine, length time.Duration) {
	m.input(Leave{})
	life := m.incarnation
	t.after(length/2, func() {
		if m.process != nil && m.incarnation == life {
			m.kill()
			t.after(length/2, m.start)
		}
	})
}

// replace removes a machine, planned or not, and starts another one.
func (t *faultTrial) replace(m *machine, length time.Duration) {
	if t.random.IntN(2) == 0 {
		m.input(Leave{})
	}
	t.after(length/2, func() {
		m.losePower()
		m.removed = true
		other := t.newMachine()
		t.lostUntil[other] = t.now + length/2 + recoveryTime
		for _, running := range t.machines {
			running.input(Contacts{Addresses: t.contacts(running)})
		}
		t.after(length/2, other.start)
	})
}

// faultAll stops every process at once, some of them with the loss of their disks.
func (t *faultTrial) faultAll(kind int) {
	if t.random.IntN(3) != 0 || !t.severe && t.lost() > 0 {
		return
	}
	t.trace("%v fault %d at all", t.now, kind)
	disks := 0
	for _, i := range t.random.Perm(len(t.machines)) {
		m := t.machines[i]
		if m.removed {
			continue
		}
		length := t.randomDuration(50*time.Millisecond, time.Second)
		switch {
		case kind == faultKillAll:
			m.kill()
		case kind == faultPowerAllDisks && disks < t.tolerance && !(t.severe && t.keepDisk()):
			disks++
			m.loseDisk()
		default:
			m.losePower()
		}
		t.lostUntil[m] = t.now + length + recoveryTime
		t.after(length, m.start)
	}
}

// heal ends all faults.
func (t *faultTrial) heal() {
	clear(t.cuts)
	t.lossRate, t.duplicateRate, t.delayRate, t.earlyDrops = 0, 0, 0, false
	for _, m := range t.machines {
		if m.process != nil {
			m.process.cfg.DropAfter = DefaultDropAfter
		}
		m.stalledUntil = 0
		if m.frozenUntil > t.now {
			m.unfreeze() // the queued inputs may include a DiskFailed
		}
		if m.process != nil && m.process.diskFailed {
			m.syncingWrites = 0
			m.losePower()
		}
		if m.process != nil && m.process.leaving {
			m.kill()
		}
		if !m.removed {
			m.start()
			m.input(Tick{})
		}
	}
}

const (
	warmUp        = 3 * time.Second
	faultDuration = 12 * time.Second
	commitTimeout = 3 * time.Second
	rejoinTimeout = 5 * time.Second
)

// playTrial plays one seed.
func playTrial(seed uint64, trace func(string, ...any)) error {
	shapes := [][3]int{{3, 0, 1}, {3, 2, 2}, {5, 0, 2}, {3, 2, 1}}
	shape := shapes[seed/2%uint64(len(shapes))]
	w := newWorld(seed, shape[0], shape[1], shape[2])
	if trace != nil {
		w.trace = trace
	}
	t := &faultTrial{world: w, lostUntil: make(map[*machine]time.Duration), until: warmUp + faultDuration}
	t.severe = seed%2 == 1
	w.writeLoop(w.randomDuration(5*time.Millisecond, 80*time.Millisecond))
	w.run(warmUp)
	if len(w.oracle.entries) == 0 {
		w.fail("nothing is committed after the start")
	}
	t.chooseNetwork()
	t.pauseRandomly()
	t.next()
	if t.severe {
		t.earlyDrops = t.random.IntN(2) == 0
		t.forceElections()
	}
	w.run(t.until)
	t.heal()
	t.checkRecovery()
	return w.failure
}

// forceElections makes members start elections too early, sometimes all at once.
func (t *faultTrial) forceElections() {
	if t.now >= t.until {
		return
	}
	for _, m := range t.machines {
		if m.process != nil && t.random.IntN(2) == 0 {
			m.process.electionAt = 0
			m.input(Tick{})
		}
	}
	t.after(t.randomDuration(10*time.Millisecond, 900*time.Millisecond), t.forceElections)
}

// chooseNetwork chooses how unreliable the network is.
func (t *faultTrial) chooseNetwork() {
	if t.random.IntN(2) == 0 {
		return
	}
	t.lossRate = []float64{0, 0.001, 0.02}[t.random.IntN(3)]
	t.duplicateRate = []float64{0, 0.01}[t.random.IntN(2)]
	t.delayRate = []float64{0, 0.001, 0.02}[t.random.IntN(3)]
	if t.severe {
		t.lossRate *= 5
		t.delayRate *= 5
	}
}

// pauseRandomly pauses random machines for short times.
func (t *faultTrial) pauseRandomly() {
	if t.now >= t.until {
		return
	}
	m := t.machines[t.random.IntN(len(t.machines))]
	m.freeze(t.randomDuration(20*time.Millisecond, 100*time.Millisecond))
	t.after(t.randomDuration(100*time.Millisecond, time.Second), t.pauseRandomly)
}

// checkRecovery checks that commits resume and all machines return.
func (t *faultTrial) checkRecovery() {
	before := len(t.oracle.entries)
	t.run(t.now + commitTimeout)
	if t.failure == nil && len(t.oracle.entries) == before {
		t.fail("nothing is committed %v after the faults", commitTimeout)
	}
	for end := t.now + rejoinTimeout; t.now < end && t.failure == nil && len(t.missing()) > 0; {
		t.run(t.now + rejoinTimeout/10)
	}
	head := t.head()
	if t.failure != nil || head == nil {
		if t.failure == nil {
			t.fail("no head in the end")
		}
		return
	}
	for _, m := range t.missing() {
		t.fail("%s isn't back in the chain of epoch %d", m.address, head.process.View().Epoch)
	}
}

// missing returns the machines that aren't in the chain.
func (t *faultTrial) missing() []*machine {
	var missing []*machine
	head := t.head()
	for _, m := range t.machines {
		if !m.removed && (head == nil || m.process == nil || !head.process.View().InChain(m.process.Self().ID)) {
			missing = append(missing, m)
		}
	}
	return missing
}

// TestTrials plays random faults. GAUGESLIP_TRIALS sets the number of seeds, GAUGESLIP_TRIAL selects one seed, with a trace.
func TestTrials(t *testing.T) {
	if seed, alone := seeds.Single(t, "GAUGESLIP_TRIAL"); alone {
		require.NoError(t, playTrial(seed, t.Logf))
		return
	}
	count := 100
	if testing.Short() {
		count = 40
	}
	count = seeds.Count(t, "GAUGESLIP_TRIALS", count)
	const parts = 10
	for part := range parts {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < count; seed += parts {
				err := playTrial(uint64(seed), nil)
				assert.NoError(t, err, "replay with GAUGESLIP_TRIAL=%d go test -run TestTrials ./coord/replica", seed)
			}
		})
	}
}

// TestFailedTrialSeeds plays the seeds of trials that have found faults: 237 (a lost disk's place in the chain), 1491 (a lease of the
// epoch before, beside a head that was elected too early), 2571 (a stalled disk of the trial itself, which lasted beyond the end of the
// faults).
func TestFailedTrialSeeds(t *testing.T) {
	for _, seed := range []uint64{237, 1491, 2571} {
		assert.NoError(t, playTrial(seed, nil), "replay with GAUGESLIP_TRIAL=%d go test -run TestTrials ./coord/replica", seed)
	}
}
