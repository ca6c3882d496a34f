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

// How a machine is lost at the bound.
const (
	lossPower       = iota // back with its disk
	lossDisk               // back at the same address, empty
	lossMachine            // another comes at a new address
	lossNewFirst           // another comes, has everything, then the old one leaves
	lossLeaveFirst         // the old one leaves, then another comes
	lossKilledLeave        // the old one is killed while it leaves, then another comes
	lossStall              // the disk does nothing for a while
	lossFreeze             // the process stands still
	lossKinds
)

var lossNames = [lossKinds]string{"power", "disk", "machine", "new first", "leave first", "killed leaver", "stall", "freeze"}

// Which machine is lost.
const (
	worstHead     = iota
	worstNewest   // the one that was lost and is back
	worstTail     // the last of the chain
	worstSecond   // the head's successor: the next head
	worstAnyVoter // any
	worstKinds
)

// boundShape is a deployment: machines at the start, and its settings.
type boundShape struct {
	seeds, others, tolerance int
	bound                    time.Duration
}

var boundShapes = []boundShape{{3, 0, 1, 4 * time.Second}, {3, 1, 1, 4 * time.Second}, {3, 2, 1, 4 * time.Second}, {3, 2, 2, 6 * time.Second}}

// boundTrial takes one machine after the other, each at the very moment at which those before count as back.
type boundTrial struct {
	*world
	shape     boundShape
	lostUntil map[*machine]time.Duration
	back      []*machine // in the order of their returns
	losses    int
	returns   []returned
}

// returned is how long a machine took from its start, or the end of its trouble, to be a voter and in the chain with everything.
type returned struct {
	kind int
	took time.Duration
	seed uint64
}

// fullWriting is 200 batches a second of 1 to 8 commands of 400 bytes: 900 commands a second.
const (
	fullWritingEvery   = 5 * time.Millisecond
	fullWritingMost    = 8
	fullWritingCommand = 400
	fullWritingKept    = 3 << 20 // of the log in memory, 8 s of writing: a new machine needs a snapshot
)

func (t *boundTrial) writeFully() {
	if head := t.head(); head != nil && head.frozen <= t.now {
		data := make([][]byte, 1+t.random.IntN(fullWritingMost))
		for i := range data {
			t.written++
			data[i] = make([]byte, fullWritingCommand)
			copy(data[i], strconv.Itoa(t.written))
		}
		head.propose(data)
	}
	t.after(fullWritingEvery, t.writeFully)
}

// newBoundTrial has the settings of the control plane, and a state of so many bytes.
func newBoundTrial(seed uint64, shape boundShape, bytes, scale int) *boundTrial {
	t := &boundTrial{world: newWorld(seed, shape.seeds, shape.others, shape.tolerance), shape: shape, lostUntil: make(map[*machine]time.Duration)}
	t.settings = Config{Grant: 450 * time.Millisecond, HeartbeatEvery: 90 * time.Millisecond, DropAfter: 400 * time.Millisecond,
		StallAfter: 250 * time.Millisecond, KeepBytes: fullWritingKept}
	t.weight = newWeight(bytes, scale)
	for _, m := range t.machines {
		m.sync = 9 * time.Millisecond
	}
	t.onView = t.checkChain
	t.writeFully()
	t.run(warmUp + shape.bound)
	return t
}

// checkChain holds that every chain has f+1 members: each has everything.
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

// victim is the machine that it hurts most to lose now.
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
		m = t.memberAt(v, len(v.Chain)-1)
	case worstSecond:
		m = t.memberAt(v, min(1, len(v.Chain)-1))
	case worstAnyVoter:
		m = t.machines[t.random.IntN(len(t.machines))]
	}
	if m == nil || m.removed || m.process == nil || t.lostUntil[m] > t.now {
		return nil
	}
	return m
}

func (t *boundTrial) memberAt(v view.View, at int) *machine {
	for _, m := range t.machines {
		if m.process != nil && m.process.Self().ID == v.Chain[at].ID {
			return m
		}
	}
	return nil
}

// play takes so many machines, one after the other.
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
		t.goesOn()
	}
	t.run(t.now + 2*t.shape.bound)
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

// resumes is how soon something is committed after each loss.
const resumes = 2 * time.Second

// goesOn holds that what is proposed after a loss is committed.
func (t *boundTrial) goesOn() {
	before, began := len(t.oracle.entries), t.now
	const some = 50 // what had been under way is among them
	for t.failure == nil && len(t.oracle.entries) < before+some {
		t.run(t.now + time.Millisecond)
		if t.now > began+resumes {
			t.fail("nothing is committed %v after loss %d", resumes, t.losses)
		}
	}
}

// lose takes a machine; lostUntil is set as the operators count.
func (t *boundTrial) lose(kind int, m *machine) {
	length := t.between(200*time.Millisecond, 1500*time.Millisecond)
	t.lostUntil[m] = t.now + length + t.shape.bound
	switch kind {
	case lossPower:
		m.losePower()
		t.comesBack(kind, m, length)
	case lossDisk:
		m.loseDisk()
		t.comesBack(kind, m, length)
	case lossMachine:
		m.losePower()
		t.replacedBy(kind, m, length)
	case lossNewFirst:
		t.newFirst(kind, m, length)
	case lossLeaveFirst:
		m.input(Leave{})
		t.endsWithGrace(m)
		t.replacedBy(kind, m, length)
	case lossKilledLeave:
		m.input(Leave{})
		t.after(t.between(0, 20*time.Millisecond), func() { m.losePower() })
		t.replacedBy(kind, m, length)
	case lossStall:
		m.stalled = t.now + length
		t.after(length, func() { t.watch(kind, m, t.now) })
	case lossFreeze:
		m.freeze(length)
		t.after(length, func() { t.watch(kind, m, t.now) })
	}
}

// comesBack starts a machine after a while.
func (t *boundTrial) comesBack(kind int, m *machine, length time.Duration) {
	t.after(length, func() {
		m.start()
		t.watch(kind, m, t.now)
	})
}

// replacedBy has another machine start in the place of one.
func (t *boundTrial) replacedBy(kind int, m *machine, length time.Duration) {
	t.after(length, func() {
		other := t.another()
		t.lostUntil[other] = t.now + t.shape.bound
		t.watch(kind, other, t.now)
	})
	t.after(length+t.shape.bound, func() { t.removed(m) })
}

// another is a new machine at a new address.
func (t *boundTrial) another() *machine {
	other := t.newMachine()
	other.sync = 9 * time.Millisecond
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

// newFirst brings the successor, and ends the old machine when that has had its time: no more than the tolerance is lost at any moment,
// as the newcomer counts in the other's place.
func (t *boundTrial) newFirst(kind int, m *machine, _ time.Duration) {
	other := t.another()
	t.lostUntil[m] = 0
	t.lostUntil[other] = t.now + t.shape.bound
	t.watch(kind, other, t.now)
	t.run(t.now + t.shape.bound)
	m.input(Leave{})
	t.endsWithGrace(m)
	t.after(grace, func() { t.removed(m) })
	t.lostUntil[m] = t.now + 1
}

const grace = 4 * time.Second

// endsWithGrace ends a leaver when it has left, or its grace is over.
func (t *boundTrial) endsWithGrace(m *machine) {
	deadline, life := t.now+grace, m.life
	var look func()
	look = func() {
		if m.life != life {
			return
		}
		if m.left || t.now >= deadline {
			m.end()
			return
		}
		t.after(10*time.Millisecond, look)
	}
	look()
}

// watch notes how long a machine takes from now until it is a voter and in the chain.
func (t *boundTrial) watch(kind int, m *machine, began time.Duration) {
	life := m.life
	if m.process == nil || life != m.life {
		return
	}
	head := t.head()
	id := m.process.Self().ID
	if head != nil && head.process.View().InChain(id) && head.process.View().IsVoter(id) && m.process.View().InChain(id) && m.frozen <= t.now {
		t.returns = append(t.returns, returned{kind, t.now - began, t.seed})
		t.back = append(t.back, m)
		return
	}
	if t.now > began+t.shape.bound {
		t.fail("%s isn't back %v after %s", m.address, t.shape.bound, lossNames[kind])
		return
	}
	t.after(5*time.Millisecond, func() {
		if m.life == life {
			t.watch(kind, m, began)
		}
	})
}

const (
	boundBytes  = 50 << 20
	boundLosses = 12
)

func boundTrialOf(seed uint64, losses, bytes, scale int, trace func(string, ...any)) (*boundTrial, error) {
	t := newBoundTrial(seed, boundShapes[seed%uint64(len(boundShapes))], bytes, scale)
	if trace != nil {
		t.trace = trace
	}
	return t, t.play(losses)
}

// TestLossesAtTheBound takes the worst machine again and again. GAUGESLIP_BOUND gives one seed, with a trace; GAUGESLIP_BOUNDS the number
// of seeds, which are played with a state of 50 MB in full; the default holds a sixteenth and
// counts it as the whole.
func TestLossesAtTheBound(t *testing.T) {
	if seed, alone := seeds.Alone(t, "GAUGESLIP_BOUND"); alone {
		_, err := boundTrialOf(seed, boundLosses, boundBytes, 1, t.Logf)
		require.NoError(t, err)
		return
	}
	count, losses, scale := seeds.Count(t, "GAUGESLIP_BOUNDS", 0), boundLosses, 1
	if count == 0 {
		count, losses, scale = len(boundShapes), 4, 16
	}
	var returns [lossKinds][]returned
	for seed := range uint64(count) {
		trial, err := boundTrialOf(seed, losses, boundBytes, scale, nil)
		assert.NoError(t, err, "replay with GAUGESLIP_BOUND=%d go test -v -run TestLossesAtTheBound ./coord/replica", seed)
		for _, back := range trial.returns {
			returns[back.kind] = append(returns[back.kind], back)
		}
	}
	t.Log(distribution(returns))
}

// distribution tells how long the returns took, by kind, and of which seed the longest is.
func distribution(returns [lossKinds][]returned) string {
	text := fmt.Sprintf("\n%-14s %5s %7s %7s %7s %5s\n", "loss", "n", "p50", "p90", "max", "seed")
	for kind, all := range returns {
		if len(all) == 0 {
			continue
		}
		slices.SortFunc(all, func(a, b returned) int { return cmp.Compare(a.took, b.took) })
		at := func(part int) time.Duration { return all[(len(all)-1)*part/100].took.Round(10 * time.Millisecond) }
		text += fmt.Sprintf("%-14s %5d %7v %7v %7v %5d\n", lossNames[kind], len(all), at(50), at(90), at(100), all[len(all)-1].seed)
	}
	return text
}
