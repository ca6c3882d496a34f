package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/system/localcluster"
)

func systemScaleCommand() *cobra.Command {
	var f systemFlags
	var sizes, outFile string
	var troubles []string
	var window time.Duration
	c := &cobra.Command{Use: "scale", Short: "Run clusters of increasing size and report the cost of each role",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			counts, err := workerCounts(sizes)
			if err != nil {
				return err
			}
			if err := addTroubles(&f, troubles, ""); err != nil {
				return usageError{err}
			}
			cleanUp, err := f.prepare(cmd)
			defer cleanUp()
			if err != nil {
				return err
			}
			f.options.Table = cmd.ErrOrStderr()
			return runSizes(cmd, localcluster.ScaleOptions{Options: f.options, Window: window}, counts, outFile, f.asJSON)
		}}
	f.register(c)
	c.Flags().StringVar(&sizes, "workers", "30,100,300,1000,2300", "numbers of hollow workers; one dispatcher for each ten, most of them in one process")
	c.Flags().DurationVar(&window, "window", 15*time.Second, "duration of the measurement under steady load at each size")
	c.Flags().StringArrayVar(&troubles, "trouble", nil, `a trouble while the long-running tasks start, "KIND TARGET AT [FOR]"; may be repeated`)
	c.Flags().StringVar(&outFile, "out", "", "file for the reports as JSON, rewritten after each size")
	return c
}

func workerCounts(text string) ([]int, error) {
	var counts []int
	for _, part := range strings.Split(text, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || count < 1 {
			return nil, usageError{fmt.Errorf("system scale: --workers: %q is no number of workers", part)}
		}
		counts = append(counts, count)
	}
	return counts, nil
}

// runSizes runs one size after the other. The reports of earlier sizes are saved to outFile and printed even if a later size fails.
func runSizes(cmd *cobra.Command, options localcluster.ScaleOptions, counts []int, outFile string, asJSON bool) error {
	var reports []*localcluster.SizeReport
	dir := options.Dir
	for _, count := range counts {
		fmt.Fprintf(cmd.ErrOrStderr(), "%d workers\n", count)
		options.Workers = count
		if dir != "" {
			options.Dir = filepath.Join(dir, fmt.Sprintf("workers-%d", count))
		}
		report, err := localcluster.RunSize(cmd.Context(), options)
		if err != nil {
			_ = localcluster.PrintSizes(cmd.OutOrStdout(), reports)
			return fmt.Errorf("system scale: %d workers: %w", count, err)
		}
		reports = append(reports, report)
		if err := saveSizeReports(outFile, reports); err != nil {
			return err
		}
	}
	if asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(reports)
	}
	return localcluster.PrintSizes(cmd.OutOrStdout(), reports)
}

func saveSizeReports(path string, reports []*localcluster.SizeReport) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}
