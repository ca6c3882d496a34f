package workerapi

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/system/hollow"
)

const (
	testBackend = "farm"
	testJob     = "5c0e7a21d94b36f8"
	testSpec    = "a \"text\"\\ with\n\t\x01 all, zoë 界"
	farDue      = 1_000_000
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// bench is a hollow worker on loopback with a clock of its own, and a client.
type bench struct {
	t      *testing.T
	clock  *hollow.ManualClock
	world  *hollow.World
	worker *hollow.Worker
	client *Client
}

func newBench(t *testing.T) *bench {
	clock := hollow.NewManualClock(0)
	world := hollow.NewWorld(hollow.DefaultSettings(), clock)
	worker := world.NewWorker(hollow.WorkerSettings{
		Backend:     testBackend,
		Guarded:     true,
		Allocatable: hollow.Resources{CPU: 2000},
		ClockZero:   10 * time.Second,
	})
	require.NoError(t, worker.Listen())
	world.AddJob(hollow.Job{
		ID:       testJob,
		Spec:     testSpec,
		Backends: []string{testBackend},
		Stages: []hollow.Stage{
			{Count: 9, Need: hollow.Resources{CPU: 500}, Work: 4 * time.Second, Checkpoints: true},
			{Count: 1, Need: hollow.Resources{CPU: 2001}, Work: time.Second},
		},
	})
	client := NewClient(Options{})
	t.Cleanup(worker.Close)
	t.Cleanup(world.Close)
	t.Cleanup(client.Close)
	return &bench{t: t, clock: clock, world: world, worker: worker, client: client}
}

func (bench *bench) target() Worker {
	return Worker{Instance: bench.worker.Instance(), Address: bench.worker.Address()}
}

func order(stage, index int) StartOrder {
	return StartOrder{
		Task:       hollow.TaskName(testJob, 0, stage, index),
		Attempt:    1,
		Spec:       testSpec,
		DueAtMs:    farDue,
		FenceToken: 1,
	}
}

func (bench *bench) start(order StartOrder) Reply {
	bench.t.Helper()
	reply, err := bench.client.Start(bench.t.Context(), bench.target(), order)
	require.NoError(bench.t, err)
	return reply
}

func (bench *bench) hold(order HoldOrder) HoldReply {
	bench.t.Helper()
	reply, err := bench.client.Hold(bench.t.Context(), bench.target(), order)
	require.NoError(bench.t, err)
	return reply
}

func TestOrdersAndLists(t *testing.T) {
	bench := newBench(t)
	require.Equal(t, Reply{Outcome: Done, ClockMs: 10_000}, bench.start(order(0, 0)))
	require.Equal(t, Done, bench.start(order(0, 1)).Outcome)
	bench.clock.Advance(2500 * time.Millisecond)

	stopped := StopOrder{Task: order(0, 1).Task, Attempt: 1, FenceToken: 1}
	reply, err := bench.client.Stop(t.Context(), bench.target(), stopped)
	require.NoError(t, err)
	require.Equal(t, Reply{Outcome: Done, ClockMs: 12_500}, reply)

	bench.clock.Advance(400 * time.Millisecond)
	lists := bench.hold(HoldOrder{DueAtMs: farDue, FenceToken: 1})
	require.Equal(t, Done, lists.Outcome)
	require.EqualValues(t, 12_900, lists.ClockMs)
	require.Len(t, lists.Running, 1)
	require.Equal(t, order(0, 0).Task, lists.Running[0].Task)
	require.Equal(t, 72, lists.Running[0].Percent)
	require.Equal(t, "000007d0", lists.Running[0].Checkpoint[:8])
	require.Len(t, lists.Finished, 1)
	require.EqualValues(t, 1, lists.Finished[0].N)
	require.Equal(t, EndStopped, lists.Finished[0].How)

	lists = bench.hold(HoldOrder{DueAtMs: farDue, FenceToken: 1, LastSeen: 1})
	require.Empty(t, lists.Finished)
	require.Empty(t, bench.world.Violations())
	require.Equal(t, 1, bench.client.OpenConnections(), "one connection serves one call after the other")
}

func TestAnsweredOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(bench *bench, order *StartOrder)
		outcome Outcome
		clockMs int64
	}{
		{"done", func(bench *bench, order *StartOrder) {}, Done, 10_000},
		{"fence", func(bench *bench, order *StartOrder) { order.FenceToken = 4 }, RefusedFence, 10_000},
		{"old", func(bench *bench, order *StartOrder) {
			_, err := bench.client.Stop(bench.t.Context(), bench.target(), StopOrder{Task: order.Task, Attempt: 1, FenceToken: 5})
			require.NoError(bench.t, err)
		}, RefusedStale, 10_000},
		{"late", func(bench *bench, order *StartOrder) { order.DueAtMs = 9_999 }, RefusedLate, 10_000},
		{"room", func(bench *bench, order *StartOrder) { order.Task = hollow.TaskName(testJob, 0, 1, 0) }, RefusedCapacity, 10_000},
		{"bad", func(bench *bench, order *StartOrder) { order.Task = "x" }, BadRequest, 10_000},
		{"busy", func(bench *bench, order *StartOrder) { bench.worker.SetFaults(hollow.Faults{Busy: true}) }, Busy, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t)
			bench.hold(HoldOrder{FenceToken: 5})
			order := order(0, 0)
			order.FenceToken = 5
			test.prepare(bench, &order)
			require.Equal(t, Reply{Outcome: test.outcome, ClockMs: test.clockMs}, bench.start(order))
			require.Equal(t, test.outcome == Done, bench.world.Stats().Starts == 1)
		})
	}
}

func TestOtherLife(t *testing.T) {
	bench := newBench(t)
	before := bench.target()
	bench.worker.Crash(0)
	bench.clock.Advance(0)
	reply, err := bench.client.Hold(t.Context(), before, HoldOrder{FenceToken: 1})
	require.NoError(t, err)
	require.Equal(t, HoldReply{Outcome: OtherInstance}, reply)
}

func TestNobodyListens(t *testing.T) {
	bench := newBench(t)
	target := bench.target()
	bench.worker.Close()
	reply, err := bench.client.Start(t.Context(), target, order(0, 0))
	require.ErrorIs(t, err, ErrNotSent)
	require.Equal(t, NotSent, reply.Outcome)
	require.Zero(t, bench.client.OpenConnections())
}

// busyAndOther gives a client with a bound of connections, one of which a hold uses that waits, and another worker.
func (bench *bench) busyAndOther(connections int) (*Client, Worker) {
	client := NewClient(Options{Connections: connections})
	bench.t.Cleanup(client.Close)
	other := bench.world.NewWorker(hollow.WorkerSettings{})
	require.NoError(bench.t, other.Listen())
	bench.t.Cleanup(other.Close)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = client.Hold(bench.t.Context(), bench.target(), HoldOrder{DueAtMs: farDue, FenceToken: 1, WaitMs: 9000})
	}()
	bench.t.Cleanup(func() {
		bench.clock.Advance(10 * time.Second)
		<-ended
	})
	bench.world.AwaitWaiting(1)
	return client, Worker{Instance: other.Instance(), Address: other.Address()}
}

func TestConnectionBound(t *testing.T) {
	bench := newBench(t)
	client, other := bench.busyAndOther(1)
	reply, err := client.Hold(t.Context(), other, HoldOrder{})
	require.ErrorIs(t, err, ErrTooManyConnections)
	require.Equal(t, NotSent, reply.Outcome)
	require.Equal(t, 1, client.OpenConnections())
}

func TestConnectionsThatNoCallUsesGiveWay(t *testing.T) {
	bench := newBench(t)
	client, first := bench.busyAndOther(2)
	for range 3 {
		other := bench.world.NewWorker(hollow.WorkerSettings{})
		require.NoError(t, other.Listen())
		t.Cleanup(other.Close)
		for _, worker := range []Worker{first, {Instance: other.Instance(), Address: other.Address()}} {
			reply, err := client.Hold(t.Context(), worker, HoldOrder{})
			require.NoError(t, err, "an idle connection to another worker takes no place")
			require.Equal(t, Done, reply.Outcome)
		}
	}
	bench.world.AwaitWaiting(1) // the one in use stays
}

// Holds that wait use nearly all connections, as in a cluster that is as large as the bound allows: a start on each worker in turn is sent.
func TestStartsAreSentBesideHoldsThatWait(t *testing.T) {
	const workers, spare = 40, 4
	bench := newBench(t)
	client := NewClient(Options{Connections: workers + spare, ConnectionsPerWorker: 8})
	t.Cleanup(client.Close)
	var targets []Worker
	ended := make(chan struct{}, workers)
	for range workers {
		worker := bench.world.NewWorker(hollow.WorkerSettings{Backend: testBackend, Allocatable: hollow.Resources{CPU: 2000}})
		require.NoError(t, worker.Listen())
		t.Cleanup(worker.Close)
		targets = append(targets, Worker{Instance: worker.Instance(), Address: worker.Address()})
		target := targets[len(targets)-1]
		go func() {
			_, _ = client.Hold(t.Context(), target, HoldOrder{FenceToken: 1, WaitMs: 2000})
			ended <- struct{}{}
		}()
	}
	bench.world.AwaitWaiting(workers)
	for index, target := range targets {
		reply, err := client.Start(t.Context(), target, order(0, index%9))
		require.NoError(t, err, "start %d", index)
		require.NotEqual(t, NotSent, reply.Outcome)
	}
	bench.clock.Advance(3 * time.Second)
	for range workers {
		<-ended
	}
}

// startUnanswered sends a start and gives it up once the worker has it.
func (bench *bench) startUnanswered() (Reply, error) {
	ctx, cancel := context.WithCancel(bench.t.Context())
	defer cancel()
	go func() {
		bench.world.AwaitUnanswered(1)
		cancel()
	}()
	return bench.client.Start(ctx, bench.target(), order(0, 0))
}

func TestSilentWorkerLeavesUnknown(t *testing.T) {
	bench := newBench(t)
	bench.worker.SetFaults(hollow.Faults{Silent: true})
	reply, err := bench.startUnanswered()
	require.ErrorIs(t, err, ErrUnanswered)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, Unknown, reply.Outcome)
}

func TestCallsAreBounded(t *testing.T) {
	bench := newBench(t)
	bench.worker.SetFaults(hollow.Faults{Silent: true})
	client := NewClient(Options{AnswerTimeout: time.Millisecond})
	defer client.Close()
	reply, err := client.Start(t.Context(), bench.target(), order(0, 0))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotEqual(t, Done, reply.Outcome)
}

func TestLateOrderIsUnknownAndCarriedOut(t *testing.T) {
	bench := newBench(t)
	bench.worker.SetFaults(hollow.Faults{LateBy: 2 * time.Second})
	reply, err := bench.startUnanswered()
	require.ErrorIs(t, err, ErrUnanswered)
	require.Equal(t, Unknown, reply.Outcome)
	bench.clock.Advance(2 * time.Second)
	require.Len(t, bench.hold(HoldOrder{FenceToken: 1}).Running, 1)
}

func TestEndedContextSendsNothing(t *testing.T) {
	bench := newBench(t)
	bench.hold(HoldOrder{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reply, err := bench.client.Start(ctx, bench.target(), order(0, 0))
	require.ErrorIs(t, err, ErrNotSent)
	require.Equal(t, NotSent, reply.Outcome)
}

func TestHoldWaitsWhileOrdersPass(t *testing.T) {
	bench := newBench(t)
	replies := make(chan HoldReply)
	go func() {
		reply, _ := bench.client.Hold(t.Context(), bench.target(), HoldOrder{DueAtMs: farDue, FenceToken: 1, WaitMs: 9000})
		replies <- reply
	}()
	bench.world.AwaitWaiting(1)
	require.Equal(t, Done, bench.start(order(0, 0)).Outcome)
	bench.clock.Advance(2 * time.Second)
	reply := <-replies
	require.Len(t, reply.Running, 1, "the wait is cut to what workers grant")
	require.Equal(t, 2, bench.client.OpenConnections())
}

// connectionServer answers the connections of a listener one after the other, each with its own function.
func connectionServer(t *testing.T, answers ...func(connection net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for _, answer := range answers {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			answer(connection)
			connection.Close()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-finished
	})
	return listener.Addr().String()
}

// answering reads one request and writes the text.
func answering(text string) func(connection net.Conn) {
	return func(connection net.Conn) {
		http.ReadRequest(bufio.NewReader(connection))
		connection.Write([]byte(text))
	}
}

func TestOddAnswers(t *testing.T) {
	const closing = "Connection: close\r\n"
	cases := []struct {
		name    string
		text    string
		outcome Outcome
		failure error
	}{
		{"cut before the answer", "", Unknown, ErrUnanswered},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"clock", Unknown, ErrUnanswered},
		{"no JSON", "HTTP/1.1 200 OK\r\n" + closing + "\r\nok", Unknown, ErrUnreadable},
		{"JSON and more", "HTTP/1.1 200 OK\r\n" + closing + "\r\n{}{}", Unknown, ErrUnreadable},
		{"empty object", "HTTP/1.1 200 OK\r\n" + closing + "\r\n{}", Done, nil},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Unknown, ErrUnreadable},
		{"unknown reason", "HTTP/1.1 409 Conflict\r\n" + closing + "\r\n{\"reason\":\"mood\"}", Unknown, ErrUnreadable},
		{"text with 503", "HTTP/1.1 503 Unavailable\r\n" + closing + "\r\nlater", Busy, nil},
		{"redirect", "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/hold\r\n" + closing + "\r\n", Unknown, ErrUnexpectedStatus},
		{"server error", "HTTP/1.1 500 Error\r\n" + closing + "\r\n", Unknown, ErrUnexpectedStatus},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := NewClient(Options{})
			defer client.Close()
			address := connectionServer(t, answering(test.text))
			reply, err := client.Hold(t.Context(), Worker{"i-1", address}, HoldOrder{})
			require.ErrorIs(t, err, test.failure)
			require.Equal(t, test.outcome, reply.Outcome)
		})
	}
}

func TestOrderIsNotRepeatedOnAStaleConnection(t *testing.T) {
	keep := func(connection net.Conn) {
		answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")(connection)
		connection.Read(make([]byte, 4096)) // the second order comes on the kept connection and is cut
	}
	repeated := make(chan struct{}, 1)
	address := connectionServer(t, keep, func(net.Conn) { repeated <- struct{}{} })
	client := NewClient(Options{})
	defer client.Close()
	worker := Worker{"i-1", address}
	_, err := client.Start(t.Context(), worker, StartOrder{})
	require.NoError(t, err)
	reply, err := client.Start(t.Context(), worker, StartOrder{})
	require.ErrorIs(t, err, ErrUnanswered)
	require.Equal(t, Unknown, reply.Outcome)
	require.Empty(t, repeated)
}

func TestHeadersOnTheWire(t *testing.T) {
	seen := make(chan string, 1)
	address := connectionServer(t, func(connection net.Conn) {
		buffer := make([]byte, 4096)
		count, _ := connection.Read(buffer)
		seen <- string(buffer[:count])
		connection.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}"))
	})
	client := NewClient(Options{})
	defer client.Close()
	_, err := client.Hold(t.Context(), Worker{"i-7f3a91c2", address}, HoldOrder{FenceToken: 7, LastSeen: 57})
	require.NoError(t, err)
	expected := "POST /hold HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: 30\r\nContent-Type: application/json\r\n" +
		http.CanonicalHeaderKey(expectInstanceHeader) + ": i-7f3a91c2\r\n\r\n" + `{"fenceToken":7,"lastSeen":57}`
	require.Equal(t, expected, <-seen)
}

func TestManyWorkersLeaveRoomForCallsThatComeAtOnce(t *testing.T) {
	transport := newTransport(newConnectionBound(100, nil), 8)
	require.Equal(t, 50, transport.MaxIdleConns, "half of the bound stays free of idle connections")
	require.Equal(t, idlePerHost, transport.MaxIdleConnsPerHost)
	require.Equal(t, 8, transport.MaxConnsPerHost)
}
