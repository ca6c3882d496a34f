package simworld

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// troubles are the faults that the random runs draw from. Each has a replica and ends itself.
var troubles = []struct {
	name string
	act  func(w *world, r *replica, length time.Duration)
}{
	{"cut both ways", func(w *world, r *replica, length time.Duration) { w.cutFor(r, bothWays, length) }},
	{"cut what it sends", func(w *world, r *replica, length time.Duration) { w.cutFor(r, outward, length) }},
	{"cut what it is sent", func(w *world, r *replica, length time.Duration) { w.cutFor(r, inward, length) }},
	{"freeze", func(w *world, r *replica, length time.Duration) {
		r.freeze()
		time.Sleep(length)
		r.thaw()
	}},
	{"freeze within", func(w *world, r *replica, length time.Duration) {
		r.freezeWithin(1 + w.draw(40))
		time.Sleep(length)
		r.thaw()
	}},
	{"kill", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.kill, length) }},
	{"power loss", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.losePower, length) }},
	{"disk loss", func(w *world, r *replica, length time.Duration) { w.downFor(r, r.loseDisk, length) }},
	{"cut and restart", func(w *world, r *replica, length time.Duration) {
		w.cut(r.number, bothWays)
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

func (w *world) cutFor(r *replica, way string, length time.Duration) {
	w.cut(r.number, way)
	time.Sleep(length)
	w.net.HealAll()
}

func (w *world) downFor(r *replica, end func(), length time.Duration) {
	end()
	time.Sleep(length)
	r.start(false)
}

func (w *world) draw(below int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(below)
}

// plague brings so many faults about, one after the other, each once the chain is whole again.
func (w *world) plague(faults int) {
	for range faults {
		chosen := troubles[w.draw(len(troubles))]
		struck := w.replicas[w.draw(len(w.replicas))]
		length := time.Duration(200+w.draw(5000)) * time.Millisecond
		w.note("%s of %d for %v", chosen.name, struck.number, length)
		chosen.act(w, struck, length)
		w.awaitHead(len(w.replicas))
		time.Sleep(time.Duration(w.draw(1500)) * time.Millisecond)
	}
}

// Faults of every kind come one after the other, while operators race, clients hand jobs in and cancel others.
func TestRandomTroubles(t *testing.T) {
	for _, seed := range seedsToPlay(t, 4) {
		play(t, seed, options{replicas: 3, tolerance: 1, dispatchers: 2, workers: 4}, func(w *world) {
			w.configure()
			race := w.race(4, 600*time.Millisecond)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for number := range 3 {
				c := w.newClient(number)
				clients.Go(func() { c.work(stop) })
			}
			w.plague(6)
			close(stop)
			clients.Wait()
			taken := race.stop()
			w.requireJobs(30 * time.Second)
			time.Sleep(visible)
			w.requireStates()
			w.newOperator(0).read(w.tail())
			require.Greater(t, taken, 10, "seed %d", seed)
			w.requireRegister()
		})
	}
}

// work hands jobs in until it is stopped, and cancels some.
func (c *client) work(stop <-chan struct{}) {
	for number := 0; ; number++ {
		if number%5 == 4 {
			endless := c.newJob(long())
			c.submit(endless)
			time.Sleep(300 * time.Millisecond)
			c.cancel(endless)
		} else {
			c.submit(c.newJob(c.world.short()))
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
