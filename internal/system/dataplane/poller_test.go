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

// replica is what one replica tells those that look.
type replica struct {
	view    view.View
	version int
	serving bool
	down    bool
}

// replicas are looked at by a poller.
type replicas struct {
	mutex   sync.Mutex
	each    map[string]*replica
	digests []string
	fetches []string
}

func (r *replicas) Call(address, method string, args, reply any, _ time.Duration) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := r.each[address]
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
	change(r.each[address])
}

func threeReplicas(serving bool) *replicas {
	r := &replicas{each: map[string]*replica{}}
	for _, address := range []string{"a", "b", "c"} {
		r.each[address] = &replica{view: chainOf(0, "a", "b", "c"), version: 1, serving: serving}
	}
	return r
}

func failOn(t *testing.T) func(error) { return func(err error) { t.Error(err) } }

func TestALookLearnsWhatIsNewer(t *testing.T) {
	core := threeReplicas(true)
	directory := NewDirectory()
	poller := NewPoller(core, directory, []string{"b"}, failOn(t), Options{})
	poller.Look()
	assert.Equal(t, "a", directory.View().Head().Address)
	assert.EqualValues(t, 1, directory.ConfigVersion())
	assert.True(t, directory.Reachable(time.Minute))
	assert.Equal(t, []string{"b"}, core.fetches)
	for range 12 {
		poller.Look()
	}
	assert.Equal(t, []string{"b"}, core.fetches, "what is known isn't fetched again")
	assert.Subset(t, core.digests, []string{"a", "b", "c"}, "all are looked at in turn")
}

func TestALookGoesOnUntilSomebodyServes(t *testing.T) {
	core := threeReplicas(false)
	core.each["a"].down = true
	directory := knowing(t, "a", "b", "c")
	poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOn(t), Options{})
	synctest.Test(t, func(t *testing.T) {
		poller.Look()
		assert.ElementsMatch(t, []string{"b", "c"}, core.digests)
		core.set("c", func(r *replica) { r.serving = true })
		directory := NewDirectory()
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOn(t), Options{})
		poller.Look()
		assert.True(t, directory.Reachable(time.Minute))
	})
}

func TestSeedsAreAskedWhenTheChainIsGone(t *testing.T) {
	core := threeReplicas(true)
	core.each["new"] = &replica{view: chainOf(9, "new"), version: 4, serving: true}
	core.each["a"].down, core.each["b"].down, core.each["c"].down = true, true, true
	directory := knowing(t, "a", "b", "c")
	poller := NewPoller(core, directory, []string{"a"}, failOn(t), Options{})
	poller.SetSeeds([]string{"new"})
	for range turns {
		poller.Look()
	}
	assert.Equal(t, "new", directory.View().Head().Address)
	assert.EqualValues(t, 4, directory.ConfigVersion())
}

func TestNewsArriveWithinAnIntervalAndAtOnceWhenPoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		directory := NewDirectory()
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOn(t), Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		pass(defaultPollInterval)
		for version := 2; version < 20; version++ {
			for _, address := range []string{"a", "b", "c"} {
				core.set(address, func(r *replica) { r.version = version })
			}
			if version%2 == 0 {
				pass(defaultPollInterval * 5 / 4)
			} else {
				poller.Poke()
				pass(defaultPokeGap)
			}
			synctest.Wait()
			assert.EqualValues(t, version, directory.ConfigVersion())
		}
		cancel()
		running.Wait()
	})
}

func TestPokesDontMakeItBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		poller := NewPoller(core, NewDirectory(), []string{"a"}, failOn(t), Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		for range 1000 {
			poller.Poke()
			pass(time.Millisecond)
		}
		cancel()
		running.Wait()
		assert.LessOrEqual(t, len(core.digests), int(time.Second/defaultPokeGap)+2)
	})
}

func TestADispatcherCutOffFromTheHeadIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		directory := knowing(t, "a", "b", "c")
		poller := NewPoller(core, directory, []string{"a", "b", "c"}, failOn(t), Options{})
		readiness := NewReadiness(directory, func(bool, string) {}, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { poller.Run(ctx) })
		for range 20 {
			pass(time.Second)
			assert.True(t, readiness.Ready())
		}
		core.set("a", func(r *replica) { r.down = true })
		pass(defaultHeadLife)
		assert.False(t, readiness.Ready())
		assert.True(t, directory.Reachable(defaultContactLife))
		for _, address := range []string{"b", "c"} {
			core.set(address, func(r *replica) { r.view = chainOf(2, "b", "c") })
		}
		pass(defaultPollInterval * 3)
		assert.True(t, readiness.Ready())
		cancel()
		running.Wait()
	})
}

// A look that learns of a newer configuration and doesn't get it leaves what is known as not up to date: nothing is said to be
// missing by it.
func TestALookThatDoesNotGetTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := threeReplicas(true)
		core.each["a"].version = 2
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
		dispatcher := NewDispatcher(core, directory, noPoke, Options{})
		NewPoller(losing, directory, []string{"a"}, failOn(t), Options{}).ask("a")
		assert.True(t, directory.Reachable(time.Second))
		assert.False(t, directory.UpToDate(time.Second))
		assert.Equal(t, 503, ask(dispatcher, "GET", "/elsewhere/", "").Code)
		NewPoller(core, directory, []string{"a"}, failOn(t), Options{}).ask("a")
		assert.EqualValues(t, 2, directory.ConfigVersion())
		assert.True(t, directory.UpToDate(time.Second))
		assert.Equal(t, 404, ask(dispatcher, "GET", "/elsewhere/", "").Code)
	})
}

// A configuration that can't be used is as new as it gets; a replica that doesn't serve can't tell.
func TestWhoTellsWhatIsNewest(t *testing.T) {
	directory := NewDirectory()
	_, err := directory.LearnConfig(1, configBody(1))
	assert.NoError(t, err)
	_, err = directory.LearnConfig(2, []byte("{"))
	assert.Error(t, err)
	core := threeReplicas(false)
	NewPoller(core, directory, []string{"a"}, failOn(t), Options{}).ask("a")
	assert.False(t, directory.Reachable(time.Minute), "it is no sign of the core")
	assert.False(t, directory.UpToDate(time.Minute))
	directory.Current(3)
	assert.False(t, directory.UpToDate(time.Minute))
	directory.Current(2)
	assert.True(t, directory.UpToDate(time.Minute))
}
