package dataplane

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/internalapi"
)

// replica is the state that one replica reports to pollers.
type replica struct {
	view    view.View
	version int
	serving bool
	down    bool
}

// replicas is a Caller for a set of replicas that a poller polls.
type replicas struct {
	mutex     sync.Mutex
	byAddress map[string]*replica
	digests   []string
	fetches   []string
}

func (r *replicas) Call(address, method string, args, reply any, _ time.Duration) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := r.byAddress[address]
	if found == nil || found.down {
		return transport.ErrNotSent
	}
	switch method {
	case internalapi.MethodDigest:
		r.digests = append(r.digests, address)
		*reply.(*internalapi.DigestReply) = internalapi.DigestReply{
			Epoch:         found.view.Epoch,
			ConfigVersion: uint64(found.version),
			Serving:       found.serving,
		}
	case internalapi.MethodFetch:
		r.fetches = append(r.fetches, address)
		r.fetch(found, args.(*internalapi.FetchArgs), reply.(*internalapi.FetchReply))
	default:
		return errors.New("unexpected " + method)
	}
	return nil
}

func (r *replicas) fetch(found *replica, args *internalapi.FetchArgs, reply *internalapi.FetchReply) {
	if !args.HasView || found.view.Epoch > args.Epoch {
		reply.View = found.view
	}
	if uint64(found.version) > args.ConfigVersion {
		reply.ConfigVersion = uint64(found.version)
		reply.Config = configBody(found.version)
	}
}

func (r *replicas) set(address string, change func(*replica)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r.byAddress[address])
}

func threeReplicas(serving bool) *replicas {
	r := &replicas{byAddress: map[string]*replica{}}
	for _, address := range []string{"a", "b", "c"} {
		r.byAddress[address] = &replica{view: chainOf(0, "a", "b", "c"), version: 1, serving: serving}
	}
	return r
}

func failOnError(t *testing.T) func(error) { return func(err error) { t.Error(err) } }

func TestPollLearnsNewerState(t *testing.T) {
	core := threeReplicas(true)
	directory := NewDirectory()
	poller := NewPoller(core, directory, []string{"b"}, failOnError(t), Options{})
	poller.Poll()
	assert.Equal(t, "a", directory.View().Head().Address)
	assert.EqualValues(t, 1, directory.ConfigVersion())
	assert.True(t, directory.Reachable(time.Minute))
	assert.Equal(t, []string{"b"}, core.fetches)
	for range 12 {
		poller.Poll()
	}
	assert.Equal(t, []string{"b"}, core.fetches, "known data isn't fetched again")
	assert.Subset(t, core.digests, []string{"a", "b", "c"}, "all replicas are polled in turn")
}

func TestPollContinuesUntilReplicaServes(t *testing.T) {
	core := threeReplicas(false)
	core.byAddress["a"].down = true
	directory := testDirectory(t, "a", "b", "c")
	poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOnError(t), Options{})
	synctest.Test(t, func(t *testing.T) {
		poller.Poll()
		assert.ElementsMatch(t, []string{"b", "c"}, core.digests)
		core.set("c", func(r *replica) { r.serving = true })
		directory := NewDirectory()
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOnError(t), Options{})
		poller.Poll()
		assert.True(t, directory.Reachable(time.Minute))
	})
}

func TestSeedsArePolledWhenChainIsGone(t *testing.T) {
	core := threeReplicas(true)
	core.byAddress["new"] = &replica{view: chainOf(9, "new"), version: 4, serving: true}
	core.byAddress["a"].down, core.byAddress["b"].down, core.byAddress["c"].down = true, true, true
	directory := testDirectory(t, "a", "b", "c")
	poller := NewPoller(core, directory, []string{"a"}, failOnError(t), Options{})
	poller.SetSeeds([]string{"new"})
	for range pollsPerRound {
		poller.Poll()
	}
	assert.Equal(t, "new", directory.View().Head().Address)
	assert.EqualValues(t, 4, directory.ConfigVersion())
}

func TestUpdatesArriveWithinIntervalOrOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		directory := NewDirectory()
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOnError(t), Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		sleepFor(defaultPollInterval)
		for version := 2; version < 20; version++ {
			for _, address := range []string{"a", "b", "c"} {
				core.set(address, func(r *replica) { r.version = version })
			}
			if version%2 == 0 {
				sleepFor(defaultPollInterval * 5 / 4)
			} else {
				poller.RequestPoll()
				sleepFor(defaultMinPollGap)
			}
			synctest.Wait()
			assert.EqualValues(t, version, directory.ConfigVersion())
		}
		cancel()
		running.Wait()
	})
}

func TestPollRequestsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		poller := NewPoller(core, NewDirectory(), []string{"a"}, failOnError(t), Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		for range 1000 {
			poller.RequestPoll()
			sleepFor(time.Millisecond)
		}
		cancel()
		running.Wait()
		assert.LessOrEqual(t, len(core.digests), int(time.Second/defaultMinPollGap)+2)
	})
}

func TestNotReadyWhileHeadIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		directory := testDirectory(t, "a", "b", "c")
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOnError(t), Options{})
		readiness := NewReadiness(directory, func(bool, string) {}, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		for range 20 {
			sleepFor(time.Second)
			assert.True(t, readiness.Ready())
		}
		core.set("a", func(r *replica) { r.down = true })
		sleepFor(defaultHeadContactTimeout)
		assert.False(t, readiness.Ready())
		assert.True(t, directory.Reachable(defaultCoreContactTimeout))
		for _, address := range []string{"b", "c"} {
			core.set(address, func(r *replica) { r.view = chainOf(2, "b", "c") })
		}
		sleepFor(defaultPollInterval * 3)
		assert.True(t, readiness.Ready())
		cancel()
		running.Wait()
	})
}

// A poll that learns of a newer configuration but fails to fetch it must leave the directory not up to date, so that no route is
// reported as missing.
func TestPollThatMissesNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		core.byAddress["a"].version = 2
		directory := NewDirectory()
		_, err := directory.LearnConfig(1, configBody(1))
		assert.NoError(t, err)
		directory.LearnView(chainOf(0, "a", "b", "c"))
		losing := callerFunc(func(address, method string, args, reply any, timeout time.Duration) error {
			if method == internalapi.MethodFetch {
				return transport.ErrUnknown
			}
			return core.Call(address, method, args, reply, timeout)
		})
		dispatcher := NewDispatcher(core, directory, noPoll, Options{})
		NewPoller(losing, directory, []string{"a"}, failOnError(t), Options{}).pollReplica("a")
		assert.True(t, directory.Reachable(time.Second))
		assert.False(t, directory.UpToDate(time.Second))
		assert.Equal(t, 503, serve(dispatcher, "GET", "/elsewhere/", "").Code)
		NewPoller(core, directory, []string{"a"}, failOnError(t), Options{}).pollReplica("a")
		assert.EqualValues(t, 2, directory.ConfigVersion())
		assert.True(t, directory.UpToDate(time.Second))
		assert.Equal(t, 404, serve(dispatcher, "GET", "/elsewhere/", "").Code)
	})
}

// A rejected configuration counts as known, so the directory is up to date with it. A replica that isn't serving confirms
// nothing.
func TestOnlyServingReplicaConfirmsNewestConfiguration(t *testing.T) {
	directory := NewDirectory()
	_, err := directory.LearnConfig(1, configBody(1))
	assert.NoError(t, err)
	_, err = directory.LearnConfig(2, []byte("{"))
	assert.Error(t, err)
	core := threeReplicas(false)
	NewPoller(core, directory, []string{"a"}, failOnError(t), Options{}).pollReplica("a")
	assert.False(t, directory.Reachable(time.Minute), "a replica that isn't serving is no contact")
	assert.False(t, directory.UpToDate(time.Minute))
	directory.RecordCurrent(3)
	assert.False(t, directory.UpToDate(time.Minute))
	directory.RecordCurrent(2)
	assert.True(t, directory.UpToDate(time.Minute))
}
