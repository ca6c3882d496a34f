package dataplane

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/nodesettings"
)

func allDone(string, string) (internalapi.JobReply, error) {
	return internalapi.JobReply{Verdict: internalapi.Done, State: "running", Pending: 12}, nil
}

func TestRequestsAnsweredWithoutCore(t *testing.T) {
	unexpected := replyWith(func(address, method string) (internalapi.JobReply, error) {
		return internalapi.JobReply{}, errors.New("unexpected call: " + method)
	})
	dispatcher := NewDispatcher(unexpected, testDirectory(t, "a"), noPoll, Options{})
	large := `{"spec":"` + strings.Repeat("x", 1000) + `"}`
	for _, each := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/elsewhere/" + testID, testBody, 404},
		{"GET", "/", "", 404},
		{"POST", testPrefix + "a1", testBody, 400},
		{"POST", testPrefix + "g000000000000000", testBody, 400},
		{"POST", testPrefix + testID + "/", testBody, 400},
		{"POST", testPrefix, testBody, 400},
		{"GET", testPrefix + "a1", "", 400},
		{"DELETE", testPrefix + "a1", "", 400},
		{"POST", testPrefix + testID, "", 400},
		{"POST", testPrefix + testID, "{", 400},
		{"POST", testPrefix + testID, `{"stages":[{"count":-1}]}`, 400},
		{"POST", testPrefix + testID, large, 413},
		{"PUT", testPrefix + testID, testBody, 405},
		{"PATCH", testPrefix, testBody, 405},
	} {
		t.Run(each.method+" "+each.path, func(t *testing.T) {
			assert.Equal(t, each.status, serve(dispatcher, each.method, each.path, each.body).Code)
		})
	}
}

func TestChunkedBodyTooLarge(t *testing.T) {
	dispatcher := NewDispatcher(replyWith(allDone), testDirectory(t, "a"), noPoll, Options{})
	server := newPipeServer(t, dispatcher)
	body := strings.Repeat("x", 1000)
	response := server.exchange("POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost +
		"\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n1\r\ny\r\n0\r\n\r\n")
	assert.Contains(t, response, "413")
}

func TestAllFindingsAreReported(t *testing.T) {
	dispatcher := NewDispatcher(replyWith(allDone), testDirectory(t, "a"), noPoll, Options{})
	response := serve(dispatcher, "POST", testPrefix+testID, `{"stages":[{"count":-1},{"cpu":-2}]}`)
	assert.Equal(t, 400, response.Code)
	assert.Contains(t, response.Body.String(), `stages[0].count`)
	assert.Contains(t, response.Body.String(), `stages[1].cpu`)
}

func TestWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replyWith(allDone), NewDirectory(), noPoll, Options{})
		response := serve(dispatcher, "POST", testPrefix+testID, testBody)
		assert.Equal(t, 503, response.Code)
		assert.Equal(t, "1", response.Header().Get("Retry-After"))
	})
}

func TestUnknownRouteWhileCoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replyWith(allDone), testDirectory(t, "a"), noPoll, Options{})
		assert.Equal(t, 404, serve(dispatcher, "GET", "/elsewhere/", "").Code)
		sleepFor(2 * defaultMaxConfigAge)
		assert.Equal(t, 503, serve(dispatcher, "GET", "/elsewhere/", "").Code)
	})
}

// A 404 for an unknown route must rest on a configuration that is younger than the time within which a new one has to be in
// force, however short that time is.
func TestUnknownRouteNeedsUpToDateConfiguration(t *testing.T) {
	for _, apply := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			process := &Process{settings: nodesettings.Default()}
			process.settings.Bounds.ConfigApplyMs = float64(apply / time.Millisecond)
			dispatcher := NewDispatcher(replyWith(allDone), testDirectory(t, "a"), noPoll, process.boundedOptions(Options{}))
			assert.Equal(t, 404, serve(dispatcher, "GET", "/elsewhere/", "").Code)
			sleepFor(apply * 4 / 5)
			assert.Equal(t, 503, serve(dispatcher, "GET", "/elsewhere/", "").Code, "%v", apply)
		})
	}
}

func TestTargetOfEachRequest(t *testing.T) {
	var asked []string
	caller := replyWith(func(address, method string) (internalapi.JobReply, error) {
		asked = append(asked, address+" "+method)
		return allDone(address, method)
	})
	dispatcher := NewDispatcher(caller, testDirectory(t, "head", "middle", "tail"), noPoll, Options{})
	assert.Equal(t, 200, serve(dispatcher, "POST", testPrefix+testID, testBody).Code)
	status := serve(dispatcher, "GET", testPrefix+testID, "")
	assert.JSONEq(t, `{"state":"running"}`, status.Body.String())
	assert.Equal(t, "application/json", status.Header().Get("Content-Type"))
	assert.Equal(t, 200, serve(dispatcher, "DELETE", testPrefix+testID, "").Code)
	assert.JSONEq(t, `{"pending":12}`, serve(dispatcher, "GET", testPrefix, "").Body.String())
	assert.Equal(t, []string{
		"head " + internalapi.MethodSubmit,
		"tail " + internalapi.MethodStatus,
		"head " + internalapi.MethodCancel,
		"head " + internalapi.MethodCount,
	}, asked)
}

func TestReadsFallBackAlongTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []string
		caller := replyWith(func(address, method string) (internalapi.JobReply, error) {
			asked = append(asked, address)
			if address != "second" {
				return internalapi.JobReply{}, transport.ErrNotSent
			}
			return internalapi.JobReply{Verdict: internalapi.NotKnown}, nil
		})
		dispatcher := NewDispatcher(caller, testDirectory(t, "head", "second", "third", "tail"), noPoll, Options{})
		assert.Equal(t, 410, serve(dispatcher, "GET", testPrefix+testID, "").Code)
		assert.Equal(t, []string{"tail", "head", "third", "second"}, asked)
	})
}

func TestVerdictsOfTheHead(t *testing.T) {
	for verdict, status := range map[internalapi.Verdict]int{
		internalapi.Done:       200,
		internalapi.NoRoute:    404,
		internalapi.Invalid:    400,
		internalapi.Overloaded: 429,
		internalapi.NotHead:    503,
		internalapi.InDoubt:    504,
	} {
		synctest.Test(t, func(t *testing.T) {
			caller := replyWith(func(string, string) (internalapi.JobReply, error) {
				return internalapi.JobReply{Verdict: verdict}, nil
			})
			dispatcher := NewDispatcher(caller, testDirectory(t, "a"), noPoll, Options{})
			assert.Equal(t, status, serve(dispatcher, "POST", testPrefix+testID, testBody).Code, "verdict %d", verdict)
		})
	}
}

// Once one call is in doubt, a refusal of the next call proves nothing.
func TestNothingIsRefusedInDoubt(t *testing.T) {
	for _, verdict := range []internalapi.Verdict{
		internalapi.NoRoute, internalapi.Invalid, internalapi.Overloaded, internalapi.NotHead, internalapi.NotKnown,
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			caller := replyWith(func(string, string) (internalapi.JobReply, error) {
				if calls++; calls == 1 {
					return internalapi.JobReply{}, transport.ErrUnknown
				}
				return internalapi.JobReply{Verdict: verdict}, nil
			})
			dispatcher := NewDispatcher(caller, testDirectory(t, "a"), noPoll, Options{})
			assert.Equal(t, 504, serve(dispatcher, "POST", testPrefix+testID, testBody).Code, "verdict %d", verdict)
			assert.Greater(t, calls, 2)
		})
	}
}

func TestRefusalIsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := replyWith(func(string, string) (internalapi.JobReply, error) {
			return internalapi.JobReply{}, transport.ErrNotSent
		})
		dispatcher := NewDispatcher(caller, testDirectory(t, "a"), noPoll, Options{})
		began := time.Now()
		assert.Equal(t, 503, serve(dispatcher, "POST", testPrefix+testID, testBody, deadlineHeader, "2000").Code)
		assert.LessOrEqual(t, time.Since(began), 900*time.Millisecond)

		sleepFor(defaultCoreContactTimeout)
		began = time.Now()
		assert.Equal(t, 503, serve(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Zero(t, time.Since(began), "the core is unreachable")
	})
}

func TestNewHeadIsCalledImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := testDirectory(t, "a", "b")
		caller := callerFunc(func(address, _ string, _, reply any, timeout time.Duration) error {
			if address == "a" {
				sleepFor(timeout)
				return transport.ErrUnknown
			}
			*reply.(*internalapi.JobReply) = internalapi.JobReply{Verdict: internalapi.Done}
			return nil
		})
		dispatcher := NewDispatcher(caller, directory, noPoll, Options{})
		time.AfterFunc(300*time.Millisecond, func() { directory.LearnView(chainOf(2, "b")) })
		began := time.Now()
		assert.Equal(t, 200, serve(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Equal(t, 300*time.Millisecond, time.Since(began))
		dispatcher.Wait()
	})
}

func TestReplyReportsNewHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := replyWith(func(address, _ string) (internalapi.JobReply, error) {
			if address == "a" {
				return internalapi.JobReply{Verdict: internalapi.NotHead, View: chainOf(7, "b", "a")}, nil
			}
			return internalapi.JobReply{Verdict: internalapi.Done}, nil
		})
		dispatcher := NewDispatcher(caller, testDirectory(t, "a", "b"), noPoll, Options{})
		began := time.Now()
		assert.Equal(t, 200, serve(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Zero(t, time.Since(began))
	})
}

// A count may be two seconds old. An older one, or one that was never known, isn't returned, because the queue may have changed.
func TestCachedCountExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		caller := replyWith(func(address, method string) (internalapi.JobReply, error) {
			if down.Load() {
				return internalapi.JobReply{}, transport.ErrUnknown
			}
			return allDone(address, method)
		})
		dispatcher := NewDispatcher(caller, testDirectory(t, "a"), noPoll, Options{})
		down.Store(true)
		assert.Equal(t, http.StatusServiceUnavailable, serve(dispatcher, "GET", testPrefix, "").Code, "the count was never known")
		down.Store(false)
		assert.JSONEq(t, `{"pending":12}`, serve(dispatcher, "GET", testPrefix, "").Body.String())
		down.Store(true)
		began := time.Now()
		assert.JSONEq(t, `{"pending":12}`, serve(dispatcher, "GET", testPrefix, "").Body.String())
		assert.LessOrEqual(t, time.Since(began), defaultCountTimeout)
		sleepFor(2 * time.Second)
		assert.Equal(t, http.StatusServiceUnavailable, serve(dispatcher, "GET", testPrefix, "").Code, "the cached count is too old")
	})
}

// A replica that doesn't know a new route yet must not cause a 404.
func TestRouteUnknownToOutdatedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		caller := replyWith(func(string, string) (internalapi.JobReply, error) {
			if calls++; calls == 1 {
				return internalapi.JobReply{Verdict: internalapi.NoRoute, ConfigVersion: 1}, nil
			}
			return internalapi.JobReply{Verdict: internalapi.Done, ConfigVersion: 2}, nil
		})
		directory := testDirectory(t, "a")
		_, err := directory.LearnConfig(2, configBody(2))
		require.NoError(t, err)
		dispatcher := NewDispatcher(caller, directory, noPoll, Options{})
		assert.Equal(t, 200, serve(dispatcher, "POST", testPrefix+testID, testBody).Code)
	})
}

func TestDeleteOfUnknownAndInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply, failure := internalapi.JobReply{Verdict: internalapi.NotKnown}, error(nil)
		caller := replyWith(func(string, string) (internalapi.JobReply, error) { return reply, failure })
		dispatcher := NewDispatcher(caller, testDirectory(t, "a"), noPoll, Options{})
		assert.Equal(t, http.StatusGone, serve(dispatcher, "DELETE", testPrefix+testID, "").Code)
		failure = fmt.Errorf("%w: cut", transport.ErrUnknown)
		assert.Equal(t, http.StatusGatewayTimeout, serve(dispatcher, "DELETE", testPrefix+testID, "").Code)
		failure = fmt.Errorf("%w: refused", transport.ErrNotSent)
		assert.Equal(t, http.StatusServiceUnavailable, serve(dispatcher, "DELETE", testPrefix+testID, "").Code)
	})
}

func TestDrainingResponsesCloseConnections(t *testing.T) {
	dispatcher := NewDispatcher(replyWith(allDone), testDirectory(t, "a"), noPoll, Options{})
	assert.Empty(t, serve(dispatcher, "GET", testPrefix, "").Header().Get("Connection"))
	dispatcher.Drain()
	assert.Equal(t, "close", serve(dispatcher, "GET", testPrefix, "").Header().Get("Connection"))
}
