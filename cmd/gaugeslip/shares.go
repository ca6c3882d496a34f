package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/net/peers"
)

// viewCommand reads one view from the operators' endpoint of a running dispatcher and prints it as a table or as
// JSON.
func viewCommand[T any](name, short string, stdout io.Writer, table func(w io.Writer, v T)) *cobra.Command {
	c := &jobsClient{out: stdout}
	cmd := &cobra.Command{Use: name, Short: short, Args: noArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		if c.addr == "" {
			return usageError{fmt.Errorf("%s: --ops, or NODE_OPS, is wanted", name)}
		}
		_, text, err := c.call(cmd.Context(), http.MethodGet, "/"+name, nil, nil, 0)
		if err != nil {
			if s, ok := err.(*statusError); ok && s.status == http.StatusNotFound {
				return fmt.Errorf("this dispatcher has no %s: its settings file switches none on", name)
			}
			return err
		}
		if c.json {
			fmt.Fprintln(stdout, strings.TrimSpace(string(text)))
			return nil
		}
		var v T
		if err := json.Unmarshal(text, &v); err != nil {
			return fmt.Errorf("not what a dispatcher answers: %w", err)
		}
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		table(w, v)
		return w.Flush()
	}}
	cmd.Flags().StringVar(&c.addr, "ops", os.Getenv("NODE_OPS"), "address of the dispatcher's operators' endpoint")
	cmd.Flags().BoolVar(&c.json, "json", false, "print the JSON answer unchanged")
	return cmd
}

// budgetsCommand shows the fleet-wide budgets as one dispatcher sees them.
func budgetsCommand(stdout io.Writer) *cobra.Command {
	return viewCommand("budgets", "Show which shares of the fleet's budgets a running dispatcher owns", stdout, func(w io.Writer, all []budget.AccountStatus) {
		fmt.Fprintln(w, "budget\twhole a second\tfloor\towned\tfor\tepoch\tused\trefused")
		for _, f := range all {
			ends := "good"
			if f.EndsMS > 0 {
				ends = fmt.Sprintf("%d ms", f.EndsMS)
			}
			fmt.Fprintf(w, "%s\t%g\t%.4f\t%.4f\t%s\t%d\t%d\t%d\n", f.Name, f.Whole, f.Floor, f.Owned, ends, f.Epoch, f.Used, f.Refused)
		}
	})
}

// membersCommand shows the other dispatchers as one dispatcher sees them.
func membersCommand(stdout io.Writer) *cobra.Command {
	return viewCommand("members", "Show the other dispatchers as a running one sees them", stdout, func(w io.Writer, v peers.View) {
		fmt.Fprintln(w, "number\tstate\t")
		for _, m := range v.Members {
			note := ""
			if m.Self {
				note = "itself"
			}
			if m.Leads {
				note = strings.TrimSpace(note + " divides")
			}
			fmt.Fprintf(w, "%d\t%s\t%s\n", m.Number, m.State, note)
		}
		if !v.Bound {
			fmt.Fprintln(w, "it does not hold its address, and owns no share")
		}
		fmt.Fprintf(w, "messages: %d sent, %d heard, %d dropped\n", v.Sent, v.Heard, v.Dropped)
	})
}
