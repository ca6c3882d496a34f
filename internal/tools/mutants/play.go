package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// testTimeout bounds a test run. A mutant that makes its test hang until then counts as seen.
const testTimeout = 3 * time.Minute

// verdict is the result of one mutant.
type verdict string

const (
	killed   verdict = "seen"
	survived verdict = "NOT SEEN"
	invalid  verdict = "INVALID" // the mutant does not compile, or no test ran
)

var errNoTest = errors.New("no test ran")

// runner runs tests of the module, unmodified or with one changed file.
type runner struct {
	root  string
	out   io.Writer
	mutex sync.Mutex
}

func (r *runner) printLine(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, format+"\n", arguments...)
}

// runBaseline runs the test of each guard on the unmodified code. All must pass.
func (r *runner) runBaseline(ctx context.Context, guards []guard, jobs int) error {
	var done []string
	var group errgroup.Group
	group.SetLimit(jobs)
	var mutex sync.Mutex
	var failures []error
	for i := range guards {
		g := &guards[i]
		key := strings.Join(g.Packages, " ") + " " + g.Test
		if slices.Contains(done, key) {
			continue
		}
		done = append(done, key)
		group.Go(func() error {
			if err := r.checkBaseline(ctx, g); err != nil {
				mutex.Lock()
				failures = append(failures, err)
				mutex.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	r.printLine("%d tests run on the code as it is, %d fail", len(done), len(failures))
	return errors.Join(failures...)
}

// checkBaseline runs a guard's test on the unmodified code.
func (r *runner) checkBaseline(ctx context.Context, g *guard) error {
	passed, output, err := r.runTest(ctx, g, "")
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w\n%s", g.Name, err, tail(output))
	case !passed:
		return fmt.Errorf("%s: its test does not pass on the unmodified code\n%s", g.Name, tail(output))
	}
	return nil
}

// runAll tests each guard and reports whether the removal of each was detected.
func (r *runner) runAll(ctx context.Context, guards []guard, jobs int) bool {
	var group errgroup.Group
	group.SetLimit(jobs)
	verdicts := make([]verdict, len(guards))
	for i := range guards {
		group.Go(func() error {
			verdicts[i] = r.runMutant(ctx, &guards[i])
			return nil
		})
	}
	_ = group.Wait()
	count := map[verdict]int{}
	for _, v := range verdicts {
		count[v]++
	}
	r.printLine("%d guards: %d seen, %d not seen, %d invalid", len(guards), count[killed], count[survived], count[invalid])
	return count[killed] == len(guards)
}

// runMutant removes one guard, runs its test and prints the verdict.
func (r *runner) runMutant(ctx context.Context, g *guard) verdict {
	began := time.Now()
	found, detail := r.evaluate(ctx, g)
	r.printLine("%-9s point %d  %-44s %s, %.1f s%s", found, g.Point, g.Name, g.Test, time.Since(began).Seconds(), detail)
	return found
}

func (r *runner) evaluate(ctx context.Context, g *guard) (verdict, string) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return invalid, "\n" + err.Error()
	}
	defer os.RemoveAll(dir)
	overlay, err := r.writeOverlay(g, dir)
	if err != nil {
		return invalid, "\n" + err.Error()
	}
	passed, output, err := r.runTest(ctx, g, overlay)
	switch {
	case err != nil:
		return invalid, "\n" + err.Error() + "\n" + tail(output)
	case passed:
		return survived, ""
	}
	return killed, ""
}

// writeOverlay writes the changed file and the overlay file for `go test -overlay`, and returns the path of the overlay file.
func (r *runner) writeOverlay(g *guard, dir string) (string, error) {
	mutant, err := g.mutatedSource(r.root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(filepath.Join(r.root, g.File))
	if err != nil {
		return "", err
	}
	changed := filepath.Join(dir, "mutant.go")
	if err := os.WriteFile(changed, mutant, 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {original: changed}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, list, 0o600)
}

// runTest runs the guard's test and reports whether it passed. It returns an error if the test could not be run.
func (r *runner) runTest(ctx context.Context, g *guard, overlay string) (passed bool, output string, err error) {
	arguments := []string{"test", "-count=1", "-vet=off", "-v", "-timeout", testTimeout.String(), "-run", g.Test}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	command := exec.CommandContext(ctx, "go", append(arguments, g.Packages...)...)
	command.Dir = r.root
	data, failure := command.CombinedOutput()
	output = string(data)
	switch {
	case ctx.Err() != nil:
		return false, "", ctx.Err()
	case strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]"):
		return false, output, errors.New("the code does not build")
	case !strings.Contains(output, "=== RUN"):
		return false, output, errNoTest
	}
	return failure == nil, output, nil
}

// tail returns the last lines of an output.
func tail(output string) string {
	const most = 15
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return strings.Join(lines[max(len(lines)-most, 0):], "\n")
}
