package dataplane

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
)

// These tests cover a dispatcher that has just started: it has no configuration yet and no contact with a serving replica.

func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			directory := NewDirectory()
			dispatcher := NewDispatcher(replyWith(allDone), directory, noPoll, Options{})
			const later = 400 * time.Millisecond
			go func() {
				sleepFor(later)
				_, err := directory.LearnConfig(1, configBody(1))
				assert.NoError(t, err)
				directory.LearnView(chainOf(1, "a"))
			}()
			began := time.Now()
			response := serve(dispatcher, method, testPrefix+testID, testBody)
			assert.Equal(t, 200, response.Code, method)
			assert.Equal(t, later, time.Since(began), method)
		})
	}
}

func TestRefusalInTimeWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replyWith(allDone), NewDirectory(), noPoll, Options{DefaultWaitTime: time.Second})
		began := time.Now()
		response := serve(dispatcher, http.MethodPost, testPrefix+testID, testBody)
		require.Equal(t, 503, response.Code)
		assert.Equal(t, 450*time.Millisecond, time.Since(began), "refused while there is time to submit it elsewhere")
	})
}

func TestImmediateRefusalWhenCoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replyWith(allDone), NewDirectory(), noPoll, Options{})
		sleepFor(defaultCoreContactTimeout)
		began := time.Now()
		response := serve(dispatcher, http.MethodPost, testPrefix+testID, testBody)
		require.Equal(t, 503, response.Code)
		assert.Zero(t, time.Since(began))
	})
}

func TestCallIsRetriedWhileCoreStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := testDirectory(t, "a")
		directory.contactAt.Store(0) // configuration and view were received by gossip
		serving := time.Now().Add(300 * time.Millisecond)
		core := replyWith(func(string, string) (internalapi.JobReply, error) {
			if time.Now().Before(serving) {
				return internalapi.JobReply{}, transport.ErrNotSent
			}
			return internalapi.JobReply{Verdict: internalapi.Done}, nil
		})
		response := serve(NewDispatcher(core, directory, noPoll, Options{}), http.MethodPost, testPrefix+testID, testBody)
		assert.Equal(t, 200, response.Code)
	})
}
