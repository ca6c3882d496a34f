// Command mutants takes the guards on which safety stands out of the code, one at a time, and says whether a test notices.
//
//	go run ./internal/tools/mutants                  play all guards of the tables under internal/tools/mutants/guards
//	go run ./internal/tools/mutants NAME...          play these
//	go run ./internal/tools/mutants --point 3        play those of one point
//	go run ./internal/tools/mutants --list           print the table without playing
//
// The sources aren't touched: a changed copy of one file is given to `go test -overlay`. A guard counts as seen if its named test
// passes on the code as it is and fails without the guard. The exit code is 1 if the loss of any guard goes unseen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Names  []string `arg:"" optional:"" help:"Guards to play; all if none are named."`
	Point  int      `help:"Play the guards of one point only (1 to 5)."`
	Jobs   int      `default:"3" help:"Guards that are played at the same time."`
	Root   string   `default:"." type:"existingdir" help:"The module's folder."`
	Guards string   `default:"internal/tools/mutants/guards" help:"Folder of the tables, below the module's folder."`
	List   bool     `help:"Print the table as Markdown, without playing."`
	Trust  bool     `help:"Don't play the tests on the code as it is first."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("mutants"), kong.Description("Takes guards out of the code, one at a time, and says whether a test notices."))
	seen, err := run(&line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(2)
	}
	if !seen {
		os.Exit(1)
	}
}

// run plays what the command line asks for and tells whether the loss of each guard was seen.
func run(line *commandLine) (bool, error) {
	all, err := loadTables(line.Root, line.Guards)
	if err != nil {
		return false, err
	}
	chosen, err := choose(all, line.Names, line.Point)
	if err != nil {
		return false, err
	}
	if line.List {
		printTable(os.Stdout, chosen)
		return true, nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	p := &player{root: line.Root, out: os.Stdout}
	if !line.Trust {
		if err := p.baseline(ctx, chosen, line.Jobs); err != nil {
			return false, err
		}
	}
	return p.playAll(ctx, chosen, line.Jobs), nil
}
