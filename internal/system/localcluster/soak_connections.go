package localcluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/pause"
)

const (
	keptStream           = 10
	maxKeptConnections   = 60
	keptPerDispatcher    = 2
	keptRequestGap       = 40 * time.Millisecond
	keptRequestDeadline  = 1500 * time.Millisecond
	keptResponseTimeout  = 10 * time.Second
	keptReconnectPause   = 50 * time.Millisecond
	keptUnknownJobShare  = 0.5
	keptDialTimeout      = time.Second
	keptResponseMaxBytes = 64 << 10
	// lossSlack is how long after its last byte a request may be dropped with its connection: it need not have been read.
	lossSlack = 200 * time.Millisecond
	// contactTime is how long before a request its process must have run for the request to be owed an answer.
	contactTime = 3 * time.Second
)

// keptConnections are clients that go on using their open connections until the process at the other end is gone, whatever it says. They
// connect to the dispatchers directly, so that only a process can end a connection.
type keptConnections struct {
	soak     *soakRun
	answered atomic.Int64
}

func (k *keptConnections) setUp(s *soakRun) { k.soak = s }

// run keeps connections to the dispatchers until the context ends.
func (k *keptConnections) run(ctx context.Context) {
	var group sync.WaitGroup
	children, addresses := k.soak.cluster.dispatchers, k.soak.cluster.frontendAddresses()
	count := min(keptPerDispatcher*len(children), max(maxKeptConnections, len(children)))
	for number := range count {
		at := number % len(children)
		random := rand.New(rand.NewPCG(k.soak.options.Seed, keptStream<<32+uint64(number)))
		group.Go(func() { k.keep(ctx, children[at], addresses[at], random) })
	}
	group.Wait()
}

// keep uses one connection after the other.
func (k *keptConnections) keep(ctx context.Context, child *Child, address string, random *rand.Rand) {
	for pause.For(ctx, keptReconnectPause) == nil {
		connection, err := net.DialTimeout("tcp", address, keptDialTimeout)
		if err != nil {
			continue
		}
		k.use(ctx, child, connection, random)
		_ = connection.Close()
	}
}

// use sends requests until the connection ends. A request has to be answered, also around planned restarts, unless the process was killed
// or stood still within contactTime before it or during it.
func (k *keptConnections) use(ctx context.Context, child *Child, connection net.Conn, random *rand.Rand) {
	reader := bufio.NewReader(connection)
	for pause.For(ctx, time.Duration(random.Int64N(int64(2*keptRequestGap)))) == nil {
		method, text := k.request(random)
		if _, err := io.WriteString(connection, text); err != nil {
			return
		}
		sent := time.Now()
		_ = connection.SetReadDeadline(sent.Add(keptResponseTimeout))
		err := readResponse(reader, method)
		if err == nil {
			k.answered.Add(1)
			continue
		}
		waited := time.Since(sent)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) || child.interruptedSince(sent.Add(-contactTime)):
		case waited > lossSlack:
			k.soak.addFinding("LOST", "%s ended a connection %v after a whole request, without an answer (%v): %q", child.Name, waited, err, text)
		}
		return
	}
}

// request draws a request: the count of a queue, or the cancellation of a job that nobody submits, which is written at the head.
func (k *keptConnections) request(random *rand.Rand) (method, text string) {
	routes := k.soak.cluster.configuration.parsed.Routes
	route := &routes[random.IntN(len(routes))]
	method, path := http.MethodGet, route.PathPrefix
	if random.Float64() < keptUnknownJobShare {
		method, path = http.MethodDelete, fmt.Sprintf("%s%016x", route.PathPrefix, random.Uint64())
	}
	return method, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n\r\n", method, path, route.Host, deadlineHeader,
		keptRequestDeadline.Milliseconds())
}

func readResponse(reader *bufio.Reader, method string) error {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, keptResponseMaxBytes))
	return err
}
