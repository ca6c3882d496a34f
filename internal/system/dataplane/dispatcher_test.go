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

func TestAnswersWithoutTheCore(t *testing.T) {
	untouched := replying(func(address, method string) (internalapi.JobReply, error) {
		return internalapi.JobReply{}, errors.New("not expected: " + method)
	})
	dispatcher := NewDispatcher(untouched, knowing(t, "a"), noPoke, Options{})
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
			assert.Equal(t, each.status, ask(dispatcher, each.method, each.path, each.body).Code)
		})
	}
}

func TestTooLargeABodyOfUntoldLength(t *testing.T) {
	dispatcher := NewDispatcher(replying(allDone), knowing(t, "a"), noPoke, Options{})
	server := newPipeServer(t, dispatcher)
	body := strings.Repeat("x", 1000)
	answer := server.exchange("POST " + testPrefix + testID + " HTTP/1.1\r\nHost: " + testHost +
		"\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n1\r\ny\r\n0\r\n\r\n")
	assert.Contains(t, answer, "413")
}

func TestAllFindingsAreTold(t *testing.T) {
	dispatcher := NewDispatcher(replying(allDone), knowing(t, "a"), noPoke, Options{})
	answer := ask(dispatcher, "POST", testPrefix+testID, `{"stages":[{"count":-1},{"cpu":-2}]}`)
	assert.Equal(t, 400, answer.Code)
	assert.Contains(t, answer.Body.String(), `stages[0].count`)
	assert.Contains(t, answer.Body.String(), `stages[1].cpu`)
}

func TestWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replying(allDone), NewDirectory(), noPoke, Options{})
		answer := ask(dispatcher, "POST", testPrefix+testID, testBody)
		assert.Equal(t, 503, answer.Code)
		assert.Equal(t, "1", answer.Header().Get("Retry-After"))
	})
}

func TestAnUnknownRouteOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := NewDispatcher(replying(allDone), knowing(t, "a"), noPoke, Options{})
		assert.Equal(t, 404, ask(dispatcher, "GET", "/elsewhere/", "").Code)
		pass(2 * defaultStaleContact)
		assert.Equal(t, 503, ask(dispatcher, "GET", "/elsewhere/", "").Code)
	})
}

// What is said of a route that isn't known is younger than any configuration that has to be in force, however soon that is.
func TestAnUnknownRouteIsDeniedByFreshKnowledgeOnly(t *testing.T) {
	for _, apply := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			process := &Process{settings: nodesettings.Default()}
			process.settings.Bounds.ConfigApplyMs = float64(apply / time.Millisecond)
			dispatcher := NewDispatcher(replying(allDone), knowing(t, "a"), noPoke, process.bounded(Options{}))
			assert.Equal(t, 404, ask(dispatcher, "GET", "/elsewhere/", "").Code)
			pass(apply * 4 / 5)
			assert.Equal(t, 503, ask(dispatcher, "GET", "/elsewhere/", "").Code, "%v", apply)
		})
	}
}

func TestWhoIsAsked(t *testing.T) {
	var asked []string
	caller := replying(func(address, method string) (internalapi.JobReply, error) {
		asked = append(asked, address+" "+method)
		return allDone(address, method)
	})
	dispatcher := NewDispatcher(caller, knowing(t, "head", "middle", "tail"), noPoke, Options{})
	assert.Equal(t, 200, ask(dispatcher, "POST", testPrefix+testID, testBody).Code)
	status := ask(dispatcher, "GET", testPrefix+testID, "")
	assert.JSONEq(t, `{"state":"running"}`, status.Body.String())
	assert.Equal(t, "application/json", status.Header().Get("Content-Type"))
	assert.Equal(t, 200, ask(dispatcher, "DELETE", testPrefix+testID, "").Code)
	assert.JSONEq(t, `{"pending":12}`, ask(dispatcher, "GET", testPrefix, "").Body.String())
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
		caller := replying(func(address, method string) (internalapi.JobReply, error) {
			asked = append(asked, address)
			if address != "second" {
				return internalapi.JobReply{}, transport.ErrNotSent
			}
			return internalapi.JobReply{Verdict: internalapi.NotKnown}, nil
		})
		dispatcher := NewDispatcher(caller, knowing(t, "head", "second", "third", "tail"), noPoke, Options{})
		assert.Equal(t, 410, ask(dispatcher, "GET", testPrefix+testID, "").Code)
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
			caller := replying(func(string, string) (internalapi.JobReply, error) {
				return internalapi.JobReply{Verdict: verdict}, nil
			})
			dispatcher := NewDispatcher(caller, knowing(t, "a"), noPoke, Options{})
			assert.Equal(t, status, ask(dispatcher, "POST", testPrefix+testID, testBody).Code, "verdict %d", verdict)
		})
	}
}

// Once one call is in doubt, a refusal of the next one proves nothing.
func TestInDoubtNothingIsRefused(t *testing.T) {
	for _, verdict := range []internalapi.Verdict{
		internalapi.NoRoute, internalapi.Invalid, internalapi.Overloaded, internalapi.NotHead, internalapi.NotKnown,
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			caller := replying(func(string, string) (internalapi.JobReply, error) {
				if calls++; calls == 1 {
					return internalapi.JobReply{}, transport.ErrUnknown
				}
				return internalapi.JobReply{Verdict: verdict}, nil
			})
			dispatcher := NewDispatcher(caller, knowing(t, "a"), noPoke, Options{})
			assert.Equal(t, 504, ask(dispatcher, "POST", testPrefix+testID, testBody).Code, "verdict %d", verdict)
			assert.Greater(t, calls, 2)
		})
	}
}

func TestARefusalIsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := replying(func(string, string) (internalapi.JobReply, error) {
			return internalapi.JobReply{}, transport.ErrNotSent
		})
		dispatcher := NewDispatcher(caller, knowing(t, "a"), noPoke, Options{})
		begun := time.Now()
		assert.Equal(t, 503, ask(dispatcher, "POST", testPrefix+testID, testBody, deadlineHeader, "2000").Code)
		assert.LessOrEqual(t, time.Since(begun), 900*time.Millisecond)

		pass(defaultContactLife)
		begun = time.Now()
		assert.Equal(t, 503, ask(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Zero(t, time.Since(begun), "there was no hope left")
	})
}

func TestANewHeadIsCalledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := knowing(t, "a", "b")
		caller := callerFunc(func(address, _ string, _, reply any, timeout time.Duration) error {
			if address == "a" {
				pass(timeout)
				return transport.ErrUnknown
			}
			*reply.(*internalapi.JobReply) = internalapi.JobReply{Verdict: internalapi.Done}
			return nil
		})
		dispatcher := NewDispatcher(caller, directory, noPoke, Options{})
		time.AfterFunc(300*time.Millisecond, func() { directory.LearnView(chainOf(2, "b")) })
		begun := time.Now()
		assert.Equal(t, 200, ask(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Equal(t, 300*time.Millisecond, time.Since(begun))
		dispatcher.Wait()
	})
}

func TestAReplyBringsTheNewHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := replying(func(address, _ string) (internalapi.JobReply, error) {
			if address == "a" {
				return internalapi.JobReply{Verdict: internalapi.NotHead, View: chainOf(7, "b", "a")}, nil
			}
			return internalapi.JobReply{Verdict: internalapi.Done}, nil
		})
		dispatcher := NewDispatcher(caller, knowing(t, "a", "b"), noPoke, Options{})
		begun := time.Now()
		assert.Equal(t, 200, ask(dispatcher, "POST", testPrefix+testID, testBody).Code)
		assert.Zero(t, time.Since(begun))
	})
}

// A count may be two seconds old. One that is older, or was never known, isn't told: the queue may hold anything by now.
func TestTheLastKnownCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		caller := replying(func(address, method string) (internalapi.JobReply, error) {
			if down.Load() {
				return internalapi.JobReply{}, transport.ErrUnknown
			}
			return allDone(address, method)
		})
		dispatcher := NewDispatcher(caller, knowing(t, "a"), noPoke, Options{})
		down.Store(true)
		assert.Equal(t, http.StatusServiceUnavailable, ask(dispatcher, "GET", testPrefix, "").Code, "never known")
		down.Store(false)
		assert.JSONEq(t, `{"pending":12}`, ask(dispatcher, "GET", testPrefix, "").Body.String())
		down.Store(true)
		begun := time.Now()
		assert.JSONEq(t, `{"pending":12}`, ask(dispatcher, "GET", testPrefix, "").Body.String())
		assert.LessOrEqual(t, time.Since(begun), defaultCountPatience)
		pass(2 * time.Second)
		assert.Equal(t, http.StatusServiceUnavailable, ask(dispatcher, "GET", testPrefix, "").Code, "too old")
	})
}

// A replica that hasn't heard of a route yet doesn't take it away.
func TestARouteThatAReplicaHasYetToLearn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		caller := replying(func(string, string) (internalapi.JobReply, error) {
			if calls++; calls == 1 {
				return internalapi.JobReply{Verdict: internalapi.NoRoute, ConfigVersion: 1}, nil
			}
			return internalapi.JobReply{Verdict: internalapi.Done, ConfigVersion: 2}, nil
		})
		directory := knowing(t, "a")
		_, err := directory.LearnConfig(2, configBody(2))
		require.NoError(t, err)
		dispatcher := NewDispatcher(caller, directory, noPoke, Options{})
		assert.Equal(t, 200, ask(dispatcher, "POST", testPrefix+testID, testBody).Code)
	})
}

func TestDeleteOfUnknownAndInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply, failure := internalapi.JobReply{Verdict: internalapi.NotKnown}, error(nil)
		caller := replying(func(string, string) (internalapi.JobReply, error) { return reply, failure })
		dispatcher := NewDispatcher(caller, knowing(t, "a"), noPoke, Options{})
		assert.Equal(t, http.StatusGone, ask(dispatcher, "DELETE", testPrefix+testID, "").Code)
		failure = fmt.Errorf("%w: cut", transport.ErrUnknown)
		assert.Equal(t, http.StatusGatewayTimeout, ask(dispatcher, "DELETE", testPrefix+testID, "").Code)
		failure = fmt.Errorf("%w: refused", transport.ErrNotSent)
		assert.Equal(t, http.StatusServiceUnavailable, ask(dispatcher, "DELETE", testPrefix+testID, "").Code)
	})
}

func TestDrainingAnswersEndTheirConnections(t *testing.T) {
	dispatcher := NewDispatcher(replying(allDone), knowing(t, "a"), noPoke, Options{})
	assert.Empty(t, ask(dispatcher, "GET", testPrefix, "").Header().Get("Connection"))
	dispatcher.Drain()
	assert.Equal(t, "close", ask(dispatcher, "GET", testPrefix, "").Header().Get("Connection"))
}
