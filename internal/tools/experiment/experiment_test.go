package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const moduleRoot = "../../.."

// Each variant's old text must be in the current sources. A change of a quoted source requires the same change in the table.
func TestVariantTableMatchesSources(t *testing.T) {
	variants, err := loadVariants(moduleRoot, "internal/tools/experiment/variants.toml")
	require.NoError(t, err)
	assert.NotEmpty(t, variants)
}

func TestSelectVariants(t *testing.T) {
	all := []variant{{Name: "a"}, {Name: "b"}}
	chosen, err := selectVariants(all, []string{"b"})
	require.NoError(t, err)
	assert.Equal(t, []variant{{Name: "b"}}, chosen)
	_, err = selectVariants(all, []string{"c"})
	assert.Error(t, err)
}

// pairedOutcomes returns the outcomes of two seeds, for the base and for one variant.
func pairedOutcomes(base, changed [2]float64) []outcome {
	var list []outcome
	for seed := range uint64(2) {
		list = append(list,
			outcome{trial: trial{baseName, "s.toml", "d", seed}, worth: base[seed]},
			outcome{trial: trial{"v", "s.toml", "d", seed}, worth: changed[seed]})
	}
	return list
}

func TestComparePairs(t *testing.T) {
	results := compare([]variant{{Name: "v"}}, pairedOutcomes([2]float64{0.5, 0.9}, [2]float64{0.6, 1.0}))
	require.Len(t, results, 1)
	r := results[0]
	assert.Equal(t, 2, r.pairs)
	assert.InDelta(t, 0.1, r.mean, 1e-9)
	assert.InDelta(t, 0, r.standardError, 1e-9, "the standard error must come from the paired differences, not from the spread between seeds")
	assert.True(t, r.beyondNoise())
	assert.Equal(t, "s", r.site)
}

func TestFailedTrialIsNotPaired(t *testing.T) {
	outcomes := pairedOutcomes([2]float64{0.5, 0.9}, [2]float64{0.2, 0.9})
	outcomes[0].err = errors.New("lost")
	outcomes[3].violated = true
	r := compare([]variant{{Name: "v"}}, outcomes)[0]
	assert.Equal(t, 1, r.pairs)
	assert.Equal(t, 1, r.failed)
	assert.Equal(t, 1, r.violated)
	assert.False(t, r.beyondNoise(), "one pair has no standard error")
	assert.False(t, allPassed(outcomes))
}

// newModule creates a repository with one source file and a program that prints a worth from it.
func newModule(t *testing.T, source string) string {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a.go"), []byte(source), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(root, "table.toml"), []byte(`
[[variant]]
name = "more"
mechanism = "the figure"
[[variant.edit]]
file = "a.go"
old = "0.25"
new = "0.75"
`), 0o600))
	script := "#!/bin/sh\nmkdir -p journal\necho \"$2\" > \"journal/$1-$2-$(sed -n 's/.*= //p' a.go).json\"\necho worth $(sed -n 's/.*= //p' a.go)\n"
	require.NoError(t, os.WriteFile(filepath.Join(root, "play"), []byte(script), 0o700))
	for _, arguments := range []string{"init -q", "add -A", "-c user.name=t -c user.email=t@t commit -qm t"} {
		command := exec.Command("git", strings.Fields(arguments)...)
		command.Dir = root
		output, err := command.CombinedOutput()
		require.NoError(t, err, string(output))
	}
	return root
}

func TestTrialsRunOnClones(t *testing.T) {
	root := newModule(t, "package a\n\nconst Figure = 0.25\n")
	line := &commandLine{Play: "./play {day} {seed}", Site: []string{"s"}, Day: []string{"calm"}, Seeds: 2, Seed: 7, Jobs: 2, Worth: "worth ([0-9.]+)",
		Broken: "broken", Root: root, Table: "table.toml", Journal: "journal", Work: filepath.Join(t.TempDir(), "work")}
	require.NoError(t, os.Mkdir(filepath.Join(root, "journal"), 0o755))
	variants, err := loadVariants(root, line.Table)
	require.NoError(t, err)
	r, err := newRunner(line, &bytes.Buffer{})
	require.NoError(t, err)
	outcomes, err := r.runAll(context.Background(), variants)
	require.NoError(t, err)
	require.True(t, allPassed(outcomes), "%+v", outcomes)
	results := compare(variants, outcomes)
	require.Len(t, results, 1)
	assert.InDelta(t, 0.5, results[0].mean, 1e-9)
	assert.Equal(t, 2, results[0].pairs)
	kept, err := os.ReadDir(filepath.Join(root, "journal"))
	require.NoError(t, err)
	assert.Len(t, kept, 4, "one new entry for each of two seeds on two clones")
	source, err := os.ReadFile(filepath.Join(root, "a.go"))
	require.NoError(t, err)
	assert.Contains(t, string(source), "0.25", "the sources must not be modified")
	var table bytes.Buffer
	printResults(&table, results)
	assert.Contains(t, table.String(), "| more | the figure | s | 2 | +0.5000 |")
	plotFile := filepath.Join(line.Work, "result.svg")
	require.NoError(t, plotResults(plotFile, results))
	assert.FileExists(t, plotFile)
}
