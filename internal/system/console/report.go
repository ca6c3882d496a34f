package console

import (
	"errors"
	"fmt"
	"io"

	"gaugeslip/internal/system/findings"
)

// Exit codes: a fault at run time, and settings, a configuration or a log with findings.
const (
	ExitFault    = 1
	ExitFindings = 2
)

// Report writes what went wrong, each finding on a line of its own, and gives the exit code.
func Report(out io.Writer, program string, err error) int {
	var found findings.Findings
	if !errors.As(err, &found) {
		_, _ = fmt.Fprintf(out, "%s: %v\n", program, err)
		return ExitFault
	}
	for _, finding := range found {
		_, _ = fmt.Fprintln(out, finding)
	}
	return ExitFindings
}
