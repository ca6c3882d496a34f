package simworld

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// attemptTimeout is how long an operator usually waits for one machine's response.
	attemptTimeout = time.Second
	unclear        = 0
	configFormat   = `{"version":%d,"routes":[{"name":"barn","host":"farm.example","pathPrefix":"/barn/","type":"idempotent",` +
		`"timeoutMs":%d,"targetLatencyMs":500,"backend":"farm","maxRetries":40,"extension":2}%s],"services":[{"name":"farm"}]}`
	extraRouteFormat = `,{"name":%q,"host":"farm.example","pathPrefix":"/%s/","type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,` +
		`"backend":"farm","maxRetries":40,"extension":2}`
)

// order is an operator's request: a read, or a configuration that replaces the one with version base. The mark distinguishes
// configurations of the same version.
type order struct {
	read          bool
	base, version uint64
	mark          int
	route         string // an additional route; empty for none
}

func (o order) withRoute(name string) order {
	o.route = name
	return o
}

// body returns the configuration of the order. Its mark is the time-out of its route in milliseconds.
func (o order) body() string {
	more := ""
	if o.route != "" {
		more = fmt.Sprintf(extraRouteFormat, o.route, o.route)
	}
	return fmt.Sprintf(configFormat, o.version, o.mark, more)
}

// callResult is the outcome of a call, for a read with the version and the mark. Without a definite answer the status is unclear.
type callResult struct {
	status  int
	version uint64
	mark    int
	took    time.Duration
}

// history records the operators' calls with their order in time.
type history struct {
	clock atomic.Int64
	mutex sync.Mutex
	calls []porcupine.Operation
}

func (h *history) record(call order, make func() callResult) callResult {
	began := h.clock.Add(1)
	answer := make()
	ended := h.clock.Add(1)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls = append(h.calls, porcupine.Operation{Input: call, Call: began, Output: answer, Return: ended})
	return answer
}

// operator calls replicas by HTTP from a host of its own.
type operator struct {
	world   *world
	http    *http.Transport
	timeout time.Duration // for one machine's response
}

func (w *world) newOperator(number int) *operator {
	dial := w.net.Dialer(fmt.Sprintf("10.0.4.%d", number+1))
	return &operator{world: w, http: &http.Transport{DialContext: dial, DisableKeepAlives: true}, timeout: attemptTimeout}
}

// read reads the configuration from a replica.
func (o *operator) read(replica int) callResult {
	return o.world.history.record(order{read: true}, func() callResult { return o.send(replica, order{read: true}) })
}

// replace sends a configuration to a replica.
func (o *operator) replace(replica int, newOrder order) callResult {
	return o.world.history.record(newOrder, func() callResult { return o.send(replica, newOrder) })
}

func (o *operator) send(replica int, newOrder order) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	began := time.Now()
	answer := o.exchange(ctx, replica, newOrder)
	answer.took = time.Since(began)
	o.world.logf("operator: %+v at %d: %+v", newOrder, replica, answer)
	return answer
}

func (o *operator) exchange(ctx context.Context, replica int, newOrder order) callResult {
	response, err := o.http.RoundTrip(request(ctx, replica, newOrder))
	if err != nil {
		return callResult{status: unclear}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{status: unclear}
	}
	answer := callResult{status: response.StatusCode}
	if newOrder.read && response.StatusCode == http.StatusOK {
		answer.version, answer.mark = versionAndMark(body)
	}
	return answer
}

func request(ctx context.Context, replica int, newOrder order) *http.Request {
	location := "http://" + controlAddress(replica)
	if newOrder.read {
		httpRequest, _ := http.NewRequestWithContext(ctx, http.MethodGet, location+"/Config.Read", http.NoBody)
		return httpRequest
	}
	httpRequest, _ := http.NewRequestWithContext(ctx, http.MethodPost, location+"/Config.Replace", strings.NewReader(newOrder.body()))
	httpRequest.Header.Set("X-Gaugeslip-Base-Version", strconv.FormatUint(newOrder.base, 10))
	return httpRequest
}

func versionAndMark(body []byte) (uint64, int) {
	var config struct {
		Version uint64
		Routes  []struct{ TimeoutMs int }
	}
	if err := json.Unmarshal(body, &config); err != nil || len(config.Routes) == 0 {
		return 0, 0
	}
	return config.Version, config.Routes[0].TimeoutMs
}
