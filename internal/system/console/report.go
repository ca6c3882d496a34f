package console

import (
	"errors"
	"fmt"
	"io"

	"gaugeslip/internal/system/findings"
)

// Exit codes: ExitFault for an error at run time, ExitFindings for findings in settings, a configuration or a log.
const (
	ExitFault    = 1
	ExitFindings = 2
)

// Report writes the error, each finding on its own line, and returns the exit code.
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
