package dispatch

import (
	"slices"
	"testing"
	"time"
)

// sendsTo tells the addresses that a job's first sends go to.
func sendsTo(cmds []Command) (addrs []string) {
	for _, s := range of[Send](cmds) {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// A host out by hand gets nothing from the call on, though the list says it is in service; two calls out need one
// back; a name that nobody has is a no and changes nothing; what comes back is cold.
func TestOutByHand(t *testing.T) {
	c := newCore(t, one)
	at := start + time.Second
	handed := of[CordonResult](c.Step(at, []Message{SetCordon{Request: 1, Name: one.Name, Cordoned: true},
		SetCordon{Request: 2, Name: one.Name, Cordoned: true}, SetCordon{Request: 3, Name: "s-0000000f", Cordoned: true}}))
	if !slices.Equal(handed, []CordonResult{{1, true}, {2, true}, {3, false}}) {
		t.Fatalf("handed %+v", handed)
	}
	if got := c.Cordoned(); !slices.Equal(got, []string{one.Name}) {
		t.Fatalf("out: %v", got)
	}
	if known, excluded := c.Workers(); known != 1 || excluded != 1 {
		t.Fatalf("%d known, %d excluded", known, excluded)
	}
	cmds := c.Step(at, []Message{arrival(1, 0)})
	if len(sendsTo(cmds)) != 0 || len(of[LocalReply](cmds)) != 1 {
		t.Fatalf("a job while the only host is out: %+v", cmds)
	}
	// The list says in service again, whatever: still out.
	c.Step(at, []Message{HostList{Version: 8, Hosts: []Host{one}}})
	if n := len(sendsTo(c.Step(at, []Message{arrival(2, 0)}))); n != 0 {
		t.Fatalf("%d sends after the list told of the host", n)
	}
	back := at + time.Second
	if h := of[CordonResult](c.Step(back, []Message{SetCordon{Request: 4, Name: one.Name}})); !slices.Equal(h, []CordonResult{{4, true}}) {
		t.Fatalf("back: %+v", h)
	}
	if w := c.worker(c.hosts[WorkerID(one.Name)]); w.Since != back || w.State != 0 {
		t.Fatalf("told the module %+v; want a host that started at the call", w)
	}
	c.Step(back, []Message{HostList{Version: 9, Hosts: []Host{one}}}) // the list has not heard of the restart
	if w := c.worker(c.hosts[WorkerID(one.Name)]); w.Since != back {
		t.Fatalf("a later list made it warm: %+v", w)
	}
	if n := len(sendsTo(c.Step(back, []Message{arrival(3, 0)}))); n != 1 {
		t.Fatalf("%d sends once it is back", n)
	}
}

// The set kept outside the process replaces the core's, before and after the list comes, and survives a renewal.
func TestHandSet(t *testing.T) {
	c := newCore(t)
	c.Step(start, []Message{CordonSet{Names: []string{one.Name, two.Name}}})
	c.Step(start, []Message{HostList{Version: 8, Hosts: []Host{one, two}}})
	if n := len(sendsTo(c.Step(start, []Message{arrival(1, 0)}))); n != 0 {
		t.Fatalf("%d sends to hosts out by hand", n)
	}
	c.Step(start, []Message{CordonSet{Names: []string{two.Name}}})
	if got := sendsTo(c.Step(start, []Message{arrival(2, 0)})); !slices.Equal(got, []string{one.Addr}) {
		t.Fatalf("sent to %v", got)
	}
	n, _, err := c.Rebuild()
	if err != nil {
		t.Fatal(err)
	}
	if got := n.Cordoned(); !slices.Equal(got, []string{two.Name}) {
		t.Fatalf("after a renewal: %v", got)
	}
}
