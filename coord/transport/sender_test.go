package transport

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testMessage is a message of the tests. The numbers of one producer increase.
type testMessage struct {
	Producer int
	Number   int
}

// inbox checks that the numbers of each producer arrive in order and at most once.
type inbox struct {
	t      *testing.T
	mu     sync.Mutex
	latest map[int]int
	count  int
	change *sync.Cond
}

func newInbox(t *testing.T) *inbox {
	box := &inbox{t: t, latest: map[int]int{}}
	box.change = sync.NewCond(&box.mu)
	return box
}

func (b *inbox) deliver(messages []testMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, received := range messages {
		if received.Number <= b.latest[received.Producer] {
			b.t.Errorf("message %v after %d", received, b.latest[received.Producer])
		}
		b.latest[received.Producer] = received.Number
		b.count++
	}
	b.change.Broadcast()
}

func (b *inbox) awaitCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.count < count {
		b.change.Wait()
	}
}

func (b *inbox) has(producer int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest[producer] > 0
}

func newTestSender(t *testing.T, client *Client, options SenderOptions) *Sender[testMessage] {
	t.Helper()
	sender := NewSender[testMessage](client, "Inbox.Receive", options)
	t.Cleanup(func() { require.NoError(t, sender.Close()) })
	return sender
}

func TestNoMessageIsLostOnStableConnections(t *testing.T) {
	const producers, each, receivers = 4, 3000, 2
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{QueueLength: producers * each, BatchLength: 16})
	var group sync.WaitGroup
	for range receivers {
		box := newInbox(t)
		server := serve(t, "127.0.0.1:0", "Inbox", NewReceiver(box.deliver))
		for producer := range producers {
			group.Go(func() {
				for number := range each {
					sender.Send(server.Addr(), testMessage{Producer: producer, Number: number + 1})
				}
			})
		}
		group.Go(func() { box.awaitCount(producers * each) })
	}
	group.Wait()
	require.Zero(t, sender.Dropped())
}

func TestBrokenConnectionsPreserveMessageOrder(t *testing.T) {
	const producers, each, breaks = 3, 4000, 40
	box := newInbox(t)
	server := serve(t, "127.0.0.1:0", "Inbox", NewReceiver(box.deliver))
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{BatchLength: 4})
	var group sync.WaitGroup
	for producer := range producers {
		group.Go(func() {
			for number := range each {
				sender.Send(server.Addr(), testMessage{Producer: producer, Number: number + 1})
				if number%(each/breaks) == 0 {
					breakConnection(client, server, producer)
				}
			}
		})
	}
	group.Wait()
	sendUntilReceived(client, sender, server.Addr(), box, producers)
}

// breakConnection closes the connection at the client if end is positive and the client keeps one, else at the server.
func breakConnection(client *Client, server *Server, end int) {
	if kept := client.connectionTo(server.Addr()); kept != nil && end > 0 {
		kept.codec.closeWithCause(errPeerClosed)
		return
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	for l := range server.links {
		l.close(errPeerClosed)
	}
}

// sendUntilReceived sends messages of one more producer until one of them arrives.
func sendUntilReceived(client *Client, sender *Sender[testMessage], addr string, box *inbox, producer int) {
	for number := 1; !box.has(producer); number++ {
		client.skipBackOff(addr)
		sender.Send(addr, testMessage{Producer: producer, Number: number})
		runtime.Gosched()
	}
}

func TestRestartedReceiverIsReached(t *testing.T) {
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{})
	addr := unusedAddr(t)
	sender.Send(addr, testMessage{Number: 1})
	for sender.Dropped() == 0 {
		runtime.Gosched()
	}
	box := newInbox(t)
	serve(t, addr, "Inbox", NewReceiver(box.deliver))
	sendUntilReceived(client, sender, addr, box, 1)
}

func TestSlowReceiverDropsOldestMessages(t *testing.T) {
	const bound, total = 50, 1000
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{QueueLength: bound, BatchLength: 2})
	box := newInbox(t)
	entered := make(chan struct{})
	released := make(chan struct{})
	var once sync.Once
	server := serve(t, "127.0.0.1:0", "Inbox", NewReceiver(func(messages []testMessage) {
		once.Do(func() { close(entered) })
		<-released
		box.deliver(messages)
	}))
	sender.Send(server.Addr(), testMessage{Number: 1})
	<-entered
	for number := range total {
		sender.Send(server.Addr(), testMessage{Number: number + 2})
	}
	require.GreaterOrEqual(t, sender.Dropped(), uint64(total-bound-2*window))
	close(released)
	box.awaitCount(total + 1 - int(sender.Dropped()))
	box.mu.Lock()
	defer box.mu.Unlock()
	require.Equal(t, total+1, box.latest[0])
}

func TestSilentConnectionIsClosed(t *testing.T) {
	addr, accepted := listenWithoutReading(t)
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{AnswerTimeout: shortTimeout})
	sender.Send(addr, testMessage{Number: 1})
	conn := <-accepted
	buffer := make([]byte, 64)
	for {
		if _, err := conn.Read(buffer); err != nil {
			break
		}
	}
	require.Nil(t, client.connectionTo(addr))
}

func TestIdleGoroutinesEnd(t *testing.T) {
	box := newInbox(t)
	server := serve(t, "127.0.0.1:0", "Inbox", NewReceiver(box.deliver))
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{AnswerTimeout: shortTimeout, IdleTimeout: shortTimeout})
	for number := range 3 {
		sender.Send(server.Addr(), testMessage{Number: number + 1})
		box.awaitCount(number + 1)
		sender.group.Wait()
		require.Empty(t, sender.destinations)
		require.Zero(t, client.connectionTo(server.Addr()).users)
	}
}

func TestSendToUnregisteredServiceKeepsConnectionUsable(t *testing.T) {
	server, _ := serveEcho(t)
	client := newTestClient(t, Options{})
	sender := newTestSender(t, client, SenderOptions{})
	sender.Send(server.Addr(), testMessage{Number: 1})
	callTwice(t, client, server.Addr())
}

func TestSendAfterCloseDoesNothing(t *testing.T) {
	sender := NewSender[testMessage](newTestClient(t, Options{}), "Inbox.Receive", SenderOptions{})
	require.NoError(t, sender.Close())
	require.NoError(t, sender.Close())
	sender.Send("127.0.0.1:1", testMessage{})
	require.Empty(t, sender.destinations)
}

func BenchmarkSend(b *testing.B) {
	var count atomic.Int64
	done := make(chan struct{})
	server, err := Listen("127.0.0.1:0")
	require.NoError(b, err)
	receiver := NewReceiver(func(messages []testMessage) {
		if count.Add(int64(len(messages))) == int64(b.N) {
			close(done)
		}
	})
	require.NoError(b, server.Register("Inbox", receiver))
	go func() { _ = server.Serve() }()
	client := NewClient(Options{})
	sender := NewSender[testMessage](client, "Inbox.Receive", SenderOptions{QueueLength: b.N + 1})
	b.ReportAllocs()
	b.ResetTimer()
	for number := range b.N {
		sender.Send(server.Addr(), testMessage{Number: number})
	}
	<-done
	b.StopTimer()
	require.NoError(b, sender.Close())
	require.NoError(b, client.Close())
	require.NoError(b, server.Close())
}

func BenchmarkCall(b *testing.B) {
	server, err := Listen("127.0.0.1:0")
	require.NoError(b, err)
	require.NoError(b, server.Register("Echo", newEcho()))
	go func() { _ = server.Serve() }()
	client := NewClient(Options{})
	b.ReportAllocs()
	for b.Loop() {
		var reply int
		if err := client.Call(server.Addr(), "Echo.Twice", 1, &reply, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	require.NoError(b, client.Close())
	require.NoError(b, server.Close())
}
