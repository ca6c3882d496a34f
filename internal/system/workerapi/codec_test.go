package workerapi

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEncodersOmitZeros(t *testing.T) {
	require.Equal(t, `{}`, string(appendStart(nil, &StartOrder{})))
	require.Equal(t, `{}`, string(appendStop(nil, &StopOrder{})))
	require.Equal(t, `{}`, string(appendHold(nil, &HoldOrder{})))
	start := StartOrder{Task: "5c0e7a21d94b36f8.0.1.17", Attempt: 2, Spec: "(text)", DueAtMs: 486000, FenceToken: 7, Checkpoint: "00000bb87a21d94b"}
	require.Equal(t,
		`{"task":"5c0e7a21d94b36f8.0.1.17","attempt":2,"spec":"(text)","dueAtMs":486000,"fenceToken":7,"checkpoint":"00000bb87a21d94b"}`,
		string(appendStart(nil, &start)))
	hold := HoldOrder{DueAtMs: 486000, FenceToken: 7, LastSeen: 57, WaitMs: 2001}
	require.Equal(t, `{"dueAtMs":486000,"fenceToken":7,"lastSeen":57,"waitMs":2000}`, string(appendHold(nil, &hold)))
}

func TestAnyTextIsQuoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		var read string
		require.NoError(t, json.Unmarshal(appendQuoted(nil, text), &read))
		require.Equal(t, text, read)
	})
}

func TestAnyListsAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var expected wireAnswer
		sent := map[string]any{"clockMs": 482113, "unknown": map[string]any{"a": []int{1}}, "reason": nil}
		expected.clockMs = 482113
		var running, finished [][]any
		for range rapid.IntRange(0, 5).Draw(t, "running") {
			task := RunningTask{rapid.String().Draw(t, "task"), rapid.IntRange(1, 99).Draw(t, "attempt"), rapid.String().Draw(t, "saved"), rapid.IntRange(0, 100).Draw(t, "percent")}
			expected.running = append(expected.running, task)
			running = append(running, []any{task.Task, task.Attempt, task.Checkpoint, task.Percent})
		}
		for range rapid.IntRange(0, 5).Draw(t, "finished") {
			how := EndReason(rapid.IntRange(1, int(endReasonCount)-1).Draw(t, "how"))
			task := FinishedTask{rapid.Uint64Range(1, 1<<50).Draw(t, "number"), rapid.String().Draw(t, "task"), rapid.IntRange(1, 99).Draw(t, "attempt"), how, rapid.String().Draw(t, "saved")}
			expected.finished = append(expected.finished, task)
			finished = append(finished, []any{task.N, task.Task, task.Attempt, how.String(), task.Checkpoint})
		}
		sent["running"] = running
		sent["finished"] = finished
		data, err := json.Marshal(sent)
		require.NoError(t, err)
		var read wireAnswer
		require.NoError(t, read.decode(data))
		require.Equal(t, expected, read)
	})
}

func TestRowsMayLackOrAddColumns(t *testing.T) {
	var answer wireAnswer
	require.NoError(t, answer.decode([]byte(`{"running":[["a",1],["b",2,null,41.7,{"more":[1]}]],"finished":[[58,"c",1,"odd"]],"remainingMs":2999.9}`)))
	require.Equal(t, []RunningTask{{"a", 1, "", 0}, {"b", 2, "", 41}}, answer.running)
	require.Equal(t, []FinishedTask{{58, "c", 1, EndUnknown, ""}}, answer.finished)
	require.EqualValues(t, 2999, answer.remainingMs)
}

func TestMalformedAnswersAreErrors(t *testing.T) {
	for _, data := range []string{`{`, `[]`, `null x`, `{"running":{}}`, `{"finished":[58]}`, `{"clockMs":"1"}`, `{"running":[["a",1]`} {
		var answer wireAnswer
		require.ErrorIs(t, answer.decode([]byte(data)), ErrUnreadable, data)
	}
}

func TestAnyBytesAreReadOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		var answer wireAnswer
		answer.decode(data)
		decodeListPage(data)
	})
}

func TestOutcomesHaveNames(t *testing.T) {
	for outcome := Unknown; outcome < outcomeCount; outcome++ {
		require.NotEmpty(t, outcome.String())
	}
	require.False(t, Unknown.CertainlyNotDone())
	require.False(t, Done.CertainlyNotDone())
	require.True(t, NotSent.CertainlyNotDone())
	require.False(t, NotSent.Answered())
	require.True(t, RefusedCapacity.Answered())
}

var holdAnswer = []byte(`{"clockMs":482113,"running":[` +
	strings.Repeat(`["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41],`, 19) +
	`["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}`)

func BenchmarkDecodeHold(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var answer wireAnswer
		if err := answer.decode(holdAnswer); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeStart(b *testing.B) {
	order := StartOrder{Task: "5c0e7a21d94b36f8.0.1.17", Attempt: 2, Spec: strings.Repeat("text ", 100), DueAtMs: 486000, FenceToken: 7}
	b.ReportAllocs()
	for b.Loop() {
		appendStart(make([]byte, 0, order.sizeHint()), &order)
	}
}
