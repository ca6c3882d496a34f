// Command experiment plays variants of the sources against the sources as they are, paired by site, day and seed, and says what each
// variant's change is worth.
//
//	go run ./internal/tools/experiment --play 'BENCH run {site} {day} --seed {seed} --no-cpu' --site /path/a.toml --day quiet --day storm --seeds 3
//
// BENCH is any program that plays a day of a deployment on the checkout in which it is started, and prints the day's worth. Each variant of
// the table is built and played in a scratch clone of the last commit; the sources and their journal stay as they are, but for the journal's
// new entries, which are copied over. The exit code is 1 if a play failed or broke a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Names   []string `arg:"" optional:"" help:"Variants to play; all if none are named."`
	Play    string   `required:"" help:"Command line of one play; {site}, {day} and {seed} are filled in."`
	Site    []string `required:"" help:"Sites, as the command takes them."`
	Day     []string `required:"" help:"Days, as the command takes them."`
	Seeds   int      `default:"2" help:"How many seeds each day is played with."`
	Seed    uint64   `default:"7001" help:"The first seed."`
	Jobs    int      `default:"4" help:"Plays at the same time."`
	Worth   string   `default:"(?m)^worth ([0-9.]+)" help:"Where a play's output tells its worth."`
	Broken  string   `default:"(?mi)^.*rule.* broken" help:"What a play's output tells of a broken rule."`
	Root    string   `default:"." type:"existingdir" help:"The module's folder."`
	Table   string   `default:"internal/tools/experiment/variants.toml" help:"The table of variants, below the module's folder."`
	Journal string   `default:"journal" help:"Folder of which new files are copied from the scratch clones, below the module's folder."`
	Work    string   `help:"Folder for the scratch clones and the plays' output; a temporary one if empty."`
	Plot    string   `help:"File for a plot of the result (.svg or .png)."`
	List    bool     `help:"Print the table of variants without playing."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("experiment"), kong.Description("Plays variants of the sources and says what each change is worth."))
	sound, err := run(&line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(2)
	}
	if !sound {
		os.Exit(1)
	}
}

// run plays what the command line asks for and tells whether all plays were sound.
func run(line *commandLine) (bool, error) {
	variants, err := loadVariants(line.Root, line.Table)
	if err != nil {
		return false, err
	}
	if variants, err = chooseVariants(variants, line.Names); err != nil {
		return false, err
	}
	if line.List {
		printVariants(os.Stdout, variants)
		return true, nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	p, err := newPlayer(line, os.Stderr)
	if err != nil {
		return false, err
	}
	outcomes, err := p.playAll(ctx, variants)
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
	return allSound(outcomes), nil
}
