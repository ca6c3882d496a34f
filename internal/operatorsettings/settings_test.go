package operatorsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/overload"
	"gaugeslip/internal/siteloss"
	"gaugeslip/internal/waiting"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`
waiting {
  max_jobs       = 50
  max_bytes      = "512KiB"
  retention      = "90s"
  default_due    = "5s"
  share          = 0.25
  on_failure     = "run"
  remember_fresh = false
}`), "a.hcl")
	require.NoError(t, err)
	want := waiting.Defaults()
	want.MaxJobs, want.MaxBytes, want.Retention, want.DefaultDue = 50, 512<<10, 90*time.Second, 5*time.Second
	want.Share, want.RunOnFailure, want.RememberFresh = 0.25, true, false
	assert.Equal(t, &want, s.Waiting)
	s, err = Parse([]byte("waiting {}"), "a.hcl")
	require.NoError(t, err)
	want = waiting.Defaults()
	assert.Equal(t, &want, s.Waiting)
}

// Off unless the block is there.
func TestOff(t *testing.T) {
	for _, text := range []string{"", "# nothing\n"} {
		s, err := Parse([]byte(text), "a.hcl")
		require.NoError(t, err)
		assert.Nil(t, s.Waiting)
	}
	s, err := Load(func(string) string { return "" }, "")
	require.NoError(t, err)
	assert.Nil(t, s.Waiting)
}

const peers2 = "peers {\n  listen = \"127.0.0.1:1\"\n  members = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"

// Every fault has its place and its key.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"waiting {\n  max_jobs = 0\n}":                          "a.hcl:2:3: waiting.max_jobs: out of range",
		"waiting {\n  max_jobs = 1.5\n}":                        "a.hcl:2:3: waiting.max_jobs: a whole number",
		"waiting {\n  max_jobs = \"many\"\n}":                   "a.hcl:2:3: waiting.max_jobs: a number",
		"waiting {\n  max_bytes = 7\n}":                         "a.hcl:2:3: waiting.max_bytes: a string",
		"waiting {\n  max_bytes = \"-1MiB\"\n}":                 "waiting.max_bytes",
		"waiting {\n  retention = \"soon\"\n}":                  "a.hcl:2:3: waiting.retention: \"soon\" is no duration",
		"waiting {\n  share = 1\n}":                             "a.hcl:2:3: waiting.share: out of range",
		"waiting {\n  on_failure = \"ask\"\n}":                  "a.hcl:2:3: waiting.on_failure",
		"waiting {\n  remember_fresh = \"maybe\"\n}":            "waiting.remember_fresh: a bool",
		"waiting {\n  max_due = \"1s\"\n default_due=\"2s\"\n}": "a.hcl:3:2: waiting.default_due",
		"waiting {\n  colour = 1\n}":                            "a.hcl:2:3: unsupported argument",
		"waiting {\n  max_jobs = x\n}":                          "a.hcl:2:3: waiting.max_jobs",
		"overload {\n  questions = -1\n}":                       "a.hcl:2:3: overload.questions: out of range",
		"overload {\n  leave = 0.5\n}":                          "a.hcl:2:3: overload.leave: out of range",
		"overload {\n  enter = 0.01\n}":                         "a.hcl:1:1: overload.leave: out of range",
		"overload {\n  keep_lanes = 1\n}":                       "a.hcl:2:3: overload.keep_lanes: a bool",
		"overload {\n  floor = 2\n}":                            "a.hcl:2:3: overload.floor: out of range",
		"overload {\n  order = \"harvest-sale\"\n}":             "a.hcl:2:3: overload.order: a list of texts",
		"overload {\n  order = [1]\n}":                          "a.hcl:2:3: overload.order: a list of texts",
		"budgets {\n  way = \"vote\"\n}":                        "a.hcl:2:3: budgets.way: ",
		"budgets {\n  floor = 1.5\n}":                           "a.hcl:2:3: budgets.floor: out of range",
		"budgets {\n  probes = -1\n}":                           "a.hcl:2:3: budgets.probes: out of range",
		"budgets {\n  way = \"talk\"\n}":                        "a.hcl:1:1: budgets.way: talk needs a block peers",
		"peers {\n  listen = \"127.0.0.1:1\"\n}":                "a.hcl:1:1: peers.members: out of range",
		"peers {\n  listen = \"here\"\n}":                       "a.hcl:2:3: peers.listen: ",
		peers2 + "  voters = 2\n}":                              "a.hcl:4:3: peers.voters: out of range",
		peers2 + "  drift = 0\n}":                               "a.hcl:4:3: peers.drift: out of range",
		"sites {\n  usable = 0\n}":                              "a.hcl:2:3: sites.usable: out of range",
		"sites {\n  notice = 4\n}":                              "a.hcl:2:3: sites.notice: a string",
		"printing {}":                                           "a.hcl:1:1: unsupported block type",
		"waiting {}\nwaiting {}":                                "a.hcl:2:1: duplicate waiting block",
		"waiting {":                                             "a.hcl:1:",
	} {
		_, err := Parse([]byte(text), "a.hcl")
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want, text)
		}
	}
}

// The example that is handed out is sound, and off.
func TestExample(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "site.hcl")
	s, err := Load(func(k string) string { return map[string]string{"NODE_SITE": path}[k] }, "")
	require.NoError(t, err)
	assert.Equal(t, &Settings{}, s)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	on := uncomment(string(text))
	s, err = Parse([]byte(on), path)
	require.NoError(t, err, on)
	want := waiting.Defaults()
	assert.Equal(t, &want, s.Waiting, "the example names the defaults")
	limits := overload.Defaults()
	assert.Equal(t, &limits, s.Overload, "the example names the defaults")
	budgets := budget.Defaults()
	assert.Equal(t, &budgets, s.Budgets, "the example names the defaults")
	assert.Len(t, s.Peers.Members, 3)
	plan := siteloss.Defaults()
	assert.Equal(t, &plan, s.Sites, "the example names the defaults")
}

// uncomment takes the sign off the lines that are switched off by "#: ".
func uncomment(text string) string {
	return strings.ReplaceAll(text, "#: ", "")
}
