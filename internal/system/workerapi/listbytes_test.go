package workerapi

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

const platformAddress = "10.0.0.4:80"

// withSimulatedPlatform runs a test that reads a list of two pages over a simulated network. The first connection has the fate; calls counts
// the requested pages.
func withSimulatedPlatform(t *testing.T, fate simnet.Fate, body func(t *testing.T, read func() ([]Instance, error), calls *int, network *simnet.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(7)
		network.SetPlan(planForFirst(fate))
		listener, err := network.Listen(platformAddress)
		require.NoError(t, err)
		calls := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			calls++
			page, next := 1, `"p-2"`
			if request.URL.Query().Get("pageToken") == "p-2" {
				page, next = 2, "null"
			}
			_, _ = fmt.Fprintf(w, `{"instances":[{"id":"i-%d"}],"nextPageToken":%s}`, page, next)
		})}
		go func() { _ = server.Serve(listener) }()
		client := NewListClient(network.Dialer(callerHost))
		t.Cleanup(func() {
			client.Close()
			_ = server.Close()
			time.Sleep(time.Hour)
		})
		body(t, func() ([]Instance, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return client.List(ctx, platformAddress)
		}, &calls, network)
	})
}

// A connection ends at any byte of two lists of two pages each. Each list is read completely or not at all, and no page is requested more
// than once per connection.
func TestListOverConnectionCutAtAnyByteIsCompleteOrAnError(t *testing.T) {
	complete := []Instance{{ID: "i-1"}, {ID: "i-2"}}
	var request, answer int64
	withSimulatedPlatform(t, simnet.Fate{}, func(t *testing.T, read func() ([]Instance, error), _ *int, network *simnet.Network) {
		for range 2 {
			instances, err := read()
			require.NoError(t, err)
			require.Equal(t, complete, instances)
		}
		conn := network.Conns()[0]
		request, answer = conn.Sent(), conn.Peer().Sent()
	})
	play := func(fate simnet.Fate) {
		withSimulatedPlatform(t, fate, func(t *testing.T, read func() ([]Instance, error), calls *int, network *simnet.Network) {
			for range 2 {
				instances, err := read()
				if err != nil {
					require.Nil(t, instances, "%+v", fate)
					continue
				}
				require.Equal(t, complete, instances, "%+v", fate)
			}
			instances, err := read()
			require.NoError(t, err, "%+v: the last list uses another connection", fate)
			require.Equal(t, complete, instances)
			require.LessOrEqual(t, *calls, 3*len(complete)+1, "%+v", fate)
		})
	}
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := range request {
			play(simnet.Fate{Out: simnet.Limit{Bytes: at, Then: ending}})
		}
		for at := range answer {
			play(simnet.Fate{Back: simnet.Limit{Bytes: at, Then: ending}})
		}
	}
}
