// Command gaugelab tests gaugeslip on models: it simulates scenarios in virtual time, compares and plots them, emulates a fleet on
// loopback sockets and sends it load. It is not part of a deployed dispatcher.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// usageError marks an invalid command line. It leads to exit code exitUsage.
type usageError struct{ error }

// run carries out one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "gaugelab", Short: "Test gaugeslip on models", SilenceErrors: true, SilenceUsage: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(runCommand(), compareCommand(), replayCommand(), plotCommand(), demoCommand(), emulateCommand(), loadCommand(),
		watchCommand(), scaleCommand(), harmCommand(), processesCommand(), budgetsCommand(), planCommand(), systemCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageError{}):
		fmt.Fprintln(stderr, "gaugelab:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "gaugelab:", err)
	return exitFailed
}
