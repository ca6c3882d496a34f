package budget

import (
	"math"
	"math/bits"
	"time"
)

// Ballot numbers an attempt at the lead. Ballots are ordered by N, then By, then Life; a process never makes the same twice.
type Ballot struct {
	N           uint32
	Proposer    uint16
	Incarnation uint64
}

func (b Ballot) less(o Ballot) bool {
	if b.N != o.N {
		return b.N < o.N
	}
	if b.Proposer != o.Proposer {
		return b.Proposer < o.Proposer
	}
	return b.Incarnation < o.Incarnation
}

// same tells whether two ballots are of one process.
func (b Ballot) same(o Ballot) bool {
	return b.Proposer == o.Proposer && b.Incarnation == o.Incarnation
}

// Kind says what a Message is for.
type Kind uint8

// The messages, with the fields that count beside From, To and Life.
const (
	Prepare  Kind = iota + 1 // Ballot: who may lead?
	Promise                  // Ballot, Open: no lower ballot from now on; Open: no other's lead is on
	Nack                     // Ballot: a higher one is promised
	Propose                  // Ballot: I lead
	Accepted                 // Ballot
	Request                  // Seq, Units wanted beyond the floor; Ballot and Epoch of the grant that is held to
	Grant                    // Seq and To's Asker as asked, Ballot, Epoch, TTL, Units
	Redirect                 // Leader: ask there; -1: none is known
	kinds
)

// Message is what members tell one another.
type Message struct {
	Kind        Kind
	From, To    int
	Incarnation uint64 // of the process that sends
	Requester   uint64 // Grant: the life that asked
	Ballot      Ballot
	Open        bool
	Seq         uint32
	Epoch       uint32
	TTL         time.Duration
	Leader      int
	Units       []Units // by budget
}

// Config is what a Node must keep to. All members of a fleet have the same, but for Self and Life.
type Config struct {
	Self, Members   int
	Voters          int // the members numbered below this decide who leads: one, or better three or five
	Budgets         int
	Floor           Units         // that each member owns of each budget, whatever happens
	LeaseTime       time.Duration // of the lead, and the longest of a grant
	RequestInterval time.Duration // between two asks of a member
	Drift           float64       // of any clock against real time, at most
	Incarnation     uint64        // another one for each start of a process; not 0
}

// Timing gives Every and Term for a fleet of so many members: the one who leads hears each of them once in Every.
func Timing(members int) (every, term time.Duration) {
	every = min(max(time.Duration(members)*time.Millisecond, 200*time.Millisecond), time.Second)
	return every, 5 * every
}

// guard is how long to wait by the own clock until a time that another has measured by its own is surely over.
func (c *Config) guard(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+c.Drift)/(1-c.Drift))) + 1
}

// Node is one member: it asks the one who leads for units beyond its floor, may vote on who leads, and may lead.
//
// Who leads is decided by a lease of a majority of voters, without anything that lasts (after Trencseni, Gazso, Reinhardt:
// PaxosLease, 2012): a voter that has just started is silent until whatever its forerunner may have promised is over. A grant ends,
// by the clock of whoever has it, before the lead under which it was given can pass to another, so that a new leader may begin
// with nothing out and needs to know nothing.
//
// It is not safe for use by more than one goroutine. Time does not go back.
type Node struct {
	cfg  Config
	born time.Duration
	now  time.Duration
	out  []Message
	own  []Message // to itself

	// A voter's.
	promised  Ballot
	holder    Ballot        // of the lead that it has accepted last
	holdUntil time.Duration // by when that is surely over

	// Of one who leads, or tries to.
	top       uint32 // the highest ballot number seen
	ballot    Ballot // of the present attempt
	began     time.Duration
	phase     Kind // Prepare, Propose, or 0: no attempt is on
	yes       uint64
	retryAt   time.Duration
	lead      Ballot
	leadUntil time.Duration
	epoch     uint32
	asks      []asker // by member
	parts     [][]Units
	divided   time.Duration

	// A member's.
	seq    uint32
	sent   [8]stamp // the last asks, by number
	askAt  time.Duration
	leader int // whom to ask; -1: not known
	missed int // asks in a row without a grant
	heard  time.Duration
	held   Message // the last grant that was taken
	end    time.Duration
	need   []Units
	given  uint32 // grants taken
}

type stamp struct {
	seq uint32
	at  time.Duration
}

// asker is what the one who leads knows of a member.
type asker struct {
	life  uint64
	heard time.Duration
	asked bool
	want  []Units
	out   []granted // that may still be used
}

// granted is a grant that is out.
type granted struct {
	life  uint64
	epoch uint32
	units []Units
	until time.Duration // surely over by then
}

// most is how many grants may be out to one member: one that never confirms gets no more.
const most = 8

// NewNode makes a member that starts at a time.
func NewNode(c Config, now time.Duration) *Node {
	n := &Node{cfg: c, born: now, now: now, leader: -1, heard: now, need: make([]Units, c.Budgets),
		askAt: now + time.Duration(float64(c.RequestInterval)*spread(c.Incarnation, 0))}
	n.retryAt = now + c.LeaseTime
	return n
}

// spread is a number in 0 to 1 that differs between processes and rounds.
func spread(life uint64, round uint32) float64 {
	x := (life + uint64(round)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// SetDemand sets what the member would use of each budget beyond its floor.
func (n *Node) SetDemand(units []Units) { copy(n.need, units) }

// Share is what the process may use of a budget.
func (n *Node) Share(budget int) Share {
	s := Share{Floor: n.cfg.Floor, Epoch: n.given}
	if budget < len(n.held.Units) {
		s.Extra, s.Until = n.held.Units[budget], n.end
	}
	return s
}

// IsLeader tells whether this member leads now, Leader whom it takes for the one who does (-1: nobody).
func (n *Node) IsLeader(now time.Duration) bool { return now < n.leadUntil }

// Leader: see Leads.
func (n *Node) Leader() int { return n.leader }

func (n *Node) pool() Units { return Whole - n.cfg.Floor*Units(n.cfg.Members) }

// send puts a message on its way.
func (n *Node) send(m Message) {
	if m.From, m.Incarnation = n.cfg.Self, n.cfg.Incarnation; m.To == n.cfg.Self {
		n.own = append(n.own, m)
	} else {
		n.out = append(n.out, m)
	}
}

// Step takes in what has come up to now and gives what is to be sent. Messages that make no sense are dropped. The result is valid
// until the next Step.
func (n *Node) Step(now time.Duration, in []Message) []Message {
	n.now, n.out = max(n.now, now), n.out[:0]
	for i := range in {
		n.take(&in[i])
	}
	n.try()
	n.ask()
	n.settle()
	return n.out
}

// settle takes in what the node has told itself.
func (n *Node) settle() {
	for len(n.own) > 0 {
		m := n.own[0]
		n.own = n.own[1:]
		n.take(&m)
	}
}

// Wake is when the next Step is due though nothing comes.
func (n *Node) Wake() time.Duration {
	at := n.askAt
	if n.cfg.Self < n.cfg.Voters {
		at = min(at, max(n.retryAt, n.tryFrom()))
	}
	return at
}

func (n *Node) take(m *Message) {
	if m.From < 0 || m.From >= n.cfg.Members || m.To != n.cfg.Self || m.Incarnation == 0 || len(m.Units) > n.cfg.Budgets {
		return
	}
	voter := m.From < n.cfg.Voters
	switch m.Kind {
	case Prepare, Propose:
		if voter && int(m.Ballot.Proposer) == m.From && m.Ballot.Incarnation == m.Incarnation {
			n.vote(m)
		}
	case Promise, Accepted:
		if voter && m.Ballot == n.ballot {
			n.count(m)
		}
	case Nack:
		n.top = max(n.top, m.Ballot.N)
	case Request:
		n.asked(m)
	case Grant:
		n.granted(m)
	case Redirect:
		if m.Leader >= 0 && m.Leader < n.cfg.Members && m.Leader != n.cfg.Self && n.missed > 0 {
			n.leader = m.Leader
		}
	}
}

// vote is a voter's.
func (n *Node) vote(m *Message) {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.born+n.cfg.guard(n.cfg.LeaseTime) {
		return // it may have promised otherwise before it started
	}
	b := m.Ballot
	n.top = max(n.top, b.N)
	switch {
	case b.less(n.promised):
		n.send(Message{Kind: Nack, To: m.From, Ballot: n.promised})
	case m.Kind == Prepare:
		if n.promised == b {
			return // repeated
		}
		n.promised = b
		n.send(Message{Kind: Promise, To: m.From, Ballot: b, Open: n.now >= n.holdUntil || n.holder.same(b)})
	default:
		n.promised, n.holder, n.holdUntil = b, b, n.now+n.cfg.guard(n.cfg.LeaseTime)
		n.send(Message{Kind: Accepted, To: m.From, Ballot: b})
	}
}

// tryFrom is from when on it is time to lead, or to lead on.
func (n *Node) tryFrom() time.Duration {
	if n.now < n.leadUntil {
		return n.leadUntil - n.cfg.LeaseTime/2
	}
	return n.heard + n.cfg.LeaseTime
}

// try begins an attempt at the lead where it is time.
func (n *Node) try() {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.tryFrom() || n.now < n.retryAt {
		return
	}
	n.top++
	n.ballot = Ballot{N: n.top, Proposer: uint16(n.cfg.Self), Incarnation: n.cfg.Incarnation}
	// The lead counts from here, before anyone has heard of it: voters count from later.
	n.began, n.phase, n.yes = n.now, Prepare, 0
	n.retryAt = n.now + n.cfg.RequestInterval
	if n.now >= n.leadUntil { // others may try too: not in step with them
		n.retryAt += time.Duration(float64(n.cfg.LeaseTime) * spread(n.cfg.Incarnation, n.top))
	}
	for v := range n.cfg.Voters {
		n.send(Message{Kind: Prepare, To: v, Ballot: n.ballot})
	}
}

// count takes in a voter's yes to the present attempt.
func (n *Node) count(m *Message) {
	if n.phase == 0 || m.Kind == Promise && (n.phase != Prepare || !m.Open) || m.Kind == Accepted && n.phase != Propose {
		return
	}
	if n.yes |= 1 << m.From; bits.OnesCount64(n.yes) <= n.cfg.Voters/2 {
		return
	}
	n.yes = 0
	if n.phase == Prepare {
		n.phase = Propose
		for v := range n.cfg.Voters {
			n.send(Message{Kind: Propose, To: v, Ballot: n.ballot})
		}
		return
	}
	n.phase = 0
	if n.now >= n.began+n.cfg.LeaseTime {
		return // won too late
	}
	if n.asks == nil {
		n.asks = make([]asker, n.cfg.Members)
	}
	// What it gave out under an earlier lead stays booked until it is surely over: members' clocks may be slower than its own.
	n.lead, n.leadUntil, n.leader = n.ballot, n.began+n.cfg.LeaseTime, n.cfg.Self
}

// ask asks for units where it is time.
func (n *Node) ask() {
	if n.now < n.askAt {
		return
	}
	n.askAt = n.now + n.cfg.RequestInterval
	if n.now < n.leadUntil {
		n.leader = n.cfg.Self
	} else if n.leader == n.cfg.Self || n.missed >= 3 {
		n.leader = -1
	}
	to := n.leader
	if to < 0 { // any voter may know
		to = int(n.seq) % n.cfg.Voters
	}
	n.missed++
	n.seq++
	n.sent[n.seq%uint32(len(n.sent))] = stamp{n.seq, n.now}
	m := Message{Kind: Request, To: to, Seq: n.seq, Units: append([]Units(nil), n.need...)}
	if n.now < n.end {
		m.Ballot, m.Epoch = n.held.Ballot, n.held.Epoch
	}
	n.send(m)
}

// asked answers a member.
func (n *Node) asked(m *Message) {
	if n.now >= n.leadUntil {
		if leader := n.leader; m.From != n.cfg.Self {
			if leader == m.From {
				leader = -1
			}
			n.send(Message{Kind: Redirect, To: m.From, Leader: leader})
		}
		return
	}
	a := &n.asks[m.From]
	a.life, a.heard, a.asked, a.want = m.Incarnation, n.now, true, m.Units
	mine := m.Ballot.same(n.lead)
	keep := a.out[:0]
	for _, g := range a.out {
		// Who holds to a later grant has dropped this one for good; a process that has ended may be a paused one.
		if n.now < g.until && !(mine && g.life == m.Incarnation && g.epoch < m.Epoch) {
			keep = append(keep, g)
		}
	}
	if a.out = keep; len(a.out) >= most {
		return
	}
	n.redivide()
	n.epoch++
	ttl := n.leadUntil - n.now
	g := granted{life: m.Incarnation, epoch: n.epoch, units: make([]Units, n.cfg.Budgets), until: n.now + n.cfg.guard(ttl)}
	for b := range g.units {
		g.units[b] = max(0, min(n.parts[b][m.From], n.pool()-n.outside(b, m.From, m.Incarnation)))
	}
	a.out = append(a.out, g)
	n.send(Message{Kind: Grant, To: m.From, Requester: m.Incarnation, Seq: m.Seq, Ballot: n.lead, Epoch: g.epoch, TTL: ttl, Units: g.units})
}

// outside is what may be in use of a budget by all processes but one.
func (n *Node) outside(budget, member int, life uint64) (sum Units) {
	for i := range n.asks {
		sum += n.asks[i].inUse(n.now, budget, i == member, life)
	}
	return sum
}

// inUse is the most that processes of a member may use of a budget: each holds to one grant, nobody knows which.
func (a *asker) inUse(now time.Duration, budget int, except bool, life uint64) (sum Units) {
	for i, g := range a.out {
		if now >= g.until || except && g.life == life {
			continue
		}
		first := true
		for _, o := range a.out[:i] {
			first = first && (o.life != g.life || now >= o.until)
		}
		if !first {
			continue // its process is counted
		}
		top := g.units[budget]
		for _, o := range a.out[i+1:] {
			if o.life == g.life && now < o.until {
				top = max(top, o.units[budget])
			}
		}
		sum += top
	}
	return sum
}

// redivide works out what each member should have, a few times in Every.
func (n *Node) redivide() {
	if n.parts != nil && n.now < n.divided+n.cfg.RequestInterval/4 {
		return
	}
	n.divided = n.now
	if n.parts == nil {
		n.parts = make([][]Units, n.cfg.Budgets)
		for b := range n.parts {
			n.parts[b] = make([]Units, n.cfg.Members)
		}
	}
	var who []int
	for i := range n.asks {
		if a := &n.asks[i]; a.asked && n.now < a.heard+n.cfg.LeaseTime {
			who = append(who, i)
		}
	}
	want, had := make([]Units, len(who)), make([]Units, len(who))
	for b, parts := range n.parts {
		for k, i := range who {
			want[k], had[k] = 0, parts[i]
			if b < len(n.asks[i].want) {
				want[k] = max(0, min(n.asks[i].want[b], Whole))
			}
		}
		clear(parts)
		for k, x := range divide(n.pool(), want, had) {
			parts[who[k]] = x
		}
	}
}

// granted takes in an answer to an ask.
func (n *Node) granted(m *Message) {
	at := n.sent[m.Seq%uint32(len(n.sent))]
	if m.Requester != n.cfg.Incarnation || at.seq != m.Seq || m.Seq == 0 || m.TTL <= 0 || m.TTL > n.cfg.LeaseTime {
		return
	}
	n.leader, n.missed, n.heard, n.top = m.From, 0, n.now, max(n.top, m.Ballot.N)
	// It counts from when it was asked for, which is before it was given. One grant is held to, and none goes back to an earlier
	// one of the same leader, also when its own is over: the leader may have given that out anew.
	end := at.at + m.TTL
	if end <= n.now || m.Ballot.same(n.held.Ballot) && m.Epoch <= n.held.Epoch {
		return
	}
	n.held, n.end = *m, end
	n.given++
}
