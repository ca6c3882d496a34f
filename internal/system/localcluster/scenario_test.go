package localcluster

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseTrouble(t *testing.T) {
	read, err := ParseTrouble("kill head 5s 2s")
	require.NoError(t, err)
	require.Equal(t, target{group: groupHead, index: allOf}, read.target)
	require.Equal(t, 5*time.Second, read.at)
	require.Equal(t, 2*time.Second, read.length)
	require.Equal(t, "kill head at 5s for 2s", read.String())

	read, err = ParseTrouble("freeze worker:12 1s")
	require.NoError(t, err)
	require.Equal(t, target{group: groupWorkers, index: 12}, read.target)
	require.Equal(t, defaultTroubleLength, read.length)

	read, err = ParseTrouble("reconfigure 4s")
	require.NoError(t, err)
	require.Equal(t, "reconfigure at 4s", read.String())
}

func TestParseTroubleTellsWhatIsWrong(t *testing.T) {
	for text, what := range map[string]string{
		"":                      "KIND TARGET AT",
		"kill head":             "KIND TARGET AT",
		"kill head 5s 3s 2s":    "KIND TARGET AT",
		"burn head 5s":          "none of kill, freeze",
		"kill feet 5s":          "none of head",
		"kill worker:x 5s":      "none of replica:N",
		"kill queue:1 5s":       "none of replica:N",
		"kill head soon":        "no duration",
		"wipe dispatcher:1 5s":  "has no disk",
		"reconfigure 4s 2s 1s ": "KIND TARGET AT",
	} {
		_, err := ParseTrouble(text)
		require.ErrorContains(t, err, what, "%q", text)
	}
}

func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/localcluster/*.hcl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		read, err := LoadScenario(file)
		require.NoError(t, err)
		options := Options{Workers: 3, Rate: 1}
		read.Apply(&options)
		options.withDefaults()
		require.NoError(t, options.check(), file)
		require.Len(t, options.Troubles, len(read.Trouble))
		require.Equal(t, read.length, options.LoadDuration)
	}
}

func TestScenarioTellsThePlaceOfAFault(t *testing.T) {
	_, err := parseScenario([]byte("scenario \"x\" {\n  trouble \"kill\" {\n    target = \"feet\"\n    at = \"1s\"\n  }\n}\n"), "x.hcl")
	require.ErrorContains(t, err, "x.hcl:2")
	require.ErrorContains(t, err, "feet")
	_, err = parseScenario([]byte("scenario \"x\" {\n  speed = 3\n}\n"), "x.hcl")
	require.ErrorContains(t, err, "x.hcl:2")
}

func TestOptionsAreBounded(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"replicas":    func(o *Options) { o.Replicas = mostReplicas + 1 },
		"dispatchers": func(o *Options) { o.Dispatchers = mostChildren + 1 },
		"hollow":      func(o *Options) { o.HollowDispatchers = mostMachines },
		"workers":     func(o *Options) { o.Workers = mostWorkers + 1 },
		"jobs":        func(o *Options) { o.Rate = -1 },
		"patience":    func(o *Options) { o.DrainTimeout = -1 },
	} {
		var options Options
		options.withDefaults()
		require.NoError(t, options.check())
		change(&options)
		require.ErrorContains(t, options.check(), name)
	}
}
