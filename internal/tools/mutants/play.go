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

// testTimeout ends a test that a mutant makes hang; that counts as seen.
const testTimeout = 3 * time.Minute

// verdict is what became of a mutant.
type verdict string

const (
	killed   verdict = "seen"
	survived verdict = "NOT SEEN"
	invalid  verdict = "INVALID" // it doesn't compile, or no test ran
)

var errNoTest = errors.New("no test ran")

// player runs tests of the module, as it is or with one file changed.
type player struct {
	root  string
	out   io.Writer
	mutex sync.Mutex
}

func (p *player) tell(format string, arguments ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.out, format+"\n", arguments...)
}

// baseline runs each named test on the code as it is; all have to pass.
func (p *player) baseline(ctx context.Context, guards []guard, jobs int) error {
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
			if err := p.passes(ctx, g); err != nil {
				mutex.Lock()
				failures = append(failures, err)
				mutex.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	p.tell("%d tests run on the code as it is, %d fail", len(done), len(failures))
	return errors.Join(failures...)
}

// passes runs a guard's test on the code as it is.
func (p *player) passes(ctx context.Context, g *guard) error {
	passed, output, err := p.test(ctx, g, "")
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w\n%s", g.Name, err, tail(output))
	case !passed:
		return fmt.Errorf("%s: its test doesn't pass on the code as it is\n%s", g.Name, tail(output))
	}
	return nil
}

// playAll plays each guard and tells whether the loss of each was seen.
func (p *player) playAll(ctx context.Context, guards []guard, jobs int) bool {
	var group errgroup.Group
	group.SetLimit(jobs)
	verdicts := make([]verdict, len(guards))
	for i := range guards {
		group.Go(func() error {
			verdicts[i] = p.play(ctx, &guards[i])
			return nil
		})
	}
	_ = group.Wait()
	count := map[verdict]int{}
	for _, v := range verdicts {
		count[v]++
	}
	p.tell("%d guards: %d seen, %d not seen, %d invalid", len(guards), count[killed], count[survived], count[invalid])
	return count[killed] == len(guards)
}

// play takes one guard out and runs its test.
func (p *player) play(ctx context.Context, g *guard) verdict {
	began := time.Now()
	found, detail := p.judge(ctx, g)
	p.tell("%-9s point %d  %-44s %s, %.1f s%s", found, g.Point, g.Name, g.Test, time.Since(began).Seconds(), detail)
	return found
}

func (p *player) judge(ctx context.Context, g *guard) (verdict, string) {
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return invalid, "\n" + err.Error()
	}
	defer os.RemoveAll(folder)
	overlay, err := p.overlay(g, folder)
	if err != nil {
		return invalid, "\n" + err.Error()
	}
	passed, output, err := p.test(ctx, g, overlay)
	switch {
	case err != nil:
		return invalid, "\n" + err.Error() + "\n" + tail(output)
	case passed:
		return survived, ""
	}
	return killed, ""
}

// overlay writes the changed file and the list that `go test -overlay` reads, and gives the list's path.
func (p *player) overlay(g *guard, folder string) (string, error) {
	mutant, err := g.mutated(p.root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(filepath.Join(p.root, g.File))
	if err != nil {
		return "", err
	}
	changed := filepath.Join(folder, "mutant.go")
	if err := os.WriteFile(changed, mutant, 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {original: changed}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	return path, os.WriteFile(path, list, 0o600)
}

// test runs the guard's test and tells whether it passed. The error says that it couldn't be run.
func (p *player) test(ctx context.Context, g *guard, overlay string) (passed bool, output string, err error) {
	arguments := []string{"test", "-count=1", "-vet=off", "-v", "-timeout", testTimeout.String(), "-run", g.Test}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	command := exec.CommandContext(ctx, "go", append(arguments, g.Packages...)...)
	command.Dir = p.root
	data, failure := command.CombinedOutput()
	output = string(data)
	switch {
	case ctx.Err() != nil:
		return false, "", ctx.Err()
	case strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]"):
		return false, output, errors.New("it doesn't build")
	case !strings.Contains(output, "=== RUN"):
		return false, output, errNoTest
	}
	return failure == nil, output, nil
}

// tail is the last lines of an output.
func tail(output string) string {
	const most = 15
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return strings.Join(lines[max(len(lines)-most, 0):], "\n")
}
