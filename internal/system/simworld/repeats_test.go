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
	// copies is how many operators' calls may be under way at once.
	copies = 8
	// callsEnd is longer than a replica works on an order whose caller has gone.
	callsEnd = 5 * time.Second
)

// atOnce sends copies of an order to all replicas at once.
func (w *world) atOnce(o *operator, asked order) []answered {
	answers := make([]answered, copies)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = o.replace(i%len(w.replicas), asked) })
	}
	all.Wait()
	return answers
}

// until sends an order to one replica after the other until there is a clear answer.
func (w *world) until(o *operator, asked order) int {
	for i := range 100 {
		if answer := o.replace(i%len(w.replicas), asked); clear(answer) {
			return answer.status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return unclear
}

// requestHead is more than the head of an operator's request has: one whose stream ends in there is refused by net/http.
const requestHead = 250

// loseAnswers has every other connection of operators to replicas, and of replicas to each other, end at a drawn byte.
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
				limit.Bytes += requestHead
			}
			return simnet.Fate{Out: limit}
		}
		return simnet.Fate{}
	})
}

// Operators race under the same numbers, send eight copies at once and old orders again, while connections end within the order or its
// answer and the head hands over, ends and loses its power. Each order that was taken is confirmed to the end.
func TestOrdersWhoseAnswersAreLostAreConfirmedAnew(t *testing.T) {
	for _, seed := range seedsToPlay(t, 3) {
		play(t, seed, options{replicas: 3, tolerance: 1}, func(w *world) {
			defer time.Sleep(callsEnd)
			w.awaitHead(3)
			o := w.newOperator(0)
			require.Equal(t, http.StatusOK, w.until(o, order{version: 1, mark: 1}))
			w.loseAnswers()
			race := w.race(3, 500*time.Millisecond)
			for round := range 5 {
				read := o.read(w.draw(3))
				asked := order{base: read.version, version: read.version + 1, mark: 100 + round}
				var sent sync.WaitGroup
				sent.Go(func() { w.atOnce(o, asked) })
				w.changeHead(round)
				sent.Wait()
				time.Sleep(time.Second)
			}
			w.net.SetPlan(nil)
			race.stop()
			w.awaitHead(3)
			for _, taken := range race.taken {
				assert.Equal(t, http.StatusOK, w.until(o, taken), "seed %d: %+v", seed, taken)
			}
			require.Greater(t, len(race.taken), 4, "seed %d", seed)
			w.requireRegister()
		})
	}
}

// changeHead takes the head's place away from whoever has it.
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
