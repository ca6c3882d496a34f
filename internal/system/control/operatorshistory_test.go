package control

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
	"gaugeslip/internal/system/state"
)

const (
	historySeeds    = 60
	historySessions = 4
	historyFaulty   = 12 * time.Second
	historyPatience = time.Second // after which an operator sends an order again
	historyRepeats  = 5
	historyCopies   = 8
	// historyRecovers is how long after all faults an order may take to be confirmed.
	historyRecovers = 5 * time.Second
	// historyCheck bounds the checker, which takes long only for histories of more than one register; others take up to some seconds beside
	// much other work.
	historyCheck = 30 * time.Second
)

// operatorsRun is a few operators at their machines, whose faults are drawn.
type operatorsRun struct {
	*operatorsWorld
	history operatorsHistory
	over    time.Time

	ordersMutex sync.Mutex
	orders      []operatorsCall // that were confirmed
	marks       int
}

// session is one operator; what it does is drawn from its own source.
type session struct {
	run    *operatorsRun
	number int
	random *rand.Rand
	known  uint64 // the newest version it has seen
}

// mark gives a number that no other body has.
func (r *operatorsRun) mark() int {
	r.ordersMutex.Lock()
	defer r.ordersMutex.Unlock()
	r.marks++
	return r.marks
}

func (r *operatorsRun) confirmed(call operatorsCall) {
	r.ordersMutex.Lock()
	defer r.ordersMutex.Unlock()
	r.orders = append(r.orders, call)
}

// earlier draws an order that was confirmed to anybody, and whether there is one.
func (s *session) earlier() (operatorsCall, bool) {
	s.run.ordersMutex.Lock()
	defer s.run.ordersMutex.Unlock()
	if len(s.run.orders) == 0 {
		return operatorsCall{}, false
	}
	return s.run.orders[s.random.IntN(len(s.run.orders))], true
}

func (s *session) play() {
	for time.Now().Before(s.run.over) {
		time.Sleep(time.Duration(10+s.random.IntN(250)) * time.Millisecond)
		switch choice := s.random.IntN(20); {
		case choice < 4:
			s.read()
		case choice < 6:
			if call, ok := s.earlier(); ok {
				s.ask(call)
			}
		case choice < 8:
			s.copies(s.draw())
		default:
			s.insist(s.draw())
		}
	}
}

// draw draws an order: mostly on the newest version known, at times on another one, with a lower number, or invalid.
func (s *session) draw() operatorsCall {
	base, step, mark := s.known, uint64(1+s.random.IntN(2)), s.run.mark()
	switch s.random.IntN(20) {
	case 0:
		base += uint64(s.random.IntN(4))
	case 1, 2:
		base -= min(base, uint64(1+s.random.IntN(4)))
		step += 4
	case 3:
		step = 0
	case 4:
		mark = 0
	}
	return newOrder(base, base+step, mark)
}

func (s *session) machine() *operatorsMachine {
	return s.run.machines[s.random.IntN(len(s.run.machines))]
}

// ask makes a call once, of any machine.
func (s *session) ask(call operatorsCall) operatorsAnswer {
	m := s.machine()
	answer := s.run.history.record(s.number, call, func() operatorsAnswer { return s.run.send(m, call, historyPatience) })
	if answer.status == http.StatusOK {
		s.known = max(s.known, call.version, answer.version)
		if !call.read {
			s.run.confirmed(call)
		}
	}
	return answer
}

func (s *session) read() { s.ask(operatorsCall{read: true}) }

// insist sends an order until its answer is clear.
func (s *session) insist(call operatorsCall) {
	for range historyRepeats {
		if answer := s.ask(call); answer.status != unclear {
			break
		}
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	if s.known < call.version {
		s.read()
	}
}

// copies sends an order to several machines at once.
func (s *session) copies(call operatorsCall) {
	var all sync.WaitGroup
	for range historyCopies {
		m := s.machine()
		all.Go(func() {
			s.run.history.record(s.number, call, func() operatorsAnswer { return s.run.send(m, call, historyPatience) })
		})
	}
	all.Wait()
	s.read()
}

// playHistory plays one seed and gives what the operators saw, for the checker.
func playHistory(t *testing.T, seed uint64, trace func(string, ...any)) (judged []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		replicas := []int{3, 5, 3, 1}[seed%4]
		r := &operatorsRun{operatorsWorld: newOperatorsWorld(t, seed, replicas)}
		if trace != nil {
			r.trace = trace
		}
		r.head()
		if seed%5 == 4 {
			r.fill()
		}
		r.setLossy([]float64{0, 0.002, 0.03}[r.intn(3)])
		r.over = time.Now().Add(historyFaulty)
		var all sync.WaitGroup
		for i := range historySessions {
			s := &session{run: r, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			all.Go(s.play)
		}
		all.Go(func() { r.faults(rand.New(rand.NewPCG(seed, historySessions))) })
		all.Wait()
		time.Sleep(3 * time.Second) // the last of the faults is over
		r.heal()
		r.finish()
		judged = r.history.judged(r.everTaken())
		r.stop()
	})
	return judged
}

// finish holds that the register goes on, and has all machines read it.
func (r *operatorsRun) finish() {
	s := &session{run: r, number: historySessions, random: rand.New(rand.NewPCG(0, 0))}
	began := time.Now()
	for done := false; !done && time.Since(began) < historyRecovers; {
		s.read()
		done = s.ask(newOrder(s.known, s.known+1, r.mark())).status == http.StatusOK
	}
	assert.Less(r.t, time.Since(began), historyRecovers, "no order is confirmed after the faults")
	for _, m := range r.machines {
		call := operatorsCall{read: true}
		answer := r.history.record(m.number, call, func() operatorsAnswer { return r.send(m, call, longPatience) })
		assert.NotEqual(r.t, unclear, answer.status, "machine %d can't tell the configuration after the faults", m.number)
	}
}

// everTaken tells by the state of the head which configurations were in force.
func (r *operatorsRun) everTaken() func(operatorsCall) bool {
	machine := state.New()
	require.NoError(r.t, machine.Restore(peek(r.head().running(), func(n *Node) []byte { return n.engine.machine.Snapshot() })))
	return func(call operatorsCall) bool {
		order := &state.ConfigReplaced{Base: call.base, Version: call.version, Body: []byte(call.body)}
		return machine.CheckConfig(order) == state.Repeated
	}
}

// checkHistory plays one seed and holds that what the operators saw is that of one register.
func checkHistory(t *testing.T, seed uint64, trace func(string, ...any)) {
	const replay = "replay with GAUGESLIP_OPERATORS=%d go test -v -run TestOperatorsSeeOneRegister ./internal/system/control"
	judged := playHistory(t, seed, trace)
	result, _ := porcupine.CheckOperationsVerbose(registerModel(), judged, historyCheck)
	if !assert.Equal(t, porcupine.Ok, result, replay, seed) || trace != nil {
		for _, operation := range judged {
			t.Logf("%d to %d: %s", operation.Call, operation.Return, describe(operation))
		}
	}
	confirmed := 0
	for _, operation := range judged {
		if !operation.Input.(operatorsCall).read && operation.Output.(operatorsAnswer).status == http.StatusOK {
			confirmed++
		}
	}
	assert.Greater(t, confirmed, historySessions, "too few orders for a trial, "+replay, seed)
}

func describe(operation porcupine.Operation) string {
	call, answer := operation.Input.(operatorsCall), operation.Output.(operatorsAnswer)
	if call.read {
		return "read " + strconv.FormatUint(answer.version, 10) + " of " + mark(answer.body)
	}
	return "base " + strconv.FormatUint(call.base, 10) + " version " + strconv.FormatUint(call.version, 10) + " of " + mark(call.body) +
		": " + strconv.Itoa(answer.status)
}

// TestOperatorsSeeOneRegister plays operators under random faults. GAUGESLIP_OPERATORS_SEEDS gives the number of seeds,
// GAUGESLIP_OPERATORS one seed, with a trace.
func TestOperatorsSeeOneRegister(t *testing.T) {
	if seed, alone := seeds.Single(t, "GAUGESLIP_OPERATORS"); alone {
		checkHistory(t, seed, t.Logf)
		return
	}
	for seed := range seeds.Count(t, "GAUGESLIP_OPERATORS_SEEDS", historySeeds) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, uint64(seed), nil)
		})
	}
}
