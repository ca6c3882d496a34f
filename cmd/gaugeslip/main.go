// Command gaugeslip is a job dispatcher: it serves jobs from downstream clients over a cluster of upstream
// hosts. See README.md.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/pflag"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: gaugeslip COMMAND [flags]

commands:
  serve          run a dispatcher
  check-config   read the configuration, say what is wrong with it or what it holds
  version        print the version

gaugeslip COMMAND --help lists the flags of a command.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out one sub-command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	commands := map[string]func([]string, io.Writer, io.Writer) error{
		"serve": serve, "check-config": checkConfig, "version": version}
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		fmt.Fprint(stdout, usage)
		return exitOK
	}
	command, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(stderr, "gaugeslip: unknown command %q\n%s", args[0], usage)
		return exitUsage
	}
	err := command(args[1:], stdout, stderr)
	var wrong usageError
	switch {
	case err == nil || errors.Is(err, pflag.ErrHelp):
		return exitOK
	case errors.As(err, &wrong):
		fmt.Fprintln(stderr, "gaugeslip:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "gaugeslip:", err)
	return exitFailed
}

// usageError is a command line that can't be carried out.
type usageError struct{ error }

// flags makes the flag set of a sub-command.
func flags(name string, out io.Writer) *pflag.FlagSet {
	f := pflag.NewFlagSet("gaugeslip "+name, pflag.ContinueOnError)
	f.SetOutput(out)
	return f
}

// parse reads a sub-command's flags, which takes no other arguments.
func parse(f *pflag.FlagSet, args []string) error {
	if err := f.Parse(args); errors.Is(err, pflag.ErrHelp) {
		return err
	} else if err != nil {
		return usageError{err}
	}
	if f.NArg() > 0 {
		return usageError{fmt.Errorf("%s: unexpected argument %q", f.Name(), f.Arg(0))}
	}
	return nil
}
