package hollow

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
)

// server is an HTTP server with its listener on loopback.
type server struct {
	http     *http.Server
	listener net.Listener
	address  string
}

func serve(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	created := &server{
		listener: listener,
		address:  listener.Addr().String(),
		http:     &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)},
	}
	go created.http.Serve(listener)
	return created, nil
}

// close closes the listener and its connections. It closes the listener itself, because the server does not know it before Serve runs.
func (s *server) close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}

// Listen opens the worker's listener on a free port of loopback. Close closes it.
func (worker *Worker) Listen() error {
	opened, err := serve(worker)
	if err != nil {
		return err
	}
	worker.server = opened
	worker.SetAddress(opened.address)
	return nil
}

// Close closes the worker's listener and its connections.
func (worker *Worker) Close() {
	if worker.server != nil {
		worker.server.close()
	}
}

// Listen opens the platform's listener on a free port of loopback and returns its address. Close closes it.
func (platform *Platform) Listen() (string, error) {
	opened, err := serve(platform)
	if err != nil {
		return "", err
	}
	platform.server = opened
	return opened.address, nil
}

// Close closes the platform's listener and its connections.
func (platform *Platform) Close() {
	if platform.server != nil {
		platform.server.close()
	}
}
