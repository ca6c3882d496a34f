package dataplane

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
)

// recordingLogger is a Logger that records warnings.
type recordingLogger struct{ lines []string }

func (k *recordingLogger) Info(any, ...any)  {}
func (k *recordingLogger) Error(any, ...any) {}
func (k *recordingLogger) Warn(message any, keyvals ...any) {
	k.lines = append(k.lines, fmt.Sprint(message)+" "+fmt.Sprint(keyvals...))
}

// Every request that isn't served is logged with its path, the reason and the last attempt, and counted by reason.
func TestUnservedRequestIsLoggedAndCounted(t *testing.T) {
	cases := map[string]struct {
		respond func(address, method string) (internalapi.JobReply, error)
		reason  failureReason
		last    string
		status  int
	}{
		"not the head": {respond: func(string, string) (internalapi.JobReply, error) {
			return internalapi.JobReply{Verdict: internalapi.NotHead}, nil
		}, reason: reasonTimeUp, last: "not-head", status: http.StatusServiceUnavailable},
		"no answer": {respond: func(string, string) (internalapi.JobReply, error) {
			return internalapi.JobReply{}, transport.ErrUnknown
		}, reason: reasonTimeUp, last: transport.ErrUnknown.Error(), status: http.StatusGatewayTimeout},
		"overloaded": {respond: func(string, string) (internalapi.JobReply, error) {
			return internalapi.JobReply{Verdict: internalapi.Overloaded}, nil
		}, reason: reasonOverloaded, last: "overloaded", status: http.StatusTooManyRequests},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var logger recordingLogger
			dispatcher := NewDispatcher(replyWith(c.respond), testDirectory(t, "a"), noPoll, Options{Logger: &logger})
			require.Equal(t, c.status, serve(dispatcher, http.MethodPost, testPrefix+testID, testBody, deadlineHeader, "1000").Code, name)
			require.Len(t, logger.lines, 1, name)
			for _, part := range []string{"request not served", testPrefix + testID, string(c.reason), c.last, fmt.Sprint(c.status)} {
				assert.Contains(t, logger.lines[0], part, name)
			}
			var w figures.Writer
			dispatcher.failures.write(&w)
			assert.Contains(t, string(w.Bytes()), fmt.Sprintf("requests_failed_total{reason=%q} 1", c.reason), name)
			assert.Contains(t, string(w.Bytes()), "answer_seconds_count 1", name)
		})
	}
}

// An outage must fill neither the log nor the CPU: a few failures per second are logged, the rest are only counted.
func TestFailureLogIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logger recordingLogger
		dispatcher := NewDispatcher(callerFunc(nil), NewDirectory(), noPoll, Options{Logger: &logger})
		for range 10 * maxLoggedPerSecond {
			require.Equal(t, http.StatusServiceUnavailable, serve(dispatcher, http.MethodGet, testPrefix+testID, "").Code)
		}
		assert.Len(t, logger.lines, maxLoggedPerSecond)
		var w figures.Writer
		dispatcher.failures.write(&w)
		assert.Contains(t, string(w.Bytes()), fmt.Sprintf("requests_failed_total{reason=%q} %d", reasonNoConfiguration, 10*maxLoggedPerSecond))
	})
}
