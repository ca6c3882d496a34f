package simworld

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// concurrentWriters are operators that replace the configuration on top of what they read, all with the same versions. They repeat an order
// without a definite answer unchanged at other machines.
type concurrentWriters struct {
	world        *world
	stopped      chan struct{}
	ended        sync.WaitGroup
	mutex        sync.Mutex
	acknowledged []order
}

// startConcurrentWriters starts the given number of operators.
func (w *world) startConcurrentWriters(operators int, pause time.Duration) *concurrentWriters {
	r := &concurrentWriters{world: w, stopped: make(chan struct{})}
	for number := range operators {
		operator := w.newOperator(20 + number)
		random := rand.New(rand.NewPCG(w.seed, uint64(number)))
		r.ended.Go(func() { r.run(operator, random, number, pause) })
	}
	return r
}

func (r *concurrentWriters) run(o *operator, random *rand.Rand, number int, pause time.Duration) {
	for mark := 1_000_000 * (number + 1); r.sleepUnlessStopped(time.Duration(random.Int64N(int64(pause)))); mark++ {
		read := o.read(random.IntN(len(r.world.replicas)))
		if read.status != http.StatusOK && read.status != http.StatusNotFound {
			continue
		}
		r.replaceWithRetries(o, random, order{base: read.version, version: read.version + 1, mark: mark})
		if old := r.acknowledgedBefore(random); old != nil && random.IntN(4) == 0 {
			o.replace(random.IntN(len(r.world.replicas)), *old)
		}
	}
}

// maxAttempts is how often an operator sends an order before it gives up.
const maxAttempts = 6

// replaceWithRetries sends an order until there is a definite answer, maxAttempts is reached or the writers are stopped.
func (r *concurrentWriters) replaceWithRetries(o *operator, random *rand.Rand, newOrder order) {
	for range maxAttempts {
		answer := o.replace(random.IntN(len(r.world.replicas)), newOrder)
		if answer.status == http.StatusOK {
			r.mutex.Lock()
			r.acknowledged = append(r.acknowledged, newOrder)
			r.mutex.Unlock()
		}
		if isDefinite(answer) || !r.sleepUnlessStopped(100*time.Millisecond) {
			return
		}
	}
}

// acknowledgedBefore returns a random acknowledged order, or nil if there is none.
func (r *concurrentWriters) acknowledgedBefore(random *rand.Rand) *order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.acknowledged) == 0 {
		return nil
	}
	return &r.acknowledged[random.IntN(len(r.acknowledged))]
}

func (r *concurrentWriters) sleepUnlessStopped(span time.Duration) bool {
	select {
	case <-r.stopped:
		return false
	case <-time.After(span):
		return true
	}
}

func (r *concurrentWriters) stop() int {
	close(r.stopped)
	r.ended.Wait()
	return len(r.acknowledged)
}
