// Command gaugeslip is a job dispatcher: it serves jobs from downstream clients over a cluster of upstream
// hosts. See README.md.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// usageError is an error in the command line.
type usageError struct{ error }

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if len(args) == 0 {
		root.SetOut(stderr)
		root.Usage()
		return exitUsage
	}
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "gaugeslip:", err)
	// Cobra has no error type for an unknown command.
	if errors.As(err, &usageError{}) || strings.HasPrefix(err.Error(), "unknown command") {
		return exitUsage
	}
	return exitFailed
}

// rootCommand returns the root command with all its subcommands.
func rootCommand(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "gaugeslip", Short: "A job dispatcher", SilenceErrors: true, SilenceUsage: true,
		Long: "gaugeslip serves jobs from downstream clients over a cluster of upstream hosts.\n" +
			"Exit codes: 0 for a regular end, 1 for a failure, 2 for an invalid command line."}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.SetUsageTemplate(strings.Replace(root.UsageTemplate(), "Usage:", "usage:", 1))
	root.AddCommand(serveCommand(stderr), checkCommand(stdout), versionCommand(stdout), jobsCommand(stdout), budgetsCommand(stdout),
		membersCommand(stdout), planCommand(stdout))
	return root
}

// noArgs is cobra.NoArgs with a usageError.
func noArgs(c *cobra.Command, args []string) error { return argCount(0, 0)(c, args) }

// argCount requires from least to most arguments.
func argCount(minArgs, maxArgs int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		switch {
		case len(args) > maxArgs:
			return usageError{fmt.Errorf("%s: unexpected argument %q", c.CommandPath(), args[maxArgs])}
		case len(args) < minArgs:
			return usageError{fmt.Errorf("%s: %d arguments, %d wanted", c.CommandPath(), len(args), minArgs)}
		}
		return nil
	}
}
