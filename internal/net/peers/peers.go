// Package peers lets dispatchers talk to one another where an installation allows it: membership by hashicorp/memberlist, and on
// the same sockets the messages of internal/budget. Every member has a number and an address in the settings; who does not hold
// that address is no member. Where a member is sent to is looked up by its name in the own settings, never in what gossip says, so
// that each way can be another for each member.
package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"gaugeslip/internal/budget"
)

const (
	bindEvery   = 200 * time.Millisecond // while another process holds the address
	rejoinEvery = 2 * time.Second        // members that are not there are looked for
	inboxSize   = 4096                   // messages; what does not fit is dropped, like any that is lost
	leaveWithin = 300 * time.Millisecond
	ownAfter    = 10 * time.Millisecond // steps are not taken more often
)

// Limits are the settings of the block peers.
type Limits struct {
	Listen  string   // this member's address, TCP and UDP
	Members []string // address of each member by number, as it is reached from here; the own one too
	Voters  int      // the first so many decide who leads
	Drift   float64  // of any member's clock against real time, at most
}

// Defaults is what an empty block means, but for the addresses, which it has to have.
func Defaults() Limits { return Limits{Voters: 3, Drift: 0.01} }

// mostMembers bounds the fleet; more would not fit in what one leader can hear.
const mostMembers = 2000

// Check finds settings that can't be kept. An error begins with the faulty key.
func (l *Limits) Check() error {
	for i, a := range append(slices.Clone(l.Members), l.Listen) {
		key := "members"
		if i == len(l.Members) {
			key = "listen"
		}
		if host, port, err := net.SplitHostPort(a); err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			return fmt.Errorf("%s: %q is no IP address with a port", key, a)
		}
	}
	switch {
	case len(l.Members) < 2 || len(l.Members) > mostMembers:
		return fmt.Errorf("members: out of range, 2 to %d", mostMembers)
	case l.Voters < 1 || l.Voters > len(l.Members) || l.Voters > 63 || l.Voters%2 == 0:
		return errors.New("voters: out of range, an odd number up to that of the members")
	case !(l.Drift >= 0.0001 && l.Drift <= 0.2):
		return errors.New("drift: out of range, 0.0001 to 0.2")
	}
	return nil
}

// Config is what Peers must keep to.
type Config struct {
	Limits
	Self   int
	Floor  budget.Units
	Ledger *budget.Ledger
	Now    func() time.Duration // monotonic
	Life   uint64               // another one for each start of a process
}

// Member is another dispatcher as membership has it.
type Member struct {
	Number int    `json:"number"`
	State  string `json:"state"` // "alive", "silent", "left", or "unseen"
	Self   bool   `json:"self,omitempty"`
	Leads  bool   `json:"leads,omitempty"` // as far as is known here
}

// View is what is known of the fleet.
type View struct {
	Bound   bool     `json:"bound"` // this process holds its member's address
	Members []Member `json:"members"`
	Sent    uint64   `json:"messages_sent"`
	Heard   uint64   `json:"messages_heard"`
	Dropped uint64   `json:"messages_dropped"` // that could not be read, or had no room
	Leads   bool     `json:"leads"`
}

// Peers is this process's part in the talk.
type Peers struct {
	cfg   Config
	inbox chan budget.Message

	sent, heard, dropped atomic.Uint64

	mu      sync.Mutex
	bound   bool
	states  []string
	leader  int
	leading bool
}

// New makes it; nothing is owned until Run holds the address.
func New(c Config) *Peers {
	p := &Peers{cfg: c, inbox: make(chan budget.Message, inboxSize), states: make([]string, len(c.Members)), leader: -1}
	for i := range p.states {
		p.states[i] = "unseen"
	}
	return p
}

// name is a member's, by number.
func name(number int) string { return "m" + strconv.Itoa(number) }

func (p *Peers) number(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "m"))
	if err != nil || n < 0 || n >= len(p.cfg.Members) {
		return -1
	}
	return n
}

// Run takes part until ctx ends, and owns nothing any more when it returns. While another process holds the address, which is this
// member's forerunner, it waits.
func (p *Peers) Run(ctx context.Context) error {
	list, err := p.bind(ctx)
	if err != nil || list == nil {
		return err
	}
	defer func() {
		for b := range p.cfg.Ledger.Accounts() { // before anyone else can hold the address
			p.cfg.Ledger.Own(p.cfg.Now(), b, budget.Share{})
		}
		p.set(func() { p.bound = false })
		list.Leave(leaveWithin)
		list.Shutdown()
	}()
	p.set(func() { p.bound = true })
	slog.Info("talk with the other dispatchers begins", "listen", p.cfg.Listen, "number", p.cfg.Self, "members", len(p.cfg.Members))
	var join sync.WaitGroup
	defer join.Wait()
	inner, stop := context.WithCancel(ctx)
	defer stop()
	join.Go(func() { p.rejoin(inner, list) })
	p.divide(inner, list)
	return nil
}

// bind opens the address as soon as nobody else holds it. Both nil: ctx has ended.
func (p *Peers) bind(ctx context.Context) (*memberlist.Memberlist, error) {
	host, port, _ := net.SplitHostPort(p.cfg.Listen)
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	quiet := log.New(io.Discard, "", 0) // what matters is told in our own words
	waited := false
	for {
		t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number, Logger: quiet})
		if err == nil {
			c := memberlist.DefaultLANConfig()
			c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = name(p.cfg.Self), host, number, host, number
			c.Transport, c.Logger, c.Delegate, c.Events = &mapped{NetTransport: t, peers: p}, quiet, delegate{p}, delegate{p}
			c.Label, c.EnableCompression = fmt.Sprintf("gaugeslip/%d/%d", len(p.cfg.Members), p.cfg.Voters), false
			c.DeadNodeReclaimTime, c.GossipToTheDeadTime = time.Millisecond, time.Minute
			list, err := memberlist.Create(c)
			if err != nil {
				t.Shutdown()
				return nil, fmt.Errorf("peers: %w", err)
			}
			return list, nil
		}
		if !waited {
			waited = true
			slog.Warn("this dispatcher's address for talk is taken: it owns no share until it is free", "listen", p.cfg.Listen, "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(bindEvery):
		}
	}
}

// rejoin looks for members that are not there, one after the other, until ctx ends.
func (p *Peers) rejoin(ctx context.Context, list *memberlist.Memberlist) {
	tick := time.NewTicker(rejoinEvery)
	defer tick.Stop()
	for next := p.cfg.Self + 1; ; {
		for range p.cfg.Members {
			i := next % len(p.cfg.Members)
			if next++; i != p.cfg.Self && p.state(i) != "alive" {
				list.Join([]string{name(i) + "/" + p.cfg.Members[i]}) // an error: it is not there yet
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// divide runs the member of internal/budget until ctx ends.
func (p *Peers) divide(ctx context.Context, list *memberlist.Memberlist) {
	accounts := p.cfg.Ledger.Accounts()
	every, term := budget.Pace(len(p.cfg.Members))
	node := budget.NewNode(budget.Config{Self: p.cfg.Self, Members: len(p.cfg.Members), Voters: p.cfg.Voters, Budgets: accounts,
		Floor: p.cfg.Floor, Term: term, Every: every, Drift: p.cfg.Drift, Life: p.cfg.Life}, p.cfg.Now())
	want := make([]budget.Units, accounts)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var in []budget.Message
	epoch, first := uint32(0), true
	for {
		in = in[:0]
		select {
		case <-ctx.Done():
			return
		case m := <-p.inbox:
			in = append(in, m)
			for more := true; more && len(in) < inboxSize; {
				select {
				case m := <-p.inbox:
					in = append(in, m)
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		now := p.cfg.Now()
		p.cfg.Ledger.Wanted(now, p.cfg.Floor, want)
		node.Want(want)
		out := node.Step(now, in)
		if s := node.Share(0); first || s.Epoch != epoch {
			first, epoch = false, s.Epoch
			for b := range accounts {
				p.cfg.Ledger.Own(now, b, node.Share(b))
			}
		}
		for i := range out {
			p.send(list, &out[i])
		}
		p.set(func() { p.leader, p.leading = node.Leader(), node.Leads(now) })
		timer.Reset(max(node.Wake()-p.cfg.Now(), ownAfter))
	}
}

func (p *Peers) send(list *memberlist.Memberlist, m *budget.Message) {
	p.sent.Add(1)
	// An error is a loss, which the protocol bears.
	list.SendToAddress(memberlist.Address{Addr: p.cfg.Members[m.To], Name: name(m.To)}, budget.Append(nil, m))
}

func (p *Peers) set(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}

func (p *Peers) state(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[i]
}

// View tells what is known of the fleet now.
func (p *Peers) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := View{Bound: p.bound, Sent: p.sent.Load(), Heard: p.heard.Load(), Dropped: p.dropped.Load(), Leads: p.bound && p.leading}
	for i, s := range p.states {
		v.Members = append(v.Members, Member{Number: i, State: s, Self: i == p.cfg.Self, Leads: i == p.leader})
	}
	return v
}

// Count is how many members are in a state.
func (p *Peers) Count(state string) (n float64) {
	for _, m := range p.View().Members {
		if m.State == state {
			n++
		}
	}
	return n
}

// mapped sends to a member where the own settings say that it is.
type mapped struct {
	*memberlist.NetTransport
	peers *Peers
}

func (t *mapped) to(a memberlist.Address) string {
	if i := t.peers.number(a.Name); i >= 0 {
		return t.peers.cfg.Members[i]
	}
	return a.Addr
}

// WriteToAddress is memberlist.NodeAwareTransport's.
func (t *mapped) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.to(a))
}

// DialAddressTimeout is memberlist.NodeAwareTransport's.
func (t *mapped) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.to(a), timeout)
}

// delegate hears what memberlist has to tell.
type delegate struct{ p *Peers }

// NotifyMsg takes in a message. It must not block.
func (d delegate) NotifyMsg(b []byte) {
	m, err := budget.Read(b)
	if err != nil || m.To != d.p.cfg.Self {
		d.p.dropped.Add(1)
		return
	}
	select {
	case d.p.inbox <- m:
		d.p.heard.Add(1)
	default:
		d.p.dropped.Add(1)
	}
}

func (d delegate) NodeMeta(int) []byte             { return nil }
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}

func (d delegate) NotifyJoin(n *memberlist.Node) { d.is(n, "alive") }
func (d delegate) NotifyLeave(n *memberlist.Node) {
	if n.State == memberlist.StateLeft {
		d.is(n, "left")
	} else {
		d.is(n, "silent")
	}
}
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.is(n, "alive") }

func (d delegate) is(n *memberlist.Node, state string) {
	if i := d.p.number(n.Name); i >= 0 {
		d.p.set(func() { d.p.states[i] = state })
		if i != d.p.cfg.Self {
			slog.Info("dispatcher "+state, "number", i)
		}
	}
}
