// Command experiment runs variants of the sources against the unmodified sources, paired by site, day and seed, and reports how much worth
// each variant's change gains or loses.
//
//	go run ./internal/tools/experiment --play 'BENCH run {site} {day} --seed {seed} --no-cpu' --site /path/a.toml --day quiet --day storm --seeds 3
//
// BENCH is any program that simulates a day of a deployment on the checkout in which it is started, and prints the day's worth. Each variant
// of the table is built and run in a scratch clone of the last commit. The sources are not modified. New journal entries are copied from the
// clones to the sources' journal. The exit code is 1 if a trial failed or broke a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Names   []string `arg:"" optional:"" help:"Variants to run; all if none are named."`
	Play    string   `required:"" help:"Command line of one trial; {site}, {day} and {seed} are replaced."`
	Site    []string `required:"" help:"Sites, in the form that the command of --play expects."`
	Day     []string `required:"" help:"Days, in the form that the command of --play expects."`
	Seeds   int      `default:"2" help:"Number of seeds for each day."`
	Seed    uint64   `default:"7001" help:"The first seed."`
	Jobs    int      `default:"4" help:"Number of concurrent trials."`
	Worth   string   `default:"(?m)^worth ([0-9.]+)" help:"Regular expression whose one group matches the worth in a trial's output."`
	Broken  string   `default:"(?mi)^.*rule.* broken" help:"Regular expression that matches a trial's output if a rule is broken."`
	Root    string   `default:"." type:"existingdir" help:"Root directory of the module."`
	Table   string   `default:"internal/tools/experiment/variants.toml" help:"Table of variants, relative to the module's root."`
	Journal string   `default:"journal" help:"Directory whose new files are copied from the scratch clones, relative to the module's root."`
	Work    string   `help:"Directory for the scratch clones and the trials' output; a temporary one if empty."`
	Plot    string   `help:"File for a plot of the result (.svg or .png)."`
	List    bool     `help:"Print the table of variants without running them."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("experiment"), kong.Description("Runs variants of the sources and reports what each change gains or loses."))
	sound, err := run(&line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(2)
	}
	if !sound {
		os.Exit(1)
	}
}

// run carries out the command line and reports whether all trials succeeded and broke no rule.
func run(line *commandLine) (bool, error) {
	variants, err := loadVariants(line.Root, line.Table)
	if err != nil {
		return false, err
	}
	if variants, err = selectVariants(variants, line.Names); err != nil {
		return false, err
	}
	if line.List {
		printVariants(os.Stdout, variants)
		return true, nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := newRunner(line, os.Stderr)
	if err != nil {
		return false, err
	}
	outcomes, err := r.runAll(ctx, variants)
	if err != nil {
		return false, err
	}
	results := compare(variants, outcomes)
	printResults(os.Stdout, results)
	if line.Plot != "" {
		if err := plotResults(line.Plot, results); err != nil {
			return false, err
		}
	}
	return allPassed(outcomes), nil
}
