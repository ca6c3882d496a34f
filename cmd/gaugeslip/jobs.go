package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/net/downstream"
)

const (
	callTimeout = 10 * time.Second // of one call, in addition to the time that it asks the dispatcher to wait
	waitPerCall = 20 * time.Second // the wait that one call of `jobs wait` asks for
)

// jobsClient is an HTTP client of a dispatcher.
type jobsClient struct {
	addr string
	json bool
	out  io.Writer
}

// statusError is an answer with an error status.
type statusError struct {
	status int
	text   string
	after  string
}

func (e *statusError) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.status, http.StatusText(e.status), e.text)
	if e.after != "" {
		text += ", come back in " + e.after + " s"
	}
	return text
}

// call makes one request and returns the status and body of the answer.
func (c *jobsClient) call(ctx context.Context, method, path string, head map[string]string, body []byte, wait time.Duration) (
	status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, usageError{err}
	}
	for k, v := range head {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode >= 300 && resp.Header.Get("Content-Type") != "application/json" {
		return resp.StatusCode, text, &statusError{resp.StatusCode, strings.TrimSpace(string(text)),
			resp.Header.Get("Retry-After")}
	}
	return resp.StatusCode, text, nil
}

// show prints one job.
func (c *jobsClient) show(text []byte) (*downstream.Job, error) {
	var j downstream.Job
	if err := json.Unmarshal(text, &j); err != nil {
		return nil, fmt.Errorf("not what a dispatcher answers: %w", err)
	}
	if c.json {
		fmt.Fprintln(c.out, strings.TrimSpace(string(text)))
		return &j, nil
	}
	fmt.Fprintf(c.out, "%s %s", j.ID, j.State)
	if j.Status != 0 {
		fmt.Fprintf(c.out, " %d, %d attempts, waited %d ms", j.Status, j.Attempts, j.WaitedMS)
	}
	fmt.Fprintln(c.out)
	if j.Result != nil {
		fmt.Fprintln(c.out, *j.Result)
	} else if len(j.Binary) > 0 {
		c.out.Write(j.Binary)
	}
	return &j, nil
}

// jobsCommand is the command for waiting jobs.
func jobsCommand(stdout io.Writer) *cobra.Command {
	c := &jobsClient{out: stdout}
	top := &cobra.Command{Use: "jobs", Short: "Submit, show and cancel waiting jobs", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usageError{errors.New("jobs: submit, show, wait, cancel or list is wanted")}
		}}
	top.PersistentFlags().StringVar(&c.addr, "addr", os.Getenv("NODE_LISTEN"), "address of the dispatcher")
	top.PersistentFlags().BoolVar(&c.json, "json", false, "print the JSON answer unchanged")
	top.AddCommand(c.submitCommand(), c.idCommand("show", "Show a job", c.get), c.waitCommand(),
		c.idCommand("cancel", "Cancel a job that has not been sent to a host", c.cancel), c.listCommand())
	return top
}

// idCommand is a command whose argument is one job's id.
func (c *jobsClient) idCommand(name, short string, do func(context.Context, string) error) *cobra.Command {
	return &cobra.Command{Use: name + " ID", Short: short, Args: argCount(1, 1),
		RunE: func(cmd *cobra.Command, args []string) error { return do(cmd.Context(), args[0]) }}
}

func jobPath(id string) string { return downstream.JobsPath + "/" + url.PathEscape(id) }

func (c *jobsClient) get(ctx context.Context, id string) error {
	_, text, err := c.call(ctx, http.MethodGet, jobPath(id), nil, nil, 0)
	if err == nil {
		_, err = c.show(text)
	}
	return err
}

func (c *jobsClient) cancel(ctx context.Context, id string) error {
	status, text, err := c.call(ctx, http.MethodDelete, jobPath(id), nil, nil, 0)
	if err == nil {
		_, err = c.show(text)
	}
	if err == nil && status != http.StatusOK {
		err = &statusError{status, "it has gone out or has ended", ""}
	}
	return err
}

func (c *jobsClient) waitCommand() *cobra.Command {
	atMost := time.Duration(0)
	cmd := c.idCommand("wait", "Wait for a job's end; exit code 1 unless it was served", nil)
	cmd.Flags().DurationVar(&atMost, "at-most", time.Hour, "how long to wait")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		for end := time.Now().Add(atMost); ; {
			left := min(time.Until(end), waitPerCall)
			seconds := max(int(left/time.Second), 0)
			_, text, err := c.call(cmd.Context(), http.MethodGet, jobPath(args[0]),
				map[string]string{"Prefer": "wait=" + strconv.Itoa(seconds)}, nil, waitPerCall)
			if err != nil {
				return err
			}
			var j downstream.Job
			if err := json.Unmarshal(text, &j); err != nil {
				return fmt.Errorf("not what a dispatcher answers: %w", err)
			}
			if j.Status == 0 && left > time.Second {
				continue
			}
			if _, err = c.show(text); err == nil && j.State != "served" {
				err = fmt.Errorf("%s is %s", j.ID, j.State)
			}
			return err
		}
	}
	return cmd
}

func (c *jobsClient) submitCommand() *cobra.Command {
	var (
		id, data, hint string
		after          []string
		delay, due     time.Duration
	)
	cmd := &cobra.Command{Use: "submit PATH", Args: argCount(1, 1),
		Short: "Submit a job that continues without its connection; PATH begins with its class",
		RunE: func(cmd *cobra.Command, args []string) error {
			body := []byte(data)
			if name, ok := strings.CutPrefix(data, "@"); ok {
				var err error
				if body, err = os.ReadFile(name); err != nil {
					return err
				}
			}
			if id == "" {
				b := make([]byte, 8)
				rand.Read(b)
				id = hex.EncodeToString(b)
			}
			head := map[string]string{"X-Trace-Id": id, "Prefer": "respond-async"}
			if delay > 0 {
				head["X-Not-Before-Ms"] = strconv.FormatInt(delay.Milliseconds(), 10)
			}
			if due > 0 {
				head["X-Due-Ms"] = strconv.FormatInt(due.Milliseconds(), 10)
			}
			if len(after) > 0 {
				head["X-After"] = strings.Join(after, ",")
			}
			if hint != "" {
				head["X-Size-Hint"] = hint
			}
			_, text, err := c.call(cmd.Context(), http.MethodPost, "/"+strings.TrimPrefix(args[0], "/"), head, body, 0)
			if err == nil {
				_, err = c.show(text)
			}
			return err
		}}
	f := cmd.Flags()
	f.StringVar(&id, "id", "", "id of the job (default: random)")
	f.StringVar(&data, "data", "", "body of the job, or @FILE")
	f.StringVar(&hint, "size-hint", "", "size of the job, in microseconds")
	f.StringSliceVar(&after, "after", nil, "ids of the jobs that must end before it")
	f.DurationVar(&delay, "in", 0, "delay before it may run")
	f.DurationVar(&due, "due", 0, "how long it may wait after that delay")
	return cmd
}

func (c *jobsClient) listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the waiting jobs and the finished ones that are kept", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
			for from := ""; ; {
				_, text, err := c.call(cmd.Context(), http.MethodGet, downstream.JobsPath+"?from="+url.QueryEscape(from), nil,
					nil, 0)
				if err != nil {
					return err
				}
				if c.json {
					fmt.Fprintln(c.out, strings.TrimSpace(string(text)))
				}
				var p downstream.Page
				if err := json.Unmarshal(text, &p); err != nil {
					return fmt.Errorf("not what a dispatcher answers: %w", err)
				}
				for _, j := range p.Jobs {
					if !c.json {
						fmt.Fprintf(w, "%s\t%s\t%s\t%d ms of %d\t%d\n", j.ID, j.Class, j.State, j.WaitedMS, j.DueMS, j.Status)
					}
				}
				if from = p.Next; from == "" {
					return w.Flush()
				}
			}
		}}
}
