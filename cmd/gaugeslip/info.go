package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"gaugeslip/internal/config"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/site"
)

// versionCommand prints what this program was built from.
func versionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: none,
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

// files are the flags that name what the program is told.
type files struct{ config, site string }

func (f *files) add(c *cobra.Command) {
	c.Flags().StringVar(&f.config, "config", "", "configuration file, in place of the one that NODE_CONFIG names")
	c.Flags().StringVar(&f.site, "site", "", "settings file of our own (HCL), in place of the one that NODE_SITE names")
}

// checkCommand reads the configuration as serve does, and prints what serve would work with.
func checkCommand(stdout io.Writer) *cobra.Command {
	var f files
	c := &cobra.Command{Use: "check-config", Args: none,
		Short: "Read the configuration, say what is wrong with it or what it holds",
		RunE:  func(*cobra.Command, []string) error { return checkConfig(&f, stdout) }}
	f.add(c)
	return c
}

func checkConfig(f *files, stdout io.Writer) error {
	c, s, err := f.load()
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
	if w := s.Waiting; w != nil {
		fmt.Fprintf(stdout, "waiting jobs: %d at once, %d kept for %v, %d bytes, due within %v\n",
			w.MaxJobs, w.MaxKept, w.Retention, w.MaxBytes, w.DefaultDue)
	}
	return nil
}

// load reads and checks both files, also what only the two together can get wrong.
func (f *files) load() (*config.Config, *site.Site, error) {
	c, err := config.Load(os.Getenv, f.config)
	if err != nil {
		return nil, nil, err
	}
	s, err := site.Load(os.Getenv, f.site)
	if err != nil {
		return nil, nil, err
	}
	if _, taken := c.Settings.Classes["jobs"]; taken && s.Waiting != nil {
		return nil, nil, fmt.Errorf("site: waiting: a class is named \"jobs\", and waiting jobs are found below /jobs")
	}
	return c, s, nil
}
