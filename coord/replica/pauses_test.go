package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

// The timing of the control plane.
const (
	productionGrant     = 450 * time.Millisecond
	productionHeartbeat = 90 * time.Millisecond
	productionDrop      = 400 * time.Millisecond
	productionStall     = 250 * time.Millisecond
)

// newProductionWorld returns a started deployment of three with the timing of the control plane, with writes.
func newProductionWorld(t *testing.T, seed uint64) *world {
	w := newWorld(seed, 3, 0, 1)
	w.config = Config{Grant: productionGrant, HeartbeatEvery: productionHeartbeat, DropAfter: productionDrop, StallAfter: productionStall}
	w.writeLoop(20 * time.Millisecond)
	w.run(warmUp)
	require.NoError(t, w.failure)
	require.NotNil(t, w.head())
	return w
}

// pauseRepeatedly pauses a machine again and again, with random lengths and random rests between the given bounds.
func (w *world) pauseRepeatedly(m *machine, low, high, restLow, restHigh time.Duration) {
	length := w.randomDuration(low, high)
	m.freeze(length)
	w.after(length+w.randomDuration(restLow, restHigh), func() { w.pauseRepeatedly(m, low, high, restLow, restHigh) })
}

// slowSyncs makes each sync of a machine's disk take a random time between the bounds.
func (w *world) slowSyncs(m *machine, low, high time.Duration) {
	m.syncTime = w.randomDuration(low, high) * 4 / 5 // a sync takes up to half as much again
	w.after(m.syncTime, func() { w.slowSyncs(m, low, high) })
}

const (
	pausedSeeds = 10
	// slowDiskSeeds is larger, because there the number of view changes differs from seed to seed, and its mean comes near to the bound.
	slowDiskSeeds     = 100
	pauseTestDuration = 30 * time.Second
)

// countViewChanges counts the view changes over all seeds during a disturbance that requires none.
func countViewChanges(t *testing.T, seeds int, trouble func(w *world)) int {
	count := 0
	for seed := range uint64(seeds) {
		w := newProductionWorld(t, seed)
		before := w.head().process.View().Epoch
		c := observeCauses(w)
		trouble(w)
		w.run(w.now + pauseTestDuration)
		require.NoError(t, w.failure, "seed %d", seed)
		newest := before
		for _, m := range w.machines {
			newest = max(newest, m.process.View().Epoch)
		}
		count += int(newest - before)
		for _, cause := range c.seen {
			t.Logf("seed %d: %+v", seed, cause)
		}
	}
	t.Logf("%d changes in %v", count, time.Duration(seeds)*pauseTestDuration)
	return count
}

func TestShortPausesChangeTheViewRarely(t *testing.T) {
	changes := countViewChanges(t, pausedSeeds, func(w *world) {
		for _, m := range w.machines {
			w.pauseRepeatedly(m, 100*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 800*time.Millisecond)
		}
	})
	assert.LessOrEqual(t, changes, pausedSeeds)
}

func TestOnePausingReplicaChangesTheViewRarely(t *testing.T) {
	changes := countViewChanges(t, pausedSeeds, func(w *world) {
		w.pauseRepeatedly(w.machines[w.seed%3], 100*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond)
	})
	assert.LessOrEqual(t, changes, pausedSeeds)
}

func TestDisksThatAreSlowEverywhereChangeTheViewRarely(t *testing.T) {
	changes := countViewChanges(t, slowDiskSeeds, func(w *world) {
		for _, m := range w.machines {
			w.slowSyncs(m, 100*time.Millisecond, 300*time.Millisecond)
		}
	})
	// Two members are dropped and return per seed; then the timeout has grown beyond the longest sync.
	assert.LessOrEqual(t, changes, 5*slowDiskSeeds)
}

func TestDeadHeadIsReplacedInTimeDespitePauses(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newProductionWorld(t, seed)
		head := w.head()
		for _, m := range w.machines {
			w.pauseRepeatedly(m, 100*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 800*time.Millisecond)
		}
		w.run(w.now + 2*time.Second)
		head.losePower()
		assert.Less(t, w.untilCommitted(5*time.Second), 3*productionGrant, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestDeadHeadIsReplacedAfterAboutOneGrant(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newProductionWorld(t, seed)
		w.head().losePower()
		assert.Less(t, w.untilCommitted(5*time.Second), productionGrant*3/2, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestHeadWithOnlyStalledDiskIsReplacedInTime(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newProductionWorld(t, seed)
		head := w.head()
		head.stalledUntil = w.now + time.Hour
		w.run(w.now + 20*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 2*productionStall, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A head whose disk stalls before its view is stored would otherwise keep its place by its heartbeats, and nobody would commit.
func TestHeadThatCannotStoreItsViewStepsDown(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newProductionWorld(t, seed)
		head, successor := w.head(), w.machineAt(1)
		head.losePower()
		w.after(time.Second, head.start)
		for w.now < time.Minute && successor.process.position() != 0 {
			w.run(w.now + time.Millisecond)
		}
		require.False(t, successor.process.entered)
		successor.stalledUntil = w.now + time.Hour
		assert.Less(t, w.untilCommitted(8*time.Second), 4*time.Second, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestHeadThatRegainsItsLeaseContinues(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newProductionWorld(t, seed)
		head := w.head()
		epoch := head.process.View().Epoch
		var regained []BecameHead
		w.trace = func(_ string, args ...any) {
			for _, arg := range args {
				if event, ok := arg.(BecameHead); ok && event.Epoch == epoch {
					regained = append(regained, event)
				}
			}
		}
		cfg := &head.process.cfg
		cfg.Grant, cfg.DropAfter, cfg.StallAfter = time.Hour, time.Hour, time.Hour // the lease ends only for lack of grants
		for _, m := range w.machines {
			w.cuts[[2]string{m.address, head.address}] = w.now + 2*productionGrant
		}
		w.run(w.now + 2*time.Second)
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotEmpty(t, regained, "seed %d", seed)
		for _, event := range regained {
			assert.True(t, event.Continued, "seed %d", seed)
		}
	}
}

func TestTimeoutsGrowWithChainLossesAndAreBounded(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.head().process
	now := w.head().clock()
	require.Empty(t, r.chainLosses)
	fall := func(ids ...view.ReplicaID) chainLoss { return chainLoss{at: now, lost: ids} }
	assert.Equal(t, productionStall, r.diskTimeout(now, "x"))
	r.chainLosses = []chainLoss{fall("a")}
	assert.Equal(t, productionStall, r.diskTimeout(now, "x"), "the first loss must not extend the timeout")
	r.chainLosses = []chainLoss{fall("a", "b")}
	assert.Equal(t, productionStall, r.diskTimeout(now, "x"), "several losses at once must not extend the timeout")
	r.chainLosses = append(r.chainLosses, fall("b"))
	assert.Equal(t, 2*productionStall, r.diskTimeout(now, "x"))
	r.chainLosses = append(r.chainLosses, fall("a"))
	assert.Equal(t, 4*productionStall, r.diskTimeout(now, "x"))
	assert.Zero(t, r.silenceAllowance(now, "x"))
	for range 20 {
		r.chainLosses = append(r.chainLosses, fall("a"))
	}
	assert.Equal(t, 4*productionStall, r.diskTimeout(now, "x"), "a longer timeout would keep a stalled disk for too long")
	assert.Equal(t, productionGrant, r.silenceAllowance(now, "x"))
	assert.Equal(t, productionStall, r.diskTimeout(now+chainLossWindow, "x"))
	assert.Zero(t, r.silenceAllowance(now+chainLossWindow, "x"))
	r.chainLosses = []chainLoss{fall("x"), fall("x"), fall("x"), fall("x"), fall("x"), fall("x")}
	assert.Equal(t, productionStall, r.diskTimeout(now, "x"), "a member's own losses must not extend its timeout")
	assert.Zero(t, r.silenceAllowance(now, "x"))
}

// Entries on the disk of a dead member can't get any further. The next member waits for them, and must not be dropped for it.
func TestOnlyTheDeadMemberIsDropped(t *testing.T) {
	for seed := range uint64(2 * deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 2, 2)
		dead := w.machineAt(1)
		id := dead.process.Self().ID
		before := len(w.head().process.View().Chain)
		w.cuts[[2]string{dead.address, w.machineAt(2).address}] = w.now + time.Hour
		w.run(w.now + 50*time.Millisecond)
		dead.losePower()
		w.run(w.now + 3*time.Second/2)
		require.NoError(t, w.failure, "seed %d", seed)
		v := w.head().process.View()
		assert.False(t, v.InChain(id), "seed %d", seed)
		assert.Len(t, v.Chain, before-1, "seed %d", seed)
	}
}

// The log of a member whose view isn't on its disk yet belongs to an earlier epoch, and proves nothing about the entries of this one.
func TestMemberThatHasNotEnteredAcknowledgesNothing(t *testing.T) {
	w := newProductionWorld(t, 1)
	spare := w.newMachine()
	spare.start()
	require.Less(t, w.untilInChain(spare, 5*time.Second), 2*time.Second)
	m, head := w.machineAt(2), w.head()
	epoch := head.process.View().Epoch
	head.process.cfg.StallAfter = time.Hour
	m.stalledUntil = w.now + time.Hour
	spare.input(Leave{})
	for end := w.now + time.Second; w.now < end && head.process.View().Epoch == epoch; {
		w.run(w.now + time.Millisecond)
	}
	require.Greater(t, head.process.View().Epoch, epoch)
	w.run(w.now + 3*productionHeartbeat)
	require.False(t, m.process.entered)
	known := head.process.peers[m.process.Self().ID]
	assert.Less(t, head.process.elapsedSince(head.clock(), known.heard), 2*productionHeartbeat)
	assert.Zero(t, known.synced)
	assert.Zero(t, known.received)
	assert.NoError(t, w.failure)
}
