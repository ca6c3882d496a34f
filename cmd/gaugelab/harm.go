package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"gaugeslip/internal/lab"
)

// WorkBreakdown reports how the hosts of a fleet spent their capacity at one fleet size and load.
type WorkBreakdown struct {
	Hosts       int      `json:"hosts"`
	Dispatchers int      `json:"dispatchers"`
	Load        float64  `json:"load"`
	Service     float64  `json:"service"`
	Goodput     float64  `json:"goodput"` // work served in time, as a share of the hosts' capacity
	Ideal       float64  `json:"ideal"`   // service of a scheduler with complete knowledge on the same seeds
	Work        lab.Work `json:"work"`
	ProbesAJob  float64  `json:"probes_a_job"`
	ProbesAHost float64  `json:"probes_a_host_and_second"`
	Sends       float64  `json:"sends_a_job"`
	Refused     float64  `json:"refused_a_job"`
}

// measureWork runs a scenario at the size and load in x and adds the means over the seeds to x.
func measureWork(cmd *cobra.Command, path string, x *WorkBreakdown, seeds int, length time.Duration) error {
	reports, ideal, err := runResized(cmd, path, x.Hosts, x.Dispatchers, x.Load, length, seeds)
	if err != nil {
		return err
	}
	n := float64(seeds)
	for i, r := range reports {
		jobs := float64(max(r.Jobs, 1))
		x.Service, x.Ideal = x.Service+r.Service/n, x.Ideal+ideal[i].Service/n
		x.Goodput += r.Service * x.Load / n
		x.ProbesAJob += float64(r.Probes) / jobs / n
		x.ProbesAHost += float64(r.Probes) / float64(r.Hosts) / length.Seconds() / n
		x.Sends, x.Refused = x.Sends+float64(r.Sends)/jobs/n, x.Refused+float64(r.Refused)/jobs/n
		x.Work = x.Work.Plus(r.Work, 1/n)
	}
	return nil
}

func harmCommand() *cobra.Command {
	var sizeList, loads, outDir string
	var seeds int
	var length time.Duration
	var asJSON bool
	c := &cobra.Command{Use: "harm SCENARIO.hcl", Short: "Report how hosts spend their capacity by load and fleet size, compared with a scheduler of complete knowledge",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			fleets, err := parseSizes(sizeList)
			if err != nil {
				return err
			}
			var all []WorkBreakdown
			for _, f := range fleets {
				for _, part := range strings.Split(loads, ",") {
					load, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
					if err != nil || load <= 0 {
						return usageError{fmt.Errorf("harm: --loads: %q is no load", part)}
					}
					x := WorkBreakdown{Hosts: f.Hosts, Dispatchers: f.Dispatchers, Load: load}
					if err := measureWork(cmd, args[0], &x, seeds, length); err != nil {
						return err
					}
					fmt.Fprintf(cmd.ErrOrStderr(), "  %dx%d at %.2f: service %.3f, ideal %.3f\n", x.Hosts, x.Dispatchers, load, x.Service, x.Ideal)
					all = append(all, x)
				}
			}
			if outDir != "" {
				if err := plotHarm(all, outDir); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "hosts\tdispatchers\tload\tservice\tideal\tin time\tlate\tabandoned\trepeated\tprobes\thandshakes\tcrossed\tprobes a job\ta host and s\tsends a job\trefused a job")
			for _, x := range all {
				fmt.Fprintf(w, "%d\t%d\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t%.3f\t%.2f\t%.1f\t%.2f\t%.2f\n", x.Hosts, x.Dispatchers,
					x.Load, x.Service, x.Ideal, x.Work.InTime, x.Work.Late, x.Work.Abandoned, x.Work.Repeated, x.Work.Probes, x.Work.Shakes,
					x.Work.Crossed, x.ProbesAJob, x.ProbesAHost, x.Sends, x.Refused)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&sizeList, "sizes", "60x3,60x30,60x100", "fleets, as HOSTSxDISPATCHERS")
	c.Flags().StringVar(&loads, "loads", "0.8,1,1.3,2,3,5", "offered work, as shares of the fleet's capacity")
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	c.Flags().DurationVar(&length, "length", 20*time.Second, "simulated time of each run")
	c.Flags().StringVar(&outDir, "out", "", "directory for a plot of goodput over load; no plot if empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// plotHarm plots goodput over load.
func plotHarm(all []WorkBreakdown, outDir string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Goodput", "offered work, of what the hosts can do", "worth served in time, of what the hosts can do"
	p.Y.Min = 0
	return plotByDispatchers(p, all, outDir+"/goodput.png", func(x WorkBreakdown) (int, plotter.XY) {
		return x.Dispatchers, plotter.XY{X: x.Load, Y: x.Goodput}
	})
}
