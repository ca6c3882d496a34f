package simworld

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// racing is operators that replace the configuration on top of what they read, all under the same numbers, and send an order without
// a clear answer again unchanged, at other machines.
type racing struct {
	world   *world
	stopped chan struct{}
	ended   sync.WaitGroup
	mutex   sync.Mutex
	taken   []order // that were acknowledged
}

// race starts so many operators.
func (w *world) race(operators int, pause time.Duration) *racing {
	r := &racing{world: w, stopped: make(chan struct{})}
	for number := range operators {
		operator := w.newOperator(20 + number)
		random := rand.New(rand.NewPCG(w.seed, uint64(number)))
		r.ended.Go(func() { r.run(operator, random, number, pause) })
	}
	return r
}

func (r *racing) run(o *operator, random *rand.Rand, number int, pause time.Duration) {
	for mark := 1_000_000 * (number + 1); r.wait(time.Duration(random.Int64N(int64(pause)))); mark++ {
		read := o.read(random.IntN(len(r.world.replicas)))
		if read.status != http.StatusOK && read.status != http.StatusNotFound {
			continue
		}
		r.give(o, random, order{base: read.version, version: read.version + 1, mark: mark})
		if old := r.old(random); old != nil && random.IntN(4) == 0 {
			o.replace(random.IntN(len(r.world.replicas)), *old)
		}
	}
}

// mostTries is how often an order is sent before its operator leaves it.
const mostTries = 6

// give sends an order until there is a clear answer.
func (r *racing) give(o *operator, random *rand.Rand, asked order) {
	for range mostTries {
		answer := o.replace(random.IntN(len(r.world.replicas)), asked)
		if answer.status == http.StatusOK {
			r.mutex.Lock()
			r.taken = append(r.taken, asked)
			r.mutex.Unlock()
		}
		if clear(answer) || !r.wait(100*time.Millisecond) {
			return
		}
	}
}

// old is an order that was acknowledged some time ago.
func (r *racing) old(random *rand.Rand) *order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.taken) == 0 {
		return nil
	}
	return &r.taken[random.IntN(len(r.taken))]
}

func (r *racing) wait(span time.Duration) bool {
	select {
	case <-r.stopped:
		return false
	case <-time.After(span):
		return true
	}
}

func (r *racing) stop() int {
	close(r.stopped)
	r.ended.Wait()
	return len(r.taken)
}
