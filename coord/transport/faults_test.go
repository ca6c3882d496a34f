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
	// seedVariable names one seed of TestCallsUnderFaults to be played alone.
	seedVariable = "TRANSPORT_SEED"
)

// Calls at once under cuts of one way, resets, frozen and stopped servers: what each error says is what came of the call.
func TestCallsUnderFaults(t *testing.T) {
	played := seeds.List(t, seedVariable, "", 1, faultSeeds)
	told := map[string]int{}
	for _, seed := range played {
		inWire(t, seed, func(t *testing.T, w *wire) {
			defer func() {
				if t.Failed() {
					t.Logf("replay: %s=%d go test ./coord/transport -run TestCallsUnderFaults", seedVariable, seed)
				}
			}()
			faultRun(w, rand.New(rand.NewPCG(seed, 5)), told)
		})
	}
	t.Log(told)
	if len(played) > 1 {
		for _, outcome := range []string{"answered", "unknown", "not sent"} {
			require.Greater(t, told[outcome], faultSeeds, "the faults are too few")
		}
	}
}

func faultRun(w *wire, random *rand.Rand, told map[string]int) {
	w.tally.takes = func(number int) time.Duration { return time.Duration(number*7919%90) * time.Millisecond }
	faults := []func(){
		func() { w.network.Cut(callerHost, serverHost) },
		func() { w.network.Cut(serverHost, callerHost) },
		func() { w.network.Reset(callerHost, serverHost) },
		func() { w.network.Refuse(callerHost, serverHost) },
		func() { w.network.Freeze(serverHost) },
		func() { w.network.Stop(serverHost) },
		func() { w.network.SetLatency(callerHost, serverHost, 0, 80*time.Millisecond) },
	}
	mend := func() {
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
			mend()
		}
	}
	group.Wait()
	mend()
	w.settle()
	for number, err := range results {
		w.requireTrue(number, err)
		told[outcomeName(err)]++
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

// One-way messages under the same faults come in order, and once at most.
func TestMessagesUnderFaultsComeInOrderAndOnce(t *testing.T) {
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
			sender := NewSender[int](client, "Sink.Receive", SenderOptions{AnswerTimeout: patience, BatchLength: 3})
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
			require.Equal(t, 301, last, "at last the way is open")
			mutex.Unlock()
			require.NoError(t, sender.Close())
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
		})
	}
}

// A call that has no time left is told so, sends nothing, and holds no other call to the address off.
func TestACallWithoutTimeBeginsNothing(t *testing.T) {
	inWire(t, 1, func(t *testing.T, w *wire) {
		require.ErrorIs(t, w.add(1, 0), ErrNotSent)
		require.NoError(t, w.add(2, patience), "no back-off for a dial that had no time")
		require.ErrorIs(t, w.add(3, -time.Second), ErrNotSent, "also on a kept connection")
		w.settle()
		require.Zero(t, w.tally.count(1)+w.tally.count(3))
	})
}
