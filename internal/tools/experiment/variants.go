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

// baseName names the unmodified sources, with which all variants are compared.
const baseName = "base"

// variant disables or alters one mechanism by the smallest edits that do so.
type variant struct {
	Name      string            `toml:"name"`
	Mechanism string            `toml:"mechanism"`
	Edits     []sourceedit.Edit `toml:"edit"`
}

type variantTable struct {
	Variants []variant `toml:"variant"`
}

// loadVariants reads the table and checks each variant against the sources. The error joins all findings.
func loadVariants(root, file string) ([]variant, error) {
	data, err := os.ReadFile(filepath.Join(root, file))
	if err != nil {
		return nil, err
	}
	var table variantTable
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&table); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return table.Variants, checkVariants(root, table.Variants)
}

func checkVariants(root string, variants []variant) error {
	var findings []error
	names := map[string]bool{baseName: true}
	for i := range variants {
		v := &variants[i]
		if names[v.Name] {
			findings = append(findings, fmt.Errorf("%s: the name is taken", v.Name))
		}
		names[v.Name] = true
		if _, err := v.changedFiles(root); err != nil {
			findings = append(findings, fmt.Errorf("%s: %w", v.Name, err))
		}
	}
	return errors.Join(findings...)
}

// changedFiles returns the contents of a variant's changed files by path. A file may have one edit at most.
func (v *variant) changedFiles(root string) (map[string][]byte, error) {
	if v.Name == "" || v.Mechanism == "" || len(v.Edits) == 0 {
		return nil, errors.New("name, mechanism and an edit are all needed")
	}
	changed := make(map[string][]byte, len(v.Edits))
	for _, edit := range v.Edits {
		if changed[edit.File] != nil {
			return nil, fmt.Errorf("%s: a file has one edit at most", edit.File)
		}
		source, err := edit.Apply(root)
		if err != nil {
			return nil, err
		}
		changed[edit.File] = source
	}
	return changed, nil
}

// selectVariants returns the variants with the given names, or all if there are no names.
func selectVariants(all []variant, names []string) ([]variant, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []variant
	for _, name := range names {
		at := slices.IndexFunc(all, func(v variant) bool { return v.Name == name })
		if at < 0 {
			return nil, fmt.Errorf("no variant %q", name)
		}
		chosen = append(chosen, all[at])
	}
	return chosen, nil
}

// printVariants prints the variants as a Markdown table.
func printVariants(out io.Writer, variants []variant) {
	fmt.Fprintln(out, "| variant | mechanism | files |\n| --- | --- | --- |")
	for i := range variants {
		var files []string
		for _, edit := range variants[i].Edits {
			files = append(files, edit.File)
		}
		fmt.Fprintf(out, "| %s | %s | %s |\n", variants[i].Name, variants[i].Mechanism, strings.Join(files, ", "))
	}
}
