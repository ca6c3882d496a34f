package main

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"gaugeslip/internal/lab"
)

// Played is the loss of one room at one load, as planned and as played. Intervals are twice the standard error over seeds.
type Played struct {
	Load      float64     `json:"load"`
	Lost      string      `json:"lost"`
	Left      float64     `json:"load_left"` // of what is left, as planned
	AtBest    float64     `json:"at_best"`   // share of the work that can be served, as planned
	Planned   float64     `json:"planned"`   // service of a whole fleet that is asked for as much of what it can do, for as long
	PlannedPM float64     `json:"planned_pm"`
	Served    float64     `json:"played"` // service of what was asked for from the front's notice to the return
	ServedPM  float64     `json:"played_pm"`
	Healthy   float64     `json:"healthy"` // of the other rooms' own clients, in the same time
	Fallen    float64     `json:"fallen"`  // hosts
	Breaches  int         `json:"breaches"`
	Rooms     [][]float64 `json:"rooms"` // service by room and 5 s, mean over seeds
}

func planCommand() *cobra.Command {
	var loads, out string
	var seeds int
	var asJSON bool
	c := &cobra.Command{Use: "plan SCENARIO.hcl", Short: "Play the loss of each room in turn and hold the plan against what happened",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			var all []Played
			for _, part := range strings.Split(loads, ",") {
				load, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
				if err != nil || !(load > 0) {
					return usageError{fmt.Errorf("plan: --loads: %q is no load", part)}
				}
				some, err := playLosses(cmd, args[0], load, seeds)
				if err != nil {
					return err
				}
				all = append(all, some...)
			}
			if out != "" {
				if err := plotRooms(all, out); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "load\tlost\tleft is at\tat best\tplanned\tplayed\tother rooms\tfallen\trules broken")
			for _, x := range all {
				fmt.Fprintf(w, "%.2f\t%s\t%.2f\t%.3f\t%.3f +- %.3f\t%.3f +- %.3f\t%.3f\t%.2f\t%d\n", x.Load, x.Lost, x.Left, x.AtBest, x.Planned, x.PlannedPM,
					x.Served, x.ServedPM, x.Healthy, x.Fallen, x.Breaches)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&loads, "loads", "0.5,0.6,0.75,0.9,1.2", "offered work, as shares of what the whole fleet can do")
	c.Flags().IntVar(&seeds, "seeds", 8, "how many seeds")
	c.Flags().StringVar(&out, "out", "", "folder for a plot of service by room over time; none where it is empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// playLosses plays the loss of each room at a load.
func playLosses(cmd *cobra.Command, path string, load float64, seeds int) (all []Played, err error) {
	sc, err := one(path)
	if err != nil {
		return nil, err
	}
	from, to, err := sc.LossAt()
	if err != nil {
		return nil, usageError{fmt.Errorf("plan: %w", err)}
	}
	if err := sc.AtLoad(load); err != nil {
		return nil, usageError{fmt.Errorf("plan: %w", err)}
	}
	fleet := sc.Fleet(0.95)
	for room, l := range fleet.Plan() {
		x := Played{Load: load, Lost: l.Site, Left: l.Load, AtBest: 1 - l.Refused/max(fleet.Asked(), 1e-9)}
		// What is hoped for is what a whole fleet serves that is asked for as much of what it can do, for as long.
		calm, err := one(path)
		if err != nil {
			return nil, err
		}
		if err := calm.AtLoad(load); err != nil {
			return nil, err
		}
		if err := calm.SurgeInPlace(l.Load / load); err != nil {
			return nil, err
		}
		reports, err := play(cmd.Context(), calm, 1, seeds, false, nil)
		if err != nil {
			return nil, err
		}
		// Windows that lie whole between the front's notice and the return.
		first, last := int(math.Ceil((from.Seconds()+4)/5)), int(to.Seconds()/5)
		within := func(r *lab.Report) float64 { return stat.Mean(r.Windows[first:last], nil) }
		x.Planned, x.PlannedPM = over(reports, within)
		lost, err := one(path)
		if err != nil {
			return nil, err
		}
		if err := lost.AtLoad(load); err != nil {
			return nil, err
		}
		if err := lost.LoseRoom(room + 1); err != nil {
			return nil, err
		}
		if reports, err = play(cmd.Context(), lost, 1, seeds, true, nil); err != nil {
			return nil, err
		}
		x.Served, x.ServedPM = over(reports, within)
		x.Healthy, _ = over(reports, func(r *lab.Report) float64 {
			var all []float64
			for k, w := range r.Rooms {
				if k != room {
					all = append(all, w[first:last]...)
				}
			}
			return stat.Mean(all, nil)
		})
		for _, r := range reports {
			x.Fallen += float64(r.Toppled) / float64(len(reports))
			x.Breaches += r.Broken()
		}
		x.Rooms = meanRooms(reports)
		fmt.Fprintf(cmd.ErrOrStderr(), "  load %.2f, %s lost: planned %.3f, played %.3f\n", load, x.Lost, x.Planned, x.Served)
		all = append(all, x)
	}
	return all, nil
}

// one reads a file's one scenario.
func one(path string) (*lab.Scenario, error) {
	all, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, usageError{fmt.Errorf("%s: one scenario is wanted", path)}
	}
	return all[0], nil
}

// over is the mean of a figure over reports, and twice its standard error.
func over(reports []*lab.Report, of func(*lab.Report) float64) (mean, pm float64) {
	var all []float64
	for _, r := range reports {
		all = append(all, of(r))
	}
	if len(all) < 2 {
		return stat.Mean(all, nil), 0
	}
	mean, sd := stat.MeanStdDev(all, nil)
	return mean, 2 * sd / math.Sqrt(float64(len(all)))
}

func meanRooms(reports []*lab.Report) [][]float64 {
	mean := make([][]float64, len(reports[0].Rooms))
	for k := range mean {
		mean[k] = make([]float64, len(reports[0].Rooms[k]))
		for _, r := range reports {
			for i, v := range r.Rooms[k] {
				mean[k][i] += max(v, 0) / float64(len(reports))
			}
		}
	}
	return mean
}

// plotRooms draws service by room over time, a plot for each load and lost room.
func plotRooms(all []Played, out string) error {
	for _, x := range all {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s is lost, load %.2f", x.Lost, x.Load)
		p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "s", "service, by who asked when", 0, 1
		type point struct {
			room int
			at   plotter.XY
		}
		var points []point
		for k, w := range x.Rooms {
			for i, v := range w {
				points = append(points, point{k, plotter.XY{X: float64(i) * 5, Y: v}})
			}
		}
		name := fmt.Sprintf("%s/plan-%s-%.2f.png", out, x.Lost, x.Load)
		if err := plotLines(p, points, name, func(x point) (string, plotter.XY) { return fmt.Sprintf("room %d", x.room+1), x.at }); err != nil {
			return err
		}
	}
	return nil
}
