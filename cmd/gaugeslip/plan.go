package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/node"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/siteloss"
)

// planOptions are the flags of `plan`.
type planOptions struct {
	files node.Files
	ops   string
	lost  string
	load  float64
	loads string
	json  bool
}

// planCommand prints the plan for the loss of each site: that of a running dispatcher, or one computed from the
// configuration and the given loads.
func planCommand(stdout io.Writer) *cobra.Command {
	var o planOptions
	c := &cobra.Command{Use: "plan", Args: noArgs, Short: "Show where the load of a server room goes if the room is lost, and what is refused",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := o.plan(cmd)
			if err != nil {
				return err
			}
			if o.lost != "" {
				var only []siteloss.Loss
				for _, l := range p.Losses {
					if l.Site == o.lost {
						only = append(only, l)
					}
				}
				if p.Losses = only; only == nil {
					return usageError{fmt.Errorf("plan: --lost: %q is no site", o.lost)}
				}
			}
			if o.json {
				return json.NewEncoder(stdout).Encode(p)
			}
			return printPlan(stdout, p)
		}}
	addFileFlags(c, &o.files)
	c.Flags().StringVar(&o.ops, "ops", "", "address of a running dispatcher's operators' endpoint: show its plan, with the load that it measures")
	c.Flags().StringVar(&o.lost, "lost", "", "show only the loss of this room")
	c.Flags().Float64Var(&o.load, "load", 0.7, "load of each room, as a fraction of the capacity of its game workers")
	c.Flags().StringVar(&o.loads, "loads", "", "load of single rooms, as ROOM=LOAD,...")
	c.Flags().BoolVar(&o.json, "json", false, "print JSON")
	return c
}

func (o *planOptions) plan(cmd *cobra.Command) (*node.SitePlan, error) {
	if o.ops != "" {
		client := &jobsClient{addr: o.ops}
		_, text, err := client.call(cmd.Context(), http.MethodGet, "/plan", nil, nil, 0)
		if s, ok := err.(*statusError); ok && s.status == http.StatusNotFound {
			return nil, fmt.Errorf("this dispatcher plans nothing: its settings file has no block sites")
		}
		if err != nil {
			return nil, err
		}
		var p node.SitePlan
		if err := json.Unmarshal(text, &p); err != nil {
			return nil, fmt.Errorf("not what a dispatcher answers: %w", err)
		}
		if p.Fleet == nil || p.Losses == nil {
			return nil, fmt.Errorf("the dispatcher knows of no fleet with two rooms yet")
		}
		return &p, nil
	}
	f, err := o.fleet()
	if err != nil {
		return nil, err
	}
	return &node.SitePlan{Fleet: f, Losses: f.Plan()}, nil
}

// fleet returns the fleet of the configuration, with the given loads.
func (o *planOptions) fleet() (*siteloss.Fleet, error) {
	c, own, err := o.files.Load()
	if err != nil {
		return nil, err
	}
	known, err := cluster.DecodeKnown(c.Known, c.Settings)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	lim, shed := siteloss.Defaults(), overload.Defaults()
	if own.Sites != nil {
		lim = *own.Sites
	}
	if own.Overload != nil {
		shed = *own.Overload
	}
	cfg := &c.Settings.Policy
	order, err := shed.ClassOrder(cfg)
	if err != nil {
		return nil, fmt.Errorf("site: overload.%w", err)
	}
	f := &siteloss.Fleet{Usable: lim.Usable, Notice: lim.Notice, ColdFrom: cfg.ColdFrom, WarmUp: cfg.WarmUp}
	if f.ColdFrom == 0 {
		f.ColdFrom = 1
	}
	for _, name := range node.ZoneNames(c) {
		f.Sites = append(f.Sites, siteloss.Site{Name: name})
	}
	for _, h := range known.Hosts {
		if h.Zone >= 0 {
			f.Sites[h.Zone].Hosts++
			f.Sites[h.Zone].Capacity += h.Scale
		}
	}
	named := map[string]float64{}
	for _, part := range strings.FieldsFunc(o.loads, func(r rune) bool { return r == ',' }) {
		name, text, _ := strings.Cut(part, "=")
		load, err := strconv.ParseFloat(text, 64)
		if _, known := c.Settings.Zones[name]; err != nil || !known || !(load >= 0) {
			return nil, usageError{fmt.Errorf("plan: --loads: %q is no ROOM=LOAD of a room there is", part)}
		}
		named[name] = load
	}
	for i := range f.Sites {
		s, load := &f.Sites[i], o.load
		if x, ok := named[s.Name]; ok {
			load = x
		}
		s.Load = load * s.Capacity
	}
	// The settings don't hold each class's share of the load, which a running dispatcher measures; assume equal shares.
	for _, i := range order {
		f.Classes = append(f.Classes, siteloss.Class{Name: cfg.Classes[i].Name, Share: 1 / float64(len(order)), Floor: shed.Floor})
	}
	if err := f.Check(); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return f, nil
}

// printPlan prints a plan as tables.
func printPlan(w io.Writer, p *node.SitePlan) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\thosts\tcan do\tis asked for\tof it\tstate")
	for _, s := range p.Fleet.Sites {
		state := p.States[s.Name]
		if state == "" {
			state = "-"
		}
		of := 0.0
		if s.Capacity > 0 {
			of = s.Load / s.Capacity
		}
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.2f\t%s\n", s.Name, s.Hosts, s.Capacity, s.Load, of, state)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, l := range p.Losses {
		fmt.Fprintf(w, "\n%s is lost: what is left is asked for %.2f of what it can do", l.Site, l.Load)
		if l.Refused > 1e-9 {
			fmt.Fprintf(w, ", %.1f are refused", l.Refused)
		} else {
			fmt.Fprintf(w, ", nothing is refused up to %.2f times the load", l.RefusesAt)
		}
		if p.Fleet.Notice > 0 {
			fmt.Fprintf(w, "; its clients come elsewhere within %v", p.Fleet.Notice)
		}
		fmt.Fprintf(w, "; it is back %v after its first answer, %.1f in 100 of its load more each second\n", l.Returns.Round(100*time.Millisecond), 100*l.Slope)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  to\tspare\ttakes\tload then\t")
		for _, s := range l.Spills {
			fmt.Fprintf(t, "  %s\t%.1f\t%.1f\t%.2f\t\n", s.Site, s.Spare, s.Takes, s.Load)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Fprint(w, "  served at best:")
		for _, k := range l.Kept {
			fmt.Fprintf(w, " %s %.2f", k.Class, k.Served)
		}
		fmt.Fprintln(w)
	}
	return nil
}
