package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/jobspec"
)

const (
	clientHost      = "10.0.0.1"
	dispatcherHost  = "10.0.0.2"
	dispatcherFront = dispatcherHost + ":80"
)

// networkClients is a frontend on a simulated network with clients.
type networkClients struct {
	network *simnet.Network
	mutex   sync.Mutex
	// submissions counts the submit calls by job ID.
	submissions map[uint64]int
}

func withNetworkClients(t *testing.T, body func(t *testing.T, w *networkClients)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &networkClients{network: simnet.New(9), submissions: map[uint64]int{}}
		listener, err := w.network.Listen(dispatcherFront)
		require.NoError(t, err)
		frontend := NewFrontend(listener, NewDispatcher(w.core(t), testDirectory(t, "a"), noPoll, Options{}), 10, nil)
		frontend.Serve(DefaultLimits())
		t.Cleanup(func() { // also runs if the body fails
			time.Sleep(time.Hour)
			bounded, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			require.NoError(t, frontend.Shutdown(bounded), "a request is still in progress")
		})
		body(t, w)
	})
}

// core accepts every job and replies to status calls with a state that names the job. The smaller the job's number, the longer
// the delay.
func (w *networkClients) core(t *testing.T) callerFunc {
	return func(_, _ string, args, reply any, _ time.Duration) error {
		made := reply.(*internalapi.JobReply)
		made.Verdict = internalapi.Done
		switch args := args.(type) {
		case *internalapi.SubmitArgs:
			assert.JSONEq(t, testBody, string(args.Body))
			w.mutex.Lock()
			w.submissions[args.ID]++
			w.mutex.Unlock()
		case *internalapi.StatusArgs:
			time.Sleep(time.Duration(100/args.ID) * time.Millisecond)
			made.State = fmt.Sprint("state ", args.ID)
		}
		return nil
	}
}

func (w *networkClients) dial(t *testing.T) *simnet.Conn {
	conn, err := w.network.Dial(context.Background(), clientHost, dispatcherFront)
	require.NoError(t, err)
	return conn.(*simnet.Conn)
}

func postRequest(number uint64) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		testPrefix, jobspec.ID(number), testHost, len(testBody), testBody)
}

func getRequest(number uint64) string {
	return fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", testPrefix, jobspec.ID(number), testHost)
}

// readResponses reads responses until the connection ends or fails.
func readResponses(from io.Reader) (statuses []int, bodies []string) {
	reader := bufio.NewReader(from)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, bodies
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return statuses, bodies
		}
		statuses, bodies = append(statuses, response.StatusCode), append(bodies, string(body))
	}
}

func TestRequestCutAtAnyByteIsAcceptedWholeOrNotAtAll(t *testing.T) {
	two := postRequest(1) + postRequest(2)
	whole := int64(len(postRequest(1)))
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := range int64(len(two)) + 1 {
			withNetworkClients(t, func(t *testing.T, w *networkClients) {
				w.network.SetPlan(func(string, string, int) simnet.Fate {
					return simnet.Fate{Out: simnet.Limit{Bytes: at, Then: ending}}
				})
				conn := w.dial(t)
				_, _ = io.WriteString(conn, two)
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
				statuses, _ := readResponses(conn)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				for index, status := range statuses {
					require.Equal(t, status == http.StatusOK, w.submissions[uint64(index+1)] == 1, "byte %d: %v, %v", at, statuses, w.submissions)
				}
				require.LessOrEqual(t, w.submissions[1], int(min(at/whole, 1)), "byte %d", at)
				require.LessOrEqual(t, w.submissions[2], int(at/(2*whole)), "byte %d", at)
			})
		}
	}
}

func TestResponseCutAtAnyByteIsNotRepeated(t *testing.T) {
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := range int64(100) {
			withNetworkClients(t, func(t *testing.T, w *networkClients) {
				w.network.SetPlan(func(string, string, int) simnet.Fate {
					return simnet.Fate{Back: simnet.Limit{Bytes: at, Then: ending}}
				})
				conn := w.dial(t)
				_, _ = io.WriteString(conn, postRequest(1))
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
				statuses, _ := readResponses(conn)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				require.LessOrEqual(t, w.submissions[1], 1)
				require.LessOrEqual(t, len(statuses), 1)
				if len(statuses) == 1 {
					require.Equal(t, http.StatusOK, statuses[0])
				}
			})
		}
	}
}

func TestPipelinedResponsesKeepRequestOrder(t *testing.T) {
	withNetworkClients(t, func(t *testing.T, w *networkClients) {
		conn := w.dial(t)
		var requests strings.Builder
		for number := range uint64(9) {
			requests.WriteString(getRequest(number + 1))
		}
		_, err := io.WriteString(conn, requests.String())
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
		_, bodies := readResponses(conn)
		require.Len(t, bodies, 9)
		for index, body := range bodies {
			require.Equal(t, fmt.Sprintf(`{"state":"state %d"}`, index+1), body)
		}
	})
}

func TestResponseOfAbortedClientReachesNoOtherClient(t *testing.T) {
	withNetworkClients(t, func(t *testing.T, w *networkClients) {
		var group sync.WaitGroup
		for number := range uint64(30) {
			group.Go(func() {
				conn := w.dial(t)
				_, err := io.WriteString(conn, getRequest(number+1))
				require.NoError(t, err)
				if number%3 == 0 {
					conn.Abort()
					return
				}
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
				_, bodies := readResponses(conn)
				require.Equal(t, []string{fmt.Sprintf(`{"state":"state %d"}`, number+1)}, bodies)
				require.NoError(t, conn.Close())
			})
		}
		group.Wait()
	})
}

// A job whose bytes stop arriving may be complete at its client, and another copy of it may be accepted: it is not refused for good.
func TestRequestThatStopsArrivingIsNotRefusedForGood(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		withNetworkClients(t, func(t *testing.T, w *networkClients) {
			conn := w.dial(t)
			text := postRequest(1)
			_, err := io.WriteString(conn, text[:len(text)-1])
			require.NoError(t, err)
			if !stalls {
				require.NoError(t, conn.CloseWrite())
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, response.StatusCode, "stalls: %v", stalls)
		})
	}
}
