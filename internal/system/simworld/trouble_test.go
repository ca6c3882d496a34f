package simworld

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultKinds are the faults that the random runs draw from. Each hits one replica and ends by itself.
var faultKinds = []struct {
	name string
	act  func(w *world, r *replica, length time.Duration)
}{
	{"cut both ways", func(w *world, r *replica, length time.Duration) { w.isolateFor(r, bothWays, length) }},
	{"cut what it sends", func(w *world, r *replica, length time.Duration) { w.isolateFor(r, outward, length) }},
	{"cut what it is sent", func(w *world, r *replica, length time.Duration) { w.isolateFor(r, inward, length) }},
	{"freeze", func(w *world, r *replica, length time.Duration) {
		r.freeze()
		time.Sleep(length)
		r.thaw()
	}},
	{"freeze within", func(w *world, r *replica, length time.Duration) {
		r.freezeAfterReadings(1 + w.randomIntN(40))
		time.Sleep(length)
		r.thaw()
	}},
	{"kill", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.kill, length) }},
	{"power loss", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.losePower, length) }},
	{"disk loss", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.loseDisk, length) }},
	{"cut and restart", func(w *world, r *replica, length time.Duration) {
		w.isolate(r.number, bothWays)
		time.Sleep(length / 2)
		w.downFor(r, r.kill, length/4)
		time.Sleep(length / 4)
		w.net.HealAll()
	}},
	{"resets", func(w *world, r *replica, length time.Duration) {
		for range 10 {
			for other := range w.replicas {
				w.net.Reset(r.host, replicaHost(other))
			}
			time.Sleep(length / 10)
		}
	}},
}

func (w *world) isolateFor(r *replica, way string, length time.Duration) {
	w.isolate(r.number, way)
	time.Sleep(length)
	w.net.HealAll()
}

func (w *world) downFor(r *replica, end func(), length time.Duration) {
	end()
	time.Sleep(length)
	r.start(false)
}

func (w *world) randomIntN(below int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(below)
}

// injectFaults injects the given number of random faults. Each starts once the chain is complete again.
func (w *world) injectFaults(faults int) {
	for range faults {
		chosen := faultKinds[w.randomIntN(len(faultKinds))]
		affected := w.replicas[w.randomIntN(len(w.replicas))]
		length := time.Duration(200+w.randomIntN(5000)) * time.Millisecond
		w.logf("%s of %d for %v", chosen.name, affected.number, length)
		chosen.act(w, affected, length)
		w.awaitHead(len(w.replicas))
		time.Sleep(time.Duration(w.randomIntN(1500)) * time.Millisecond)
	}
}

// Random faults occur one after the other while operators write concurrently and clients submit and cancel jobs.
func TestRandomFaults(t *testing.T) {
	for _, seed := range testSeeds(t, 4) {
		runInWorld(t, seed, options{replicas: 3, tolerance: 1, dispatchers: 2, workers: 4}, func(w *world) {
			w.configure()
			race := w.startConcurrentWriters(4, 600*time.Millisecond)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for number := range 3 {
				c := w.newClient(number)
				clients.Go(func() { c.submitAndCancel(stop) })
			}
			w.injectFaults(6)
			close(stop)
			clients.Wait()
			acknowledged := race.stop()
			w.requireJobs(30 * time.Second)
			time.Sleep(stateDelay)
			w.requireStates()
			w.newOperator(0).read(w.tail())
			require.Greater(t, acknowledged, 10, "seed %d", seed)
			w.requireRegister()
		})
	}
}

// submitAndCancel submits jobs until it is stopped, and cancels some.
func (c *client) submitAndCancel(stop <-chan struct{}) {
	for number := 0; ; number++ {
		if number%5 == 4 {
			endless := c.newJob(endlessStage())
			c.submit(endless)
			time.Sleep(300 * time.Millisecond)
			c.cancel(endless)
		} else {
			c.submit(c.newJob(c.world.shortStage()))
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
