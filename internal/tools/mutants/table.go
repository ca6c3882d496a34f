package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"gaugeslip/internal/tools/sourceedit"
)

// guard is one condition on which safety depends, with the smallest edit that breaks it and the test that must then fail.
type guard struct {
	Name     string   `toml:"name"`
	Point    int      `toml:"point"`
	File     string   `toml:"file"`
	Function string   `toml:"function"` // empty: anywhere in the file
	Old      string   `toml:"old"`
	New      string   `toml:"new"`
	Packages []string `toml:"packages"`
	Test     string   `toml:"test"` // regular expression for -run
	What     string   `toml:"what"`
}

type table struct {
	Guards []guard `toml:"guard"`
}

// maxPoint is the highest point number. Guards are grouped by points 1 to maxPoint.
const maxPoint = 5

// loadTables reads all tables of a directory and checks each guard against the sources. The error joins all findings.
func loadTables(root, dir string) ([]guard, error) {
	files, err := filepath.Glob(filepath.Join(root, dir, "*.toml"))
	if err != nil {
		return nil, err
	}
	var all []guard
	var findings []error
	for _, file := range files {
		guards, err := loadTable(file)
		if err != nil {
			findings = append(findings, fmt.Errorf("%s: %w", filepath.Base(file), err))
			continue
		}
		all = append(all, guards...)
	}
	findings = append(findings, checkGuards(root, all)...)
	return all, errors.Join(findings...)
}

func loadTable(file string) ([]guard, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var read table
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		return nil, err
	}
	return read.Guards, nil
}

func checkGuards(root string, guards []guard) []error {
	var findings []error
	names := map[string]bool{}
	for i := range guards {
		g := &guards[i]
		if names[g.Name] {
			findings = append(findings, fmt.Errorf("%s: the name stands twice", g.Name))
		}
		names[g.Name] = true
		if err := g.check(root); err != nil {
			findings = append(findings, fmt.Errorf("%s: %w", g.Name, err))
		}
	}
	return findings
}

// check returns an error if a field is missing or invalid, or if the edit does not fit the sources.
func (g *guard) check(root string) error {
	switch {
	case g.Name == "" || g.File == "" || g.Old == "" || g.Test == "" || len(g.Packages) == 0 || g.What == "":
		return errors.New("name, file, old, packages, test and what are all needed")
	case g.Point < 1 || g.Point > maxPoint:
		return fmt.Errorf("point %d: want 1 to %d", g.Point, maxPoint)
	case g.Old == g.New:
		return errors.New("old and new are the same")
	}
	_, err := g.mutatedSource(root)
	return err
}

// mutatedSource returns the content of the guard's file with the guard removed.
func (g *guard) mutatedSource(root string) ([]byte, error) {
	return sourceedit.Edit{File: g.File, Function: g.Function, Old: g.Old, New: g.New}.Apply(root)
}

// selectGuards returns the guards with the given names, or all guards if there are none. A point other than 0 limits them to that point.
func selectGuards(all []guard, names []string, point int) ([]guard, error) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(g guard) bool { return g.Name == name }) {
			return nil, fmt.Errorf("no guard %q", name)
		}
	}
	var chosen []guard
	for _, g := range all {
		if (len(names) == 0 || slices.Contains(names, g.Name)) && (point == 0 || g.Point == point) {
			chosen = append(chosen, g)
		}
	}
	return chosen, nil
}

// printTable prints the guards as a Markdown table.
func printTable(out io.Writer, guards []guard) {
	fmt.Fprintln(out, "| point | guard | function | what it keeps | test |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	sorted := slices.Clone(guards)
	slices.SortStableFunc(sorted, func(a, b guard) int { return a.Point - b.Point })
	for i := range sorted {
		g := &sorted[i]
		what := strings.Join(strings.Fields(g.What), " ")
		fmt.Fprintf(out, "| %d | %s | `%s` in %s | %s | `%s` |\n", g.Point, g.Name, g.Function, g.File, what, strings.ReplaceAll(g.Test, "|", "\\|"))
	}
}
