package workerapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"gaugeslip/internal/system/memorybudget"
)

const (
	startPath = "/run-start"
	stopPath  = "/run-stop"
	holdPath  = "/hold"
)

const (
	defaultConnections          = 1024
	defaultConnectionsPerWorker = 4
	defaultAnswerTimeout        = 2 * time.Second
	defaultAnswerMemory         = 16 << 20
)

// Options are the limits of a client. Zero values select the defaults.
type Options struct {
	// Connections limits the open connections to all workers together (1024).
	Connections int
	// ConnectionsPerWorker limits the connections to one worker, in use and idle (4). Further calls wait for a free connection.
	ConnectionsPerWorker int
	// AnswerMemory limits the bytes that all answers longer than 64 KiB take together (16 MiB).
	AnswerMemory int64
	// AnswerTimeout limits a call whose context has no deadline (2 s). A hold may take its own wait in addition.
	AnswerTimeout time.Duration
	// Dial replaces the operating system's sockets, for a simulated network.
	Dial Dial
}

func (options Options) withDefaults() Options {
	if options.Connections <= 0 {
		options.Connections = defaultConnections
	}
	if options.ConnectionsPerWorker <= 0 {
		options.ConnectionsPerWorker = defaultConnectionsPerWorker
	}
	if options.AnswerMemory <= 0 {
		options.AnswerMemory = defaultAnswerMemory
	}
	if options.AnswerTimeout <= 0 {
		options.AnswerTimeout = defaultAnswerTimeout
	}
	return options
}

// Client calls workers. It is safe for concurrent use.
type Client struct {
	transport     *http.Transport
	limiter       *connectionLimiter
	answerMemory  *memorybudget.Budget
	answerTimeout time.Duration
}

// NewClient returns a client without open connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	limiter := newConnectionLimiter(options.Connections, options.Dial)
	return &Client{
		transport:     newTransport(limiter, options.ConnectionsPerWorker),
		limiter:       limiter,
		answerMemory:  memorybudget.NewBudget(options.AnswerMemory),
		answerTimeout: options.AnswerTimeout,
	}
}

// Close closes the idle connections. Connections in use are closed when the contexts of their calls end.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}

// OpenConnections returns the number of connections that are open or being opened.
func (client *Client) OpenConnections() int {
	return int(client.limiter.open.Load())
}

// Start orders one run. The error is nil whenever the worker's answer was understood, also if the worker refused. Otherwise it wraps
// ErrNotSent, ErrUnanswered, ErrUnreadable or ErrUnexpectedStatus, and the reply's Outcome states what is certain.
func (client *Client) Start(ctx context.Context, worker Worker, order StartOrder) (Reply, error) {
	data := make([]byte, 0, order.sizeHint())
	return client.sendOrder(ctx, worker, startPath, appendStart(data, &order))
}

// Stop orders the end of one run. It returns the same errors as Start.
func (client *Client) Stop(ctx context.Context, worker Worker, order StopOrder) (Reply, error) {
	data := make([]byte, 0, smallOrderBytes)
	return client.sendOrder(ctx, worker, stopPath, appendStop(data, &order))
}

func (client *Client) sendOrder(ctx context.Context, worker Worker, path string, order []byte) (Reply, error) {
	ctx, cancel := withTimeout(ctx, client.answerTimeout)
	defer cancel()
	var answer wireAnswer
	outcome, err := client.call(ctx, worker, path, order, &answer)
	if err != nil {
		err = fmt.Errorf("%s of %s: %w", path, worker.Address, err)
	}
	return Reply{Outcome: outcome, ClockMs: answer.clockMs}, err
}

// Hold renews the hold on all runs of the worker, acknowledges ends, and reads the lists of runs and ends. It returns the same errors as Start.
func (client *Client) Hold(ctx context.Context, worker Worker, order HoldOrder) (HoldReply, error) {
	wait := time.Duration(min(order.WaitMs, MaxWaitMs)) * time.Millisecond
	ctx, cancel := withTimeout(ctx, client.answerTimeout+wait)
	defer cancel()
	data := make([]byte, 0, smallOrderBytes)
	var answer wireAnswer
	outcome, err := client.call(ctx, worker, holdPath, appendHold(data, &order), &answer)
	if err != nil {
		err = fmt.Errorf("%s of %s: %w", holdPath, worker.Address, err)
	}
	reply := HoldReply{
		Outcome:     outcome,
		ClockMs:     answer.clockMs,
		RemainingMs: answer.remainingMs,
		Running:     answer.running,
		Finished:    answer.finished,
	}
	return reply, err
}

func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}
