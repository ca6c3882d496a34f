package control

import (
	"context"
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
	cancel context.CancelFunc
	ctx    context.Context
}

func newOrders(connections int, dial workerapi.Dial) *orders {
	ctx, cancel := context.WithCancel(context.Background())
	client := workerapi.NewClient(workerapi.Options{Connections: connections, ConnectionsPerWorker: connectionsPerWorker, Dial: dial})
	return &orders{client: client, slots: make(chan struct{}, mostCalls), ctx: ctx, cancel: cancel}
}

// start runs one call; with no slot free it answers false, and nothing was sent.
func (o *orders) start(timeout time.Duration, call func(ctx context.Context, client *workerapi.Client)) bool {
	select {
	case o.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-o.slots }()
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		call(ctx, o.client)
	}()
	return true
}

// close breaks off all calls.
func (o *orders) close() {
	o.cancel()
	o.client.Close()
}
