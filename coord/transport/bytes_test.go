package transport

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

const (
	callerHost = "10.0.0.1"
	serverHost = "10.0.0.2"
	serverAddr = serverHost + ":9000"
	// callTimeout is the timeout of calls over the simulated network.
	callTimeout = 500 * time.Millisecond
)

// Tally is a service that counts how often each number was added.
type Tally struct {
	name  string
	mutex sync.Mutex
	added map[int]int
	// duration returns how long a call with the number takes. If it is nil, calls take no time.
	duration func(number int) time.Duration
}

// TallyReply states which call it answers and which server answered. Number is one more than the number of the call, because gob omits zero
// fields and would leave an old value in place.
type TallyReply struct {
	Number int
	By     string
}

func newTally(name string) *Tally { return &Tally{name: name, added: map[int]int{}} }

// Add counts the number.
func (t *Tally) Add(number int, reply *TallyReply) error {
	t.mutex.Lock()
	t.added[number]++
	duration := t.duration
	t.mutex.Unlock()
	if duration != nil {
		time.Sleep(duration(number))
	}
	*reply = TallyReply{Number: number + 1, By: t.name}
	return nil
}

func (t *Tally) count(number int) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.added[number]
}

// fixture is a server with a Tally and a client, in a synctest bubble and on a simulated network.
type fixture struct {
	t       *testing.T
	network *simnet.Network
	tally   *Tally
	client  *Client
	server  *Server
}

func withFixture(t *testing.T, seed uint64, body func(t *testing.T, w *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{t: t, network: simnet.New(seed), tally: newTally("first")}
		w.client = NewClient(Options{Dial: w.network.Dialer(callerHost)})
		w.server = w.serve(w.tally)
		t.Cleanup(func() { // also if the body fails
			w.awaitQuiescence()
			require.NoError(t, w.client.Close())
			_ = w.server.Close()
			time.Sleep(time.Hour)
		})
		body(t, w)
	})
}

// serve starts a server with the service at serverAddr.
func (w *fixture) serve(service *Tally) *Server {
	listener, err := w.network.Listen(serverAddr)
	require.NoError(w.t, err)
	server := NewServer(listener)
	require.NoError(w.t, server.Register("Tally", service))
	go func() { _ = server.Serve() }()
	return server
}

// awaitQuiescence ends all faults and waits until everything in transit has arrived.
func (w *fixture) awaitQuiescence() {
	w.network.HealAll()
	w.network.Thaw(serverHost)
	time.Sleep(time.Hour)
	synctest.Wait()
}

// add makes a call and requires that an answer belongs to this call.
func (w *fixture) add(number int, timeout time.Duration) error {
	reply := TallyReply{Number: -1}
	err := w.client.Call(serverAddr, "Tally.Add", number, &reply, timeout)
	if err == nil {
		require.Equal(w.t, number+1, reply.Number, "answer of another call")
	}
	return err
}

// requireConsistent requires that the number of executions of a call agrees with its error.
func (w *fixture) requireConsistent(number int, callErr error) {
	w.t.Helper()
	switch count := w.tally.count(number); {
	case callErr == nil:
		require.Equal(w.t, 1, count)
	case errors.Is(callErr, ErrNotSent):
		require.NotErrorIs(w.t, callErr, ErrUnknown)
		require.Zero(w.t, count, "%v", callErr)
	case errors.As(callErr, new(rpc.ServerError)): // net/rpc could not decode the call
		require.Zero(w.t, count, "%v", callErr)
	default:
		require.ErrorIs(w.t, callErr, ErrUnknown)
		require.LessOrEqual(w.t, count, 1, "%v", callErr)
	}
}

// measureBytes returns the number of bytes of sequential calls and of their answers.
func measureBytes(t *testing.T, calls int) (request, answer int64) {
	withFixture(t, 1, func(t *testing.T, w *fixture) {
		for number := range calls {
			require.NoError(t, w.add(number, callTimeout))
		}
		conn := w.network.Conns()[0]
		request, answer = conn.Sent(), conn.Peer().Sent()
	})
	return request, answer
}

// The connection ends at every possible byte of a call or of its answer, both on the first call and on a later one. Each call must be
// executed at most once, and never if its error was ErrNotSent. Each answer must reach its own caller.
func TestCallOnConnectionEndingAtAnyByteRunsAtMostOnce(t *testing.T) {
	const calls = 3
	request, answer := measureBytes(t, 2)
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		var fates []simnet.Fate
		for at := range request + 1 {
			fates = append(fates, simnet.Fate{Out: simnet.Limit{Bytes: at, Then: ending}})
		}
		for at := range answer + 1 {
			fates = append(fates, simnet.Fate{Back: simnet.Limit{Bytes: at, Then: ending}})
		}
		for _, fate := range fates {
			withFixture(t, 1, func(t *testing.T, w *fixture) {
				w.network.SetPlan(func(_, _ string, nth int) simnet.Fate {
					if nth == 0 {
						return fate
					}
					return simnet.Fate{}
				})
				callErrs := make([]error, calls)
				for number := range callErrs {
					callErrs[number] = w.add(number, callTimeout)
				}
				w.awaitQuiescence()
				require.NoError(t, w.add(calls, callTimeout), "%+v: a call after the faults must succeed over a new connection", fate)
				for number, err := range callErrs {
					w.requireConsistent(number, err)
				}
			})
		}
	}
}

// An answer that arrives after its call timed out, over a connection that other calls use, must not reach any call.
func TestLateReplyReachesNoOtherCall(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, w *fixture) {
		w.tally.duration = func(number int) time.Duration { return time.Duration(number%4) * callTimeout / 2 }
		var group sync.WaitGroup
		callErrs := make([]error, 40)
		for number := range callErrs {
			group.Go(func() { callErrs[number] = w.add(number, callTimeout*9/10) })
			time.Sleep(callTimeout / 20)
		}
		group.Wait()
		w.awaitQuiescence()
		for number, err := range callErrs {
			w.requireConsistent(number, err)
			require.Equal(t, number%4 < 2, err == nil, "call %d: %v", number, err)
		}
	})
}

// The calls of a new connection have the same sequence numbers as those of the previous one. An answer of the previous connection must not
// be taken for an answer of the new one.
func TestReplyOfClosedConnectionDoesNotReachNextConnection(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, w *fixture) {
		require.NoError(t, w.add(0, callTimeout))
		w.network.Cut(serverHost, callerHost)
		callErr := w.add(1, callTimeout)
		require.ErrorIs(t, callErr, ErrUnknown)
		require.Nil(t, w.client.connectionTo(serverAddr), "a connection without any answer must be closed")
		w.network.Heal(serverHost, callerHost)
		require.NoError(t, w.add(2, callTimeout))
		require.NoError(t, w.add(3, callTimeout))
		w.requireConsistent(1, callErr)
	})
}

// Another process takes over the address of a server that was killed. The outcome of a pending call is unknown. Later calls reach only the
// new process.
func TestCallsAfterAnotherProcessTakesOverAddress(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, w *fixture) {
		w.tally.duration = func(int) time.Duration { return callTimeout }
		out := make(chan error)
		go func() { out <- w.add(1, 4*callTimeout) }()
		time.Sleep(callTimeout / 2)
		w.network.Kill(serverHost)
		second := newTally("second")
		replacement := w.serve(second)
		require.ErrorIs(t, <-out, ErrUnknown)
		var reply TallyReply
		require.NoError(t, w.client.Call(serverAddr, "Tally.Add", 2, &reply, callTimeout))
		require.Equal(t, TallyReply{Number: 3, By: "second"}, reply)
		time.Sleep(time.Hour)
		require.Equal(t, 1, w.tally.count(1))
		require.Zero(t, w.tally.count(2))
		require.Equal(t, map[int]int{2: 1}, second.added)
		require.NoError(t, w.client.Close())
		require.NoError(t, replacement.Close())
	})
}

// A peer answers each call twice, and answers sequence numbers that no call has. These answers must not reach other calls.
func TestUnsolicitedRepliesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1)
		listener, err := network.Listen(serverAddr)
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				answerThreeTimes(conn)
			}
		}()
		client := NewClient(Options{Dial: network.Dialer(callerHost)})
		var group sync.WaitGroup
		for number := range 20 {
			group.Go(func() {
				var reply TallyReply
				require.NoError(t, client.Call(serverAddr, "Tally.Add", number, &reply, callTimeout))
				require.Equal(t, number+1, reply.Number)
			})
		}
		group.Wait()
		require.NoError(t, client.Close())
		require.NoError(t, listener.Close())
		time.Sleep(time.Second)
	})
}

// answerThreeTimes answers each call three times: first under a later sequence number, then correctly, then once more.
func answerThreeTimes(conn net.Conn) {
	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	answer := func(request *rpc.Request, sequence uint64, number int) {
		_ = encoder.Encode(&rpc.Response{ServiceMethod: request.ServiceMethod, Seq: sequence})
		_ = encoder.Encode(TallyReply{Number: number})
	}
	for {
		var request rpc.Request
		var number int
		if decoder.Decode(&request) != nil || decoder.Decode(&number) != nil {
			return
		}
		answer(&request, request.Seq+1000, -1)
		answer(&request, request.Seq, number+1)
		answer(&request, request.Seq, -2)
	}
}

// The second half of an answer arrives after its call timed out. The reply must not be modified any more.
func TestPartiallyReadReplyIsNotModifiedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1)
		listener, err := network.Listen(serverAddr)
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				answerInHalves(conn, 2*callTimeout)
			}
		}()
		client := NewClient(Options{Dial: network.Dialer(callerHost)})
		var reply TallyReply
		require.ErrorIs(t, client.Call(serverAddr, "Tally.Add", 1, &reply, callTimeout), ErrUnknown)
		before := reply
		time.Sleep(time.Minute)
		require.Equal(t, before, reply)
		require.NoError(t, client.Close())
		require.NoError(t, listener.Close())
		time.Sleep(time.Second)
	})
}

// answerInHalves answers one call and sends the last two bytes of the answer after the pause.
func answerInHalves(conn net.Conn, pause time.Duration) {
	decoder := gob.NewDecoder(conn)
	var request rpc.Request
	var number int
	if decoder.Decode(&request) != nil || decoder.Decode(&number) != nil {
		return
	}
	var text bytes.Buffer
	encoder := gob.NewEncoder(&text)
	_ = encoder.Encode(&rpc.Response{ServiceMethod: request.ServiceMethod, Seq: request.Seq})
	_ = encoder.Encode(TallyReply{Number: number + 1, By: "late"})
	half := text.Len() - 2
	_, _ = conn.Write(text.Bytes()[:half])
	time.Sleep(pause)
	_, _ = conn.Write(text.Bytes()[half:])
}
