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
	// clientKeepAlive is the idle time before the first TCP keep-alive probe to a client, and the interval between probes.
	clientKeepAlive = 15 * time.Second
	// reservedDescriptors is the number of file descriptors kept for other uses than client connections.
	reservedDescriptors = 200
	minConnections      = 64
)

// DefaultLimits returns the limits that apply until there is a configuration.
func DefaultLimits() clusterconfig.Limits {
	return clusterconfig.Limits{
		MaxHeaderBytes: clusterconfig.DefaultMaxHeaderBytes,
		MaxBodyBytes:   clusterconfig.DefaultMaxBodyBytes,
		HeaderTimeout:  clusterconfig.DefaultHeaderTimeout,
		IdleTimeout:    clusterconfig.DefaultIdleTimeout,
	}
}

// MaxConnections returns how many client connections a process with the given limit of open files may hold.
func MaxConnections(maxOpenFiles int) int {
	return max(minConnections, (maxOpenFiles-reservedDescriptors)/2)
}

// Frontend accepts client connections. Changed limits apply to new connections; open connections stay with the server, and so the
// limits, with which they were accepted.
type Frontend struct {
	handler  http.Handler
	listener net.Listener
	slots    network.Slots
	errorLog *log.Logger

	mutex   sync.Mutex
	closed  bool
	limits  clusterconfig.Limits
	current *stoppableListener
	servers []*http.Server
	serving sync.WaitGroup
}

// frontendSocket listens on the address with the operating system's sockets.
func frontendSocket(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     clientKeepAlive,
		Interval: clientKeepAlive,
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// NewFrontend returns a frontend for a listener. It accepts nothing before Serve is called. It holds at most the given number of
// connections; further ones wait.
func NewFrontend(listener net.Listener, handler http.Handler, connections int, errorLog *log.Logger) *Frontend {
	return &Frontend{
		handler:  handler,
		listener: listener,
		slots:    network.NewSlots(connections),
		errorLog: errorLog,
	}
}

// Address returns the address that the frontend listens on.
func (f *Frontend) Address() string { return f.listener.Addr().String() }

// Serve accepts connections under the given limits from now on, in place of the previous limits.
func (f *Frontend) Serve(limits clusterconfig.Limits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed || (f.current != nil && f.limits == limits) {
		return
	}
	if f.current != nil {
		f.current.stop()
		f.serving.Wait()
	}
	f.limits = limits
	f.current = newStoppableListener(f.listener, f.slots)
	server := f.newServer(limits)
	f.servers = append(f.servers, server)
	active := f.current
	f.serving.Go(func() { _ = server.Serve(active) }) // returns when the listener is stopped
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

// Shutdown stops accepting, waits until every request is answered, and closes all connections. If the context ends first, it cuts
// the remaining connections.
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

// close stops accepting connections and returns all servers.
func (f *Frontend) close() []*http.Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	if f.current != nil {
		f.current.stop()
	}
	_ = f.listener.Close()
	f.serving.Wait()
	return f.servers
}
