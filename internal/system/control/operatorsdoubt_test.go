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

// replaceAtFollower sends a request to a replica that is not the head. The calls that it forwards get the given answers in order, the last
// one repeatedly.
func replaceAtFollower(t *testing.T, answers ...func(*internalapi.ReplaceReply) error) (reply internalapi.ReplaceReply) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		p := w.others(head)[0].running()
		p.forward = func(_, _ string, _, reply any, _ time.Duration) error {
			next := answers[0]
			if len(answers) > 1 {
				answers = answers[1:]
			}
			return next(reply.(*internalapi.ReplaceReply))
		}
		reply = p.replaceOrForward(internalapi.ReplaceArgs{Base: 1, Body: []byte(operatorsBody(2, 10))}, operatorTimeout)
	})
	return reply
}

func replyWith(verdict internalapi.Verdict, status int) func(*internalapi.ReplaceReply) error {
	return func(reply *internalapi.ReplaceReply) error {
		*reply = internalapi.ReplaceReply{Verdict: verdict, Status: status}
		return nil
	}
}

func failWith(err error) func(*internalapi.ReplaceReply) error {
	return func(*internalapi.ReplaceReply) error { return err }
}

// A rejection is definite only if no earlier copy of the request may still be carried out. A copy based on a future version may be.
func TestRefusalAfterAnUnknownOutcomeIsInDoubt(t *testing.T) {
	refused := replyWith(internalapi.Invalid, http.StatusPreconditionFailed)
	assert.Equal(t, http.StatusGatewayTimeout, replaceAtFollower(t, failWith(transport.ErrUnknown), refused).Status)
	assert.Equal(t, http.StatusPreconditionFailed, replaceAtFollower(t, failWith(transport.ErrNotSent), refused).Status)
	assert.Equal(t, http.StatusPreconditionFailed, replaceAtFollower(t, replyWith(internalapi.NotHead, 0), refused).Status)
}

// A replica that knows no head answers 503. If a copy of the request may have been sent, it answers 504.
func TestOrderWithoutAHeadHasNoDefiniteAnswer(t *testing.T) {
	assert.Equal(t, http.StatusServiceUnavailable, replaceAtFollower(t, failWith(transport.ErrNotSent)).Status)
	assert.Equal(t, http.StatusGatewayTimeout, replaceAtFollower(t, failWith(transport.ErrUnknown)).Status)
	assert.Equal(t, http.StatusServiceUnavailable, replaceAtFollower(t, replyWith(internalapi.NotHead, 0)).Status)
	assert.Equal(t, http.StatusOK, replaceAtFollower(t, failWith(transport.ErrUnknown), replyWith(internalapi.Done, http.StatusOK)).Status)
}

// The reply of a call that failed is ignored.
func TestAFailedCallGivesNoAnswer(t *testing.T) {
	half := func(reply *internalapi.ReplaceReply) error {
		*reply = internalapi.ReplaceReply{Verdict: internalapi.Done, Status: http.StatusOK}
		return transport.ErrUnknown
	}
	assert.Equal(t, http.StatusGatewayTimeout, replaceAtFollower(t, half).Status)
}

// proposalStatuses proposes a command at a head that is cut off from its peers, runs happens, and returns the reported commit statuses.
func proposalStatuses(t *testing.T, happens func(e *engine)) (came []commitStatus) {
	var all []commitStatus
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		p := head.running()
		command := state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Base: 1, Version: 2, Body: []byte("x")}}
		p.loop.post(func() {
			p.engine.propose(command, func(_ state.Result, status commitStatus) { all = append(all, status) })
			require.True(t, p.engine.flush())
			p.engine.propose(command, func(_ state.Result, status commitStatus) { all = append(all, status) })
			happens(p.engine)
		})
		time.Sleep(100 * time.Millisecond)
		came = runOnLoop(p.Node, time.Second, nil, func(answer func([]commitStatus)) { answer(slices.Clone(all)) }) // without the statuses reported when the simulation stops
	})
	return came
}

// When the core closes, a command that was appended may still be committed by other replicas. A command that was never appended cannot be.
func TestClosedCoreLeavesAppendedProposalsInDoubt(t *testing.T) {
	assert.Equal(t, []commitStatus{statusRejected, statusInDoubt}, proposalStatuses(t, (*engine).close))
}

// A snapshot that covers the index of a proposal may contain the command.
func TestSnapshotMakesCoveredProposalsInDoubt(t *testing.T) {
	came := proposalStatuses(t, func(e *engine) {
		e.installSnapshot(&chain.Snapshot{Index: e.replica.LastIndex(), Data: e.machine.Snapshot()})
	})
	assert.Equal(t, []commitStatus{statusInDoubt}, came)
}

// A command appended in an earlier epoch may still be held by a replica that becomes the head before it learns of the present epoch.
func TestProposalDroppedFromTheLogIsInDoubt(t *testing.T) {
	came := proposalStatuses(t, func(e *engine) {
		earlier := e.inFlight[e.replica.LastIndex()]
		delete(e.inFlight, e.replica.LastIndex())
		e.inFlight[e.replica.LastIndex()+1] = earlier
		e.flush()
	})
	assert.Equal(t, []commitStatus{statusInDoubt}, came)
}

// replaceAtCutOffHead sends a request to a head that is cut off, runs happens there, and returns the head's answer.
func replaceAtCutOffHead(t *testing.T, happens func(head *operatorsMachine)) (reply internalapi.ReplaceReply) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		w.isolate(head, true, true, true)
		p := head.running()
		time.AfterFunc(100*time.Millisecond, func() { happens(head) })
		reply = p.replaceLocally(internalapi.ReplaceArgs{Base: 1, Body: []byte(operatorsBody(2, 10))}, 5*time.Second)
	})
	return reply
}

// A request that was appended and not decided is in doubt, both after a timeout and when the core closes.
func TestAnAppendedOrderIsInDoubt(t *testing.T) {
	expected := internalapi.ReplaceReply{Verdict: internalapi.InDoubt, Status: http.StatusGatewayTimeout, Text: "not decided in time"}
	assert.Equal(t, expected, replaceAtCutOffHead(t, func(*operatorsMachine) {}))
	assert.Equal(t, expected, replaceAtCutOffHead(t, func(m *operatorsMachine) {
		p := m.running()
		p.loop.post(p.engine.close)
	}))
}

// A closed core sends nothing, neither answers nor election messages, because its disk no longer stores anything.
func TestClosedCoreSendsNothing(t *testing.T) {
	runOperators(t, 3, func(w *operatorsSim, head *operatorsMachine) {
		p := w.others(head)[0].running()
		sent := 0
		p.loop.post(func() {
			p.engine.close()
			p.engine.options.send = func(string, *replica.Message) { sent++ }
		})
		time.Sleep(2 * time.Second)
		assert.Zero(t, sent)
	})
}
