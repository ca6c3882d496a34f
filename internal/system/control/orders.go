package control

import (
	"context"
	"sync"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// maxWorkerCalls bounds the calls on workers that are out at once.
const maxWorkerCalls = 4096

// reservedDescriptors are the descriptors left for the platform, the log, other processes and the operator; minWorkerConnections are allowed
// to workers whatever the limit.
const (
	reservedDescriptors  = 700
	minWorkerConnections = 256
)

// workerConnections is how many connections to workers there may be.
func (n *Node) workerConnections() int {
	return max(n.settings.Limits.MaxOpenFiles-reservedDescriptors, minWorkerConnections)
}

// connectionsPerWorker bounds the connections to one worker: two holds, and orders beside them of which some get no answer.
const connectionsPerWorker = 8

// workerCalls carries out the scheduler's calls on workers, each on a goroutine of its own.
type workerCalls struct {
	client *workerapi.Client
	slots  chan struct{}

	mutex  sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newWorkerCalls(connections int, dial workerapi.Dial) *workerCalls {
	client := workerapi.NewClient(workerapi.Options{Connections: connections, ConnectionsPerWorker: connectionsPerWorker, Dial: dial})
	o := &workerCalls{client: client, slots: make(chan struct{}, maxWorkerCalls)}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// start runs one call; with no slot free it answers false, and nothing was sent.
func (o *workerCalls) start(timeout time.Duration, call func(ctx context.Context, client *workerapi.Client)) bool {
	select {
	case o.slots <- struct{}{}:
	default:
		return false
	}
	until := o.callContext()
	go func() {
		defer func() { <-o.slots }()
		ctx, cancel := context.WithTimeout(until, timeout)
		defer cancel()
		call(ctx, o.client)
	}()
	return true
}

// callContext is the context of the calls that begin now.
func (o *workerCalls) callContext() context.Context {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ctx
}

// cancelAll ends all calls that are out, those among them that still wait for a connection; calls may be made again.
func (o *workerCalls) cancelAll() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.cancel()
	o.ctx, o.cancel = context.WithCancel(context.Background())
}

// close breaks off all calls for good.
func (o *workerCalls) close() {
	o.mutex.Lock()
	o.cancel()
	o.mutex.Unlock()
	o.client.Close()
}
