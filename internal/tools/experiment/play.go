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

// play is one day of one site with one seed, played on one variant.
type play struct {
	variant string
	site    string
	day     string
	seed    uint64
}

// outcome is what a play came to.
type outcome struct {
	play
	worth  float64
	broken bool
	err    error
}

// player plays days on scratch clones of the sources.
type player struct {
	line   *commandLine
	work   string
	worth  *regexp.Regexp
	broken *regexp.Regexp

	mutex sync.Mutex
	out   io.Writer
}

func newPlayer(line *commandLine, out io.Writer) (*player, error) {
	p := &player{line: line, work: line.Work, out: out}
	var err error
	if p.worth, err = regexp.Compile(line.Worth); err != nil {
		return nil, fmt.Errorf("--worth: %w", err)
	}
	if p.worth.NumSubexp() != 1 {
		return nil, fmt.Errorf("--worth: want one group, for the figure")
	}
	if p.broken, err = regexp.Compile(line.Broken); err != nil {
		return nil, fmt.Errorf("--broken: %w", err)
	}
	if p.work == "" {
		if p.work, err = os.MkdirTemp("", "experiment"); err != nil {
			return nil, err
		}
	}
	return p, os.MkdirAll(p.work, 0o755)
}

// plays are all plays of the variants and of the base, those of one day and seed next to each other.
func (p *player) plays(variants []variant) []play {
	names := []string{baseName}
	for i := range variants {
		names = append(names, variants[i].Name)
	}
	var list []play
	for _, site := range p.line.Site {
		for _, day := range p.line.Day {
			for seed := range uint64(p.line.Seeds) {
				for _, name := range names {
					list = append(list, play{variant: name, site: site, day: day, seed: p.line.Seed + seed})
				}
			}
		}
	}
	return list
}

// playAll plays all days on all variants, some at the same time.
func (p *player) playAll(ctx context.Context, variants []variant) ([]outcome, error) {
	if err := p.prepare(ctx, variants); err != nil {
		return nil, err
	}
	plays := p.plays(variants)
	outcomes := make([]outcome, len(plays))
	var group errgroup.Group
	group.SetLimit(p.line.Jobs)
	for i := range plays {
		group.Go(func() error {
			outcomes[i] = p.play(ctx, plays[i])
			p.tell(&outcomes[i])
			return nil
		})
	}
	_ = group.Wait()
	return outcomes, p.keepJournals(variants)
}

// prepare makes the clones, of which each but the base's has its variant's change.
func (p *player) prepare(ctx context.Context, variants []variant) error {
	if err := p.clone(ctx, baseName, nil); err != nil {
		return err
	}
	for i := range variants {
		changed, err := variants[i].files(p.line.Root)
		if err != nil {
			return fmt.Errorf("%s: %w", variants[i].Name, err)
		}
		if err := p.clone(ctx, variants[i].Name, changed); err != nil {
			return err
		}
	}
	return nil
}

func (p *player) folder(name string) string { return filepath.Join(p.work, name) }

func (p *player) clone(ctx context.Context, name string, changed map[string][]byte) error {
	command := exec.CommandContext(ctx, "git", "clone", "--quiet", p.line.Root, p.folder(name))
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("clone for %s: %w: %s", name, err, output)
	}
	for file, source := range changed {
		if err := os.WriteFile(filepath.Join(p.folder(name), file), source, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// play plays one day and keeps what it prints.
func (p *player) play(ctx context.Context, one play) outcome {
	arguments := strings.Fields(p.line.Play)
	fill := strings.NewReplacer("{site}", one.site, "{day}", one.day, "{seed}", strconv.FormatUint(one.seed, 10))
	for i := range arguments {
		arguments[i] = fill.Replace(arguments[i])
	}
	command := exec.CommandContext(ctx, arguments[0], arguments[1:]...)
	command.Dir = p.folder(one.variant)
	output, failure := command.CombinedOutput()
	name := fmt.Sprintf("%s-%s-%s-%d.txt", one.variant, label(one.site), label(one.day), one.seed)
	if err := os.WriteFile(p.folder(name), output, 0o600); err != nil {
		return outcome{play: one, err: err}
	}
	return p.read(one, output, failure)
}

// label is a path's name without its folder and ending.
func label(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// read takes a play's worth from what it has printed.
func (p *player) read(one play, output []byte, failure error) outcome {
	result := outcome{play: one, broken: p.broken.Match(output)}
	found := p.worth.FindSubmatch(output)
	if found == nil {
		result.err = fmt.Errorf("its output tells no worth (%w)", orNone(failure))
		return result
	}
	result.worth, result.err = strconv.ParseFloat(string(found[1]), 64)
	return result
}

// orNone names the absence of a failure.
func orNone(err error) error {
	if err == nil {
		return fmt.Errorf("it ended without a failure")
	}
	return err
}

func (p *player) tell(o *outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case o.err != nil:
		fmt.Fprintf(p.out, "%s %s %s %d: %v\n", o.variant, label(o.site), label(o.day), o.seed, o.err)
	case o.broken:
		fmt.Fprintf(p.out, "%s %s %s %d: %.3f, A RULE IS BROKEN\n", o.variant, label(o.site), label(o.day), o.seed, o.worth)
	default:
		fmt.Fprintf(p.out, "%s %s %s %d: %.3f\n", o.variant, label(o.site), label(o.day), o.seed, o.worth)
	}
}

// keepJournals copies the clones' new journal entries.
func (p *player) keepJournals(variants []variant) error {
	names := []string{baseName}
	for i := range variants {
		names = append(names, variants[i].Name)
	}
	for _, name := range names {
		if err := copyNew(filepath.Join(p.folder(name), p.line.Journal), filepath.Join(p.line.Root, p.line.Journal)); err != nil {
			return err
		}
	}
	return nil
}

// copyNew copies the regular files of a folder that another one lacks.
func copyNew(from, to string) error {
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
