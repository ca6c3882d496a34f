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

// A dispatcher that has just started has no configuration yet, and has heard of nobody who serves.

func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			directory := NewDirectory()
			dispatcher := NewDispatcher(replying(allDone), directory, noPoke, Options{})
			const later = 400 * time.Millisecond
			go func() {
				pass(later)
				_, err := directory.LearnConfig(1, configBody(1))
				assert.NoError(t, err)
				directory.LearnView(chainOf(1, "a"))
			}()
			began := time.Now()
			answer := ask(dispatcher, method, testPrefix+testID, testBody)
			assert.Equal(t, 200, answer.Code, method)
			assert.Equal(t, later, time.Since(began), method)
		})
	}
}

func TestWithoutAConfigurationItIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replying(allDone), NewDirectory(), noPoke, Options{DefaultWait: time.Second})
		began := time.Now()
		answer := ask(dispatcher, http.MethodPost, testPrefix+testID, testBody)
		require.Equal(t, 503, answer.Code)
		assert.Equal(t, 450*time.Millisecond, time.Since(began), "while there is time to hand it in elsewhere")
	})
}

func TestWithoutHopeOfTheCoreItIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replying(allDone), NewDirectory(), noPoke, Options{})
		pass(defaultContactLife)
		began := time.Now()
		answer := ask(dispatcher, http.MethodPost, testPrefix+testID, testBody)
		require.Equal(t, 503, answer.Code)
		assert.Zero(t, time.Since(began))
	})
}

func TestACallIsRepeatedWhileTheCoreStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := knowing(t, "a")
		directory.seen.Store(0) // configuration and view came by gossip
		serving := time.Now().Add(300 * time.Millisecond)
		core := replying(func(string, string) (internalapi.JobReply, error) {
			if time.Now().Before(serving) {
				return internalapi.JobReply{}, transport.ErrNotSent
			}
			return internalapi.JobReply{Verdict: internalapi.Done}, nil
		})
		answer := ask(NewDispatcher(core, directory, noPoke, Options{}), http.MethodPost, testPrefix+testID, testBody)
		assert.Equal(t, 200, answer.Code)
	})
}
