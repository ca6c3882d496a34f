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

// RoomLoss compares the planned and the simulated loss of one room at one load. The margins ("_pm" in JSON) are twice the standard error over seeds.
type RoomLoss struct {
	Load             float64     `json:"load"`
	Lost             string      `json:"lost"`
	RemainingLoad    float64     `json:"load_left"` // planned load of the remaining rooms
	AtBest           float64     `json:"at_best"`   // planned share of the work that can be served
	Planned          float64     `json:"planned"`   // service of an intact fleet at the same relative load for the same time
	PlannedMargin    float64     `json:"planned_pm"`
	Served           float64     `json:"played"` // service of the jobs requested from the time that the front end notices the loss until the room returns
	ServedMargin     float64     `json:"played_pm"`
	Healthy          float64     `json:"healthy"` // service of the other rooms' own clients in the same time
	OverloadFailures float64     `json:"fallen"`  // mean number of hosts that failed from overload
	Breaches         int         `json:"breaches"`
	Rooms            [][]float64 `json:"rooms"` // service by room and 5 s window, mean over seeds
}

func planCommand() *cobra.Command {
	var loads, outDir string
	var seeds int
	var asJSON bool
	c := &cobra.Command{Use: "plan SCENARIO.hcl", Short: "Simulate the loss of each room in turn and compare it with the plan",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			var all []RoomLoss
			for _, part := range strings.Split(loads, ",") {
				load, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
				if err != nil || !(load > 0) {
					return usageError{fmt.Errorf("plan: --loads: %q is no load", part)}
				}
				some, err := simulateRoomLosses(cmd, args[0], load, seeds)
				if err != nil {
					return err
				}
				all = append(all, some...)
			}
			if outDir != "" {
				if err := plotRooms(all, outDir); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "load\tlost\tleft is at\tat best\tplanned\tplayed\tother rooms\tfallen\trules broken")
			for _, x := range all {
				fmt.Fprintf(w, "%.2f\t%s\t%.2f\t%.3f\t%.3f +- %.3f\t%.3f +- %.3f\t%.3f\t%.2f\t%d\n", x.Load, x.Lost, x.RemainingLoad, x.AtBest, x.Planned, x.PlannedMargin,
					x.Served, x.ServedMargin, x.Healthy, x.OverloadFailures, x.Breaches)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&loads, "loads", "0.5,0.6,0.75,0.9,1.2", "offered work, as shares of the whole fleet's capacity")
	c.Flags().IntVar(&seeds, "seeds", 8, "number of seeds")
	c.Flags().StringVar(&outDir, "out", "", "directory for a plot of service by room over time; no plot if empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// simulateRoomLosses simulates the loss of each room in turn at one load.
func simulateRoomLosses(cmd *cobra.Command, path string, load float64, seeds int) (all []RoomLoss, err error) {
	sc, err := loadSingleScenario(path)
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
		x := RoomLoss{Load: load, Lost: l.Site, RemainingLoad: l.Load, AtBest: 1 - l.Refused/max(fleet.Asked(), 1e-9)}
		// The planned service is that of an intact fleet at the same relative load for the same time.
		calm, err := loadSingleScenario(path)
		if err != nil {
			return nil, err
		}
		if err := calm.AtLoad(load); err != nil {
			return nil, err
		}
		if err := calm.SurgeInPlace(l.Load / load); err != nil {
			return nil, err
		}
		reports, err := runSeeds(cmd.Context(), calm, 1, seeds, false, nil)
		if err != nil {
			return nil, err
		}
		// The windows of 5 s that lie entirely between the time that the front end notices the loss, 4 s after it, and the room's return.
		first, last := int(math.Ceil((from.Seconds()+4)/5)), int(to.Seconds()/5)
		within := func(r *lab.Report) float64 { return stat.Mean(r.Windows[first:last], nil) }
		x.Planned, x.PlannedMargin = meanAndMargin(reports, within)
		lost, err := loadSingleScenario(path)
		if err != nil {
			return nil, err
		}
		if err := lost.AtLoad(load); err != nil {
			return nil, err
		}
		if err := lost.LoseRoom(room + 1); err != nil {
			return nil, err
		}
		if reports, err = runSeeds(cmd.Context(), lost, 1, seeds, true, nil); err != nil {
			return nil, err
		}
		x.Served, x.ServedMargin = meanAndMargin(reports, within)
		x.Healthy, _ = meanAndMargin(reports, func(r *lab.Report) float64 {
			var all []float64
			for k, w := range r.Rooms {
				if k != room {
					all = append(all, w[first:last]...)
				}
			}
			return stat.Mean(all, nil)
		})
		for _, r := range reports {
			x.OverloadFailures += float64(r.Toppled) / float64(len(reports))
			x.Breaches += r.Broken()
		}
		x.Rooms = meanServiceByRoom(reports)
		fmt.Fprintf(cmd.ErrOrStderr(), "  load %.2f, %s lost: planned %.3f, played %.3f\n", load, x.Lost, x.Planned, x.Served)
		all = append(all, x)
	}
	return all, nil
}

// loadSingleScenario loads a file that must hold exactly one scenario.
func loadSingleScenario(path string) (*lab.Scenario, error) {
	all, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, usageError{fmt.Errorf("%s: want exactly one scenario", path)}
	}
	return all[0], nil
}

// meanAndMargin returns the mean of a value over the reports and twice its standard error, which is 0 for a single report.
func meanAndMargin(reports []*lab.Report, of func(*lab.Report) float64) (mean, pm float64) {
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

func meanServiceByRoom(reports []*lab.Report) [][]float64 {
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
func plotRooms(all []RoomLoss, outDir string) error {
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
		name := fmt.Sprintf("%s/plan-%s-%.2f.png", outDir, x.Lost, x.Load)
		if err := plotLines(p, points, name, func(x point) (string, plotter.XY) { return fmt.Sprintf("room %d", x.room+1), x.at }); err != nil {
			return err
		}
	}
	return nil
}
