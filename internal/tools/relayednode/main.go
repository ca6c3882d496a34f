// Command relayednode runs one process of either role, as the programs themselves do, but with all its connections going through a
// relay (internal/system/localcluster/relay) and with a disk that can have faults (internal/system/localcluster/faultydisk). Soak runs
// use it to cut links between real processes and to inject disk faults.
//
//	relayednode controlplane|dataplane RELAY
//
// The environment variable GAUGESLIP_NODE_FILE names the settings file.
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
	"gaugeslip/internal/system/localcluster"
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
	signals := console.NotifySignals()
	reportSignalHandling()
	path := os.Getenv(nodesettings.FileVariable)
	settings, err := nodesettings.Load(path)
	if err != nil {
		return err
	}
	network := relay.Network{Relay: arguments[1], Host: settings.IP}
	switch nodesettings.Role(arguments[0]) {
	case nodesettings.RoleControlPlane:
		return runReplica(path, settings, network, signals)
	case nodesettings.RoleDataPlane:
		return runDispatcher(path, network, signals)
	}
	return errUsage
}

// reportSignalHandling tells the process that started this one that signals are handled from now on.
func reportSignalHandling() {
	file := os.NewFile(localcluster.SignalHandlingFile, "signal handling")
	_, _ = file.Write([]byte{1}) // nobody may be listening
	_ = file.Close()
}

// runReplica runs a replica until SIGTERM. SIGHUP reloads the settings.
func runReplica(path string, settings *nodesettings.Settings, network relay.Network, signals console.Signals) error {
	logger := console.NewLogger(false)
	disk, err := wal.OSDisk(settings.DataDir)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	node, err := control.Start(control.Options{Settings: settings, Logger: logger, Network: network, Invariants: control.NewInvariants(logger),
		Disk: faultydisk.New(disk, faultydisk.FaultFile(settings.DataDir))})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for {
		select {
		case <-signals.Terminate:
			node.Leave()
			return nil
		case <-signals.Reload:
			if changed, err := nodesettings.Load(path); err == nil {
				node.Reload(changed)
			}
		case err := <-node.Failed():
			return err
		}
	}
}

// runDispatcher runs a dispatcher until SIGTERM. SIGHUP reloads the settings.
func runDispatcher(path string, network relay.Network, signals console.Signals) error {
	logger := console.NewLogger(false)
	process, err := dataplane.Start(path, logger, dataplane.Options{Network: network, Invariants: dataplane.NewInvariants(logger)})
	if err != nil {
		return err
	}
	ending, end := context.WithCancel(context.Background())
	go func() {
		<-signals.Terminate
		end()
	}()
	reload := make(chan struct{})
	go func() {
		for range signals.Reload {
			reload <- struct{}{}
		}
	}()
	process.Watch(ending, reload)
	return process.Stop()
}
