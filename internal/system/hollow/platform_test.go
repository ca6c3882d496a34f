package hollow

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func list(t *testing.T, platform *Platform, query string) (listAnswer, int) {
	t.Helper()
	recorder := httptest.NewRecorder()
	platform.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/instances"+query, nil))
	var page listAnswer
	if recorder.Code == http.StatusOK {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
	}
	return page, recorder.Code
}

func TestListLagsBehindTheWorkers(t *testing.T) {
	world := newTestWorld(t)
	platform := world.NewPlatform(PlatformSettings{Lag: 800 * time.Millisecond})
	worker := world.worker()
	worker.SetAddress("127.0.0.1:1")
	page, _ := list(t, platform, "")
	require.Empty(t, page.Instances)
	world.clock.Advance(800 * time.Millisecond)
	page, _ = list(t, platform, "")
	require.Len(t, page.Instances, 1)
	require.Equal(t, "ready", page.Instances[0].State)
	require.Equal(t, []string{"a", "r1"}, page.Instances[0].Labels)
	require.Nil(t, page.NextPageToken)

	worker.Drain(5 * time.Second)
	world.clock.Advance(time.Second)
	page, _ = list(t, platform, "")
	require.Equal(t, "draining", page.Instances[0].State)
	require.EqualValues(t, 4000, page.Instances[0].RemainingMs)
	world.clock.Advance(5 * time.Second)
	page, _ = list(t, platform, "")
	require.Empty(t, page.Instances)
}

func TestRunsEndWhenADrainedWorkerLeaves(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Minute))
	start(t, worker, 0, 0, 1)
	worker.Drain(5 * time.Second)
	world.clock.Advance(4 * time.Second)
	require.Len(t, hold(t, worker, 0).Running, 1)
	world.clock.Advance(time.Second)
	require.Panics(t, func() { hold(t, worker, 0) })
	require.Equal(t, 5*time.Second, world.Stats().WastedCPU)
}

func TestListHasPagesAndZones(t *testing.T) {
	world := newTestWorld(t)
	platform := world.NewPlatform(PlatformSettings{PageSize: 2})
	for i := range 5 {
		worker := world.worker(func(settings *WorkerSettings) { settings.Zone = []string{"x", "y"}[i%2] })
		worker.SetAddress("127.0.0.1:1")
	}
	page, _ := list(t, platform, "?zone=x")
	require.Len(t, page.Instances, 2)
	require.Equal(t, "p-2", *page.NextPageToken)
	page, _ = list(t, platform, "?zone=x&pageToken=p-2")
	require.Len(t, page.Instances, 1)
	require.Nil(t, page.NextPageToken)
}

func TestListLimitsItsRate(t *testing.T) {
	world := newTestWorld(t)
	platform := world.NewPlatform(PlatformSettings{RatePerS: 2})
	statuses := func() []int {
		var statuses []int
		for range 3 {
			_, status := list(t, platform, "")
			statuses = append(statuses, status)
		}
		return statuses
	}
	require.Equal(t, []int{200, 200, 429}, statuses())
	world.clock.Advance(500 * time.Millisecond)
	require.Equal(t, []int{200, 429, 429}, statuses())
}

func TestListShowsTheLastInstanceUntilTheNextStarts(t *testing.T) {
	world := newTestWorld(t)
	platform := world.NewPlatform(PlatformSettings{Lag: 500 * time.Millisecond})
	worker := world.worker()
	worker.SetAddress("127.0.0.1:1")
	before := worker.Instance()
	world.clock.Advance(500 * time.Millisecond)
	worker.Crash(time.Second)
	world.clock.Advance(1499 * time.Millisecond)
	page, _ := list(t, platform, "")
	require.Equal(t, before, page.Instances[0].ID)
	world.clock.Advance(time.Millisecond)
	page, _ = list(t, platform, "")
	require.Equal(t, worker.Instance(), page.Instances[0].ID)
}
