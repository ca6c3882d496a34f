// Command relayednode runs one process of either role, as the programs themselves do, but with all its connections to others through a
// relay (internal/system/localcluster/relay), and with a disk that has troubles (internal/system/localcluster/faultydisk). Soak runs use it to
// cut links between real processes, and to strike their disks.
//
//	relayednode controlplane|dataplane RELAY
//
// The settings file is named by GAUGESLIP_NODE_FILE.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/dataplane"
	"gaugeslip/internal/system/localcluster/faultydisk"
	"gaugeslip/internal/system/localcluster/relay"
	"gaugeslip/internal/system/nodesettings"
)

const programName = "relayednode"

func main() {
	if err := run(os.Args[1:]); err != nil {
		os.Exit(console.Report(os.Stderr, programName, err))
	}
}

var errUsage = errors.New("usage: relayednode controlplane|dataplane RELAY")

func run(arguments []string) error {
	if len(arguments) != 2 {
		return errUsage
	}
	taken := console.NotifySignals()
	path := os.Getenv(nodesettings.FileVariable)
	settings, err := nodesettings.Load(path)
	if err != nil {
		return err
	}
	through := relay.Network{Relay: arguments[1], Host: settings.IP}
	switch nodesettings.Role(arguments[0]) {
	case nodesettings.RoleControlPlane:
		return runReplica(path, settings, through, taken)
	case nodesettings.RoleDataPlane:
		return runDispatcher(path, through, taken)
	}
	return errUsage
}

// runReplica runs a replica until SIGTERM; SIGHUP reads the settings again.
func runReplica(path string, settings *nodesettings.Settings, through relay.Network, taken console.Signals) error {
	logger := console.NewLogger(false)
	folder, err := wal.OSDisk(settings.DataDir)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	node, err := control.Start(control.Options{Settings: settings, Logger: logger, Network: through, Invariants: control.NewInvariants(logger),
		Disk: faultydisk.New(folder, faultydisk.OrdersOf(settings.DataDir))})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for {
		select {
		case <-taken.Terminate:
			node.Leave()
			return nil
		case <-taken.Reload:
			if changed, err := nodesettings.Load(path); err == nil {
				node.Reload(changed)
			}
		case err := <-node.Failed():
			return err
		}
	}
}

// runDispatcher runs a dispatcher until SIGTERM; SIGHUP reads the settings again.
func runDispatcher(path string, through relay.Network, taken console.Signals) error {
	logger := console.NewLogger(false)
	process, err := dataplane.Start(path, logger, dataplane.Options{Network: through, Invariants: dataplane.NewInvariants(logger)})
	if err != nil {
		return err
	}
	ending, end := context.WithCancel(context.Background())
	go func() {
		<-taken.Terminate
		end()
	}()
	reload := make(chan struct{})
	go func() {
		for range taken.Reload {
			reload <- struct{}{}
		}
	}()
	process.Watch(ending, reload)
	return process.Stop()
}
