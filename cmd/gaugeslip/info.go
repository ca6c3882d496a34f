package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/node"
)

// versionCommand prints the version and revision that this program was built from.
func versionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: noArgs,
		Run: func(*cobra.Command, []string) {
			revision := "unknown revision"
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Fprintln(stdout, "gaugeslip,", revision)
				return
			}
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
			fmt.Fprintf(stdout, "gaugeslip %s, %s, %s\n", info.Main.Version, revision, info.GoVersion)
		}}
}

// addFileFlags adds the flags that name the settings files.
func addFileFlags(c *cobra.Command, f *node.Files) {
	c.Flags().StringVar(&f.Config, "config", "", "configuration file (default: the one that NODE_CONFIG names)")
	c.Flags().StringVar(&f.Site, "site", "", "the dispatcher's own settings file, HCL (default: the one that NODE_SITE names)")
}

// checkCommand reads the configuration as serve does and prints the settings that serve would use.
func checkCommand(stdout io.Writer) *cobra.Command {
	var f node.Files
	c := &cobra.Command{Use: "check-config", Args: noArgs,
		Short: "Read the configuration and print its errors or its content",
		RunE:  func(*cobra.Command, []string) error { return checkConfig(&f, stdout) }}
	addFileFlags(c, &f)
	return c
}

func checkConfig(f *node.Files, stdout io.Writer) error {
	c, s, err := f.Load()
	if err != nil {
		return err
	}
	known, err := cluster.DecodeKnown(c.Known, c.Settings)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	down, up := node.Budget(c.Limits.Sockets)
	fmt.Fprintf(stdout, "%s: listens on %s, discovery at %s\n", c.Name, c.Listen, c.Discovery)
	fmt.Fprintf(stdout, "%d classes, %d kinds of host, %d known hosts\n",
		len(c.Settings.Classes), len(c.Settings.Kinds), len(known.Hosts))
	fmt.Fprintf(stdout, "connections: %d downstream, %d upstream, of %d descriptors\n", down, up, c.Limits.Sockets)
	if o := s.Overload; o != nil {
		fmt.Fprintf(stdout, "overload: %g questions, lanes kept %v, level from %g to %g\n", o.Questions, o.KeepLanes, o.Enter, o.Leave)
		fmt.Fprintf(stdout, "  margin %g, repeats %g, shed at the door %v, floor %g\n", o.Margin, o.Repeats, o.Shed, o.Floor)
	}
	if b := s.Budgets; b != nil {
		fmt.Fprintf(stdout, "budgets: %s, tenants %v with %gs at once, %g probes of a host and %g list calls a second\n", b.Way, b.Tenants, b.Burst,
			b.Probes, b.ListCalls)
	}
	if p := s.Peers; p != nil {
		fmt.Fprintf(stdout, "peers: %d members, %d voters, talk on %s\n", len(p.Members), p.Voters, p.Listen)
	}
	if w := s.Waiting; w != nil {
		fmt.Fprintf(stdout, "waiting jobs: %d at once, %d kept for %v, %d bytes, due within %v\n",
			w.MaxJobs, w.MaxKept, w.Retention, w.MaxBytes, w.DefaultDue)
	}
	return nil
}
