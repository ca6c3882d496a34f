package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// trial is one run of a variant: one day of one site with one seed.
type trial struct {
	variant string
	site    string
	day     string
	seed    uint64
}

// outcome is the result of a trial.
type outcome struct {
	trial
	worth    float64
	violated bool
	err      error
}

// runner runs trials on scratch clones of the sources.
type runner struct {
	options          *commandLine
	workDir          string
	worthPattern     *regexp.Regexp
	violationPattern *regexp.Regexp

	mutex sync.Mutex
	out   io.Writer
}

func newRunner(line *commandLine, out io.Writer) (*runner, error) {
	r := &runner{options: line, workDir: line.Work, out: out}
	var err error
	if r.worthPattern, err = regexp.Compile(line.Worth); err != nil {
		return nil, fmt.Errorf("--worth: %w", err)
	}
	if r.worthPattern.NumSubexp() != 1 {
		return nil, fmt.Errorf("--worth: want exactly one group, which matches the worth")
	}
	if r.violationPattern, err = regexp.Compile(line.Broken); err != nil {
		return nil, fmt.Errorf("--broken: %w", err)
	}
	if r.workDir == "" {
		if r.workDir, err = os.MkdirTemp("", "experiment"); err != nil {
			return nil, err
		}
	}
	return r, os.MkdirAll(r.workDir, 0o755)
}

// trials returns all trials of the base and the variants. Those of the same site, day and seed are adjacent.
func (r *runner) trials(variants []variant) []trial {
	names := []string{baseName}
	for i := range variants {
		names = append(names, variants[i].Name)
	}
	var list []trial
	for _, site := range r.options.Site {
		for _, day := range r.options.Day {
			for seed := range uint64(r.options.Seeds) {
				for _, name := range names {
					list = append(list, trial{variant: name, site: site, day: day, seed: r.options.Seed + seed})
				}
			}
		}
	}
	return list
}

// runAll runs all trials, several concurrently, and copies the new journal entries.
func (r *runner) runAll(ctx context.Context, variants []variant) ([]outcome, error) {
	if err := r.prepare(ctx, variants); err != nil {
		return nil, err
	}
	trials := r.trials(variants)
	outcomes := make([]outcome, len(trials))
	var group errgroup.Group
	group.SetLimit(r.options.Jobs)
	for i := range trials {
		group.Go(func() error {
			outcomes[i] = r.runTrial(ctx, trials[i])
			r.printOutcome(&outcomes[i])
			return nil
		})
	}
	_ = group.Wait()
	return outcomes, r.copyJournals(variants)
}

// prepare creates one clone for the base and one for each variant, and applies the variant's edits to it.
func (r *runner) prepare(ctx context.Context, variants []variant) error {
	if err := r.clone(ctx, baseName, nil); err != nil {
		return err
	}
	for i := range variants {
		changed, err := variants[i].changedFiles(r.options.Root)
		if err != nil {
			return fmt.Errorf("%s: %w", variants[i].Name, err)
		}
		if err := r.clone(ctx, variants[i].Name, changed); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) cloneDir(name string) string { return filepath.Join(r.workDir, name) }

func (r *runner) clone(ctx context.Context, name string, changed map[string][]byte) error {
	command := exec.CommandContext(ctx, "git", "clone", "--quiet", r.options.Root, r.cloneDir(name))
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("clone for %s: %w: %s", name, err, output)
	}
	for file, source := range changed {
		if err := os.WriteFile(filepath.Join(r.cloneDir(name), file), source, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// runTrial runs one trial and saves its output.
func (r *runner) runTrial(ctx context.Context, one trial) outcome {
	arguments := strings.Fields(r.options.Play)
	fill := strings.NewReplacer("{site}", one.site, "{day}", one.day, "{seed}", strconv.FormatUint(one.seed, 10))
	for i := range arguments {
		arguments[i] = fill.Replace(arguments[i])
	}
	command := exec.CommandContext(ctx, arguments[0], arguments[1:]...)
	command.Dir = r.cloneDir(one.variant)
	output, failure := command.CombinedOutput()
	name := fmt.Sprintf("%s-%s-%s-%d.txt", one.variant, baseLabel(one.site), baseLabel(one.day), one.seed)
	if err := os.WriteFile(r.cloneDir(name), output, 0o600); err != nil {
		return outcome{trial: one, err: err}
	}
	return r.parseOutput(one, output, failure)
}

// baseLabel returns the base name of a path without its extension.
func baseLabel(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// parseOutput reads a trial's worth from its output, and whether a rule was broken.
func (r *runner) parseOutput(one trial, output []byte, failure error) outcome {
	result := outcome{trial: one, violated: r.violationPattern.Match(output)}
	found := r.worthPattern.FindSubmatch(output)
	if found == nil {
		result.err = fmt.Errorf("no worth found in the output (%w)", errorOrPlaceholder(failure))
		return result
	}
	result.worth, result.err = strconv.ParseFloat(string(found[1]), 64)
	return result
}

// errorOrPlaceholder returns err, or an error that states that the command succeeded if err is nil.
func errorOrPlaceholder(err error) error {
	if err == nil {
		return fmt.Errorf("the command exited successfully")
	}
	return err
}

func (r *runner) printOutcome(o *outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case o.err != nil:
		fmt.Fprintf(r.out, "%s %s %s %d: %v\n", o.variant, baseLabel(o.site), baseLabel(o.day), o.seed, o.err)
	case o.violated:
		fmt.Fprintf(r.out, "%s %s %s %d: %.3f, A RULE IS BROKEN\n", o.variant, baseLabel(o.site), baseLabel(o.day), o.seed, o.worth)
	default:
		fmt.Fprintf(r.out, "%s %s %s %d: %.3f\n", o.variant, baseLabel(o.site), baseLabel(o.day), o.seed, o.worth)
	}
}

// copyJournals copies the new journal entries of the clones to the module's journal.
func (r *runner) copyJournals(variants []variant) error {
	names := []string{baseName}
	for i := range variants {
		names = append(names, variants[i].Name)
	}
	for _, name := range names {
		if err := copyMissingFiles(filepath.Join(r.cloneDir(name), r.options.Journal), filepath.Join(r.options.Root, r.options.Journal)); err != nil {
			return err
		}
	}
	return nil
}

// copyMissingFiles copies those regular files of directory from that directory to lacks. It does nothing if from does not exist.
func copyMissingFiles(from, to string) error {
	entries, err := os.ReadDir(from)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, entry := range entries {
		target := filepath.Join(to, entry.Name())
		if _, err := os.Stat(target); err == nil || !entry.Type().IsRegular() {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}
