package lab

import (
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/scenario"
)

func loadScenario(t testing.TB, name string) *Scenario {
	t.Helper()
	all, err := Load(filepath.Join("..", "..", "scenarios", name+".hcl"))
	require.NoError(t, err)
	require.Len(t, all, 1)
	return all[0]
}

func runScenario(t testing.TB, sc *Scenario, seed uint64, checked bool) *Report {
	t.Helper()
	l, err := New(sc, seed, checked)
	require.NoError(t, err)
	r, err := l.Run(t.Context())
	require.NoError(t, err)
	return r
}

// The same scenario and seed give the same digest, for any GOMAXPROCS. Another seed gives another digest.
func TestSameSeedSameDigest(t *testing.T) {
	for _, name := range []string{"vanish-and-errors", "rolling-restart"} {
		sc := loadScenario(t, name)
		first := runScenario(t, sc, 7, true)
		old := runtime.GOMAXPROCS(1)
		again := runScenario(t, sc, 7, true)
		runtime.GOMAXPROCS(old)
		other := runScenario(t, sc, 8, true)
		assert.Equal(t, first.Digest, again.Digest, name)
		assert.NotEqual(t, first.Digest, other.Digest, name)
		assert.Equal(t, first.Service, again.Service)
	}
}

// Every small scenario keeps the rules and meets its expectations, on three seeds.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("..", "..", "scenarios", "*.hcl"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, p := range paths {
		if strings.Contains(p, "thousand") {
			continue // too long for a test: gaugelab run --all runs them
		}
		all, err := Load(p)
		require.NoError(t, err)
		for _, sc := range all {
			for seed := range uint64(3) {
				r := runScenario(t, sc, seed+1, true)
				assert.Empty(t, sc.Missed(r), "%s, seed %d", sc.Name, seed+1)
				assert.NotZero(t, r.Jobs)
			}
		}
	}
}

// Each try is served, refused, failed, cut off or unreached.
func TestEveryTryHasAnOutcome(t *testing.T) {
	for _, name := range []string{"calm-friday", "harvest-rush", "silence-and-resets"} {
		r := runScenario(t, loadScenario(t, name), 3, true)
		assert.Equal(t, r.Jobs+r.Retries, r.Served+r.Refused+r.Failed+r.Cut+r.Unreached, "%s: %+v", name, r)
	}
}

// Waiting jobs at every dispatcher, while other jobs exceed the fleet's capacity: each waiting job gets an outcome, no served one has
// waited longer than twice its due time, and the rules hold.
func TestWaitingInTheLab(t *testing.T) {
	sc := loadScenario(t, "season-close")
	for seed := range uint64(3) {
		r := runScenario(t, sc, seed+1, true)
		assert.Empty(t, sc.Missed(r), "seed %d", seed+1)
		assert.Equal(t, r.Waiting, r.WaitingServed+r.WaitingLost, "seed %d", seed+1)
		assert.LessOrEqual(t, r.LongestWait, 2.0, "seed %d", seed+1)
		assert.Less(t, float64(r.WaitingLost), 0.05*float64(r.Waiting), "seed %d", seed+1)
		assert.Equal(t, r.Jobs+r.Retries, r.Served+r.Refused+r.Failed+r.Cut+r.Unreached, "seed %d", seed+1)
	}
}

func TestParseErrors(t *testing.T) {
	sound := `scenario "a" {
  length = "1s"
  load = 1
  dispatchers = 1
  hosts "k" {
    count = 1
    lanes = 1
  }
  class "c" {
    part = 1
    mean = "1s"
    on_time = "1s"
    patience = "1s"
    worth = 1
  }
}`
	_, err := Parse([]byte(sound), "a.hcl")
	require.NoError(t, err)
	for change, want := range map[string]string{
		`length = "1s"|length = "soon"`:     "a.hcl:1:1: length",
		"load = 1|load = 0":                 "a.hcl:1:1: load",
		"count = 1|count = 0":               "a.hcl:5:3: count",
		"lanes = 1|lanes = \"x\"":           "a.hcl:7:14:",
		"lanes = 1|":                        "a.hcl:5:13: missing required argument",
		"patience = \"1s\"|patience = \"\"": "a.hcl:9:3: patience",
		"worth = 1|worth = 1\n colour = 2":  "a.hcl:15:2: unsupported argument",
		"dispatchers = 1|dispatchers = 1\ntrouble \"rain\" { at = \"0s\" }": "a.hcl:5:1: trouble",
		"part = 1|part = ": "a.hcl:10:",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse([]byte(strings.Replace(sound, from, to, 1)), "a.hcl")
		if assert.Error(t, err, change) {
			assert.Contains(t, err.Error(), want, change)
		}
	}
}

// Hosts of a room that returns cold after a loss are not overloaded. Before the fix, 28 hosts collapsed on these seeds, and seed 13
// broke a rule.
func TestRoomLossKeepsColdHostsUp(t *testing.T) {
	sc, fell := loadScenario(t, "room-loss"), 0
	for seed := uint64(11); seed <= 14; seed++ {
		r := runScenario(t, sc, seed, true)
		assert.Zero(t, r.Broken(), "seed %d: %v", seed, r.First)
		fell += r.Toppled
	}
	assert.LessOrEqual(t, fell, 5) // the first dispatcher to send may have had no news of the room for a minute
}

// Service recovers after a surge. With 100 dispatchers that retry into one another's queues it does not recover unless the
// overload settings are on.
func TestRecoveryFromRetryStorm(t *testing.T) {
	for _, on := range []bool{true, false} {
		sc := loadScenario(t, "surge")
		sc.Dispatchers = 100
		if !on {
			sc.Overload = nil
		}
		for seed := uint64(1); seed <= 3; seed++ {
			r := runScenario(t, sc, seed, true)
			assert.Zero(t, r.Broken(), "seed %d: %v", seed, r.First)
			assert.Equal(t, on, r.Recovery >= 0 && r.Recovery <= 16, "seed %d, settings on %v: back after %v s", seed, on, r.Recovery)
		}
	}
	ideal, err := NewIdeal(loadScenario(t, "surge"), 1)
	require.NoError(t, err)
	r, err := ideal.Run(t.Context())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, r.Recovery, 0.0, "the ideal run recovers too")
}

// BenchmarkLab measures simulated jobs per second of wall time on one core, with 100 workers and 3 dispatchers.
func BenchmarkLab(b *testing.B) {
	sc := loadScenario(b, "calm-friday")
	sc.Hosts[0].Count, sc.Hosts[1].Count = 50, 50
	for _, checked := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "checked"}[checked], func(b *testing.B) {
			jobs := 0
			for i := range b.N {
				jobs += runScenario(b, sc, uint64(i), checked).Jobs
			}
			b.ReportMetric(float64(jobs)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}

// Loss of a room, in several combinations: its clients reach other rooms once the front has noticed, its hosts and dispatchers come
// back, and no rule is broken. If only the links are lost, its own dispatchers and hosts continue. The ideal run has the same loss.
func TestSiteLoss(t *testing.T) {
	all, err := Load("../../scenarios/site-loss.hcl")
	require.NoError(t, err)
	for _, loses := range [][]string{nil, {"links"}, {"links", "discovery"}, {"hosts"}, {"dispatchers"}} {
		sc := all[0]
		sc.Troubles[0].Loses = loses
		require.NoError(t, sc.check())
		l, err := New(sc, 5, true)
		require.NoError(t, err)
		r, err := l.Run(t.Context())
		require.NoError(t, err)
		assert.Zero(t, r.Broken(), "%v: %v", loses, r.First)
		assert.Len(t, r.Rooms, 3)
		assert.Greater(t, r.Rooms[2][11], 0.7, "%v: back at the end", loses)
		assert.Equal(t, sc.Troubles[0].loses("dispatchers"), r.Cut+r.Unreached > 0, "%v", loses)
		for i, n := range l.nodes {
			assert.True(t, n.up && n.receivesClients, "%v: dispatcher %d", loses, i)
		}
		ideal, err := NewIdeal(sc, 5)
		require.NoError(t, err)
		best, err := ideal.Run(t.Context())
		require.NoError(t, err)
		assert.Greater(t, best.Service, r.Service, "%v", loses)
	}
	f := all[0].Fleet(0.95)
	require.NoError(t, f.Check())
	assert.InDelta(t, 0.75*scenario.Capacity(all[0].Hosts), f.Asked(), 1e-6)
}
