package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"gaugeslip/internal/lab/shares"
)

// budgetsCommand simulates members that divide a budget among them, in virtual time.
func budgetsCommand() *cobra.Command {
	c := &cobra.Command{Use: "budgets", Short: "Simulate members that divide a budget among them, in virtual time",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usageError{errors.New("budgets: draw or sizes is wanted")}
		}}
	c.AddCommand(budgetsDrawCommand(), budgetsSizesCommand())
	return c
}

func budgetsDrawCommand() *cobra.Command {
	var first uint64
	var seeds int
	c := &cobra.Command{Use: "draw", Short: "Run random fault histories and check that the sum of the shares never exceeds the budget",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			var mu sync.Mutex
			broken, used := 0, 0
			forEachParallel(seeds, func(i int) {
				if cmd.Context().Err() != nil {
					return
				}
				seed := first + uint64(i)
				r := shares.Play(shares.Draw(seed), seed)
				mu.Lock()
				defer mu.Unlock()
				if used += r.Uses; len(r.Breaches) > 0 {
					broken++
					fmt.Fprintf(cmd.ErrOrStderr(), "BROKEN on seed %d (gaugelab budgets draw --seed %d --seeds 1): %s\n", seed, seed, r.Breaches[0])
				}
			})
			if err := cmd.Context().Err(); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d histories, %d uses, the sum passed the whole in %d\n", seeds, used, broken)
			return unmetError(broken)
		}}
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1000, "number of seeds")
	return c
}

// BudgetResult holds the use and the cost of a divided budget at one fleet size.
type BudgetResult struct {
	Members   int     `json:"members"`
	Static    float64 `json:"static"`    // used share of the budget, divided statically, if a tenth of the members demands as much as the whole
	Talk      float64 `json:"talk"`      // the same with leased shares (way "talk")
	Death     float64 `json:"death_s"`   // seconds after the leader's death until 0.9 of the budget is used again
	Healed    float64 `json:"healed_s"`  // the same after the end of a partition into two groups
	Messages  float64 `json:"messages"`  // per second and member
	Bytes     float64 `json:"bytes"`     // per second and member
	LeaderMsg float64 `json:"at_leader"` // messages per second at the leader
}

func budgetsSizesCommand() *cobra.Command {
	var sizeList, outDir string
	var seeds int
	var asJSON bool
	c := &cobra.Command{Use: "sizes", Short: "Compare static and talk by the used share of a budget over the fleet size, and measure the cost of talk",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			var all []BudgetResult
			for _, part := range strings.Split(sizeList, ",") {
				n, err := strconv.Atoi(strings.TrimSpace(part))
				if err != nil || n < 1 || n > 5000 {
					return usageError{fmt.Errorf("budgets sizes: --sizes: %q is no size", part)}
				}
				all = append(all, measureBudget(n, seeds))
				fmt.Fprintf(cmd.ErrOrStderr(), "  %d members: %+v\n", n, all[len(all)-1])
			}
			if outDir != "" {
				if err := plotMessages(all, outDir); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "members\tused, static\tused, talk\tafter a death, s\tafter islands, s\tmessages a s\tbytes a s\tmessages at the leader")
			for _, x := range all {
				fmt.Fprintf(w, "%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.1f\t%.0f\t%.0f\n", x.Members, x.Static, x.Talk, x.Death, x.Healed, x.Messages, x.Bytes, x.LeaderMsg)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&sizeList, "sizes", "3,10,30,100,300,1000", "numbers of members")
	c.Flags().IntVar(&seeds, "seeds", 3, "number of seeds")
	c.Flags().StringVar(&outDir, "out", "", "directory for a plot of messages; no plot if empty")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// measureBudget simulates a fleet of n members on the given number of seeds and returns the means.
func measureBudget(n, seeds int) BudgetResult {
	x := BudgetResult{Members: n}
	mean := func(all []float64) (m float64) {
		all = all[len(all)/2:]
		for _, v := range all {
			m += v / float64(len(all))
		}
		return m
	}
	for seed := range uint64(seeds) {
		k := 1 / float64(seeds)
		w := shares.Uneven(n)
		r := shares.Play(w, seed)
		x.Talk += k * mean(r.Share)
		x.Messages, x.Bytes = x.Messages+k*r.Messages, x.Bytes+k*r.Bytes
		x.LeaderMsg += k * r.Messages * float64(n)
		w.Static = true
		x.Static += k * mean(shares.Play(w, seed).Share)
		w = shares.Even(n, 1.5)
		w.Troubles = []shares.Trouble{{Kind: "kill", At: 12 * time.Second, Members: []int{0}}}
		x.Death += k * shares.Play(w, seed).Recovered.Seconds()
		w.Troubles = []shares.Trouble{{Kind: "islands", Islands: 2, At: 10 * time.Second, For: 6 * time.Second}}
		x.Healed += k * shares.Play(w, seed).Recovered.Seconds()
	}
	return x
}

// plotMessages plots the messages per second that talk costs over the fleet size.
func plotMessages(all []BudgetResult, outDir string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "What talk costs", "members", "messages a second"
	p.X.Scale, p.X.Tick.Marker, p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}, plot.LogScale{}, plot.LogTicks{Prec: -1}
	type point struct {
		line string
		at   plotter.XY
	}
	var points []point
	for _, x := range all {
		points = append(points, point{"of a member", plotter.XY{X: float64(x.Members), Y: x.Messages}},
			point{"of all", plotter.XY{X: float64(x.Members), Y: x.LeaderMsg}})
	}
	return plotLines(p, points, outDir+"/budgets.png", func(x point) (string, plotter.XY) { return x.line, x.at })
}
