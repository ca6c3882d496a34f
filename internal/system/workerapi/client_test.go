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

// fixture is a hollow worker on loopback with a manual clock, and a client.
type fixture struct {
	t      *testing.T
	clock  *hollow.ManualClock
	world  *hollow.World
	worker *hollow.Worker
	client *Client
}

func newFixture(t *testing.T) *fixture {
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
	return &fixture{t: t, clock: clock, world: world, worker: worker, client: client}
}

func (fixture *fixture) target() Worker {
	return Worker{Instance: fixture.worker.Instance(), Address: fixture.worker.Address()}
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

func (fixture *fixture) start(order StartOrder) Reply {
	fixture.t.Helper()
	reply, err := fixture.client.Start(fixture.t.Context(), fixture.target(), order)
	require.NoError(fixture.t, err)
	return reply
}

func (fixture *fixture) hold(order HoldOrder) HoldReply {
	fixture.t.Helper()
	reply, err := fixture.client.Hold(fixture.t.Context(), fixture.target(), order)
	require.NoError(fixture.t, err)
	return reply
}

func TestOrdersAndLists(t *testing.T) {
	fixture := newFixture(t)
	require.Equal(t, Reply{Outcome: Done, ClockMs: 10_000}, fixture.start(order(0, 0)))
	require.Equal(t, Done, fixture.start(order(0, 1)).Outcome)
	fixture.clock.Advance(2500 * time.Millisecond)

	stopped := StopOrder{Task: order(0, 1).Task, Attempt: 1, FenceToken: 1}
	reply, err := fixture.client.Stop(t.Context(), fixture.target(), stopped)
	require.NoError(t, err)
	require.Equal(t, Reply{Outcome: Done, ClockMs: 12_500}, reply)

	fixture.clock.Advance(400 * time.Millisecond)
	lists := fixture.hold(HoldOrder{DueAtMs: farDue, FenceToken: 1})
	require.Equal(t, Done, lists.Outcome)
	require.EqualValues(t, 12_900, lists.ClockMs)
	require.Len(t, lists.Running, 1)
	require.Equal(t, order(0, 0).Task, lists.Running[0].Task)
	require.Equal(t, 72, lists.Running[0].Percent)
	require.Equal(t, "000007d0", lists.Running[0].Checkpoint[:8])
	require.Len(t, lists.Finished, 1)
	require.EqualValues(t, 1, lists.Finished[0].N)
	require.Equal(t, EndStopped, lists.Finished[0].How)

	lists = fixture.hold(HoldOrder{DueAtMs: farDue, FenceToken: 1, LastSeen: 1})
	require.Empty(t, lists.Finished)
	require.Empty(t, fixture.world.Violations())
	require.Equal(t, 1, fixture.client.OpenConnections(), "successive calls use one connection")
}

func TestAnsweredOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(fixture *fixture, order *StartOrder)
		outcome Outcome
		clockMs int64
	}{
		{"done", func(fixture *fixture, order *StartOrder) {}, Done, 10_000},
		{"fence", func(fixture *fixture, order *StartOrder) { order.FenceToken = 4 }, RefusedFence, 10_000},
		{"old", func(fixture *fixture, order *StartOrder) {
			_, err := fixture.client.Stop(fixture.t.Context(), fixture.target(), StopOrder{Task: order.Task, Attempt: 1, FenceToken: 5})
			require.NoError(fixture.t, err)
		}, RefusedStale, 10_000},
		{"late", func(fixture *fixture, order *StartOrder) { order.DueAtMs = 9_999 }, RefusedLate, 10_000},
		{"room", func(fixture *fixture, order *StartOrder) { order.Task = hollow.TaskName(testJob, 0, 1, 0) }, RefusedCapacity, 10_000},
		{"bad", func(fixture *fixture, order *StartOrder) { order.Task = "x" }, BadRequest, 10_000},
		{"busy", func(fixture *fixture, order *StartOrder) { fixture.worker.SetFaults(hollow.Faults{Busy: true}) }, Busy, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.hold(HoldOrder{FenceToken: 5})
			order := order(0, 0)
			order.FenceToken = 5
			test.prepare(fixture, &order)
			require.Equal(t, Reply{Outcome: test.outcome, ClockMs: test.clockMs}, fixture.start(order))
			require.Equal(t, test.outcome == Done, fixture.world.Stats().Starts == 1)
		})
	}
}

func TestOtherInstance(t *testing.T) {
	fixture := newFixture(t)
	before := fixture.target()
	fixture.worker.Crash(0)
	fixture.clock.Advance(0)
	reply, err := fixture.client.Hold(t.Context(), before, HoldOrder{FenceToken: 1})
	require.NoError(t, err)
	require.Equal(t, HoldReply{Outcome: OtherInstance}, reply)
}

func TestNoListenerMeansNotSent(t *testing.T) {
	fixture := newFixture(t)
	target := fixture.target()
	fixture.worker.Close()
	reply, err := fixture.client.Start(t.Context(), target, order(0, 0))
	require.ErrorIs(t, err, ErrNotSent)
	require.Equal(t, NotSent, reply.Outcome)
	require.Zero(t, fixture.client.OpenConnections())
}

// busyAndOther returns a client with that connection limit, one connection of which is used by a waiting hold, and another worker.
func (fixture *fixture) busyAndOther(connections int) (*Client, Worker) {
	client := NewClient(Options{Connections: connections})
	fixture.t.Cleanup(client.Close)
	other := fixture.world.NewWorker(hollow.WorkerSettings{})
	require.NoError(fixture.t, other.Listen())
	fixture.t.Cleanup(other.Close)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = client.Hold(fixture.t.Context(), fixture.target(), HoldOrder{DueAtMs: farDue, FenceToken: 1, WaitMs: 9000})
	}()
	fixture.t.Cleanup(func() {
		fixture.clock.Advance(10 * time.Second)
		<-ended
	})
	fixture.world.AwaitWaiting(1)
	return client, Worker{Instance: other.Instance(), Address: other.Address()}
}

func TestConnectionLimit(t *testing.T) {
	fixture := newFixture(t)
	client, other := fixture.busyAndOther(1)
	reply, err := client.Hold(t.Context(), other, HoldOrder{})
	require.ErrorIs(t, err, ErrTooManyConnections)
	require.Equal(t, NotSent, reply.Outcome)
	require.Equal(t, 1, client.OpenConnections())
}

func TestIdleConnectionsAreClosedAtTheLimit(t *testing.T) {
	fixture := newFixture(t)
	client, first := fixture.busyAndOther(2)
	for range 3 {
		other := fixture.world.NewWorker(hollow.WorkerSettings{})
		require.NoError(t, other.Listen())
		t.Cleanup(other.Close)
		for _, worker := range []Worker{first, {Instance: other.Instance(), Address: other.Address()}} {
			reply, err := client.Hold(t.Context(), worker, HoldOrder{})
			require.NoError(t, err, "an idle connection to another worker must give way")
			require.Equal(t, Done, reply.Outcome)
		}
	}
	fixture.world.AwaitWaiting(1) // the connection in use stays open
}

// Waiting holds use nearly all connections, as in a cluster as large as the limit allows. Starts on each worker in turn are still sent.
func TestStartsAreSentWhileHoldsWait(t *testing.T) {
	const workers, spare = 40, 4
	fixture := newFixture(t)
	client := NewClient(Options{Connections: workers + spare, ConnectionsPerWorker: 8})
	t.Cleanup(client.Close)
	var targets []Worker
	ended := make(chan struct{}, workers)
	for range workers {
		worker := fixture.world.NewWorker(hollow.WorkerSettings{Backend: testBackend, Allocatable: hollow.Resources{CPU: 2000}})
		require.NoError(t, worker.Listen())
		t.Cleanup(worker.Close)
		targets = append(targets, Worker{Instance: worker.Instance(), Address: worker.Address()})
		target := targets[len(targets)-1]
		go func() {
			_, _ = client.Hold(t.Context(), target, HoldOrder{FenceToken: 1, WaitMs: 2000})
			ended <- struct{}{}
		}()
	}
	fixture.world.AwaitWaiting(workers)
	for index, target := range targets {
		reply, err := client.Start(t.Context(), target, order(0, index%9))
		require.NoError(t, err, "start %d", index)
		require.NotEqual(t, NotSent, reply.Outcome)
	}
	fixture.clock.Advance(3 * time.Second)
	for range workers {
		<-ended
	}
}

// startUnanswered sends a start and cancels the call once the worker has received the order.
func (fixture *fixture) startUnanswered() (Reply, error) {
	ctx, cancel := context.WithCancel(fixture.t.Context())
	defer cancel()
	go func() {
		fixture.world.AwaitUnanswered(1)
		cancel()
	}()
	return fixture.client.Start(ctx, fixture.target(), order(0, 0))
}

func TestSilentWorkerLeavesUnknown(t *testing.T) {
	fixture := newFixture(t)
	fixture.worker.SetFaults(hollow.Faults{Silent: true})
	reply, err := fixture.startUnanswered()
	require.ErrorIs(t, err, ErrUnanswered)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, Unknown, reply.Outcome)
}

func TestAnswerTimeoutEndsCall(t *testing.T) {
	fixture := newFixture(t)
	fixture.worker.SetFaults(hollow.Faults{Silent: true})
	client := NewClient(Options{AnswerTimeout: time.Millisecond})
	defer client.Close()
	reply, err := client.Start(t.Context(), fixture.target(), order(0, 0))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotEqual(t, Done, reply.Outcome)
}

func TestLateOrderIsUnknownAndCarriedOut(t *testing.T) {
	fixture := newFixture(t)
	fixture.worker.SetFaults(hollow.Faults{LateBy: 2 * time.Second})
	reply, err := fixture.startUnanswered()
	require.ErrorIs(t, err, ErrUnanswered)
	require.Equal(t, Unknown, reply.Outcome)
	fixture.clock.Advance(2 * time.Second)
	require.Len(t, fixture.hold(HoldOrder{FenceToken: 1}).Running, 1)
}

func TestEndedContextSendsNothing(t *testing.T) {
	fixture := newFixture(t)
	fixture.hold(HoldOrder{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reply, err := fixture.client.Start(ctx, fixture.target(), order(0, 0))
	require.ErrorIs(t, err, ErrNotSent)
	require.Equal(t, NotSent, reply.Outcome)
}

func TestOrdersAreServedWhileHoldWaits(t *testing.T) {
	fixture := newFixture(t)
	replies := make(chan HoldReply)
	go func() {
		reply, _ := fixture.client.Hold(t.Context(), fixture.target(), HoldOrder{DueAtMs: farDue, FenceToken: 1, WaitMs: 9000})
		replies <- reply
	}()
	fixture.world.AwaitWaiting(1)
	require.Equal(t, Done, fixture.start(order(0, 0)).Outcome)
	fixture.clock.Advance(2 * time.Second)
	reply := <-replies
	require.Len(t, reply.Running, 1, "the wait is limited to MaxWaitMs")
	require.Equal(t, 2, fixture.client.OpenConnections())
}

// connectionServer listens on loopback and serves its connections one after the other, each with its own function. It returns its address.
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

// writeAnswer returns a function that reads one request and writes the text.
func writeAnswer(text string) func(connection net.Conn) {
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
			address := connectionServer(t, writeAnswer(test.text))
			reply, err := client.Hold(t.Context(), Worker{"i-1", address}, HoldOrder{})
			require.ErrorIs(t, err, test.failure)
			require.Equal(t, test.outcome, reply.Outcome)
		})
	}
}

func TestOrderIsNotRepeatedOnStaleConnection(t *testing.T) {
	keep := func(connection net.Conn) {
		writeAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")(connection)
		connection.Read(make([]byte, 4096)) // receives the second order on the reused connection, then closes it
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

func TestIdleConnectionsLeaveRoomForNewCalls(t *testing.T) {
	transport := newTransport(newConnectionLimiter(100, nil), 8)
	require.Equal(t, 50, transport.MaxIdleConns, "half of the bound stays free of idle connections")
	require.Equal(t, maxIdlePerHost, transport.MaxIdleConnsPerHost)
	require.Equal(t, 8, transport.MaxConnsPerHost)
}
