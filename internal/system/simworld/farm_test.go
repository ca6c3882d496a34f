package simworld

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/hollow"
)

const (
	platformHost    = "10.0.3.1"
	platformAddress = platformHost + ":8080"
	service         = "farm"
)

func workerHost(number int) string { return fmt.Sprintf("10.0.2.%d", number+1) }

// farm is the workers and the platform that lists them.
type farm struct {
	*hollow.World
	workers []*hollow.Worker
	servers []*http.Server
}

func (w *world) newFarm(workers int) *farm {
	settings := hollow.DefaultSettings()
	settings.Seed = w.seed
	f := &farm{World: hollow.NewWorld(settings, hollow.NewSteadyClock())}
	for number := range workers {
		worker := f.NewWorker(hollow.WorkerSettings{Backend: service, Zone: "zone-0", Version: "v1", Capacity: 8,
			Allocatable: hollow.Resources{CPU: 4000, MemoryMB: 4096}, Guarded: true, Kind: "a", Rack: "r1", ClockZero: 10 * time.Second})
		address := fmt.Sprintf("%s:80", workerHost(number))
		worker.SetAddress(address)
		f.workers = append(f.workers, worker)
		f.serve(w, address, worker)
	}
	f.serve(w, platformAddress, f.NewPlatform(hollow.PlatformSettings{Lag: 500 * time.Millisecond}))
	return f
}

func (f *farm) serve(w *world, address string, handler http.Handler) {
	listener, err := w.net.Listen(address)
	require.NoError(w.t, err)
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	f.servers = append(f.servers, server)
	w.background.Go(func() { _ = server.Serve(listener) })
}

func (f *farm) close() {
	f.World.Close()
	for _, server := range f.servers {
		_ = server.Close()
	}
}
