package control

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/internalapi"
)

const (
	operatorHost    = "10.0.0.1"
	operatorAddress = "10.0.0.2:80"
	orderBody       = `{"version":7,"routes":[]}`
	completeRequest = "POST /Config.Replace HTTP/1.1\r\nHost: a\r\n" + baseVersionHeader + ": 6\r\nContent-Length: 25\r\n\r\n" + orderBody
)

// listeningAPI is the operators' API on a simulated network. It records the requests that it passes on.
type listeningAPI struct {
	network *simnet.Network
	orders  []internalapi.ReplaceArgs
}

func newListeningAPI(t *testing.T) *listeningAPI {
	l := &listeningAPI{network: simnet.New(1)}
	api := newOperatorAPI(0)
	api.replace = func(args internalapi.ReplaceArgs, _ time.Duration) internalapi.ReplaceReply {
		l.orders = append(l.orders, args)
		return internalapi.ReplaceReply{Verdict: internalapi.Done, Status: http.StatusOK}
	}
	api.read = func(time.Duration) internalapi.ReadReply { return internalapi.ReadReply{} }
	api.metrics = func(http.ResponseWriter, *http.Request) {}
	listener, err := l.network.Listen(operatorAddress)
	require.NoError(t, err)
	server := &http.Server{Handler: api.handler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func (l *listeningAPI) dial(t *testing.T) *simnet.Conn {
	dialed, err := l.network.Dial(context.Background(), operatorHost, operatorAddress)
	require.NoError(t, err)
	return dialed.(*simnet.Conn)
}

// answerOn reads one response and returns its status, 0 if there is none.
func answerOn(conn io.Reader) (status int) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

func TestTruncatedOrderIsNeverAcknowledged(t *testing.T) {
	for length := range len(completeRequest) {
		synctest.Test(t, func(t *testing.T) {
			l := newListeningAPI(t)
			conn := l.dial(t)
			_, err := conn.Write([]byte(completeRequest[:length]))
			require.NoError(t, err)
			require.NoError(t, conn.CloseWrite())
			status := answerOn(conn)
			require.Empty(t, l.orders, "%d bytes", length)
			assert.NotEqual(t, http.StatusOK, status, "%d bytes", length)
		})
	}
}

func TestMalformedChunkedOrderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListeningAPI(t)
		conn := l.dial(t)
		_, err := io.WriteString(conn, "POST /Config.Replace HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nnot a length\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, answerOn(conn))
		require.Empty(t, l.orders)
	})
}

func TestResetDuringOrderAppliesItFullyOrNotAtAll(t *testing.T) {
	for length := range int64(len(completeRequest) + 1) {
		synctest.Test(t, func(t *testing.T) {
			l := newListeningAPI(t)
			l.network.SetPlan(func(string, string, int) simnet.Fate {
				return simnet.Fate{Out: simnet.Limit{Bytes: length, Then: simnet.Reset}}
			})
			_, _ = io.WriteString(l.dial(t), completeRequest)
			time.Sleep(time.Minute)
			synctest.Wait()
			for _, order := range l.orders {
				require.Equal(t, internalapi.ReplaceArgs{Base: 6, Body: []byte(orderBody)}, order)
			}
			require.LessOrEqual(t, len(l.orders), 1)
			if length < int64(len(completeRequest)) {
				require.Empty(t, l.orders)
			}
		})
	}
}

func TestOrdersOnOneConnectionAreAnsweredInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListeningAPI(t)
		conn := l.dial(t)
		other := strings.Replace(completeRequest, "Base-Version: 6", "Base-Version: x", 1)
		_, err := io.WriteString(conn, completeRequest+other+completeRequest)
		require.NoError(t, err)
		answers := bufio.NewReader(conn)
		for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusOK} {
			response, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			require.Equal(t, status, response.StatusCode)
		}
		require.Len(t, l.orders, 2)
	})
}
