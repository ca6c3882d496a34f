package dispatch

import (
	"slices"
	"testing"
	"time"

	"gaugeslip/policy"
)

const ms = time.Millisecond

// start is a time on the core's clock: Unix time, as in service.
const start = 1_700_000_000 * time.Second

func newCore(t *testing.T, hosts ...Host) *Core {
	t.Helper()
	c, err := New(policy.Config{Replicas: 1, Zones: 1, Kinds: 1, MaxAttempts: 2, WorthByWork: true, TellsStart: true,
		MaxRetryAfter: time.Second, Classes: []policy.Class{
			{Name: "plot-load", OnTime: 4 * time.Second, Deadline: 5 * time.Second, Worth: 1, Kind: -1},
			{Name: "harvest-sale", OnTime: 4 * time.Second, Deadline: 5 * time.Second, Worth: 1, Kind: -1,
				Effect: policy.Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(start, []Message{HostList{Version: 7, Whole: true, Stale: true, Hosts: hosts}})
	return c
}

// of picks the commands of one type.
func of[T Command](all []Command) (out []T) {
	for _, c := range all {
		if x, ok := c.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func arrival(id uint64, class int) JobArrived {
	return JobArrived{Job: id, Class: class, Tenant: -1, At: start, Budget: 5 * time.Second, Size: 100 * ms, Slots: 1}
}

var one = Host{Name: "s-0000000a", Addr: "127.0.0.1:1", Scale: 1}
var two = Host{Name: "s-0000000b", Addr: "127.0.0.1:2", Scale: 1}

// The deadline of an upstream request counts from when the job arrived, not from when it was decided on.
func TestSendIsCutToDeadline(t *testing.T) {
	c := newCore(t, one)
	got := of[Send](c.Step(start+300*ms, []Message{arrival(1, 0)}))
	if len(got) != 1 || got[0].Deadline != start+5*time.Second || got[0].Addr != one.Addr || got[0].Key != (Key{1, 0}) {
		t.Fatalf("sent %+v", got)
	}
}

// Exactly one final answer: what comes after it is dropped, whatever it is.
func TestOneFinalAnswer(t *testing.T) {
	for name, last := range map[string]Message{
		"served":    AttemptEnded{Key: Key{1, 0}, Result: policy.OK},
		"left":      ClientGone{Job: 1},
		"timed out": AttemptEnded{Key: Key{1, 0}, Result: policy.TimedOut},
	} {
		c := newCore(t, one)
		if n := len(of[Send](c.Step(start, []Message{arrival(1, 1)}))); n != 1 {
			t.Fatalf("%s: %d sends", name, n)
		}
		late := start + 5*time.Second
		replies := of[LocalReply](c.Step(late, []Message{last}))
		replies = append(replies, of[LocalReply](c.Step(late, []Message{last, ClientGone{Job: 1},
			AttemptEnded{Key: Key{1, 0}, Result: policy.OK}, JobStarted{Key{1, 0}}, JobProgress{Key{1, 0}, 0.5}}))...)
		// What may have run twice is never refused.
		want := []LocalReply{{Job: 1}}
		if name != "timed out" {
			want = nil
		}
		if !slices.Equal(replies, want) || c.OpenJobs() != 0 {
			t.Errorf("%s: replies %+v, %d jobs open", name, replies, c.OpenJobs())
		}
	}
}

// A job that must not run twice goes again only where the attempt before it never ran.
func TestUnsafeGoesAgainOnlyUnrun(t *testing.T) {
	for result, want := range map[policy.Result]int{policy.Full: 1, policy.ConnectFailed: 1, policy.NeverSent: 1,
		policy.AppError: 0, policy.ConnectionLost: 0, policy.TimedOut: 0, policy.Cancelled: 0} {
		c := newCore(t, one, two)
		c.Step(start, []Message{arrival(1, 1)})
		out := c.Step(start+ms, []Message{AttemptEnded{Key: Key{1, 0}, Result: result}})
		if got := len(of[Send](out)); got != want {
			t.Errorf("result %d: sent %d times more, want %d", result, got, want)
		}
		if r := of[LocalReply](out); want == 0 && (len(r) != 1 || r[0].Refused) {
			t.Errorf("result %d: replies %+v, want one failure", result, r)
		}
	}
}

// A send that is over before it begins comes back to the module as never sent, and books nothing.
func TestSendThatCannotGo(t *testing.T) {
	c := newCore(t, one)
	c.Step(start, []Message{arrival(1, 0)})
	c.Step(start, []Message{AttemptEnded{Key: Key{1, 0}, Result: policy.NeverSent}})
	j := c.jobs[1]
	if len(j.attempts) != 2 || j.out != 1 {
		t.Fatalf("%+v", j)
	}
	c.out, c.events = nil, nil
	c.send(start, &policy.Action{Kind: policy.Send, Job: 1, Worker: 10}) // beyond MaxAttempts
	c.send(start+6*time.Second, &policy.Action{Kind: policy.Send, Job: 1, Worker: 10})
	if len(c.out) != 0 || len(c.events) != 2 || c.events[1].Result != policy.NeverSent || j.out != 1 {
		t.Fatalf("commands %v, events %+v, %d out", c.out, c.events, j.out)
	}
}

// A client that leaves in the very batch in which its attempt ends: the module sends again and is told that
// this never went, so the lane is free for the next job.
func TestLeftWithTheEndOfAnAttempt(t *testing.T) {
	c := newCore(t, one)
	c.Step(start, []Message{arrival(1, 0)})
	out := c.Step(start+ms, []Message{AttemptEnded{Key: Key{1, 0}, Result: policy.TimedOut}, ClientGone{Job: 1}})
	if len(of[Send](out)) != 0 || c.OpenJobs() != 0 {
		t.Fatalf("commands %v, %d jobs open", out, c.OpenJobs())
	}
	if out = c.Step(start+2*ms, []Message{arrival(2, 0)}); len(of[Send](out)) != 1 {
		t.Fatalf("the next job is not sent: %v", out)
	}
}

// Ids come from names alone: the module's shares of a cold host need them alike at every dispatcher.
func TestWorkerID(t *testing.T) {
	for name, want := range map[string]uint32{"s-0badcafe": 0x0badcafe, "a-b-0000000a": 10} {
		if got := WorkerID(name); got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	if a, b := WorkerID("host-one"), WorkerID("host-two"); a == b || a != WorkerID("host-one") {
		t.Errorf("hashes %d and %d", a, b)
	}
}

// Two hosts with one id would be one worker to the module; the second stays out.
func TestCollision(t *testing.T) {
	c := newCore(t, one)
	twin := Host{Name: "t-0000000a", Addr: "127.0.0.1:9"}
	out := c.Step(start, []Message{HostList{Version: 8, Hosts: []Host{twin}}})
	if len(of[Log](out)) == 0 || c.hosts[10].Addr != one.Addr {
		t.Fatalf("commands %v, hosts %v", out, c.hosts)
	}
	gone := one
	gone.State = policy.Gone
	c.Step(start, []Message{HostList{Version: 9, Hosts: []Host{gone, twin}}})
	if c.hosts[10].Addr != twin.Addr {
		t.Fatalf("hosts %v", c.hosts)
	}
}

// A watch begins after the version that was told last, though an older one, and the module is told of a loss to ask again.
func TestWatchAgainAfterLoss(t *testing.T) {
	c, err := New(policy.Config{Replicas: 1, Ask: true, Classes: []policy.Class{{Name: "a", Kind: -1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := start
	c.Step(now, []Message{HostList{Version: 7, Whole: true, Stale: true}})
	for i, version := range []uint64{7, 9, 4} {
		var got []Watch
		for len(got) == 0 {
			at, ok := c.Wake()
			if !ok {
				t.Fatal("no watch to come")
			}
			now = at
			got = of[Watch](c.Step(now, nil))
		}
		if got[0].Version != version {
			t.Fatalf("watches after %d, want %d", got[0].Version, version)
		}
		c.Step(now, []Message{HostList{Version: []uint64{9, 4, 4}[i], Whole: true}, ListLost{}})
	}
}

// A core made anew after a panic knows the hosts, as a list that may be old.
func TestRenew(t *testing.T) {
	n, known, err := newCore(t, two, one).Rebuild()
	if err != nil || !known.Whole || !known.Stale || known.Version != 7 ||
		!slices.Equal(known.Hosts, []Host{one, two}) || n.OpenJobs() != 0 {
		t.Fatalf("%+v, %v", known, err)
	}
}
