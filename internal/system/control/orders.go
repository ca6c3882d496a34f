package control

import (
	"context"
	"sync"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// maxWorkerCalls bounds the concurrent calls to workers.
const maxWorkerCalls = 4096

// reservedDescriptors are the file descriptors reserved for the platform, the log, other processes and the operators. minWorkerConnections
// are allowed to workers whatever the limit.
const (
	reservedDescriptors  = 700
	minWorkerConnections = 256
)

// workerConnections returns the maximum number of connections to workers.
func (n *Node) workerConnections() int {
	return max(n.settings.Limits.MaxOpenFiles-reservedDescriptors, minWorkerConnections)
}

// connectionsPerWorker bounds the connections to one worker: two holds, and other calls in parallel, some of which may get no answer.
const connectionsPerWorker = 8

// workerCalls makes the scheduler's calls to workers, each on a goroutine of its own.
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

// start runs one call. If no slot is free it returns false and nothing is sent.
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

// callContext returns the parent context for new calls.
func (o *workerCalls) callContext() context.Context {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ctx
}

// cancelAll cancels all outstanding calls, including those that still wait for a connection. New calls may be made afterwards.
func (o *workerCalls) cancelAll() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.cancel()
	o.ctx, o.cancel = context.WithCancel(context.Background())
}

// close cancels all calls for good.
func (o *workerCalls) close() {
	o.mutex.Lock()
	o.cancel()
	o.mutex.Unlock()
	o.client.Close()
}
