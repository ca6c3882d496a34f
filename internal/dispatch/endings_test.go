package dispatch

import (
	"testing"
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// At shutdown all open jobs are answered in time, once. They are refused only if they never ran or a repeat is harmless, as far as the
// results of each job's attempts prove it.
func TestShutdown(t *testing.T) {
	end := func(r policy.Result) []Message { return []Message{AttemptEnded{Key: Key{1, 0}, Result: r}} }
	for name, c := range map[string]struct {
		class   int
		hosts   []Host
		before  []Message
		refused bool
	}{
		"safe, in flight":                    {0, []Host{hostOne}, nil, true},
		"unsafe, in flight":                  {1, []Host{hostOne}, nil, false},
		"unsafe, started":                    {1, []Host{hostOne}, []Message{JobStarted{Key{1, 0}}}, false},
		"unsafe, never ran, in flight again": {1, []Host{hostOne, hostTwo}, end(policy.Full), false},
	} {
		k := newCore(t, c.hosts...)
		k.Step(start, []Message{arrival(1, c.class)})
		k.Step(start, []Message{Shutdown{Deadline: start + 2*time.Second}})
		k.Step(start+ms, c.before)
		if at, ok := k.Wake(); !ok || at > start+2*time.Second {
			t.Errorf("%s: wakes at %v, %v", name, at-start, ok)
		}
		got := commandsOf[LocalReply](k.Step(start+2*time.Second, nil))
		if len(got) != 1 || got[0].Job != 1 || got[0].Refused != c.refused || c.refused != (got[0].RetryAfter > 0) {
			t.Errorf("%s: answered %+v", name, got)
		}
		for _, late := range []Message{AttemptEnded{Key: Key{1, 0}, Result: policy.Full}, AttemptEnded{Key: Key{1, 1}, Result: policy.TimedOut}, ClientGone{Job: 1}} {
			if out := k.Step(start+2*time.Second+ms, []Message{late}); len(commandsOf[LocalReply](out))+len(commandsOf[Send](out)) > 0 {
				t.Errorf("%s: commands after the answer: %+v", name, out)
			}
		}
		// A job that arrives after the shutdown time is answered at once too, and nothing is sent.
		out := k.Step(start+3*time.Second, []Message{arrival(2, 1)})
		if r := commandsOf[LocalReply](out); len(r) != 1 || !r[0].Refused || len(commandsOf[Send](out)) > 0 {
			t.Errorf("%s: a late arrival %+v", name, out)
		}
	}
}

// A panic in the module during shutdown must not lose the deadline: jobs that arrive at the rebuilt core are answered by then.
func TestShutdownSurvivesPanic(t *testing.T) {
	k := newCore(t, hostOne)
	k.Step(start, []Message{Shutdown{Deadline: start + 2*time.Second}})
	n, known, err := k.Rebuild()
	if err != nil {
		t.Fatal(err)
	}
	n.Step(start+ms, []Message{known, arrival(1, 1)})
	if at, ok := n.Wake(); !ok || at > start+2*time.Second {
		t.Errorf("wakes at %v, %v", at-start, ok)
	}
	if got := commandsOf[LocalReply](n.Step(start+2*time.Second, nil)); len(got) != 1 || got[0].Refused {
		t.Errorf("answered %+v", got)
	}
}

// A list that is older than the newest: it adds drains, new hosts and, if it is a full list, missing hosts, but it undoes nothing. The
// next watch starts at its version, or the cluster's next changes would be missed.
func TestOlderList(t *testing.T) {
	three := Host{Name: "s-0000000c", Addr: "127.0.0.1:3", Scale: 1}
	drains, ready, back := hostOne, hostOne, hostOne
	drains.State, back.StartedAt = policy.Draining, start
	for name, c := range map[string]struct {
		newest, old []Host
		sent        bool
	}{
		"a draining host does not become ready": {[]Host{drains}, []Host{ready}, false},
		"unless it was restarted":               {[]Host{drains}, []Host{back}, true},
		"a drain is applied":                    {[]Host{ready}, []Host{drains}, false},
		"a host that is not listed":             {[]Host{ready}, nil, true},
		"a new host is added":                   {nil, []Host{three}, true},
	} {
		for _, whole := range []bool{false, true} {
			k := newCore(t)
			k.Step(start, []Message{HostList{Version: 9, Whole: true, Hosts: c.newest}})
			k.Step(start, []Message{HostList{Version: 8, Whole: whole, Hosts: c.old}})
			if k.listVersion != 9 || k.WatchVersion() != 8 {
				t.Errorf("%s: list version %d, watch version %d", name, k.listVersion, k.WatchVersion())
			}
			a := arrival(1, 0)
			a.Size = ms                                                       // short enough for a host that has just started
			want := map[bool]int{true: 1}[c.sent && !(whole && c.old == nil)] // hosts that a full list lacks are gone
			if got := len(commandsOf[Send](k.Step(start+ms, []Message{a}))); got != want {
				t.Errorf("%s, whole %v: %d sent", name, whole, got)
			}
			if whole && c.old == nil { // a host that was only new is added again by the changes that follow
				k.Step(start+ms, []Message{HostList{Version: 9, Hosts: c.newest}})
				if b := arrival(2, 0); len(commandsOf[Send](k.Step(start+2*ms, []Message{b}))) != 1 {
					t.Errorf("%s: host not added again", name)
				}
			}
		}
	}
}

// A client that leaves in the Step in which its job would be sent, first or again, is noticed: nothing is sent.
func TestClientLeavesAsJobIsSent(t *testing.T) {
	full := AttemptEnded{Key: Key{1, 0}, Result: policy.Full}
	for name, batch := range map[string][]Message{"first": {arrival(1, 1), ClientGone{Job: 1}}, "retry": {full, ClientGone{Job: 1}},
		"retry, leaves first": {ClientGone{Job: 1}, full}} {
		k := newCore(t, hostOne, hostTwo)
		if name != "first" {
			k.Step(start, []Message{arrival(1, 1)})
		}
		out := k.Step(start+ms, batch)
		if len(commandsOf[Send](out))+len(commandsOf[LocalReply](out)) > 0 || k.OpenJobs() > 0 {
			t.Errorf("%s: %+v, %d open", name, out, k.OpenJobs())
		}
	}
}

// An attempt that may still wait for its connection is cancelled if its host drains, is gone, is missing in a full list or is taken
// out of service; an attempt at another host is not.
func TestDrainCancelsUnsent(t *testing.T) {
	drains, gone := hostOne, hostOne
	drains.State, gone.State = policy.Draining, policy.Gone
	for name, c := range map[string]struct {
		change Message
		want   int
	}{
		"drains": {HostList{Version: 8, Hosts: []Host{drains}}, 1}, "gone": {HostList{Version: 8, Hosts: []Host{gone}}, 1},
		"missing": {HostList{Version: 8, Whole: true, Hosts: []Host{hostTwo}}, 1}, "taken out": {SetCordon{Request: 1, Name: hostOne.Name, Cordoned: true}, 1},
		"another host": {HostList{Version: 8, Hosts: []Host{{Name: hostTwo.Name, State: policy.Draining}}}, 0},
		"unchanged":    {HostList{Version: 8, Hosts: []Host{hostOne}}, 0},
	} {
		k := newCore(t, hostOne)
		k.Step(start, []Message{arrival(1, 1)})
		if got := commandsOf[CancelUnsent](k.Step(start+ms, []Message{c.change})); len(got) != c.want || c.want > 0 && got[0].Key != (Key{1, 0}) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A waiting job is in the module at shutdown: the room does not take back the core's refusal. The host's only lane is taken, so that
// the job is held and not in flight.
func TestShutdownWithWaitingJob(t *testing.T) {
	core := newCore(t, hostOne)
	chain := NewChain(core, Gates{Waiting: NewWaitingGate(waiting.Defaults(), core.cfg)})
	long, waits := arrival(1, 0), arrival(2, 0)
	long.Size, long.Name, long.Client = 1500*ms, "a", "c"
	waits.Name, waits.Client, waits.Wait = "b", "c", &Wait{NotBefore: 5 * ms}
	chain.Step(start, []Message{long})
	chain.Step(start+ms, []Message{waits})
	chain.Step(start+10*ms, nil)
	if core.OpenJobs() != 2 {
		t.Fatalf("%d jobs in the module", core.OpenJobs())
	}
	chain.Step(start+20*ms, []Message{Shutdown{Deadline: start + 500*ms}})
	got := commandsOf[LocalReply](chain.Step(start+500*ms, nil))
	if len(got) != 2 || !got[0].Refused || !got[1].Refused {
		t.Errorf("answered %+v", got)
	}
	if out := chain.Step(start+4*time.Second, nil); len(commandsOf[Send](out))+len(commandsOf[LocalReply](out)) > 0 {
		t.Errorf("commands after the answers: %+v", out)
	}
}
