package dataplane

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
)

const (
	testHost   = "jobs.example"
	testPrefix = "/queue/"
	testID     = "00000000000000a1"
	testBody   = `{"spec":"text","stages":[{"count":1,"cpu":500}]}`
)

// configBody returns a configuration with one queue.
func configBody(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"route","host":"%s","pathPrefix":"%s","timeoutMs":3000,`+
		`"backend":"service"}],"services":[{"name":"service"}],"limits":{"maxBodyBytes":1000}}`, version, testHost, testPrefix)
}

func members(addresses ...string) []view.Member {
	list := make([]view.Member, len(addresses))
	for index, address := range addresses {
		list[index] = view.Member{ID: view.ReplicaID(address), Address: address}
	}
	return list
}

func chainOf(epoch uint64, addresses ...string) view.View {
	return view.View{Epoch: epoch, Voters: members("a", "b", "c"), Chain: members(addresses...)}
}

// callerFunc is a Caller that calls the function.
type callerFunc func(address, method string, args, reply any, timeout time.Duration) error

func (f callerFunc) Call(address, method string, args, reply any, timeout time.Duration) error {
	return f(address, method, args, reply, timeout)
}

// replyWith answers each call about a job with the result of the function.
func replyWith(respond func(address, method string) (internalapi.JobReply, error)) callerFunc {
	return func(address, method string, _, reply any, _ time.Duration) error {
		made, err := respond(address, method)
		if err == nil {
			*reply.(*internalapi.JobReply) = made
		}
		return err
	}
}

// testDirectory returns a directory with a configuration and a view, and a core that has just replied.
func testDirectory(t testing.TB, chain ...string) *Directory {
	return directoryWithConfig(t, configBody(1), chain...)
}

// directoryWithLimits is like testDirectory, with the given limit of body sizes in the configuration.
func directoryWithLimits(t testing.TB, limits clusterconfig.Limits) *Directory {
	body := strings.Replace(string(configBody(1)), `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, limits.MaxBodyBytes), 1)
	return directoryWithConfig(t, []byte(body), "a")
}

func directoryWithConfig(t testing.TB, body []byte, chain ...string) *Directory {
	directory := NewDirectory()
	_, err := directory.LearnConfig(1, body)
	require.NoError(t, err)
	require.True(t, directory.LearnView(chainOf(1, chain...)))
	directory.RecordContact()
	directory.RecordCurrent(1)
	return directory
}

func noPoll() {}

// serve sends one request to the handler and returns its response.
func serve(handler http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request := httptest.NewRequest(method, path, reader)
	request.Host = testHost
	for index := 0; index < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// sleepFor sleeps on the clock of the synctest bubble.
func sleepFor(duration time.Duration) { <-time.After(duration) }

// faultyCore is a chain of replicas whose calls fail at random. It may accept a job whatever it replies, and whenever.
type faultyCore struct {
	mutex    sync.Mutex
	random   *rand.Rand
	current  view.View
	accepted map[uint64]bool
	// faultless makes every call succeed.
	faultless bool
	delayed   sync.WaitGroup
}

func newFaultyCore(seed uint64) *faultyCore {
	return &faultyCore{
		random:   rand.New(rand.NewPCG(seed, 1)),
		current:  chainOf(1, "a", "b", "c"),
		accepted: map[uint64]bool{},
	}
}

func (c *faultyCore) randomInt(n int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(n)
}

func (c *faultyCore) view() view.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current
}

// changeView creates a new view with another order of the chain.
func (c *faultyCore) changeView() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	addresses := []string{"a", "b", "c"}
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	c.current = chainOf(c.current.Epoch+1, addresses[:1+c.random.IntN(3)]...)
}

func (c *faultyCore) isAccepted(id uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.accepted[id]
}

func (c *faultyCore) accept(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.accepted[id] = true
}

// Call simulates a call to a replica. Only Submit accepts jobs.
func (c *faultyCore) Call(address, method string, args, reply any, timeout time.Duration) error {
	if method != internalapi.MethodSubmit {
		return c.readState(method, reply)
	}
	id := args.(*internalapi.SubmitArgs).ID
	jobReply := reply.(*internalapi.JobReply)
	newest := c.view()
	fault := c.randomInt(14)
	if c.faultless {
		fault = 13
	}
	delay := time.Duration(c.randomInt(300)) * time.Millisecond
	switch fault {
	case 0: // connection refused
		return fmt.Errorf("%w: refused", transport.ErrNotSent)
	case 1: // nobody listens
		sleepFor(min(timeout, 400*time.Millisecond))
		return fmt.Errorf("%w: no answer", transport.ErrNotSent)
	case 2: // request lost
		sleepFor(timeout)
		return fmt.Errorf("%w: no answer", transport.ErrUnknown)
	case 3: // executed, reply lost
		c.accept(id)
		sleepFor(timeout)
		return fmt.Errorf("%w: no answer", transport.ErrUnknown)
	case 4: // executed long afterwards
		c.delayed.Go(func() {
			sleepFor(timeout + 5*delay)
			c.accept(id)
		})
		sleepFor(min(timeout, delay))
		return fmt.Errorf("%w: connection lost", transport.ErrUnknown)
	case 5:
		*jobReply = internalapi.JobReply{Verdict: internalapi.Overloaded}
		return nil
	case 6:
		c.accept(id)
		*jobReply = internalapi.JobReply{Verdict: internalapi.InDoubt}
		return nil
	case 7:
		*jobReply = internalapi.JobReply{Verdict: internalapi.NotHead, View: newest}
		return nil
	case 8:
		return rpc.ServerError("rpc: can't find service Control.Submit")
	case 9: // executed, but the reply is an error
		c.accept(id)
		return rpc.ServerError("shutting down")
	case 10: // executed, no reply even after the timeout
		c.accept(id)
		sleepFor(timeout + time.Second)
		return fmt.Errorf("%w: no answer", transport.ErrUnknown)
	}
	if newest.Head().Address != address {
		*jobReply = internalapi.JobReply{Verdict: internalapi.NotHead, View: newest}
		return nil
	}
	sleepFor(min(delay, timeout-1))
	c.accept(id)
	*jobReply = internalapi.JobReply{Verdict: internalapi.Done}
	return nil
}

func (c *faultyCore) readState(method string, reply any) error {
	newest := c.view()
	switch method {
	case internalapi.MethodDigest:
		*reply.(*internalapi.DigestReply) = internalapi.DigestReply{Epoch: newest.Epoch, Serving: true}
	case internalapi.MethodFetch:
		*reply.(*internalapi.FetchReply) = internalapi.FetchReply{View: newest}
	}
	return nil
}
