package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"gaugeslip/internal/config"
	"gaugeslip/internal/net/cluster"
)

// version prints what this program was built from.
func version(args []string, stdout, stderr io.Writer) error {
	if err := parse(flags("version", stderr), args); err != nil {
		return err
	}
	revision := "unknown revision"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(stdout, "gaugeslip,", revision)
		return nil
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Fprintf(stdout, "gaugeslip %s, %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}

// checkConfig reads the configuration as serve does, and prints what serve would work with.
func checkConfig(args []string, stdout, stderr io.Writer) error {
	f := flags("check-config", stderr)
	path := f.String("config", "", "configuration file, in place of the one that NODE_CONFIG names")
	if err := parse(f, args); err != nil {
		return err
	}
	c, err := config.Load(os.Getenv, *path)
	if err != nil {
		return err
	}
	known, err := cluster.Known(c.Known, c.Settings)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	down, up := budget(c.Limits.Sockets)
	fmt.Fprintf(stdout, "%s: listens on %s, discovery at %s\n", c.Name, c.Listen, c.Discovery)
	fmt.Fprintf(stdout, "%d classes, %d kinds of host, %d known hosts\n",
		len(c.Settings.Classes), len(c.Settings.Kinds), len(known.Hosts))
	fmt.Fprintf(stdout, "connections: %d downstream, %d upstream, of %d descriptors\n", down, up, c.Limits.Sockets)
	return nil
}
