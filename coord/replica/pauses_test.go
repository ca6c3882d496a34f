package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

// The program's timing.
const (
	quickGrant     = 450 * time.Millisecond
	quickHeartbeat = 90 * time.Millisecond
	quickDrop      = 400 * time.Millisecond
	quickStall     = 250 * time.Millisecond
)

// quick is a deployment of three with the program's timing that has started, with writes.
func quick(t *testing.T, seed uint64) *world {
	w := newWorld(seed, 3, 0, 1)
	w.settings = Config{Grant: quickGrant, HeartbeatEvery: quickHeartbeat, DropAfter: quickDrop, StallAfter: quickStall}
	w.write(20 * time.Millisecond)
	w.run(warmUp)
	require.NoError(t, w.failure)
	require.NotNil(t, w.head())
	return w
}

// hold holds a machine up again and again, each time for a length between the bounds, with rests between them.
func (w *world) hold(m *machine, low, high, restLow, restHigh time.Duration) {
	length := w.between(low, high)
	m.freeze(length)
	w.after(length+w.between(restLow, restHigh), func() { w.hold(m, low, high, restLow, restHigh) })
}

// slowSyncs has a machine's disk take a time between the bounds for each sync.
func (w *world) slowSyncs(m *machine, low, high time.Duration) {
	m.sync = w.between(low, high) * 4 / 5 // a sync takes up to half as much again
	w.after(m.sync, func() { w.slowSyncs(m, low, high) })
}

const (
	pausedSeeds = 10
	// slowDiskSeeds are more, as the number of changes differs from seed to seed there and comes near to the bound in the mean.
	slowDiskSeeds = 100
	pausedFor     = 30 * time.Second
)

// changesWhile counts the changes of view on all seeds while something goes on that calls for none.
func changesWhile(t *testing.T, seeds int, trouble func(w *world)) int {
	count := 0
	for seed := range uint64(seeds) {
		w := quick(t, seed)
		before := w.head().process.View().Epoch
		c := observeCauses(w)
		trouble(w)
		w.run(w.now + pausedFor)
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
	t.Logf("%d changes in %v", count, time.Duration(seeds)*pausedFor)
	return count
}

func TestShortPausesChangeTheViewRarely(t *testing.T) {
	changes := changesWhile(t, pausedSeeds, func(w *world) {
		for _, m := range w.machines {
			w.hold(m, 100*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 800*time.Millisecond)
		}
	})
	assert.LessOrEqual(t, changes, pausedSeeds)
}

func TestOnePausingReplicaChangesTheViewRarely(t *testing.T) {
	changes := changesWhile(t, pausedSeeds, func(w *world) {
		w.hold(w.machines[w.seed%3], 100*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond)
	})
	assert.LessOrEqual(t, changes, pausedSeeds)
}

func TestDisksThatAreSlowEverywhereChangeTheViewRarely(t *testing.T) {
	changes := changesWhile(t, slowDiskSeeds, func(w *world) {
		for _, m := range w.machines {
			w.slowSyncs(m, 100*time.Millisecond, 300*time.Millisecond)
		}
	})
	// Two members fall out and come back on a seed; then patience has grown past the longest sync.
	assert.LessOrEqual(t, changes, 5*slowDiskSeeds)
}

func TestADeadHeadIsReplacedInTimeAmongPauses(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := quick(t, seed)
		head := w.head()
		for _, m := range w.machines {
			w.hold(m, 100*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 800*time.Millisecond)
		}
		w.run(w.now + 2*time.Second)
		head.losePower()
		assert.Less(t, w.untilCommitted(5*time.Second), 3*quickGrant, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestADeadHeadIsReplacedAfterAboutAGrant(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := quick(t, seed)
		w.head().losePower()
		assert.Less(t, w.untilCommitted(5*time.Second), quickGrant*3/2, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestAHeadWhoseDiskAloneStallsIsReplacedInTime(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := quick(t, seed)
		head := w.head()
		head.stalled = w.now + time.Hour
		w.run(w.now + 20*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 2*quickStall, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A head whose disk stalls before its view is on it would else keep its place with its heartbeats, and nobody commits.
func TestAHeadThatCannotStoreItsViewGivesUpItsPlace(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := quick(t, seed)
		head, successor := w.head(), w.member(1)
		head.losePower()
		w.after(time.Second, head.start)
		for w.now < time.Minute && successor.process.position() != 0 {
			w.run(w.now + time.Millisecond)
		}
		require.False(t, successor.process.entered)
		successor.stalled = w.now + time.Hour
		assert.Less(t, w.untilCommitted(8*time.Second), 4*time.Second, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestAHeadThatRegainsItsLeaseGoesOn(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := quick(t, seed)
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
		cfg.Grant, cfg.DropAfter, cfg.StallAfter = time.Hour, time.Hour, time.Hour // the lease goes by its own
		for _, m := range w.machines {
			w.cuts[[2]string{m.address, head.address}] = w.now + 2*quickGrant
		}
		w.run(w.now + 2*time.Second)
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotEmpty(t, regained, "seed %d", seed)
		for _, event := range regained {
			assert.True(t, event.Continued, "seed %d", seed)
		}
	}
}

func TestPatienceGrowsWithUpsetsAndIsBounded(t *testing.T) {
	w := quick(t, 1)
	r := w.head().process
	now := w.head().clock()
	require.Empty(t, r.chainLosses)
	fall := func(ids ...view.ReplicaID) chainLoss { return chainLoss{at: now, lost: ids} }
	assert.Equal(t, quickStall, r.diskTimeout(now, "x"))
	r.chainLosses = []chainLoss{fall("a")}
	assert.Equal(t, quickStall, r.diskTimeout(now, "x"), "the first is met at once")
	r.chainLosses = []chainLoss{fall("a", "b")}
	assert.Equal(t, quickStall, r.diskTimeout(now, "x"), "and so are several at once")
	r.chainLosses = append(r.chainLosses, fall("b"))
	assert.Equal(t, 2*quickStall, r.diskTimeout(now, "x"))
	r.chainLosses = append(r.chainLosses, fall("a"))
	assert.Equal(t, 4*quickStall, r.diskTimeout(now, "x"))
	assert.Zero(t, r.silenceAllowance(now, "x"))
	for range 20 {
		r.chainLosses = append(r.chainLosses, fall("a"))
	}
	assert.Equal(t, 4*quickStall, r.diskTimeout(now, "x"), "more would keep a stalled disk for too long")
	assert.Equal(t, quickGrant, r.silenceAllowance(now, "x"))
	assert.Equal(t, quickStall, r.diskTimeout(now+chainLossWindow, "x"))
	assert.Zero(t, r.silenceAllowance(now+chainLossWindow, "x"))
	r.chainLosses = []chainLoss{fall("x"), fall("x"), fall("x"), fall("x"), fall("x"), fall("x")}
	assert.Equal(t, quickStall, r.diskTimeout(now, "x"), "one member's own trouble is met at once each time")
	assert.Zero(t, r.silenceAllowance(now, "x"))
}

// What a dead member had on its disk can't get on: the next one waits for it, and isn't to blame.
func TestOnlyTheDeadMemberIsDropped(t *testing.T) {
	for seed := range uint64(2 * deploymentSeeds) {
		w := calm(t, seed, 3, 2, 2)
		dead := w.member(1)
		id := dead.process.Self().ID
		before := len(w.head().process.View().Chain)
		w.cuts[[2]string{dead.address, w.member(2).address}] = w.now + time.Hour
		w.run(w.now + 50*time.Millisecond)
		dead.losePower()
		w.run(w.now + 3*time.Second/2)
		require.NoError(t, w.failure, "seed %d", seed)
		v := w.head().process.View()
		assert.False(t, v.InChain(id), "seed %d", seed)
		assert.Len(t, v.Chain, before-1, "seed %d", seed)
	}
}

// The log of a member whose view isn't on its disk yet is that of an earlier epoch: it says nothing of this one's entries.
func TestAMemberThatHasNotEnteredClaimsNothing(t *testing.T) {
	w := quick(t, 1)
	spare := w.newMachine()
	spare.start()
	require.Less(t, w.untilIn(spare, 5*time.Second), 2*time.Second)
	m, head := w.member(2), w.head()
	epoch := head.process.View().Epoch
	head.process.cfg.StallAfter = time.Hour
	m.stalled = w.now + time.Hour
	spare.input(Leave{})
	for end := w.now + time.Second; w.now < end && head.process.View().Epoch == epoch; {
		w.run(w.now + time.Millisecond)
	}
	require.Greater(t, head.process.View().Epoch, epoch)
	w.run(w.now + 3*quickHeartbeat)
	require.False(t, m.process.entered)
	known := head.process.peers[m.process.Self().ID]
	assert.Less(t, head.process.elapsedSince(head.clock(), known.heard), 2*quickHeartbeat)
	assert.Zero(t, known.synced)
	assert.Zero(t, known.received)
	assert.NoError(t, w.failure)
}
