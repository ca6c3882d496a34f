package control

import (
	"context"
	"sync"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// mostCalls bounds the calls on workers that are out at once.
const mostCalls = 4096

// reservedFiles are the descriptors left for the platform, the log, other processes and the operator; leastConnections are allowed
// to workers whatever the limit.
const (
	reservedFiles    = 700
	leastConnections = 256
)

// workerConnections is how many connections to workers there may be.
func (n *Node) workerConnections() int {
	return max(n.settings.Limits.MaxOpenFiles-reservedFiles, leastConnections)
}

// connectionsPerWorker bounds the connections to one worker: two holds, and orders beside them of which some get no answer.
const connectionsPerWorker = 8

// orders carries out the scheduler's calls on workers, each on a goroutine of its own.
type orders struct {
	client *workerapi.Client
	slots  chan struct{}

	mutex  sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newOrders(connections int, dial workerapi.Dial) *orders {
	client := workerapi.NewClient(workerapi.Options{Connections: connections, ConnectionsPerWorker: connectionsPerWorker, Dial: dial})
	o := &orders{client: client, slots: make(chan struct{}, mostCalls)}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// start runs one call; with no slot free it answers false, and nothing was sent.
func (o *orders) start(timeout time.Duration, call func(ctx context.Context, client *workerapi.Client)) bool {
	select {
	case o.slots <- struct{}{}:
	default:
		return false
	}
	until := o.current()
	go func() {
		defer func() { <-o.slots }()
		ctx, cancel := context.WithTimeout(until, timeout)
		defer cancel()
		call(ctx, o.client)
	}()
	return true
}

// current is the context of the calls that begin now.
func (o *orders) current() context.Context {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ctx
}

// breakOff ends all calls that are out, those among them that still wait for a connection; calls may be made again.
func (o *orders) breakOff() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.cancel()
	o.ctx, o.cancel = context.WithCancel(context.Background())
}

// close breaks off all calls for good.
func (o *orders) close() {
	o.mutex.Lock()
	o.cancel()
	o.mutex.Unlock()
	o.client.Close()
}
