package control

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// replaceElsewhere passes an order on from a replica that isn't the head, to one that answers as told.
func replaceElsewhere(t *testing.T, answers ...func(*internalapi.ReplaceReply) error) (reply internalapi.ReplaceReply) {
	playOperators(t, 3, func(w *operatorsWorld, head *operatorsMachine) {
		p := w.others(head)[0].running()
		p.forward = func(_, _ string, _, reply any, _ time.Duration) error {
			next := answers[0]
			if len(answers) > 1 {
				answers = answers[1:]
			}
			return next(reply.(*internalapi.ReplaceReply))
		}
		reply = p.replaceAnywhere(internalapi.ReplaceArgs{Base: 1, Body: []byte(operatorsBody(2, 10))}, operatorPatience)
	})
	return reply
}

func answered(verdict internalapi.Verdict, status int) func(*internalapi.ReplaceReply) error {
	return func(reply *internalapi.ReplaceReply) error {
		*reply = internalapi.ReplaceReply{Verdict: verdict, Status: status}
		return nil
	}
}

func failed(err error) func(*internalapi.ReplaceReply) error {
	return func(*internalapi.ReplaceReply) error { return err }
}

// A refusal counts only if no earlier copy of the order may still be carried out: one on a version that is yet to come may be.
func TestARefusalAfterADoubtIsNoAnswer(t *testing.T) {
	refused := answered(internalapi.Invalid, http.StatusPreconditionFailed)
	assert.Equal(t, http.StatusGatewayTimeout, replaceElsewhere(t, failed(transport.ErrUnknown), refused).Status)
	assert.Equal(t, http.StatusPreconditionFailed, replaceElsewhere(t, failed(transport.ErrNotSent), refused).Status)
	assert.Equal(t, http.StatusPreconditionFailed, replaceElsewhere(t, answered(internalapi.NotHead, 0), refused).Status)
}

// Whoever doesn't know of a head says so; where an order may be on its way, that it isn't decided.
func TestAnOrderWithoutAHeadIsLeftUnclear(t *testing.T) {
	assert.Equal(t, http.StatusServiceUnavailable, replaceElsewhere(t, failed(transport.ErrNotSent)).Status)
	assert.Equal(t, http.StatusGatewayTimeout, replaceElsewhere(t, failed(transport.ErrUnknown)).Status)
	assert.Equal(t, http.StatusServiceUnavailable, replaceElsewhere(t, answered(internalapi.NotHead, 0)).Status)
	assert.Equal(t, http.StatusOK, replaceElsewhere(t, failed(transport.ErrUnknown), answered(internalapi.Done, http.StatusOK)).Status)
}

// A call whose reply came with an error has none.
func TestAFailedCallGivesNoAnswer(t *testing.T) {
	half := func(reply *internalapi.ReplaceReply) error {
		*reply = internalapi.ReplaceReply{Verdict: internalapi.Done, Status: http.StatusOK}
		return transport.ErrUnknown
	}
	assert.Equal(t, http.StatusGatewayTimeout, replaceElsewhere(t, half).Status)
}

// fates proposes a command at a head whose peers don't answer any more, lets something happen, and gives what the proposal came to.
func fates(t *testing.T, happens func(e *engine)) (came []fate) {
	var all []fate
	playOperators(t, 3, func(w *operatorsWorld, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		p := head.running()
		command := state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Base: 1, Version: 2, Body: []byte("x")}}
		p.loop.post(func() {
			p.engine.propose(command, func(_ state.Result, fate fate) { all = append(all, fate) })
			require.True(t, p.engine.flush())
			p.engine.propose(command, func(_ state.Result, fate fate) { all = append(all, fate) })
			happens(p.engine)
		})
		time.Sleep(100 * time.Millisecond)
		came = ask(p.Node, time.Second, nil, func(answer func([]fate)) { answer(slices.Clone(all)) }) // without what the end of the world adds
	})
	return came
}

// What was appended and is not settled when the replica's core ends may be committed by the others; what never was appended can't be.
func TestTheEndOfACoreLeavesWhatItAppendedInDoubt(t *testing.T) {
	assert.Equal(t, []fate{fateRefused, fateInDoubt}, fates(t, (*engine).close))
}

// A snapshot tells nothing of the index at which an order was appended: it may be in there.
func TestASnapshotLeavesWhatItCoversInDoubt(t *testing.T) {
	came := fates(t, func(e *engine) {
		e.install(&chain.Snapshot{Index: e.replica.LastIndex(), Data: e.machine.Snapshot()})
	})
	assert.Equal(t, []fate{fateInDoubt}, came)
}

// What an earlier epoch left at an index may still be held by a replica that could become the head before it hears of this epoch.
func TestWhatIsDroppedFromTheLogIsInDoubt(t *testing.T) {
	came := fates(t, func(e *engine) {
		earlier := e.flying[e.replica.LastIndex()]
		delete(e.flying, e.replica.LastIndex())
		e.flying[e.replica.LastIndex()+1] = earlier
		e.flush()
	})
	assert.Equal(t, []fate{fateInDoubt}, came)
}

// undecidedHere orders at a head that is cut off, lets something happen there, and gives the head's answer.
func undecidedHere(t *testing.T, happens func(head *operatorsMachine)) (reply internalapi.ReplaceReply) {
	playOperators(t, 3, func(w *operatorsWorld, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		p := head.running()
		time.AfterFunc(100*time.Millisecond, func() { happens(head) })
		reply = p.replaceHere(internalapi.ReplaceArgs{Base: 1, Body: []byte(operatorsBody(2, 10))}, 5*time.Second)
	})
	return reply
}

// An order that was appended and isn't settled is in doubt: when time is up, and when the core ends.
func TestAnAppendedOrderIsInDoubt(t *testing.T) {
	expected := internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout, Text: "not decided in time"}
	assert.Equal(t, expected, undecidedHere(t, func(*operatorsMachine) {}))
	assert.Equal(t, expected, undecidedHere(t, func(m *operatorsMachine) {
		p := m.running()
		p.loop.post(p.engine.close)
	}))
}

// A core that has ended neither answers nor stands for the head's place: its disk takes nothing any more.
func TestACoreThatHasEndedSaysNothing(t *testing.T) {
	playOperators(t, 3, func(w *operatorsWorld, head *operatorsMachine) {
		p := w.others(head)[0].running()
		said := 0
		p.loop.post(func() {
			p.engine.close()
			p.engine.options.send = func(string, *replica.Message) { said++ }
		})
		time.Sleep(2 * time.Second)
		assert.Zero(t, said)
	})
}
