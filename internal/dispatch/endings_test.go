package dispatch

import (
	"testing"
	"time"

	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

// As the program ends all that is open is answered in time, once, and refused only where it never ran or a repeat is
// harmless. What each job's upstream requests have proved until then decides.
func TestClosing(t *testing.T) {
	end := func(r policy.Result) []Message { return []Message{AttemptEnded{Key: Key{1, 0}, Result: r}} }
	for name, c := range map[string]struct {
		class   int
		hosts   []Host
		before  []Message
		refused bool
	}{
		"safe, out":                   {0, []Host{one}, nil, true},
		"unsafe, out":                 {1, []Host{one}, nil, false},
		"unsafe, begun":               {1, []Host{one}, []Message{JobStarted{Key{1, 0}}}, false},
		"unsafe, never ran, out anew": {1, []Host{one, two}, end(policy.Full), false},
	} {
		k := newCore(t, c.hosts...)
		k.Step(start, []Message{arrival(1, c.class)})
		k.Step(start, []Message{Shutdown{Deadline: start + 2*time.Second}})
		k.Step(start+ms, c.before)
		if at, ok := k.Wake(); !ok || at > start+2*time.Second {
			t.Errorf("%s: wakes at %v, %v", name, at-start, ok)
		}
		got := of[LocalReply](k.Step(start+2*time.Second, nil))
		if len(got) != 1 || got[0].Job != 1 || got[0].Refused != c.refused || c.refused != (got[0].RetryAfter > 0) {
			t.Errorf("%s: answered %+v", name, got)
		}
		for _, late := range []Message{AttemptEnded{Key: Key{1, 0}, Result: policy.Full}, AttemptEnded{Key: Key{1, 1}, Result: policy.TimedOut}, ClientGone{Job: 1}} {
			if out := k.Step(start+2*time.Second+ms, []Message{late}); len(of[LocalReply](out))+len(of[Send](out)) > 0 {
				t.Errorf("%s: after its answer %+v", name, out)
			}
		}
		// One that comes even later is answered at once too, and nothing is sent.
		out := k.Step(start+3*time.Second, []Message{arrival(2, 1)})
		if r := of[LocalReply](out); len(r) != 1 || !r[0].Refused || len(of[Send](out)) > 0 {
			t.Errorf("%s: a late arrival %+v", name, out)
		}
	}
}

// A panic in the module after SIGTERM does not forget the end: what is still to come to the new core is answered before it.
func TestClosingOutlivesPanic(t *testing.T) {
	k := newCore(t, one)
	k.Step(start, []Message{Shutdown{Deadline: start + 2*time.Second}})
	n, known, err := k.Rebuild()
	if err != nil {
		t.Fatal(err)
	}
	n.Step(start+ms, []Message{known, arrival(1, 1)})
	if at, ok := n.Wake(); !ok || at > start+2*time.Second {
		t.Errorf("wakes at %v, %v", at-start, ok)
	}
	if got := of[LocalReply](n.Step(start+2*time.Second, nil)); len(got) != 1 || got[0].Refused {
		t.Errorf("answered %+v", got)
	}
}

// A list that is older than the newest: a drain in it counts, and what is new, and that a host is missing in a whole one,
// but it sets nothing back. The next watch begins where the cluster is, or what it tells next would be missed.
func TestOlderList(t *testing.T) {
	three := Host{Name: "s-0000000c", Addr: "127.0.0.1:3", Scale: 1}
	drains, ready, back := one, one, one
	drains.State, back.StartedAt = policy.Draining, start
	for name, c := range map[string]struct {
		newest, old []Host
		sent        bool
	}{
		"a host that drains is not ready again": {[]Host{drains}, []Host{ready}, false},
		"unless it has started since":           {[]Host{drains}, []Host{back}, true},
		"a drain counts":                        {[]Host{ready}, []Host{drains}, false},
		"a host that it says nothing of":        {[]Host{ready}, nil, true},
		"a new host counts":                     {nil, []Host{three}, true},
	} {
		for _, whole := range []bool{false, true} {
			k := newCore(t)
			k.Step(start, []Message{HostList{Version: 9, Whole: true, Hosts: c.newest}})
			k.Step(start, []Message{HostList{Version: 8, Whole: whole, Hosts: c.old}})
			if k.version != 9 || k.WatchVersion() != 8 {
				t.Errorf("%s: version %d, heard %d", name, k.version, k.WatchVersion())
			}
			a := arrival(1, 0)
			a.Size = ms                                                       // little enough for a host that has just started
			want := map[bool]int{true: 1}[c.sent && !(whole && c.old == nil)] // what a whole list lacks has gone
			if got := len(of[Send](k.Step(start+ms, []Message{a}))); got != want {
				t.Errorf("%s, whole %v: %d sent", name, whole, got)
			}
			if whole && c.old == nil { // one that was only new then comes with the changes that follow
				k.Step(start+ms, []Message{HostList{Version: 9, Hosts: c.newest}})
				if b := arrival(2, 0); len(of[Send](k.Step(start+2*ms, []Message{b}))) != 1 {
					t.Errorf("%s: not known again", name)
				}
			}
		}
	}
}

// A client that leaves in the same Step in which its job would be sent, first or once more, is seen: nothing goes out.
func TestLeavesAtTheDecision(t *testing.T) {
	full := AttemptEnded{Key: Key{1, 0}, Result: policy.Full}
	for name, batch := range map[string][]Message{"first": {arrival(1, 1), ClientGone{Job: 1}}, "retry": {full, ClientGone{Job: 1}},
		"retry, told after": {ClientGone{Job: 1}, full}} {
		k := newCore(t, one, two)
		if name != "first" {
			k.Step(start, []Message{arrival(1, 1)})
		}
		out := k.Step(start+ms, batch)
		if len(of[Send](out))+len(of[LocalReply](out)) > 0 || k.OpenJobs() > 0 {
			t.Errorf("%s: %+v, %d open", name, out, k.OpenJobs())
		}
	}
}

// A send that is decided and may still wait for its connection is called back when its host drains, is gone, is missing in
// a whole list or is taken out by hand; one at another host is not.
func TestDrainCallsBack(t *testing.T) {
	drains, gone := one, one
	drains.State, gone.State = policy.Draining, policy.Gone
	for name, c := range map[string]struct {
		told Message
		want int
	}{
		"drains": {HostList{Version: 8, Hosts: []Host{drains}}, 1}, "gone": {HostList{Version: 8, Hosts: []Host{gone}}, 1},
		"missing": {HostList{Version: 8, Whole: true, Hosts: []Host{two}}, 1}, "by hand": {SetCordon{Request: 1, Name: one.Name, Cordoned: true}, 1},
		"another":  {HostList{Version: 8, Hosts: []Host{{Name: two.Name, State: policy.Draining}}}, 0},
		"the same": {HostList{Version: 8, Hosts: []Host{one}}, 0},
	} {
		k := newCore(t, one)
		k.Step(start, []Message{arrival(1, 1)})
		if got := of[CancelUnsent](k.Step(start+ms, []Message{c.told})); len(got) != c.want || c.want > 0 && got[0].Key != (Key{1, 0}) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A waiting job that is before the module as the program ends: what the core refuses then, the room does not hold once
// more. The host's one lane is taken, so that the job is held and not out.
func TestClosingWithWaitingJob(t *testing.T) {
	core := newCore(t, one)
	chain := NewChain(core, Gates{Waiting: NewWaitingGate(waiting.Defaults(), core.cfg)})
	long, waits := arrival(1, 0), arrival(2, 0)
	long.Size, long.Name, long.Client = 1500*ms, "a", "c"
	waits.Name, waits.Client, waits.Wait = "b", "c", &Wait{NotBefore: 5 * ms}
	chain.Step(start, []Message{long})
	chain.Step(start+ms, []Message{waits})
	chain.Step(start+10*ms, nil)
	if core.OpenJobs() != 2 {
		t.Fatalf("%d before the module", core.OpenJobs())
	}
	chain.Step(start+20*ms, []Message{Shutdown{Deadline: start + 500*ms}})
	got := of[LocalReply](chain.Step(start+500*ms, nil))
	if len(got) != 2 || !got[0].Refused || !got[1].Refused {
		t.Errorf("answered %+v", got)
	}
	if out := chain.Step(start+4*time.Second, nil); len(of[Send](out))+len(of[LocalReply](out)) > 0 {
		t.Errorf("after that %+v", out)
	}
}
