package dispatch

import (
	"slices"
	"testing"
	"time"
)

// sendsTo returns the addresses that jobs are sent to.
func sendsTo(cmds []Command) (addrs []string) {
	for _, s := range commandsOf[Send](cmds) {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// A host taken out of service gets no jobs from then on, even if the list says that it is ready. One call puts it back after two calls
// to take it out. An unknown name is rejected and changes nothing. A host that is put back is cold.
func TestCordon(t *testing.T) {
	c := newCore(t, hostOne)
	at := start + time.Second
	results := commandsOf[CordonResult](c.Step(at, []Message{SetCordon{Request: 1, Name: hostOne.Name, Cordoned: true},
		SetCordon{Request: 2, Name: hostOne.Name, Cordoned: true}, SetCordon{Request: 3, Name: "s-0000000f", Cordoned: true}}))
	if !slices.Equal(results, []CordonResult{{1, true}, {2, true}, {3, false}}) {
		t.Fatalf("results %+v", results)
	}
	if got := c.Cordoned(); !slices.Equal(got, []string{hostOne.Name}) {
		t.Fatalf("out of service: %v", got)
	}
	if known, excluded := c.Workers(); known != 1 || excluded != 1 {
		t.Fatalf("%d known, %d excluded", known, excluded)
	}
	cmds := c.Step(at, []Message{arrival(1, 0)})
	if len(sendsTo(cmds)) != 0 || len(commandsOf[LocalReply](cmds)) != 1 {
		t.Fatalf("job while the only host is out of service: %+v", cmds)
	}
	// The list reports the host as ready again: it stays out of service.
	c.Step(at, []Message{HostList{Version: 8, Hosts: []Host{hostOne}}})
	if n := len(sendsTo(c.Step(at, []Message{arrival(2, 0)}))); n != 0 {
		t.Fatalf("%d sends after the host was listed", n)
	}
	back := at + time.Second
	if h := commandsOf[CordonResult](c.Step(back, []Message{SetCordon{Request: 4, Name: hostOne.Name}})); !slices.Equal(h, []CordonResult{{4, true}}) {
		t.Fatalf("back: %+v", h)
	}
	if w := c.moduleWorker(c.hosts[WorkerID(hostOne.Name)]); w.Since != back || w.State != 0 {
		t.Fatalf("the module sees %+v, want a host that started at the call", w)
	}
	c.Step(back, []Message{HostList{Version: 9, Hosts: []Host{hostOne}}}) // the list does not have the restart yet
	if w := c.moduleWorker(c.hosts[WorkerID(hostOne.Name)]); w.Since != back {
		t.Fatalf("warm after a later list: %+v", w)
	}
	if n := len(sendsTo(c.Step(back, []Message{arrival(3, 0)}))); n != 1 {
		t.Fatalf("%d sends after the host was put back", n)
	}
}

// The stored set replaces the core's set, before and after the list arrives, and is kept when the core is rebuilt.
func TestCordonSet(t *testing.T) {
	c := newCore(t)
	c.Step(start, []Message{CordonSet{Names: []string{hostOne.Name, hostTwo.Name}}})
	c.Step(start, []Message{HostList{Version: 8, Hosts: []Host{hostOne, hostTwo}}})
	if n := len(sendsTo(c.Step(start, []Message{arrival(1, 0)}))); n != 0 {
		t.Fatalf("%d sends to hosts out of service", n)
	}
	c.Step(start, []Message{CordonSet{Names: []string{hostTwo.Name}}})
	if got := sendsTo(c.Step(start, []Message{arrival(2, 0)})); !slices.Equal(got, []string{hostOne.Addr}) {
		t.Fatalf("sent to %v", got)
	}
	n, _, err := c.Rebuild()
	if err != nil {
		t.Fatal(err)
	}
	if got := n.Cordoned(); !slices.Equal(got, []string{hostTwo.Name}) {
		t.Fatalf("after Rebuild: %v", got)
	}
}
