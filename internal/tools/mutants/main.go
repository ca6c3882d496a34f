// Command mutants does mutation testing: it removes the conditions on which safety depends (guards) from the code, one at a time, and reports
// whether a test fails.
//
//	go run ./internal/tools/mutants                  test all guards of the tables under internal/tools/mutants/guards
//	go run ./internal/tools/mutants NAME...          test these guards
//	go run ./internal/tools/mutants --point 3        test the guards of one point
//	go run ./internal/tools/mutants --list           print the table without running tests
//
// The sources are not modified: the command passes a changed copy of one file to `go test -overlay`. A guard counts as seen if its test
// passes on the unmodified code and fails without the guard. The exit code is 1 if the removal of any guard is not detected.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Names  []string `arg:"" optional:"" help:"Guards to test; all if none are named."`
	Point  int      `help:"Test only the guards of this point (1 to 5)."`
	Jobs   int      `default:"3" help:"Number of guards tested concurrently."`
	Root   string   `default:"." type:"existingdir" help:"Root directory of the module."`
	Guards string   `default:"internal/tools/mutants/guards" help:"Directory of the tables, relative to the module's root."`
	List   bool     `help:"Print the table as Markdown without running tests."`
	Trust  bool     `help:"Skip the test run on the unmodified code."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("mutants"), kong.Description("Removes guards from the code, one at a time, and reports whether a test fails."))
	seen, err := run(&line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(2)
	}
	if !seen {
		os.Exit(1)
	}
}

// run carries out the command line and reports whether a test detected the removal of each guard.
func run(line *commandLine) (bool, error) {
	all, err := loadTables(line.Root, line.Guards)
	if err != nil {
		return false, err
	}
	chosen, err := selectGuards(all, line.Names, line.Point)
	if err != nil {
		return false, err
	}
	if line.List {
		printTable(os.Stdout, chosen)
		return true, nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &runner{root: line.Root, out: os.Stdout}
	if !line.Trust {
		if err := r.runBaseline(ctx, chosen, line.Jobs); err != nil {
			return false, err
		}
	}
	return r.runAll(ctx, chosen, line.Jobs), nil
}
