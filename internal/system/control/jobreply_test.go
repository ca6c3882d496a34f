package control

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/state"
)

// What became of a job's command is told as it is: only what is committed has an outcome, and what may be committed is in doubt.
func TestWhatBecameOfAJobsCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShareWorld(t, 1, nil)
		defer w.stop()
		for _, test := range []struct {
			outcome state.Outcome
			fate    fate
			verdict internalapi.Verdict
		}{
			{state.Applied, fateCommitted, internalapi.Done},
			{state.Repeated, fateCommitted, internalapi.Done},
			{state.Malformed, fateCommitted, internalapi.Invalid},
			{state.Unknown, fateCommitted, internalapi.NotKnown},
			{state.Applied, fateInDoubt, internalapi.InDoubt},
			{state.Applied, fateRefused, internalapi.NotHead},
		} {
			r := w.replicas[0]
			reply := lookAt(r, func() internalapi.JobReply { return r.jobReply(state.Result{Outcome: test.outcome}, test.fate) })
			assert.Equal(t, test.verdict, reply.Verdict, "outcome %v, fate %v", test.outcome, test.fate)
		}
	})
}
