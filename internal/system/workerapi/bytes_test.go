package workerapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

const (
	callerHost    = "10.0.0.1"
	workerAddress = "10.0.0.2:80"
)

// simulatedWorker is a worker on a simulated network that counts how often it has received each order completely.
type simulatedWorker struct {
	t       *testing.T
	network *simnet.Network
	mutex   sync.Mutex
	orders  map[string]int
	// answerDelay is the time between an order and its answer, in nanoseconds.
	answerDelay atomic.Int64
}

// withSimulatedWorker runs a test in a synctest bubble with a worker and a client that calls it.
func withSimulatedWorker(t *testing.T, options Options, body func(t *testing.T, w *simulatedWorker, client *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &simulatedWorker{t: t, network: simnet.New(5), orders: map[string]int{}}
		listener, err := w.network.Listen(workerAddress)
		require.NoError(t, err)
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(listener) }()
		options.Dial = w.network.Dialer(callerHost)
		client := NewClient(options)
		t.Cleanup(func() {
			client.Close()
			_ = server.Close()
		})
		body(t, w, client)
		time.Sleep(time.Hour) // delayed orders and answers complete
	})
}

// ServeHTTP counts the order. Its answer returns the fencing token as the clock, so that a test detects an answer to another call.
func (w *simulatedWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	order, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	w.orders[string(order)]++
	w.mutex.Unlock()
	time.Sleep(time.Duration(w.answerDelay.Load()))
	var token uint64
	if _, err := fmt.Sscanf(string(order[strings.LastIndexByte(string(order), ':')+1:]), "%d", &token); err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(writer, `{"clockMs":%d}`, token)
}

// stop sends a stop order with the token and requires that an answer belongs to this order.
func (w *simulatedWorker) stop(client *Client, token uint64) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := client.Stop(ctx, Worker{"i-1", workerAddress}, StopOrder{Task: "t", Attempt: 1, FenceToken: token})
	if reply.Outcome == Done {
		require.NoError(w.t, err)
		require.EqualValues(w.t, token, reply.ClockMs, "answer to another call")
		return Done
	}
	if reply.Outcome != BadRequest {
		require.Error(w.t, err)
	}
	require.Zero(w.t, reply.ClockMs)
	return reply.Outcome
}

// requireOutcome requires that the reported outcome of an order is true once everything in flight has arrived.
func (w *simulatedWorker) requireOutcome(token uint64, outcome Outcome) {
	time.Sleep(time.Hour)
	synctest.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	received := w.orders[fmt.Sprintf(`{"task":"t","attempt":1,"fenceToken":%d}`, token)]
	switch outcome {
	case Done:
		require.Equal(w.t, 1, received)
	case NotSent, BadRequest:
		require.Zero(w.t, received)
	case Unknown:
		require.LessOrEqual(w.t, received, 1)
	default:
		w.t.Fatalf("%s", outcome)
	}
}

// measureExchange returns the number of bytes of one order and of its answer.
func measureExchange(t *testing.T) (request, answer int64) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		require.Equal(t, Done, w.stop(client, 1))
		conn := w.network.Conns()[0]
		request, answer = conn.Sent(), conn.Peer().Sent()
	})
	return request, answer
}

// forEachCutoff calls play with a connection that ends at each byte of the given exchange on it, in either direction. A cut at a request's
// last byte belongs to its own exchange, not to the next.
func forEachCutoff(t *testing.T, exchange int64, play func(fate simnet.Fate)) {
	request, answer := measureExchange(t)
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := exchange*request + min(exchange, 1); at <= (exchange+1)*request; at++ {
			play(simnet.Fate{Out: simnet.Limit{Bytes: at, Then: ending}})
		}
		for at := exchange * answer; at <= (exchange+1)*answer; at++ {
			play(simnet.Fate{Back: simnet.Limit{Bytes: at, Then: ending}})
		}
	}
}

// planForFirst applies the fate to the first connection only.
func planForFirst(fate simnet.Fate) simnet.Plan {
	return func(_, _ string, nth int) simnet.Fate {
		if nth == 0 {
			return fate
		}
		return simnet.Fate{}
	}
}

func TestOrderIsSentAtMostOnceOnNewConnectionCutAtAnyByte(t *testing.T) {
	forEachCutoff(t, 0, func(fate simnet.Fate) {
		withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
			w.network.SetPlan(planForFirst(fate))
			w.requireOutcome(1, w.stop(client, 1))
			w.requireOutcome(2, w.stop(client, 2))
			require.Equal(t, Done, w.stop(client, 3), "the third call has another connection at the latest")
			w.requireOutcome(3, Done)
		})
	})
}

func TestOrderIsSentAtMostOnceOnReusedConnectionCutAtAnyByte(t *testing.T) {
	forEachCutoff(t, 1, func(fate simnet.Fate) {
		withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
			w.network.SetPlan(planForFirst(fate))
			require.Equal(t, Done, w.stop(client, 1))
			outcome := w.stop(client, 2)
			w.requireOutcome(3, w.stop(client, 3))
			w.requireOutcome(2, outcome)
			require.Equal(t, Done, w.stop(client, 4))
			w.requireOutcome(4, Done)
		})
	})
}

func TestIdleConnectionResetByPeerIsReplaced(t *testing.T) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		require.Equal(t, Done, w.stop(client, 1))
		w.network.Conns()[0].Peer().Abort()
		outcome := w.stop(client, 2)
		w.requireOutcome(2, outcome)
		require.Equal(t, Done, w.stop(client, 3))
		require.LessOrEqual(t, client.OpenConnections(), 1)
	})
}

func TestLateAnswerIsNotTakenForNextCall(t *testing.T) {
	withSimulatedWorker(t, Options{ConnectionsPerWorker: 1}, func(t *testing.T, w *simulatedWorker, client *Client) {
		require.Equal(t, Done, w.stop(client, 1))
		w.answerDelay.Store(int64(1500 * time.Millisecond))
		require.Equal(t, Unknown, w.stop(client, 2))
		w.answerDelay.Store(0)
		require.Equal(t, Done, w.stop(client, 3), "must not use the connection on which an answer is pending")
		require.Equal(t, 1, client.OpenConnections())
		w.requireOutcome(2, Unknown)
	})
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	withSimulatedWorker(t, Options{ConnectionsPerWorker: 3}, func(t *testing.T, w *simulatedWorker, client *Client) {
		var group sync.WaitGroup
		for token := range uint64(60) {
			w.answerDelay.Store(int64(token%7) * int64(200*time.Millisecond))
			group.Go(func() { w.stop(client, token+1) })
			time.Sleep(30 * time.Millisecond)
			if token%9 == 4 {
				w.network.Reset(callerHost, "10.0.0.2")
			}
		}
		group.Wait()
	})
}

// The listener closes after it has taken a connection and the order was sent: whether the order was carried out is unknown.
func TestListenerClosedAfterAcceptLeavesUnknown(t *testing.T) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		const address = "10.0.0.3:80"
		listener, err := w.network.Listen(address)
		require.NoError(t, err)
		outcome := make(chan Reply)
		go func() {
			reply, err := client.Start(context.Background(), Worker{"i-2", address}, StartOrder{Task: "t"})
			require.ErrorIs(t, err, ErrUnanswered)
			outcome <- reply
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		require.NotZero(t, w.network.Conns()[0].Sent())
		require.NoError(t, listener.Close())
		require.Equal(t, Unknown, (<-outcome).Outcome)
	})
}

// The listener closes before the connection is established: certainly nothing was sent.
func TestListenerClosedBeforeConnectMeansNotSent(t *testing.T) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		const address = "10.0.0.3:80"
		listener, err := w.network.Listen(address)
		require.NoError(t, err)
		w.network.SetLatency(callerHost, "10.0.0.3", 50*time.Millisecond, 50*time.Millisecond)
		time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() })
		reply, err := client.Start(context.Background(), Worker{"i-2", address}, StartOrder{Task: "t"})
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, NotSent, reply.Outcome)
		require.Empty(t, w.network.Conns())
	})
}

// withScriptedWorker runs a test with a worker that answers the requests of each connection with the texts, one text per request.
func withScriptedWorker(t *testing.T, options Options, texts []string, body func(t *testing.T, client *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(5)
		listener, err := network.Listen(workerAddress)
		require.NoError(t, err)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serveScript(conn, texts)
			}
		}()
		options.Dial = network.Dialer(callerHost)
		client := NewClient(options)
		body(t, client)
		client.Close()
		require.NoError(t, listener.Close())
		network.Kill("10.0.0.2")
	})
}

func serveScript(conn net.Conn, texts []string) {
	requests := bufio.NewReader(conn)
	for _, text := range texts {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}
}

func answerText(clock int) string {
	body := fmt.Sprintf(`{"clockMs":%d}`, clock)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestInterimAnswerIsSkipped(t *testing.T) {
	withScriptedWorker(t, Options{}, []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + answerText(1)}, func(t *testing.T, client *Client) {
		reply, err := client.Stop(t.Context(), Worker{"i-1", workerAddress}, StopOrder{})
		require.NoError(t, err)
		require.Equal(t, Reply{Outcome: Done, ClockMs: 1}, reply)
	})
}

func TestSwitchingProtocolsDoesNotBlock(t *testing.T) {
	const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
	withScriptedWorker(t, Options{}, []string{upgrade}, func(t *testing.T, client *Client) {
		start := time.Now()
		reply, err := client.Stop(t.Context(), Worker{"i-1", workerAddress}, StopOrder{})
		require.Error(t, err)
		require.Equal(t, Unknown, reply.Outcome)
		require.LessOrEqual(t, time.Since(start), defaultAnswerTimeout)
		time.Sleep(time.Second)
		require.Zero(t, client.OpenConnections())
	})
}

// The second answer of a worker that answers twice must not be taken for the answer to the next call.
func TestSecondAnswerIsNotTakenForNextCall(t *testing.T) {
	twice := answerText(1) + answerText(99)
	for range 200 {
		withScriptedWorker(t, Options{ConnectionsPerWorker: 1}, []string{twice, answerText(2)}, func(t *testing.T, client *Client) {
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					reply, _ := client.Stop(t.Context(), Worker{"i-1", workerAddress}, StopOrder{})
					require.NotEqualValues(t, 99, reply.ClockMs)
				})
			}
			group.Wait()
		})
	}
}

// stuckConnection accepts no more writes once it is stuck, without ending its reads.
type stuckConnection struct {
	net.Conn
	stuck *atomic.Bool
}

func (c stuckConnection) Write(data []byte) (int, error) {
	if c.stuck.Load() {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(data)
}

// The transport dials another connection if the reused one accepted nothing. If that dial fails, certainly nothing was sent.
func TestOrderThatNoConnectionAcceptedIsNotSent(t *testing.T) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, _ *Client) {
		var stuck atomic.Bool
		client := NewClient(Options{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := w.network.Dial(ctx, callerHost, address)
			if err != nil {
				return nil, err
			}
			return stuckConnection{Conn: conn, stuck: &stuck}, nil
		}})
		require.Equal(t, Done, w.stop(client, 1))
		stuck.Store(true)
		w.network.Cut(callerHost, "10.0.0.2")
		outcome := w.stop(client, 2)
		require.Equal(t, NotSent, outcome)
		w.network.HealAll()
		w.requireOutcome(2, outcome)
		client.Close()
	})
}

func TestCallsHaveADefaultTimeout(t *testing.T) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		w.answerDelay.Store(int64(10 * time.Minute))
		start := time.Now()
		reply, err := client.Stop(context.Background(), Worker{"i-1", workerAddress}, StopOrder{Task: "t", FenceToken: 1})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, Unknown, reply.Outcome)
		require.Equal(t, defaultAnswerTimeout, time.Since(start))
		start = time.Now()
		_, err = client.Hold(context.Background(), Worker{"i-1", workerAddress}, HoldOrder{FenceToken: 1, WaitMs: 1000})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, defaultAnswerTimeout+time.Second, time.Since(start))
		require.Zero(t, client.OpenConnections(), "a connection with a pending answer is closed")
	})
}
