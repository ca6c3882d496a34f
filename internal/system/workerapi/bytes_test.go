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

// simulatedWorker is a worker on a simulated network that counts how often each order has come whole.
type simulatedWorker struct {
	t       *testing.T
	network *simnet.Network
	mutex   sync.Mutex
	orders  map[string]int
	// answerDelay is how long an answer takes.
	answerDelay atomic.Int64
}

// withSimulatedWorker runs a test in a bubble with a worker and a client that calls it.
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
		time.Sleep(time.Hour) // what is late comes to its end
	})
}

// ServeHTTP counts the order; its answer tells the fencing token as the clock, so that an answer that strays shows itself.
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

// stop orders a stop that carries the token, and requires that an answer is the answer to it.
func (w *simulatedWorker) stop(client *Client, token uint64) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := client.Stop(ctx, Worker{"i-1", workerAddress}, StopOrder{Task: "t", Attempt: 1, FenceToken: token})
	if reply.Outcome == Done {
		require.NoError(w.t, err)
		require.EqualValues(w.t, token, reply.ClockMs, "another call's answer")
		return Done
	}
	if reply.Outcome != BadRequest {
		require.Error(w.t, err)
	}
	require.Zero(w.t, reply.ClockMs)
	return reply.Outcome
}

// requireOutcome requires that what was told of an order is true once everything under way has come.
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

// measureExchange are the bytes of one order and of its answer.
func measureExchange(t *testing.T) (request, answer int64) {
	withSimulatedWorker(t, Options{}, func(t *testing.T, w *simulatedWorker, client *Client) {
		require.Equal(t, Done, w.stop(client, 1))
		conn := w.network.Conns()[0]
		request, answer = conn.Sent(), conn.Peer().Sent()
	})
	return request, answer
}

// forEachCutoff plays a connection's ending at each byte of the nth exchange on it, in either direction. A request ends at its last byte
// in the play of its own exchange, not in that of the next.
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

// planForFirst gives the fate to the first connection.
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
			require.Equal(t, Done, w.stop(client, 3), "at the latest the third call has another connection")
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
		require.Equal(t, Done, w.stop(client, 3), "not on the connection on which an answer is out")
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

// The listener closes over a connection that it still takes, after the order has left: nobody can tell what became of it.
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

// The listener closes before the connection is made: surely nothing was sent.
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

// withScriptedWorker calls a worker that answers the first connection with the texts, one for each request.
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

// A worker that answers twice must not have its second answer taken for that to the next call.
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

// stuckConnection takes nothing more once it is stuck, and says nothing of its end.
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

// The transport looks for another connection where the kept one took nothing: if there is none to be had, surely nothing was sent.
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
		require.Zero(t, client.OpenConnections(), "no answer is waited for on a kept connection")
	})
}
