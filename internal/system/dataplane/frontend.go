package dataplane

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/network"
)

const (
	// clientKeepAlive is how soon a client that says nothing is probed, and how often.
	clientKeepAlive = 15 * time.Second
	// reservedDescriptors are those that aren't for connections of clients.
	reservedDescriptors = 200
	minConnections      = 64
)

// DefaultLimits are the limits while there is no configuration.
func DefaultLimits() clusterconfig.Limits {
	return clusterconfig.Limits{
		MaxHeaderBytes: clusterconfig.DefaultMaxHeaderBytes,
		MaxBodyBytes:   clusterconfig.DefaultMaxBodyBytes,
		HeaderTimeout:  clusterconfig.DefaultHeaderTimeout,
		IdleTimeout:    clusterconfig.DefaultIdleTimeout,
	}
}

// MaxConnections is how many connections of clients a process may hold that may open so many files.
func MaxConnections(maxOpenFiles int) int {
	return max(minConnections, (maxOpenFiles-reservedDescriptors)/2)
}

// Frontend is where clients connect. A change of limits holds for connections from then on: those that are open keep the
// server, and so the limits, that they have begun with.
type Frontend struct {
	handler  http.Handler
	listener net.Listener
	slots    network.Slots
	errorLog *log.Logger

	mutex     sync.Mutex
	closed    bool
	limits    clusterconfig.Limits
	current   *stoppableListener
	servers   []*http.Server
	accepting sync.WaitGroup
}

// frontendSocket takes the address with the operating system's sockets.
func frontendSocket(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     clientKeepAlive,
		Interval: clientKeepAlive,
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// NewFrontend serves a listener; nothing is accepted before Serve. At most so many connections are held, further ones wait.
func NewFrontend(listener net.Listener, handler http.Handler, connections int, errorLog *log.Logger) *Frontend {
	return &Frontend{
		handler:  handler,
		listener: listener,
		slots:    network.NewSlots(connections),
		errorLog: errorLog,
	}
}

// Address is where it listens.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// Serve accepts connections under these limits from now on, instead of those before.
func (f *Frontend) Serve(limits clusterconfig.Limits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed || (f.current != nil && f.limits == limits) {
		return
	}
	if f.current != nil {
		f.current.stop()
		f.accepting.Wait()
	}
	f.limits = limits
	f.current = newStoppableListener(f.listener, f.slots)
	server := f.newServer(limits)
	f.servers = append(f.servers, server)
	active := f.current
	f.accepting.Go(func() { _ = server.Serve(active) }) // it ends when the gate is shut
}

func (f *Frontend) newServer(limits clusterconfig.Limits) *http.Server {
	return &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
		ErrorLog:          f.errorLog,
	}
}

// Shutdown stops accepting, lets every request be answered, and closes all connections; when the context ends before that,
// those that are left are cut.
func (f *Frontend) Shutdown(ctx context.Context) error {
	servers := f.close()
	var group sync.WaitGroup
	failures := make([]error, len(servers))
	for index, server := range servers {
		group.Go(func() { failures[index] = shutdownServer(ctx, server) })
	}
	group.Wait()
	return errors.Join(failures...)
}

func shutdownServer(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
	}
	return err
}

// close is the change to closed: nothing is accepted any more.
func (f *Frontend) close() []*http.Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	if f.current != nil {
		f.current.stop()
	}
	_ = f.listener.Close()
	f.accepting.Wait()
	return f.servers
}
