package main

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// moduleRoot is the module's root directory, relative to this package.
const moduleRoot = "../../.."

// Every row of the tables is complete, its old text is in the sources, and its tests exist. The test does not run the mutants.
func TestGuardTablesMatchSources(t *testing.T) {
	guards, err := loadTables(moduleRoot, "internal/tools/mutants/guards")
	require.NoError(t, err)
	for i := range guards {
		g := &guards[i]
		assert.NotEmpty(t, matchingTests(t, g), "%s: no test matches %q", g.Name, g.Test)
	}
}

// matchingTests returns the tests in the guard's packages that `go test -run` selects by its expression.
func matchingTests(t *testing.T, g *guard) []string {
	top, _, _ := strings.Cut(g.Test, "/")
	wanted, err := regexp.Compile(top)
	require.NoError(t, err, g.Name)
	var found []string
	for _, dir := range g.Packages {
		files, err := filepath.Glob(filepath.Join(moduleRoot, dir, "*_test.go"))
		require.NoError(t, err)
		for _, file := range files {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, line := range strings.Split(string(data), "\n") {
				name, isTest := strings.CutPrefix(line, "func Test")
				name, _, _ = strings.Cut(name, "(")
				if isTest && wanted.MatchString("Test"+name) {
					found = append(found, name)
				}
			}
		}
	}
	return found
}

const smallModule = "module small\n\ngo 1.26\n"

const smallSource = `package small

type counter struct{ n, most int }

func (c *counter) add() bool {
	if c.n >= c.most {
		return false
	}
	c.n++
	return true
}

func (c *counter) reset() { c.n = 0 }
`

const smallTest = `package small

import "testing"

func TestBound(t *testing.T) {
	c := counter{most: 1}
	c.add()
	if c.add() {
		t.Fatal("over the bound")
	}
}

func TestNothing(t *testing.T) {}
`

// newSmallModule creates a module with one guard and two tests, of which only one detects the guard's removal.
func newSmallModule(t *testing.T) string {
	root := t.TempDir()
	for name, text := range map[string]string{"go.mod": smallModule, "small.go": smallSource, "small_test.go": smallTest} {
		require.NoError(t, os.WriteFile(filepath.Join(root, name), []byte(text), 0o600))
	}
	return root
}

func boundGuard(test string) guard {
	return guard{Name: "bound", Point: 1, File: "small.go", Function: "counter.add", Old: "c.n >= c.most", New: "c.n > c.most",
		Packages: []string{"."}, Test: test, What: "The counter's bound."}
}

func TestVerdicts(t *testing.T) {
	root := newSmallModule(t)
	var out strings.Builder
	r := &runner{root: root, out: &out}
	seen, unseen, broken, missing := boundGuard("^TestBound$"), boundGuard("^TestNothing$"), boundGuard("^TestBound$"), boundGuard("^TestOther$")
	broken.New = "c.n >= c.none"
	for _, g := range []*guard{&seen, &unseen, &broken, &missing} {
		require.NoError(t, g.check(root))
	}
	ctx := context.Background()
	assert.Equal(t, killed, r.runMutant(ctx, &seen))
	assert.Equal(t, survived, r.runMutant(ctx, &unseen))
	assert.Equal(t, invalid, r.runMutant(ctx, &broken))
	assert.Equal(t, invalid, r.runMutant(ctx, &missing))
	assert.NoError(t, r.runBaseline(ctx, []guard{seen, unseen}, 2))
	assert.False(t, r.runAll(ctx, []guard{seen, unseen}, 2))
	source, err := os.ReadFile(filepath.Join(root, "small.go"))
	require.NoError(t, err)
	assert.Equal(t, smallSource, string(source), "the sources must not be modified")
}

func TestInvalidGuardsAreReported(t *testing.T) {
	root := newSmallModule(t)
	for name, invalidate := range map[string]func(*guard){
		"want 1 to 5":          func(g *guard) { g.Point = 9 },
		"the same":             func(g *guard) { g.New = g.Old },
		"stands 0 times":       func(g *guard) { g.Function = "reset" },
		"no such function":     func(g *guard) { g.Function = "other.add" },
		"all needed":           func(g *guard) { g.What = "" },
		"can't be read":        func(g *guard) { g.New = "if {" },
		"no such file":         func(g *guard) { g.File = "other.go" },
		"stands 2 times":       func(g *guard) { g.Old = "return"; g.New = "panic" },
		"the old text stands":  func(g *guard) { g.Function = ""; g.Old = "c.n" },
		"want once":            func(g *guard) { g.Old = "c" },
		"small.go: no such fu": func(g *guard) { g.Function = "gone" },
	} {
		g := boundGuard("^TestBound$")
		invalidate(&g)
		assert.ErrorContains(t, g.check(root), name)
	}
	twice := checkGuards(root, []guard{boundGuard("^TestBound$"), boundGuard("^TestBound$")})
	require.Len(t, twice, 1)
	assert.ErrorContains(t, twice[0], "stands twice")
}

func TestSelectGuards(t *testing.T) {
	all := []guard{{Name: "a", Point: 1}, {Name: "b", Point: 2}, {Name: "c", Point: 2}}
	chosen, err := selectGuards(all, nil, 2)
	require.NoError(t, err)
	assert.Len(t, chosen, 2)
	chosen, err = selectGuards(all, []string{"a"}, 0)
	require.NoError(t, err)
	assert.Equal(t, "a", chosen[0].Name)
	_, err = selectGuards(all, []string{"d"}, 0)
	assert.ErrorContains(t, err, "no guard")
}
