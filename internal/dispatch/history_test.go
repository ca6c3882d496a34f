package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gaugeslip/policy"
)

// stepper is what a history is played on: a Core, or a Chain round one.
type stepper interface {
	Step(now time.Duration, in []Message) []Command
	Wake() (time.Duration, bool)
}

// play runs a seeded history of arrivals, outcomes, progress, probes, lists and partings on s, and calls each after
// every Step. Equal seeds give equal messages as long as the commands are equal.
func play(s stepper, seed uint64, steps int, each func(now time.Duration, in []Message, out []Command)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]Host, 12)
	for i := range hosts {
		hosts[i] = Host{Name: fmt.Sprintf("s-%08x", 0x1000+i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Scale: 2}
	}
	var out []Key
	now, job, version := time.Duration(start), uint64(0), uint64(1)
	in := []Message{HostList{Version: version, Whole: true, Stale: true, Hosts: hosts}}
	for range steps {
		commands := s.Step(now, in)
		each(now, in, commands)
		in = nil
		for _, c := range commands {
			switch c := c.(type) {
			case Send:
				out = append(out, c.Key)
			case CancelSend:
				in = append(in, AttemptEnded{Key: c.Key, Result: policy.Cancelled})
				out = slices.DeleteFunc(out, func(k Key) bool { return k == c.Key })
			case Probe:
				in = append(in, ProbeEnded{Worker: c.Worker, Took: ms, Load: &policy.Load{FreeSlots: 1, Queue: 0, Busy: -1}})
			case Watch:
				version++
				in = append(in, HostList{Version: version, Hosts: hosts[:3]})
			}
		}
		for range rng.IntN(3) {
			job++
			a := arrival(job, rng.IntN(2))
			a.At, a.Size = now, time.Duration(1+rng.IntN(900))*ms
			in = append(in, a)
		}
		for n := rng.IntN(3); n > 0 && len(out) > 0; n-- {
			k := out[rng.IntN(len(out))]
			switch rng.IntN(10) {
			case 0:
				in = append(in, ClientGone{Job: k.Job})
			case 1, 2:
				in = append(in, JobStarted{k}, JobProgress{k, 0.5})
			default:
				results := []policy.Result{policy.OK, policy.OK, policy.OK, policy.OK, policy.Full, policy.AppError,
					policy.TimedOut, policy.ConnectionLost, policy.ConnectFailed}
				in = append(in, AttemptEnded{Key: k, Result: results[rng.IntN(len(results))]})
				out = slices.DeleteFunc(out, func(o Key) bool { return o == k })
			}
		}
		if rng.IntN(200) == 0 {
			in = append(in, ListLost{})
		}
		now += time.Duration(rng.IntN(60)) * ms
		if at, ok := s.Wake(); ok && at < now {
			now = max(at, now-50*ms)
		}
	}
}

// digest plays a history and sums up its commands.
func digest(s stepper, seed uint64) string {
	h := sha256.New()
	play(s, seed, 3000, func(now time.Duration, _ []Message, out []Command) {
		for _, c := range out {
			switch c := c.(type) {
			case Send:
				fmt.Fprint(h, now, "send", c.Job, c.Attempt, c.Addr, c.Deadline)
			case CancelSend:
				fmt.Fprint(h, now, "cancel", c.Job, c.Attempt)
			case LocalReply:
				fmt.Fprint(h, now, "reply", c.Job, c.Refused, c.RetryAfter)
			case Probe:
				fmt.Fprint(h, now, "probe", c.Worker, c.Addr)
			case Watch:
				fmt.Fprint(h, now, "watch", c.Version)
			case Log:
				fmt.Fprint(h, now, "log", c.Text, c.Warn)
			}
			io.WriteString(h, "\n")
		}
	})
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// The commands of the bare core, by seed: recorded anew, from it alone, with each change of the decisions.
var before = map[uint64]string{1: "0fcad70a5a3b56ff", 2: "ebd8282bb69d703d", 3: "f700be41ad0e7e6c"}

func bare(t testing.TB) *Core {
	t.Helper()
	c, err := New(policy.Config{Replicas: 1, Zones: 1, Kinds: 1, MaxAttempts: 3, WorthByWork: true, TellsStart: true,
		Probes: true, ReportInProbes: true, Cancel: true, Ask: true, PriceProbe: 0.002, Progress: time.Second,
		MaxRetryAfter: time.Second, Classes: []policy.Class{
			{Name: "plot-load", OnTime: 400 * ms, Stretch: 1.75, Deadline: 5 * time.Second, Worth: 5, Kind: -1},
			{Name: "harvest-sale", OnTime: 2 * time.Second, Stretch: 2, Deadline: 5 * time.Second, Worth: 10, Kind: -1,
				Effect: policy.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestCommandsAreThoseOfBefore(t *testing.T) {
	for seed, want := range before {
		if got := digest(bare(t), seed); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}
