package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
	"gaugeslip/internal/seeds"
)

// How a machine is lost.
const (
	lossPower        = iota // returns with its disk
	lossDisk                // returns at the same address with an empty disk
	lossMachine             // is replaced by a machine at a new address
	lossReplaceFirst        // the replacement catches up first, then the machine leaves
	lossLeaveFirst          // the machine leaves first, then the replacement comes
	lossKilledLeave         // the machine is killed while it leaves, then the replacement comes
	lossStall               // the disk does nothing for a while
	lossFreeze              // the process is suspended for a while
	lossKinds
)

var lossNames = [lossKinds]string{"power", "disk", "machine", "new first", "leave first", "killed leaver", "stall", "freeze"}

// Which machine is lost.
const (
	worstHead     = iota
	worstNewest   // the one that was lost last and is back
	worstTail     // the last of the chain
	worstSecond   // the head's successor: the next head
	worstAnyVoter // a random one
	worstKinds
)

// boundShape is a deployment: its machines at the start, its tolerance, and the time limit for a machine to return.
type boundShape struct {
	seeds, others, tolerance int
	returnLimit              time.Duration
}

var boundShapes = []boundShape{{3, 0, 1, 4 * time.Second}, {3, 1, 1, 4 * time.Second}, {3, 2, 1, 4 * time.Second}, {3, 2, 2, 6 * time.Second}}

// boundTrial loses one machine after the other, each at the moment at which the earlier ones count as back.
type boundTrial struct {
	*world
	shape     boundShape
	lostUntil map[*machine]time.Duration
	back      []*machine // machines in the order of their returns
	losses    int
	returns   []rejoin
}

// rejoin records how long a machine took, from its start or from the end of its fault, to be a voter and in the chain with everything.
type rejoin struct {
	kind int
	took time.Duration
	seed uint64
}

// The full load is 200 batches a second of 1 to 8 commands of 400 bytes: 900 commands a second.
const (
	fullLoadInterval     = 5 * time.Millisecond
	fullLoadMaxBatch     = 8
	fullLoadCommandBytes = 400
	fullLoadKeepBytes    = 3 << 20 // of the log in memory, 8 s of writes: a new machine needs a snapshot
)

func (t *boundTrial) writeFullLoad() {
	if head := t.head(); head != nil && head.frozenUntil <= t.now {
		data := make([][]byte, 1+t.random.IntN(fullLoadMaxBatch))
		for i := range data {
			t.written++
			data[i] = make([]byte, fullLoadCommandBytes)
			copy(data[i], strconv.Itoa(t.written))
		}
		head.propose(data)
	}
	t.after(fullLoadInterval, t.writeFullLoad)
}

// newBoundTrial starts a deployment with the settings of the control plane and a state of the given size.
func newBoundTrial(seed uint64, shape boundShape, bytes, scale int) *boundTrial {
	t := &boundTrial{world: newWorld(seed, shape.seeds, shape.others, shape.tolerance), shape: shape, lostUntil: make(map[*machine]time.Duration)}
	t.config = Config{Grant: 450 * time.Millisecond, HeartbeatEvery: 90 * time.Millisecond, DropAfter: 400 * time.Millisecond,
		StallAfter: 250 * time.Millisecond, KeepBytes: fullLoadKeepBytes}
	t.costs = newStateCosts(bytes, scale)
	for _, m := range t.machines {
		m.syncTime = 9 * time.Millisecond
	}
	t.onView = t.checkChain
	t.writeFullLoad()
	t.run(warmUp + shape.returnLimit)
	return t
}

// checkChain checks that every chain has at least f+1 members, each of which has everything.
func (t *boundTrial) checkChain(v view.View) {
	if len(v.Chain) <= t.tolerance {
		t.fail("the chain of epoch %d has %d members", v.Epoch, len(v.Chain))
	}
}

func (t *boundTrial) lost() int {
	lost := 0
	for _, until := range t.lostUntil {
		if until > t.now {
			lost++
		}
	}
	return lost
}

// victim returns the machine whose loss hurts most now, or nil.
func (t *boundTrial) victim(worst int) *machine {
	head := t.head()
	if head == nil {
		return nil
	}
	v := head.process.View()
	m := head
	switch worst {
	case worstNewest:
		if len(t.back) > 0 {
			m = t.back[len(t.back)-1]
		}
	case worstTail:
		m = t.memberMachine(v, len(v.Chain)-1)
	case worstSecond:
		m = t.memberMachine(v, min(1, len(v.Chain)-1))
	case worstAnyVoter:
		m = t.machines[t.random.IntN(len(t.machines))]
	}
	if m == nil || m.removed || m.process == nil || t.lostUntil[m] > t.now {
		return nil
	}
	return m
}

func (t *boundTrial) memberMachine(v view.View, at int) *machine {
	for _, m := range t.machines {
		if m.process != nil && m.process.Self().ID == v.Chain[at].ID {
			return m
		}
	}
	return nil
}

// play loses the given number of machines, one after the other.
func (t *boundTrial) play(losses int) error {
	for t.losses < losses && t.failure == nil {
		if t.lost() >= t.tolerance {
			t.run(t.nextReturn())
			continue
		}
		kind := t.random.IntN(lossKinds)
		m := t.victim((t.losses + int(t.seed)) % worstKinds)
		if m == nil {
			m = t.victim(worstAnyVoter)
		}
		if m == nil {
			t.run(t.now + 10*time.Millisecond)
			continue
		}
		t.losses++
		t.trace("%v loss %d: %s of %s", t.now, t.losses, lossNames[kind], m.address)
		t.lose(kind, m)
		t.checkCommits()
	}
	t.run(t.now + 2*t.shape.returnLimit)
	return t.failure
}

func (t *boundTrial) nextReturn() time.Duration {
	next := never
	for _, until := range t.lostUntil {
		if until > t.now {
			next = min(next, until)
		}
	}
	return next
}

// commitLimit is how soon something must be committed after each loss.
const commitLimit = 2 * time.Second

// checkCommits checks that entries proposed after a loss are committed.
func (t *boundTrial) checkCommits() {
	before, began := len(t.oracle.entries), t.now
	const some = 50 // including entries that were in progress
	for t.failure == nil && len(t.oracle.entries) < before+some {
		t.run(t.now + time.Millisecond)
		if t.now > began+commitLimit {
			t.fail("nothing is committed %v after loss %d", commitLimit, t.losses)
		}
	}
}

// lose makes a machine fail in the given way, and sets lostUntil as an operator counts it.
func (t *boundTrial) lose(kind int, m *machine) {
	length := t.randomDuration(200*time.Millisecond, 1500*time.Millisecond)
	t.lostUntil[m] = t.now + length + t.shape.returnLimit
	switch kind {
	case lossPower:
		m.losePower()
		t.startAfter(kind, m, length)
	case lossDisk:
		m.loseDisk()
		t.startAfter(kind, m, length)
	case lossMachine:
		m.losePower()
		t.replaceAfter(kind, m, length)
	case lossReplaceFirst:
		t.replaceFirst(kind, m, length)
	case lossLeaveFirst:
		m.input(Leave{})
		t.killAfterLeaving(m)
		t.replaceAfter(kind, m, length)
	case lossKilledLeave:
		m.input(Leave{})
		t.after(t.randomDuration(0, 20*time.Millisecond), func() { m.losePower() })
		t.replaceAfter(kind, m, length)
	case lossStall:
		m.stalledUntil = t.now + length
		t.after(length, func() { t.watchReturn(kind, m, t.now) })
	case lossFreeze:
		m.freeze(length)
		t.after(length, func() { t.watchReturn(kind, m, t.now) })
	}
}

// startAfter starts a machine after a while.
func (t *boundTrial) startAfter(kind int, m *machine, length time.Duration) {
	t.after(length, func() {
		m.start()
		t.watchReturn(kind, m, t.now)
	})
}

// replaceAfter starts another machine in the place of one after a while.
func (t *boundTrial) replaceAfter(kind int, m *machine, length time.Duration) {
	t.after(length, func() {
		other := t.startReplacement()
		t.lostUntil[other] = t.now + t.shape.returnLimit
		t.watchReturn(kind, other, t.now)
	})
	t.after(length+t.shape.returnLimit, func() { t.removed(m) })
}

// startReplacement starts a new machine at a new address.
func (t *boundTrial) startReplacement() *machine {
	other := t.newMachine()
	other.syncTime = 9 * time.Millisecond
	for _, running := range t.machines {
		running.input(Contacts{Addresses: t.contacts(running)})
	}
	other.start()
	return other
}

func (t *boundTrial) removed(m *machine) {
	delete(t.lostUntil, m)
	m.removed = true
}

// replaceFirst starts the replacement, and ends the old machine once the replacement has had its time. No more machines than the
// tolerance are lost at any moment, as the newcomer counts in the other's place.
func (t *boundTrial) replaceFirst(kind int, m *machine, _ time.Duration) {
	other := t.startReplacement()
	t.lostUntil[m] = 0
	t.lostUntil[other] = t.now + t.shape.returnLimit
	t.watchReturn(kind, other, t.now)
	t.run(t.now + t.shape.returnLimit)
	m.input(Leave{})
	t.killAfterLeaving(m)
	t.after(leaveGrace, func() { t.removed(m) })
	t.lostUntil[m] = t.now + 1
}

const leaveGrace = 4 * time.Second

// killAfterLeaving ends a leaving process once it has left, or its grace period is over.
func (t *boundTrial) killAfterLeaving(m *machine) {
	deadline, life := t.now+leaveGrace, m.incarnation
	var look func()
	look = func() {
		if m.incarnation != life {
			return
		}
		if m.left || t.now >= deadline {
			m.kill()
			return
		}
		t.after(10*time.Millisecond, look)
	}
	look()
}

// watchReturn records how long a machine takes from now until it is a voter and in the chain.
func (t *boundTrial) watchReturn(kind int, m *machine, began time.Duration) {
	life := m.incarnation
	if m.process == nil || life != m.incarnation {
		return
	}
	head := t.head()
	id := m.process.Self().ID
	if head != nil && head.process.View().InChain(id) && head.process.View().IsVoter(id) && m.process.View().InChain(id) && m.frozenUntil <= t.now {
		t.returns = append(t.returns, rejoin{kind, t.now - began, t.seed})
		t.back = append(t.back, m)
		return
	}
	if t.now > began+t.shape.returnLimit {
		t.fail("%s isn't back %v after %s", m.address, t.shape.returnLimit, lossNames[kind])
		return
	}
	t.after(5*time.Millisecond, func() {
		if m.incarnation == life {
			t.watchReturn(kind, m, began)
		}
	})
}

const (
	boundBytes  = 50 << 20
	boundLosses = 12
)

func playBoundTrial(seed uint64, losses, bytes, scale int, trace func(string, ...any)) (*boundTrial, error) {
	t := newBoundTrial(seed, boundShapes[seed%uint64(len(boundShapes))], bytes, scale)
	if trace != nil {
		t.trace = trace
	}
	return t, t.play(losses)
}

// TestLossesAtTheBound loses the worst machine again and again. GAUGESLIP_BOUND selects one seed, with a trace; GAUGESLIP_BOUNDS sets the
// number of seeds, which run with a full state of 50 MB. By default the state has a sixteenth of that size, and its costs are scaled to
// the whole.
func TestLossesAtTheBound(t *testing.T) {
	if seed, alone := seeds.Single(t, "GAUGESLIP_BOUND"); alone {
		_, err := playBoundTrial(seed, boundLosses, boundBytes, 1, t.Logf)
		require.NoError(t, err)
		return
	}
	count, losses, scale := seeds.Count(t, "GAUGESLIP_BOUNDS", 0), boundLosses, 1
	if count == 0 {
		count, losses, scale = len(boundShapes), 4, 16
	}
	var returns [lossKinds][]rejoin
	for seed := range uint64(count) {
		trial, err := playBoundTrial(seed, losses, boundBytes, scale, nil)
		assert.NoError(t, err, "replay with GAUGESLIP_BOUND=%d go test -v -run TestLossesAtTheBound ./coord/replica", seed)
		for _, back := range trial.returns {
			returns[back.kind] = append(returns[back.kind], back)
		}
	}
	t.Log(distribution(returns))
}

// distribution describes how long the returns took, by kind, with the seed of the longest.
func distribution(returns [lossKinds][]rejoin) string {
	text := fmt.Sprintf("\n%-14s %5s %7s %7s %7s %5s\n", "loss", "n", "p50", "p90", "max", "seed")
	for kind, all := range returns {
		if len(all) == 0 {
			continue
		}
		slices.SortFunc(all, func(a, b rejoin) int { return cmp.Compare(a.took, b.took) })
		at := func(part int) time.Duration { return all[(len(all)-1)*part/100].took.Round(10 * time.Millisecond) }
		text += fmt.Sprintf("%-14s %5d %7v %7v %7v %5d\n", lossNames[kind], len(all), at(50), at(90), at(100), all[len(all)-1].seed)
	}
	return text
}
