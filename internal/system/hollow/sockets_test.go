package hollow

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestSteadyClockEndsWork(t *testing.T) {
	world := NewWorld(DefaultSettings(), NewSteadyClock())
	defer world.Close()
	worker := world.NewWorker(WorkerSettings{Backend: testBackend, ClockZero: time.Second})
	require.NoError(t, worker.Listen())
	defer worker.Close()
	world.AddJob(Job{ID: testJob, Spec: testSpec, Backends: []string{testBackend}, Stages: []Stage{{Count: 1, Work: time.Millisecond}}})

	start(t, worker, 0, 0, 1)
	answer := call(t, worker, "/hold", holdOrder{FenceToken: 1, WaitMs: 2000})
	require.Equal(t, []string{"done"}, answer.endReasons())

	response, err := http.Post("http://"+worker.Address()+"/hold", "application/json", strings.NewReader(`{"unknown":1}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	http.DefaultClient.CloseIdleConnections()
}
