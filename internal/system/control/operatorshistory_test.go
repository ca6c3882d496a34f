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
	historySeeds     = 60
	historySessions  = 4
	historyFaultTime = 12 * time.Second
	historyTimeout   = time.Second // after which an operator repeats a request
	historyRepeats   = 5
	historyCopies    = 8
	// historyRecoveryTime is how long a request may take to be confirmed after all faults.
	historyRecoveryTime = 5 * time.Second
	// historyCheckTimeout bounds the checker. It takes long only for histories that are not linearizable. Others take up to some seconds on
	// a busy machine.
	historyCheckTimeout = 30 * time.Second
)

// operatorsRun is a run of several operators under random faults.
type operatorsRun struct {
	*operatorsSim
	history operatorsHistory
	over    time.Time

	ordersMutex sync.Mutex
	orders      []operatorsCall // confirmed requests
	marks       int
}

// session is one operator. Its actions come from a random source of its own.
type session struct {
	run    *operatorsRun
	number int
	random *rand.Rand
	known  uint64 // the newest version it has seen
}

// mark returns a number that distinguishes a body from all others.
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

// confirmedOrder returns a random request that was confirmed to any operator, and whether there is one.
func (s *session) confirmedOrder() (operatorsCall, bool) {
	s.run.ordersMutex.Lock()
	defer s.run.ordersMutex.Unlock()
	if len(s.run.orders) == 0 {
		return operatorsCall{}, false
	}
	return s.run.orders[s.random.IntN(len(s.run.orders))], true
}

func (s *session) issueCalls() {
	for time.Now().Before(s.run.over) {
		time.Sleep(time.Duration(10+s.random.IntN(250)) * time.Millisecond)
		switch choice := s.random.IntN(20); {
		case choice < 4:
			s.read()
		case choice < 6:
			if call, ok := s.confirmedOrder(); ok {
				s.callOnce(call)
			}
		case choice < 8:
			s.sendCopies(s.randomOrder())
		default:
			s.sendUntilClear(s.randomOrder())
		}
	}
}

// randomOrder returns a random request. Most are based on the newest version known, some on another one, with a lower version, or invalid.
func (s *session) randomOrder() operatorsCall {
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

// callOnce makes a call once, at a random machine.
func (s *session) callOnce(call operatorsCall) operatorsAnswer {
	m := s.machine()
	answer := s.run.history.record(s.number, call, func() operatorsAnswer { return s.run.send(m, call, historyTimeout) })
	if answer.status == http.StatusOK {
		s.known = max(s.known, call.version, answer.version)
		if !call.read {
			s.run.confirmed(call)
		}
	}
	return answer
}

func (s *session) read() { s.callOnce(operatorsCall{read: true}) }

// sendUntilClear repeats a request until its answer is clear, at most historyRepeats times.
func (s *session) sendUntilClear(call operatorsCall) {
	for range historyRepeats {
		if answer := s.callOnce(call); answer.status != unclear {
			break
		}
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	if s.known < call.version {
		s.read()
	}
}

// sendCopies sends copies of a request concurrently to random machines.
func (s *session) sendCopies(call operatorsCall) {
	var all sync.WaitGroup
	for range historyCopies {
		m := s.machine()
		all.Go(func() {
			s.run.history.record(s.number, call, func() operatorsAnswer { return s.run.send(m, call, historyTimeout) })
		})
	}
	all.Wait()
	s.read()
}

// runHistory runs one seed and returns the operators' history for the checker.
func runHistory(t *testing.T, seed uint64, trace func(string, ...any)) (judged []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		replicas := []int{3, 5, 3, 1}[seed%4]
		r := &operatorsRun{operatorsSim: newOperatorsSim(t, seed, replicas)}
		if trace != nil {
			r.trace = trace
		}
		r.head()
		if seed%5 == 4 {
			r.fill()
		}
		r.setLossy([]float64{0, 0.002, 0.03}[r.intn(3)])
		r.over = time.Now().Add(historyFaultTime)
		var all sync.WaitGroup
		for i := range historySessions {
			s := &session{run: r, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			all.Go(s.issueCalls)
		}
		all.Go(func() { r.faults(rand.New(rand.NewPCG(seed, historySessions))) })
		all.Wait()
		time.Sleep(3 * time.Second) // until the last fault is over
		r.heal()
		r.finish()
		judged = r.history.forChecker(r.everTaken())
		r.stop()
	})
	return judged
}

// finish checks that a request is confirmed after the faults and that all machines answer a read.
func (r *operatorsRun) finish() {
	s := &session{run: r, number: historySessions, random: rand.New(rand.NewPCG(0, 0))}
	began := time.Now()
	for done := false; !done && time.Since(began) < historyRecoveryTime; {
		s.read()
		done = s.callOnce(newOrder(s.known, s.known+1, r.mark())).status == http.StatusOK
	}
	assert.Less(r.t, time.Since(began), historyRecoveryTime, "no order is confirmed after the faults")
	for _, m := range r.machines {
		call := operatorsCall{read: true}
		answer := r.history.record(m.number, call, func() operatorsAnswer { return r.send(m, call, longTimeout) })
		assert.NotEqual(r.t, unclear, answer.status, "machine %d can't tell the configuration after the faults", m.number)
	}
}

// everTaken returns a function that reports whether a configuration was ever in force, by the state of the head.
func (r *operatorsRun) everTaken() func(operatorsCall) bool {
	machine := state.New()
	require.NoError(r.t, machine.Restore(onProcess(r.head().running(), func(n *Node) []byte { return n.engine.machine.Snapshot() })))
	return func(call operatorsCall) bool {
		order := &state.ConfigReplaced{Base: call.base, Version: call.version, Body: []byte(call.body)}
		return machine.CheckConfig(order) == state.Repeated
	}
}

// checkHistory runs one seed and checks that the operators' history is that of one register.
func checkHistory(t *testing.T, seed uint64, trace func(string, ...any)) {
	const replay = "replay with GAUGESLIP_OPERATORS=%d go test -v -run TestOperatorsSeeOneRegister ./internal/system/control"
	judged := runHistory(t, seed, trace)
	result, _ := porcupine.CheckOperationsVerbose(registerModel(), judged, historyCheckTimeout)
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

// TestOperatorsSeeOneRegister runs operators under random faults. GAUGESLIP_OPERATORS_SEEDS sets the number of seeds, GAUGESLIP_OPERATORS
// one seed, with a trace.
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
