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

// Each variant's text stands in the sources as they are: a change of these changes the table.
func TestTheTableFitsTheSources(t *testing.T) {
	variants, err := loadVariants(moduleRoot, "internal/tools/experiment/variants.toml")
	require.NoError(t, err)
	assert.NotEmpty(t, variants)
}

func TestChoosing(t *testing.T) {
	all := []variant{{Name: "a"}, {Name: "b"}}
	chosen, err := chooseVariants(all, []string{"b"})
	require.NoError(t, err)
	assert.Equal(t, []variant{{Name: "b"}}, chosen)
	_, err = chooseVariants(all, []string{"c"})
	assert.Error(t, err)
}

// outcomesOf are plays of two seeds, on the base and on one variant.
func outcomesOf(base, changed [2]float64) []outcome {
	var list []outcome
	for seed := range uint64(2) {
		list = append(list,
			outcome{play: play{baseName, "s.toml", "d", seed}, worth: base[seed]},
			outcome{play: play{"v", "s.toml", "d", seed}, worth: changed[seed]})
	}
	return list
}

func TestPairs(t *testing.T) {
	results := compare([]variant{{Name: "v"}}, outcomesOf([2]float64{0.5, 0.9}, [2]float64{0.6, 1.0}))
	require.Len(t, results, 1)
	r := results[0]
	assert.Equal(t, 2, r.pairs)
	assert.InDelta(t, 0.1, r.mean, 1e-9)
	assert.InDelta(t, 0, r.deviation, 1e-9, "seeds differ by far more than pairs do")
	assert.True(t, r.beyondNoise())
	assert.Equal(t, "s", r.site)
}

func TestWhatCameToNothingIsNoPair(t *testing.T) {
	outcomes := outcomesOf([2]float64{0.5, 0.9}, [2]float64{0.2, 0.9})
	outcomes[0].err = errors.New("lost")
	outcomes[3].broken = true
	r := compare([]variant{{Name: "v"}}, outcomes)[0]
	assert.Equal(t, 1, r.pairs)
	assert.Equal(t, 1, r.failed)
	assert.Equal(t, 1, r.broken)
	assert.False(t, r.beyondNoise(), "one pair tells nothing")
	assert.False(t, allSound(outcomes))
}

// moduleWith is a repository with one source and a program that plays it.
func moduleWith(t *testing.T, source string) string {
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

func TestPlaysOnClones(t *testing.T) {
	root := moduleWith(t, "package a\n\nconst Figure = 0.25\n")
	line := &commandLine{Play: "./play {day} {seed}", Site: []string{"s"}, Day: []string{"calm"}, Seeds: 2, Seed: 7, Jobs: 2, Worth: "worth ([0-9.]+)",
		Broken: "broken", Root: root, Table: "table.toml", Journal: "journal", Work: filepath.Join(t.TempDir(), "work")}
	require.NoError(t, os.Mkdir(filepath.Join(root, "journal"), 0o755))
	variants, err := loadVariants(root, line.Table)
	require.NoError(t, err)
	p, err := newPlayer(line, &bytes.Buffer{})
	require.NoError(t, err)
	outcomes, err := p.playAll(context.Background(), variants)
	require.NoError(t, err)
	require.True(t, allSound(outcomes), "%+v", outcomes)
	results := compare(variants, outcomes)
	require.Len(t, results, 1)
	assert.InDelta(t, 0.5, results[0].mean, 1e-9)
	assert.Equal(t, 2, results[0].pairs)
	kept, err := os.ReadDir(filepath.Join(root, "journal"))
	require.NoError(t, err)
	assert.Len(t, kept, 4, "two seeds on two clones")
	source, err := os.ReadFile(filepath.Join(root, "a.go"))
	require.NoError(t, err)
	assert.Contains(t, string(source), "0.25", "the sources stay as they are")
	var table bytes.Buffer
	printResults(&table, results)
	assert.Contains(t, table.String(), "| more | the figure | s | 2 | +0.5000 |")
	drawing := filepath.Join(line.Work, "result.svg")
	require.NoError(t, plotResults(drawing, results))
	assert.FileExists(t, drawing)
}
