package dataplane

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/internalapi"
)

// Requests in progress at the SIGTERM may continue into the last sixth of the grace period.
func TestExitIsInLastSixthOfGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		end := exitTimeout(grace)
		assert.Greater(t, end, grace*5/6, "%v", grace)
		assert.Less(t, end, grace, "%v", grace)
	}
	assert.Zero(t, exitTimeout(0))
}

// A request still in progress when the dispatcher has to exit is answered before that, however long its client would wait.
func TestResponseIsSentBeforeExit(t *testing.T) {
	for verdict, status := range map[internalapi.Verdict]int{
		internalapi.NotHead: http.StatusServiceUnavailable, internalapi.InDoubt: http.StatusGatewayTimeout,
	} {
		synctest.Test(t, func(t *testing.T) {
			directory := testDirectory(t, "a")
			caller := replyWith(func(string, string) (internalapi.JobReply, error) {
				directory.RecordContact()
				return internalapi.JobReply{Verdict: verdict}, nil
			})
			dispatcher := NewDispatcher(caller, directory, noPoll, Options{})
			end := time.Now().Add(5 * time.Second)
			time.AfterFunc(time.Second, func() { dispatcher.SetResponseDeadline(end) })
			got := serve(dispatcher, http.MethodPost, testPrefix+testID, testBody, deadlineHeader, "600000").Code
			require.Equal(t, status, got)
			assert.True(t, time.Now().Before(end))
			assert.Greater(t, time.Until(end), -time.Millisecond)
			assert.Less(t, time.Until(end), 2*time.Second, "attempts continue as long as there is time")
		})
	}
}
