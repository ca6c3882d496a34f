package localcluster

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"gaugeslip/internal/system/hollow"
)

// Worker sizes. Each worker has as many GPUs as the larger machines of the design, so that every kind of job fits.
const (
	workerCPU      = 16_000
	workerMemoryMB = 65_536
	workerGPUs     = 8
	workersPerRack = 6
	workerSlots    = 8
)

// Traffic counts the traffic of a number of listeners. It is safe for concurrent use.
type Traffic struct {
	Connections    atomic.Int64
	Received, Sent atomic.Int64 // bytes
	Calls          atomic.Int64
}

// TrafficCount is a snapshot of a Traffic.
type TrafficCount struct {
	Connections, Received, Sent, Calls int64
}

func (t *Traffic) count() TrafficCount {
	return TrafficCount{t.Connections.Load(), t.Received.Load(), t.Sent.Load(), t.Calls.Load()}
}

func (t TrafficCount) since(earlier TrafficCount) TrafficCount {
	return TrafficCount{t.Connections - earlier.Connections, t.Received - earlier.Received, t.Sent - earlier.Sent, t.Calls - earlier.Calls}
}

// countingListener counts accepted connections and their bytes.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.Connections.Add(1)
	return countingConn{accepted, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(count))
	return count, err
}

func (c countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.traffic.Sent.Add(int64(count))
	return count, err
}

// fleet is the hollow workers and the platform's list of them.
type fleet struct {
	world           *hollow.World
	workers         []*hollow.Worker
	servers         []*http.Server
	platformAddress string
	traffic         Traffic
	listTraffic     Traffic
}

// fleetOptions configures a fleet.
type fleetOptions struct {
	settings         hollow.Settings
	workers          int
	services         []string // assigned to workers in turn
	hasPreconditions func(service string) bool
	onStart          func(job string) // called for each start that a worker accepted
	platform         hollow.PlatformSettings
}

// newFleet starts the workers, assigned to the services in turn, and the platform's list.
func newFleet(options fleetOptions) (*fleet, error) {
	f := &fleet{world: hollow.NewWorld(options.settings, hollow.NewSteadyClock())}
	for i := range options.workers {
		service := options.services[i%len(options.services)]
		worker := f.world.NewWorker(hollow.WorkerSettings{
			Backend:     service,
			Zone:        zoneOf(i),
			Version:     "v1",
			Capacity:    workerSlots,
			Allocatable: hollow.Resources{CPU: workerCPU, MemoryMB: workerMemoryMB, GPUs: workerGPUs},
			Guarded:     options.hasPreconditions(service),
			Kind:        "a",
			Rack:        fmt.Sprintf("r%d", i/workersPerRack),
		})
		address, err := f.serve(&startObserver{worker: worker, onStart: options.onStart}, &f.traffic)
		if err != nil {
			f.close()
			return nil, fmt.Errorf("worker %d: %w", i, err)
		}
		worker.SetAddress(address)
		f.workers = append(f.workers, worker)
	}
	address, err := f.serve(f.world.NewPlatform(options.platform), &f.listTraffic)
	if err != nil {
		f.close()
		return nil, fmt.Errorf("platform: %w", err)
	}
	f.platformAddress = address
	return f, nil
}

func (f *fleet) serve(handler http.Handler, traffic *Traffic) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		traffic.Calls.Add(1)
		handler.ServeHTTP(writer, request)
	})}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(countingListener{listener, traffic}) }() // returns after Close
	return listener.Addr().String(), nil
}

// close closes all listeners and connections.
func (f *fleet) close() {
	f.world.Close()
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// startObserver reports the starts that a worker accepts.
type startObserver struct {
	worker  *hollow.Worker
	onStart func(job string)
}

const startPath = "/run-start"

func (o *startObserver) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != startPath {
		o.worker.ServeHTTP(writer, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	status := &statusWriter{ResponseWriter: writer}
	o.worker.ServeHTTP(status, request)
	if status.status == http.StatusOK {
		o.onStart(jobIDOfStart(body))
	}
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// jobIDOfStart returns the job ID in the body of a start request, or an empty string if there is none.
func jobIDOfStart(body []byte) string {
	const key = `"task":"`
	_, rest, found := bytes.Cut(body, []byte(key))
	if !found {
		return ""
	}
	job, _, _ := bytes.Cut(rest, []byte("."))
	return string(job)
}
