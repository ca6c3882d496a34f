package simworld

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/dataplane"
)

const (
	frontendPort  = 8080
	readinessPort = 8081
)

func dispatcherHost(number int) string { return fmt.Sprintf("10.0.1.%d", number+1) }

func frontendAddress(number int) string {
	return fmt.Sprintf("%s:%d", dispatcherHost(number), frontendPort)
}

// dispatcher is an edge machine and, while it runs, its process.
type dispatcher struct {
	world   *world
	number  int
	host    string
	process *process
	running *dataplane.Process
}

func (w *world) newDispatcher(number int) *dispatcher {
	return &dispatcher{world: w, number: number, host: dispatcherHost(number)}
}

func (d *dispatcher) writeSettings(seeds []string) string {
	text := fmt.Sprintf(`nodeName = "edge-%d"
zone = "zone-0"
ip = "%s"
ephemeralPorts = [%d, %d]
seedNodes = ["%s"]
[bindAddresses]
frontend = "%s"
readiness = "%s:%d"
[bounds]
gracePeriodS = 1
`, d.number, d.host, internalPort, internalPort, strings.Join(seeds, `", "`), frontendAddress(d.number), d.host, readinessPort)
	path := filepath.Join(d.world.folder, fmt.Sprintf("edge-%d.toml", d.number))
	require.NoError(d.world.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start runs a dispatcher that knows these seeds.
func (d *dispatcher) start(seeds []string) {
	d.process = newProcess(d.world.net, d.host)
	running, err := dataplane.Start(d.writeSettings(seeds), d.world.logger(fmt.Sprintf("edge-%d", d.number)),
		dataplane.Options{Network: d.process, DrainDelay: time.Millisecond})
	require.NoError(d.world.t, err, "seed %d", d.world.seed)
	d.running = running
}

// kill ends the process.
func (d *dispatcher) kill() {
	if d.running == nil {
		return
	}
	running := d.running
	d.running = nil
	d.process.end()
	d.world.endings.Go(func() { _ = running.Stop() })
}
