package simworld

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/internalapi"
)

const (
	// concurrentCopies is the number of copies of an order that are sent at once, which is the limit of operators' concurrent calls.
	concurrentCopies = 8
	// abandonedCallTime is longer than a replica works on an order whose caller has disconnected.
	abandonedCallTime = 5 * time.Second
)

// replaceConcurrently sends copies of an order to all replicas at once.
func (w *world) replaceConcurrently(o *operator, newOrder order) []callResult {
	answers := make([]callResult, concurrentCopies)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = o.replace(i%len(w.replicas), newOrder) })
	}
	all.Wait()
	return answers
}

// replaceUntilAnswered sends an order to one replica after the other until there is a definite answer.
func (w *world) replaceUntilAnswered(o *operator, newOrder order) int {
	for i := range 100 {
		if answer := o.replace(i%len(w.replicas), newOrder); isDefinite(answer) {
			return answer.status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return unclear
}

// maxRequestHeader is larger than the header of an operator's request. net/http refuses a request whose stream ends in the header.
const maxRequestHeader = 250

// loseAnswers ends every other connection at a random byte, both of operators to replicas and between replicas.
func (w *world) loseAnswers() {
	random := rand.New(rand.NewPCG(w.seed, 77))
	var mutex sync.Mutex
	ends := []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence}
	w.net.SetPlan(func(_, _ string, _ int) simnet.Fate {
		mutex.Lock()
		defer mutex.Unlock()
		limit := simnet.Limit{Bytes: random.Int64N(600), Then: ends[random.IntN(len(ends))]}
		switch random.IntN(4) {
		case 0:
			return simnet.Fate{Back: limit}
		case 1:
			if limit.Then == simnet.Finish {
				limit.Bytes += maxRequestHeader
			}
			return simnet.Fate{Out: limit}
		}
		return simnet.Fate{}
	})
}

// Operators write concurrently with the same versions, send eight copies at once and repeat old orders. Meanwhile connections end within
// the order or its answer, and the head hands over, is killed or loses power. Every acknowledged order is confirmed whenever repeated.
func TestRepeatedReplaceIsConfirmedAfterLostAnswers(t *testing.T) {
	for _, seed := range testSeeds(t, 3) {
		runInWorld(t, seed, options{replicas: 3, tolerance: 1}, func(w *world) {
			defer time.Sleep(abandonedCallTime)
			w.awaitHead(3)
			o := w.newOperator(0)
			require.Equal(t, http.StatusOK, w.replaceUntilAnswered(o, order{version: 1, mark: 1}))
			w.loseAnswers()
			race := w.startConcurrentWriters(3, 500*time.Millisecond)
			for round := range 5 {
				read := o.read(w.randomIntN(3))
				newOrder := order{base: read.version, version: read.version + 1, mark: 100 + round}
				var sent sync.WaitGroup
				sent.Go(func() { w.replaceConcurrently(o, newOrder) })
				w.changeHead(round)
				sent.Wait()
				time.Sleep(time.Second)
			}
			w.net.SetPlan(nil)
			race.stop()
			w.awaitHead(3)
			for _, confirmed := range race.acknowledged {
				assert.Equal(t, http.StatusOK, w.replaceUntilAnswered(o, confirmed), "seed %d: %+v", seed, confirmed)
			}
			require.Greater(t, len(race.acknowledged), 4, "seed %d", seed)
			w.requireRegister()
		})
	}
}

// changeHead makes the present head lose its role, in the given way.
func (w *world) changeHead(way int) {
	head := w.awaitHead(0)
	switch way % 4 {
	case 0:
		var reply internalapi.HandoverReply
		_ = w.console.Call(internalAddress(head), internalapi.MethodHandover, internalapi.HandoverArgs{}, &reply, 5*time.Second)
	case 1:
		w.downFor(w.replicas[head], w.replicas[head].kill, time.Second)
	case 2:
		w.downFor(w.replicas[head], w.replicas[head].losePower, time.Second)
	case 3:
		for _, r := range w.replicas {
			r.losePower()
		}
		time.Sleep(time.Second)
		for _, r := range w.replicas {
			r.start(false)
		}
	}
}
