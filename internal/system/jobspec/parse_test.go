package jobspec

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/system/findings"
)

const full = `{
	"spec": "render é\n",
	"stages": [
		{"count":4,"cpu":500,"memMb":256,"estimatedMs":900.5,"colocation":"rack-3","antiAffinity":2,"requirements":"gold"},
		{"count":20.0,"cpu":2000.2,"memMb":1024,"gpus":1,"estimatedMs":7000,"dependsOn":[0],"checkpoints":true,"gang":true,"sameRack":true},
		{"count":1,"dependsOn":[1,0,1],"speculative":true,"longRunning":true,"requirements":["gold","","fast"],"later":{}}
	],
	"repetitions": 3, "firstRunMs": 1700000000000, "intervalMs": 1500.0,
	"added": [1, {"x": "}"}]
}`

func TestAWholeJobIsRead(t *testing.T) {
	spec, err := Parse([]byte(full))
	require.NoError(t, err)
	assert.Equal(t, &Spec{
		Text: "render é\n",
		Stages: []Stage{
			{
				Count: 4, CPU: 500, MemoryMb: 256, Estimated: 900500 * time.Microsecond, Colocation: "rack-3", AntiAffinity: 2,
				Requirements: []string{"gold"},
			},
			{
				Count: 20, CPU: 2001, MemoryMb: 1024, GPUs: 1, Estimated: 7 * time.Second, DependsOn: []int{0},
				Checkpoints: true, Gang: true, SameRack: true,
			},
			{Count: 1, DependsOn: []int{0, 1}, Speculative: true, LongRunning: true, Requirements: []string{"gold", "fast"}},
		},
		Repetitions: 3, FirstRun: 1_700_000_000 * time.Second, Interval: 1500 * time.Millisecond,
	}, spec)
	assert.Equal(t, 25, spec.Tasks())
	assert.Equal(t, 3, spec.OccurrenceCount())
	assert.True(t, spec.HasSchedule())
	assert.True(t, spec.LongRunning())
	assert.Equal(t, 1_700_000_003*time.Second, spec.DueAt(2))
}

func TestAJobThatLeavesThingsOutIsRead(t *testing.T) {
	for _, body := range []string{
		`{}`, `{"spec":"x"}`, `{"stages":[]}`, `{"stages":null}`, `{"stages":[{}]}`, `{"stages":[{"count":0}]}`,
		`{"stages":[{"requirements":""}]}`, `{"stages":[{"requirements":[]}]}`, `{"stages":[{"requirements":null}]}`,
		`{"stages":[{"dependsOn":null}]}`,
	} {
		spec, err := Parse([]byte(body))
		require.NoError(t, err, body)
		assert.Zero(t, spec.Tasks(), body)
		assert.Equal(t, 1, spec.OccurrenceCount(), body)
		assert.False(t, spec.HasSchedule(), body)
		assert.False(t, spec.LongRunning(), body)
		for _, stage := range spec.Stages {
			assert.Empty(t, stage.Requirements, body)
			assert.Empty(t, stage.DependsOn, body)
		}
	}
}

func TestALongRunningJobHasLongRunningSteps(t *testing.T) {
	spec, err := Parse([]byte(`{"stages":[{"count":1},{"count":2}],"longRunning":true}`))
	require.NoError(t, err)
	assert.True(t, spec.Stages[0].LongRunning)
	assert.True(t, spec.Stages[1].LongRunning)
}

func TestTooLargeDemandsAreCut(t *testing.T) {
	spec, err := Parse([]byte(`{"stages":[{"cpu":1e300,"memMb":1e20,"gpus":0.1,"estimatedMs":1e200,"antiAffinity":1e100}]}`))
	require.NoError(t, err)
	stage := spec.Stages[0]
	assert.EqualValues(t, MaxAmount, stage.CPU)
	assert.EqualValues(t, MaxAmount, stage.MemoryMb)
	assert.EqualValues(t, 1, stage.GPUs)
	assert.Equal(t, MaxEstimate, stage.Estimated)
	assert.EqualValues(t, MaxAmount, stage.AntiAffinity)
}

func TestTheLimitsThemselvesAreTaken(t *testing.T) {
	for name, body := range map[string]string{
		"text":  `{"spec":"` + strings.Repeat("x", MaxSpecBytes) + `"}`,
		"steps": `{"stages":[` + strings.Repeat("{},", MaxStages-1) + `{}]}`,
		"tasks": fmt.Sprintf(`{"stages":[{"count":%d},{"count":%d}]}`, MaxTasks, MaxTotalTasks-MaxTasks),
		"times": fmt.Sprintf(`{"repetitions":%d,"firstRunMs":1,"intervalMs":1}`, MaxRepetitions),
	} {
		_, err := Parse([]byte(body))
		assert.NoError(t, err, name)
	}
}

func TestEveryFinding(t *testing.T) {
	stage := func(members string) string { return `{"stages":[{},{` + members + `}]}` }
	for name, test := range map[string]struct{ body, finding string }{
		"text too long":       {`{"spec":"` + strings.Repeat("x", MaxSpecBytes+1) + `"}`, "spec: has 4001 bytes, more than 4000"},
		"text too long, é":    {`{"spec":"` + strings.Repeat("é", MaxSpecBytes/2+1) + `"}`, "spec: has 4002 bytes, more than 4000"},
		"too many steps":      {`{"stages":[` + strings.Repeat("{},", MaxStages) + `{}]}`, "stages: are 1001, more than 1000"},
		"too many tasks":      {stage(`"count":100001`), "stages[1].count: 100001 is more than 100000"},
		"far too many tasks":  {stage(`"count":1e300`), "stages[1].count: 1e+300 is more than 100000"},
		"too many in all":     {`{"stages":[{"count":100000},{"count":100000},{"count":1}]}`, "stages: have 200001 tasks, more than 200000"},
		"broken count":        {stage(`"count":2.5`), "stages[1].count: 2.5 is not a whole number"},
		"negative count":      {stage(`"count":-1`), "stages[1].count: -1 is negative"},
		"negative cpu":        {stage(`"cpu":-1`), "stages[1].cpu: -1 is negative"},
		"negative memory":     {stage(`"memMb":-1`), "stages[1].memMb: -1 is negative"},
		"negative gpus":       {stage(`"gpus":-1`), "stages[1].gpus: -1 is negative"},
		"negative estimate":   {stage(`"estimatedMs":-0.5`), "stages[1].estimatedMs: -0.5 is negative"},
		"negative apart":      {stage(`"antiAffinity":-1`), "stages[1].antiAffinity: -1 is negative"},
		"depends on itself":   {stage(`"dependsOn":[1]`), "stages[1].dependsOn: 1 is not the number of an earlier step"},
		"depends on a later":  {stage(`"dependsOn":[0,7]`), "stages[1].dependsOn: 7 is not the number of an earlier step"},
		"depends on none":     {stage(`"dependsOn":[-1]`), "stages[1].dependsOn: -1 is not the number of an earlier step"},
		"depends on a part":   {stage(`"dependsOn":[0.5]`), "stages[1].dependsOn: 0.5 is not the number of an earlier step"},
		"negative times":      {`{"repetitions":-1}`, "repetitions: -1 is negative"},
		"broken times":        {`{"repetitions":1.5}`, "repetitions: 1.5 is not a whole number"},
		"too many times":      {`{"repetitions":1000001}`, "repetitions: 1000001 is more than 1000000"},
		"negative first time": {`{"firstRunMs":-1}`, "firstRunMs: -1 is negative"},
		"negative interval":   {`{"intervalMs":-1}`, "intervalMs: -1 is negative"},
		"first time too late": {`{"repetitions":1,"firstRunMs":1e300}`, "firstRunMs: the last time falls due too late"},
		"last time too late":  {`{"repetitions":1000000,"intervalMs":1e12}`, "firstRunMs: the last time falls due too late"},
	} {
		t.Run(name, func(t *testing.T) {
			spec, err := Parse([]byte(test.body))
			assert.Nil(t, spec)
			var found findings.Findings
			require.True(t, errors.As(err, &found), "%v", err)
			assert.EqualError(t, found, test.finding)
		})
	}
}

func TestWhatCannotBeReadIsRefused(t *testing.T) {
	for _, body := range []string{
		"", "null", "[]", "{", `{"spec":7}`, `{"spec":"x"`, `{"stages":{}}`, `{"stages":[7]}`, `{"stages":[{"count":"4"}]}`,
		`{"stages":[{"requirements":7}]}`, `{"stages":[{"requirements":["a",7]}]}`, `{"stages":[{"requirements":["a"}]}`,
		`{"stages":[{"dependsOn":0}]}`, `{"stages":[{"gang":1}]}`, `{"stages":[{"cpu":1e999}]}`, `{} {}`, full[:len(full)-1],
	} {
		spec, err := Parse([]byte(body))
		assert.Nil(t, spec, "%q", body)
		var found findings.Findings
		assert.True(t, errors.As(err, &found), "%q: %v", body, err)
	}
}

func TestAllFindingsComeTogether(t *testing.T) {
	_, err := Parse([]byte(`{"repetitions":-1,"stages":[{"cpu":-1,"dependsOn":[0,1]}]}`))
	var found findings.Findings
	require.True(t, errors.As(err, &found))
	assert.Len(t, found, 4)
}

func TestWhatIsEncodedIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		body, err := spec.Encode()
		require.NoError(t, err)
		require.True(t, json.Valid(body), "%s", body)
		again, err := Parse(body)
		require.NoError(t, err, "%s", body)
		require.Equal(t, spec, again, "%s", body)
	})
}

func TestRandomBytesNeverPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkParse(t, rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
	})
}

func TestDamagedJobsNeverPanic(t *testing.T) {
	const rounds = 20_000
	random := rand.New(rand.NewPCG(5, 6))
	const pieces = `{}[]",:0-.eE+tfn\` + "\x00\xff "
	for range rounds {
		body := []byte(full)
		for damage := 1 + random.IntN(4); damage > 0 && len(body) > 0; damage-- {
			at := random.IntN(len(body))
			switch random.IntN(3) {
			case 0:
				body[at] = pieces[random.IntN(len(pieces))]
			case 1:
				body = append(body[:at], body[at+1:]...)
			case 2:
				body = body[: at+1 : at+1]
			}
		}
		checkParse(t, body)
	}
}

// checkParse checks what holds for every body: one outcome, and whatever is taken keeps to the limits.
func checkParse(t require.TestingT, body []byte) {
	spec, err := Parse(body)
	if err != nil {
		require.Nil(t, spec)
		var found findings.Findings
		require.True(t, errors.As(err, &found))
		return
	}
	require.LessOrEqual(t, len(spec.Text), MaxSpecBytes)
	require.LessOrEqual(t, spec.Tasks(), MaxTotalTasks)
	require.GreaterOrEqual(t, spec.CriticalPath(), time.Duration(0))
	require.GreaterOrEqual(t, spec.Work(), 0.0)
	for index, stage := range spec.Stages {
		for _, step := range stage.DependsOn {
			require.Less(t, step, index)
		}
	}
}

// drawSpec draws a job as Parse would return it.
func drawSpec(t *rapid.T) *Spec {
	spec := &Spec{
		Text:        rapid.StringN(-1, -1, MaxSpecBytes).Draw(t, "text"),
		Stages:      make([]Stage, rapid.IntRange(0, 8).Draw(t, "stages")),
		Repetitions: rapid.IntRange(0, 1000).Draw(t, "repetitions"),
		FirstRun:    time.Duration(rapid.Int64Range(0, 2e12).Draw(t, "first")) * time.Millisecond,
		Interval:    time.Duration(rapid.Int64Range(0, 1e6).Draw(t, "interval")) * time.Millisecond,
	}
	truth := rapid.Bool()
	for index := range spec.Stages {
		spec.Stages[index] = Stage{
			Count:        rapid.IntRange(0, 1000).Draw(t, "count"),
			CPU:          rapid.Int64Range(0, MaxAmount).Draw(t, "cpu"),
			MemoryMb:     rapid.Int64Range(0, MaxAmount).Draw(t, "memory"),
			GPUs:         rapid.Int64Range(0, 16).Draw(t, "gpus"),
			Estimated:    time.Duration(rapid.Int64Range(0, 1e6).Draw(t, "estimated")) * time.Millisecond,
			Requirements: drawLabels(t),
			DependsOn:    drawSteps(t, index),
			Colocation:   rapid.StringMatching("[a-z]{0,3}").Draw(t, "rack"),
			AntiAffinity: rapid.IntRange(0, 9).Draw(t, "apart"),
			Checkpoints:  truth.Draw(t, "checkpoints"),
			Gang:         truth.Draw(t, "gang"),
			SameRack:     truth.Draw(t, "sameRack"),
			Speculative:  truth.Draw(t, "speculative"),
			LongRunning:  truth.Draw(t, "longRunning"),
		}
	}
	return spec
}

func drawLabels(t *rapid.T) []string {
	labels := rapid.SliceOfN(rapid.StringMatching(`[a-z"\\]{1,3}`), 0, 3).Draw(t, "labels")
	if len(labels) == 0 {
		return nil
	}
	return labels
}

func drawSteps(t *rapid.T, index int) []int {
	var steps []int
	for step := range index {
		if rapid.Bool().Draw(t, "depends") {
			steps = append(steps, step)
		}
	}
	return steps
}

func BenchmarkParse(b *testing.B) {
	body := []byte(full)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
