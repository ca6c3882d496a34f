package workerapi

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/hollow"
)

func newPlatform(t *testing.T, workers int, settings hollow.PlatformSettings) (*hollow.World, []*hollow.Worker, string) {
	world, added, address, _ := newTimedPlatform(t, workers, settings)
	return world, added, address
}

func newTimedPlatform(
	t *testing.T, workers int, settings hollow.PlatformSettings,
) (*hollow.World, []*hollow.Worker, string, *hollow.ManualClock) {
	clock := hollow.NewManualClock(0)
	world := hollow.NewWorld(hollow.DefaultSettings(), clock)
	platform := world.NewPlatform(settings)
	address, err := platform.Listen()
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	var added []*hollow.Worker
	for range workers {
		worker := world.NewWorker(hollow.WorkerSettings{
			Backend:     testBackend,
			Zone:        "alcantara",
			Version:     "v1",
			Capacity:    8,
			Allocatable: hollow.Resources{CPU: 16000, MemoryMB: 32768, GPUs: 1},
			Kind:        "a",
			Rack:        "r1-3",
		})
		worker.SetAddress("127.0.0.1:9")
		added = append(added, worker)
	}
	return world, added, address, clock
}

func newListClient(t *testing.T) *ListClient {
	client := NewListClient(nil)
	client.pause = func(context.Context, time.Duration) error { return nil }
	t.Cleanup(client.Close)
	return client
}

func TestListReadsAllPages(t *testing.T) {
	world, workers, address := newPlatform(t, 5, hollow.PlatformSettings{PageSize: 2})
	workers[4].Drain(3 * time.Second)
	instances, err := newListClient(t).List(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, 3, world.Stats().ListCalls)
	require.Len(t, instances, 5)
	expected := Instance{
		ID:          workers[0].Instance(),
		Backend:     testBackend,
		Address:     "127.0.0.1:9",
		Zone:        "alcantara",
		Version:     "v1",
		Capacity:    8,
		State:       StateReady,
		Allocatable: Allocatable{CPU: 16000, MemoryMB: 32768, GPUs: 1},
		Labels:      []string{"a", "r1-3"},
	}
	require.Equal(t, expected, instances[0])
	require.Equal(t, StateDraining, instances[4].State)
	require.EqualValues(t, 3000, instances[4].RemainingMs)
}

func TestRateLimitFailsTheWholeList(t *testing.T) {
	_, _, address := newPlatform(t, 5, hollow.PlatformSettings{PageSize: 2, RatePerS: 2})
	instances, err := newListClient(t).List(t.Context(), address)
	require.ErrorIs(t, err, ErrRateLimited)
	require.Nil(t, instances)
}

func TestRateLimitedPagesAreRetried(t *testing.T) {
	_, _, address, clock := newTimedPlatform(t, 5, hollow.PlatformSettings{PageSize: 1, RatePerS: 2})
	client := newListClient(t)
	client.pause = func(context.Context, time.Duration) error {
		clock.Advance(time.Second)
		return nil
	}
	instances, err := client.List(t.Context(), address)
	require.NoError(t, err)
	require.Len(t, instances, 5)
}

func TestEmptyList(t *testing.T) {
	_, _, address := newPlatform(t, 0, hollow.PlatformSettings{})
	instances, err := newListClient(t).List(t.Context(), address)
	require.NoError(t, err)
	require.Empty(t, instances)
}

func TestOddListsAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	same := writeAnswer(head + `{"instances":[],"nextPageToken":"p-1"}`)
	cases := []struct {
		name    string
		answers []func(connection net.Conn)
		failure error
	}{
		{"cut page", []func(net.Conn){writeAnswer(head + `{"instances":[{"id":"i-1"`)}, ErrUnreadable},
		{"cut second page", []func(net.Conn){same, writeAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}, ErrUnanswered},
		{"same token again", []func(net.Conn){same, same}, ErrEndlessList},
		{"server error", []func(net.Conn){writeAnswer("HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n")}, ErrUnexpectedStatus},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			address := connectionServer(t, test.answers...)
			instances, err := newListClient(t).List(t.Context(), address)
			require.ErrorIs(t, err, test.failure)
			require.Nil(t, instances)
		})
	}
}

func TestInstancesAreRead(t *testing.T) {
	page, err := decodeListPage([]byte(`{"instances":[{"id":"i-1","state":"odd","coldRemainingMs":1500,"labels":null,"new":{"a":1},"allocatable":{"cpu":1,"disk":2}}],"nextPageToken":null}`))
	require.NoError(t, err)
	require.Equal(t, listPage{instances: []Instance{{ID: "i-1", ColdRemainingMs: 1500, Allocatable: Allocatable{CPU: 1}}}}, page)
}
