package control

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// Only a committed command has an outcome. A command that may be committed gives a reply in doubt.
func TestJobReplyForEachCommitStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShareSim(t, 1, nil)
		defer w.stop()
		for _, test := range []struct {
			outcome state.Outcome
			status  commitStatus
			verdict internalapi.Verdict
		}{
			{state.Applied, statusCommitted, internalapi.Done},
			{state.Repeated, statusCommitted, internalapi.Done},
			{state.Malformed, statusCommitted, internalapi.Invalid},
			{state.Unknown, statusCommitted, internalapi.NotKnown},
			{state.TooMany, statusCommitted, internalapi.Overloaded},
			{state.Applied, statusInDoubt, internalapi.InDoubt},
			{state.Applied, statusRejected, internalapi.NotHead},
		} {
			r := w.replicas[0]
			reply := onReplica(r, func() internalapi.JobReply { return r.jobReply(state.Result{Outcome: test.outcome}, test.status) })
			assert.Equal(t, test.verdict, reply.Verdict, "outcome %v, status %v", test.outcome, test.status)
		}
	})
}
