package dispatch

import (
	"slices"
	"testing"
	"time"
)

// sendsTo tells the addresses that a job's first sends go to.
func sendsTo(cmds []Command) (addrs []string) {
	for _, s := range commandsOf[Send](cmds) {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// A host out by hand gets nothing from the call on, though the list says it is in service; two calls out need one
// back; a name that nobody has is a no and changes nothing; what comes back is cold.
func TestCordon(t *testing.T) {
	c := newCore(t, hostOne)
	at := start + time.Second
	handed := commandsOf[Handed](c.Step(at, []Message{Hand{Ask: 1, Name: hostOne.Name, Out: true},
		Hand{Ask: 2, Name: hostOne.Name, Out: true}, Hand{Ask: 3, Name: "s-0000000f", Out: true}}))
	if !slices.Equal(handed, []Handed{{1, true}, {2, true}, {3, false}}) {
		t.Fatalf("handed %+v", handed)
	}
	if got := c.Hands(); !slices.Equal(got, []string{hostOne.Name}) {
		t.Fatalf("out: %v", got)
	}
	if known, excluded := c.Workers(); known != 1 || excluded != 1 {
		t.Fatalf("%d known, %d excluded", known, excluded)
	}
	cmds := c.Step(at, []Message{arrival(1, 0)})
	if len(sendsTo(cmds)) != 0 || len(commandsOf[LocalReply](cmds)) != 1 {
		t.Fatalf("a job while the only host is out: %+v", cmds)
	}
	// The list says in service again, whatever: still out.
	c.Step(at, []Message{Listed{Version: 8, Hosts: []Host{hostOne}}})
	if n := len(sendsTo(c.Step(at, []Message{arrival(2, 0)}))); n != 0 {
		t.Fatalf("%d sends after the list told of the host", n)
	}
	back := at + time.Second
	if h := commandsOf[Handed](c.Step(back, []Message{Hand{Ask: 4, Name: hostOne.Name}})); !slices.Equal(h, []Handed{{4, true}}) {
		t.Fatalf("back: %+v", h)
	}
	if w := c.moduleWorker(c.hosts[WorkerID(hostOne.Name)]); w.Since != back || w.State != 0 {
		t.Fatalf("told the module %+v; want a host that started at the call", w)
	}
	c.Step(back, []Message{Listed{Version: 9, Hosts: []Host{hostOne}}}) // the list has not heard of the restart
	if w := c.moduleWorker(c.hosts[WorkerID(hostOne.Name)]); w.Since != back {
		t.Fatalf("a later list made it warm: %+v", w)
	}
	if n := len(sendsTo(c.Step(back, []Message{arrival(3, 0)}))); n != 1 {
		t.Fatalf("%d sends once it is back", n)
	}
}

// The set kept outside the process replaces the core's, before and after the list comes, and survives a renewal.
func TestCordonSet(t *testing.T) {
	c := newCore(t)
	c.Step(start, []Message{HandSet{Names: []string{hostOne.Name, hostTwo.Name}}})
	c.Step(start, []Message{Listed{Version: 8, Hosts: []Host{hostOne, hostTwo}}})
	if n := len(sendsTo(c.Step(start, []Message{arrival(1, 0)}))); n != 0 {
		t.Fatalf("%d sends to hosts out by hand", n)
	}
	c.Step(start, []Message{HandSet{Names: []string{hostTwo.Name}}})
	if got := sendsTo(c.Step(start, []Message{arrival(2, 0)})); !slices.Equal(got, []string{hostOne.Addr}) {
		t.Fatalf("sent to %v", got)
	}
	n, _, err := c.Renew()
	if err != nil {
		t.Fatal(err)
	}
	if got := n.Hands(); !slices.Equal(got, []string{hostTwo.Name}) {
		t.Fatalf("after a renewal: %v", got)
	}
}
