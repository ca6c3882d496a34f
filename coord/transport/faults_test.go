package transport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
	"gaugeslip/internal/simnet"
)

const (
	faultSeeds = 60
	faultCalls = 60
	// seedVariable is the environment variable that selects a single seed for TestCallsUnderFaults.
	seedVariable = "TRANSPORT_SEED"
)

// Concurrent calls while the network cuts one direction or resets connections and the server is frozen or stopped. The error of each call
// must agree with what happened to the call.
func TestCallsUnderFaults(t *testing.T) {
	played := seeds.List(t, seedVariable, "", 1, faultSeeds)
	outcomes := map[string]int{}
	for _, seed := range played {
		withFixture(t, seed, func(t *testing.T, w *fixture) {
			defer func() {
				if t.Failed() {
					t.Logf("replay: %s=%d go test ./coord/transport -run TestCallsUnderFaults", seedVariable, seed)
				}
			}()
			runWithFaults(w, rand.New(rand.NewPCG(seed, 5)), outcomes)
		})
	}
	t.Log(outcomes)
	if len(played) > 1 {
		for _, outcome := range []string{"answered", "unknown", "not sent"} {
			require.Greater(t, outcomes[outcome], faultSeeds, "too few calls had this outcome")
		}
	}
}

func runWithFaults(w *fixture, random *rand.Rand, outcomes map[string]int) {
	w.tally.duration = func(number int) time.Duration { return time.Duration(number*7919%90) * time.Millisecond }
	faults := []func(){
		func() { w.network.Cut(callerHost, serverHost) },
		func() { w.network.Cut(serverHost, callerHost) },
		func() { w.network.Reset(callerHost, serverHost) },
		func() { w.network.Refuse(callerHost, serverHost) },
		func() { w.network.Freeze(serverHost) },
		func() { w.network.Stop(serverHost) },
		func() { w.network.SetLatency(callerHost, serverHost, 0, 80*time.Millisecond) },
	}
	heal := func() {
		w.network.HealAll()
		w.network.Thaw(serverHost)
		w.network.Resume(serverHost)
	}
	results := make([]error, faultCalls)
	var group sync.WaitGroup
	for number := range results {
		timeout := time.Duration(20+random.IntN(200)) * time.Millisecond
		group.Go(func() { results[number] = w.add(number, timeout) })
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		switch random.IntN(8) {
		case 0:
			faults[random.IntN(len(faults))]()
		case 1, 2:
			heal()
		}
	}
	group.Wait()
	heal()
	w.awaitQuiescence()
	for number, err := range results {
		w.requireConsistent(number, err)
		outcomes[outcomeName(err)]++
	}
}

func outcomeName(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, ErrNotSent):
		return "not sent"
	}
	return "unknown"
}

// One-way messages under the same faults arrive in order and at most once.
func TestMessagesUnderFaultsArriveInOrderAtMostOnce(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 6))
			network := simnet.New(seed)
			listener, err := network.Listen(serverAddr)
			require.NoError(t, err)
			server := NewServer(listener)
			var mutex sync.Mutex
			last := -1
			require.NoError(t, server.Register("Sink", NewReceiver(func(messages []int) {
				mutex.Lock()
				defer mutex.Unlock()
				for _, message := range messages {
					require.Greater(t, message, last, fmt.Sprintf("seed %d", seed))
					last = message
				}
			})))
			go func() { _ = server.Serve() }()
			client := NewClient(Options{Dial: network.Dialer(callerHost)})
			sender := NewSender[int](client, "Sink.Receive", SenderOptions{AnswerTimeout: callTimeout, BatchLength: 3})
			for message := range 300 {
				sender.Send(serverAddr, message)
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				switch random.IntN(40) {
				case 0:
					network.Reset(callerHost, serverHost)
				case 1:
					network.Cut(serverHost, callerHost)
				case 2:
					network.Freeze(serverHost)
				case 3, 4:
					network.HealAll()
					network.Thaw(serverHost)
				case 5:
					network.SetLatency(callerHost, serverHost, 0, 50*time.Millisecond)
				}
			}
			network.HealAll()
			network.Thaw(serverHost)
			sender.Send(serverAddr, 300)
			time.Sleep(time.Minute)
			sender.Send(serverAddr, 301)
			time.Sleep(time.Minute)
			mutex.Lock()
			require.Equal(t, 301, last, "a message after the faults must arrive")
			mutex.Unlock()
			require.NoError(t, sender.Close())
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
		})
	}
}

// A call without time left returns ErrNotSent, sends nothing, and does not delay other calls to the address.
func TestCallWithoutTimeLeftStartsNoDial(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, w *fixture) {
		require.ErrorIs(t, w.add(1, 0), ErrNotSent)
		require.NoError(t, w.add(2, callTimeout), "a call without time must not cause a back-off")
		require.ErrorIs(t, w.add(3, -time.Second), ErrNotSent, "also on a kept connection")
		w.awaitQuiescence()
		require.Zero(t, w.tally.count(1)+w.tally.count(3))
	})
}
