package localcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/pause"
)

const (
	unrulyStream      = 9
	unrulyInterval    = 60 * time.Millisecond
	maxUnruly         = 24 // concurrent connections
	unrulyLifetime    = 4 * time.Second
	unrulyDialTimeout = time.Second
	longHeaderBytes   = 64 << 10
	largeBodyBytes    = 1 << 20
	pipelinedRequests = 40
	halfDivisor       = 2
)

// unrulyClients open connections to dispatchers and to the operator's API and violate the protocol.
type unrulyClients struct {
	soak   *soakRun
	random *rand.Rand
	opened atomic.Int64
}

func (u *unrulyClients) setUp(s *soakRun) {
	u.soak = s
	u.random = rand.New(rand.NewPCG(s.options.Seed, unrulyStream))
}

// run opens connections until the context ends, and waits for the last one.
func (u *unrulyClients) run(ctx context.Context) {
	addresses := append(u.soak.cluster.frontendAddresses(), u.soak.cluster.controlAddresses()...)
	slots := make(chan struct{}, maxUnruly)
	var group sync.WaitGroup
	defer group.Wait()
	for pause.For(ctx, unrulyInterval) == nil {
		address, text, behavior := addresses[u.random.IntN(len(addresses))], u.request(), u.random.IntN(behaviorCount)
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				defer func() { <-slots }()
				u.misbehave(ctx, address, text, behavior)
			})
		case <-ctx.Done():
		}
	}
}

// request draws a text to send: valid requests, invalid requests and data that is not HTTP.
func (u *unrulyClients) request() string {
	route := &u.soak.cluster.configuration.parsed.Routes[0]
	jobPath := fmt.Sprintf("%s%016x", route.PathPrefix, u.random.Uint64())
	head := func(method, path string, more ...string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: " + route.Host + "\r\n" + strings.Join(more, "")
	}
	body := `{"spec":"unruly","stages":[{"count":1,"cpu":10`
	switch u.random.IntN(10) {
	case 0:
		return head("POST", jobPath, "Content-Length: 5000\r\n\r\n", body)
	case 1:
		return head("POST", jobPath, "Transfer-Encoding: chunked\r\n\r\n", "ffffffff\r\n", body)
	case 2:
		return head("GET", jobPath, "X-Long: ", strings.Repeat("x", longHeaderBytes), "\r\n\r\n")
	case 3:
		return head("POST", jobPath, fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes), strings.Repeat("y", largeBodyBytes))
	case 4:
		return strings.Repeat(head("GET", jobPath, "\r\n"), pipelinedRequests)
	case 5:
		return head("DELETE", route.PathPrefix+"not-an-id", "\r\n")
	case 6:
		return head("PATCH", jobPath, "X-Gaugeslip-Deadline: -5\r\n\r\n")
	case 7:
		return "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 this is no HTTP\r\n\r\n"
	case 8:
		return "POST /Config.Replace HTTP/1.1\r\nHost: x\r\nX-Gaugeslip-Base-Version: 1\r\nContent-Length: 300\r\n\r\n" + `{"version":99999999,`
	}
	return head("GET", route.PathPrefix, "X-Gaugeslip-Deadline: NaN\r\n\r\n")
}

const (
	stalledClients   = 1100 // their bodies together take about the memory of a dispatcher's machine
	stalledBodyBytes = 256 << 10
	stalledDuration  = 3 * time.Second
)

// stalledBodies makes many clients submit a large job to one dispatcher and stop just before the end of the body.
func (s *soakRun) stalledBodies(ctx context.Context, random *rand.Rand, _ time.Duration) {
	frontends := s.cluster.frontendAddresses()
	address := frontends[random.IntN(len(frontends))]
	route := &s.cluster.configuration.parsed.Routes[0]
	text := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", route.PathPrefix, random.Uint64(), route.Host,
		stalledBodyBytes, strings.Repeat("z", stalledBodyBytes-1))
	limited, cancel := context.WithTimeout(ctx, stalledDuration)
	defer cancel()
	var group sync.WaitGroup
	for range stalledClients {
		group.Go(func() { s.unruly.misbehave(limited, address, text, behaviorNeverReads) })
	}
	group.Wait()
}

// The behaviors of unruly clients.
const (
	behaviorDisconnects = iota // sends everything and disconnects without waiting for an answer
	behaviorSendsHalf          // sends half of the request and nothing more
	behaviorTrickles           // sends a few bytes at a time
	behaviorNeverReads
	behaviorHalfCloses // closes its write side and reads the answer
	behaviorCount
)

func (u *unrulyClients) misbehave(ctx context.Context, address, text string, behavior int) {
	connection, err := net.DialTimeout("tcp", address, unrulyDialTimeout)
	if err != nil {
		return
	}
	defer connection.Close()
	u.opened.Add(1)
	limited, cancel := context.WithTimeout(ctx, unrulyLifetime)
	defer cancel()
	stop := context.AfterFunc(limited, func() { _ = connection.Close() })
	defer stop()
	// Errors of writes and reads are ignored: the check is that the server survives.
	switch behavior {
	case behaviorDisconnects:
		_, _ = io.WriteString(connection, text)
	case behaviorSendsHalf:
		_, _ = io.WriteString(connection, text[:len(text)/halfDivisor])
		<-limited.Done()
	case behaviorTrickles:
		for i := 0; i < len(text) && pause.For(limited, unrulyInterval) == nil; i += 7 {
			_, _ = io.WriteString(connection, text[i:min(i+7, len(text))])
		}
	case behaviorNeverReads:
		_, _ = io.WriteString(connection, text)
		<-limited.Done()
	case behaviorHalfCloses:
		_, _ = io.WriteString(connection, text)
		if half, ok := connection.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, connection)
	}
}
