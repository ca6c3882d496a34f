package budget

import (
	"math"
	"math/bits"
	"time"
)

// Ballot numbers an attempt at the lead. Ballots are ordered by N, then By, then Life; a process never makes the same twice.
type Ballot struct {
	N    uint32
	By   uint16
	Life uint64
}

func (b Ballot) less(o Ballot) bool {
	if b.N != o.N {
		return b.N < o.N
	}
	if b.By != o.By {
		return b.By < o.By
	}
	return b.Life < o.Life
}

// sameProcess tells whether two ballots are of one process.
func (b Ballot) sameProcess(o Ballot) bool { return b.By == o.By && b.Life == o.Life }

// Kind says what a Message is for.
type Kind uint8

// The messages, with the fields that count beside From, To and Life.
const (
	Prepare  Kind = iota + 1 // Ballot: who may lead?
	Promise                  // Ballot, Open: no lower ballot from now on; Open: no other's lead is on
	Nack                     // Ballot: a higher one is promised
	Propose                  // Ballot: I lead
	Accepted                 // Ballot
	Ask                      // Seq, Units wanted beyond the floor; Ballot and Epoch of the grant that is held to
	Grant                    // Seq and To's Asker as asked, Ballot, Epoch, TTL, Units
	Redirect                 // Leader: ask there; -1: none is known
	kindEnd
)

// Message is what members tell one another.
type Message struct {
	Kind     Kind
	From, To int
	Life     uint64 // of the process that sends
	Asker    uint64 // Grant: the life that asked
	Ballot   Ballot
	Open     bool
	Seq      uint32
	Epoch    uint32
	TTL      time.Duration
	Leader   int
	Units    []Units // by budget
}

// Config is what a Node must keep to. All members of a fleet have the same, but for Self and Life.
type Config struct {
	Self, Members int
	Voters        int // the members numbered below this decide who leads: one, or better three or five
	Budgets       int
	Floor         Units         // that each member owns of each budget, whatever happens
	Term          time.Duration // of the lead, and the longest of a grant
	Every         time.Duration // between two asks of a member
	Drift         float64       // of any clock against real time, at most
	Life          uint64        // another one for each start of a process; not 0
}

// Pace gives Every and Term for a fleet of so many members: the one who leads hears each of them once in Every.
func Pace(members int) (every, term time.Duration) {
	every = min(max(time.Duration(members)*time.Millisecond, 200*time.Millisecond), time.Second)
	return every, 5 * every
}

// safeWait is how long to wait by the own clock until a time that another has measured by its own is surely over.
func (c *Config) safeWait(d time.Duration) time.Duration {
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
	cfg          Config
	startedAt    time.Duration
	now          time.Duration
	outbox       []Message
	selfMessages []Message // to itself

	// A voter's.
	promised       Ballot
	acceptedBallot Ballot        // of the lead that it has accepted last
	acceptedUntil  time.Duration // by when that is surely over

	// Of one who leads, or tries to.
	maxBallotNumber uint32 // the highest ballot number seen
	ballot          Ballot // of the present attempt
	attemptStart    time.Duration
	phase           Kind // Prepare, Propose, or 0: no attempt is on
	votes           uint64
	retryAt         time.Duration
	leadBallot      Ballot
	leadUntil       time.Duration
	epoch           uint32
	members         []memberState // by member
	parts           [][]Units
	dividedAt       time.Duration

	// A member's.
	seq           uint32
	requests      [8]sentRequest // the last asks, by number
	nextRequestAt time.Duration
	leader        int // whom to ask; -1: not known
	unanswered    int // asks in a row without a grant
	lastGrantAt   time.Duration
	grant         Message // the last grant that was taken
	grantEnd      time.Duration
	demand        []Units
	grantsTaken   uint32 // grants taken
}

type sentRequest struct {
	seq uint32
	at  time.Duration
}

// memberState is what the one who leads knows of a member.
type memberState struct {
	incarnation  uint64
	lastHeard    time.Duration
	hasRequested bool
	demand       []Units
	outstanding  []outstandingGrant // that may still be used
}

// outstandingGrant is a grant that is out.
type outstandingGrant struct {
	incarnation uint64
	epoch       uint32
	units       []Units
	until       time.Duration // surely over by then
}

// maxOutstanding is how many grants may be out to one member: one that never confirms gets no more.
const maxOutstanding = 8

// NewNode makes a member that starts at a time.
func NewNode(c Config, now time.Duration) *Node {
	n := &Node{cfg: c, startedAt: now, now: now, leader: -1, lastGrantAt: now, demand: make([]Units, c.Budgets),
		nextRequestAt: now + time.Duration(float64(c.Every)*jitter(c.Life, 0))}
	n.retryAt = now + c.Term
	return n
}

// jitter is a number in 0 to 1 that differs between processes and rounds.
func jitter(life uint64, round uint32) float64 {
	x := (life + uint64(round)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// Want sets what the member would use of each budget beyond its floor.
func (n *Node) Want(units []Units) { copy(n.demand, units) }

// Share is what the process may use of a budget.
func (n *Node) Share(budget int) Share {
	s := Share{Floor: n.cfg.Floor, Epoch: n.grantsTaken}
	if budget < len(n.grant.Units) {
		s.More, s.Until = n.grant.Units[budget], n.grantEnd
	}
	return s
}

// Leads tells whether this member leads now, Leader whom it takes for the one who does (-1: nobody).
func (n *Node) Leads(now time.Duration) bool { return now < n.leadUntil }

// Leader: see Leads.
func (n *Node) Leader() int { return n.leader }

func (n *Node) pool() Units { return Whole - n.cfg.Floor*Units(n.cfg.Members) }

// send puts a message on its way.
func (n *Node) send(m Message) {
	if m.From, m.Life = n.cfg.Self, n.cfg.Life; m.To == n.cfg.Self {
		n.selfMessages = append(n.selfMessages, m)
	} else {
		n.outbox = append(n.outbox, m)
	}
}

// Step takes in what has come up to now and gives what is to be sent. Messages that make no sense are dropped. The result is valid
// until the next Step.
func (n *Node) Step(now time.Duration, in []Message) []Message {
	n.now, n.outbox = max(n.now, now), n.outbox[:0]
	for i := range in {
		n.handle(&in[i])
	}
	n.tryToLead()
	n.requestUnits()
	n.deliverToSelf()
	return n.outbox
}

// deliverToSelf takes in what the node has told itself.
func (n *Node) deliverToSelf() {
	for len(n.selfMessages) > 0 {
		m := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handle(&m)
	}
}

// Wake is when the next Step is due though nothing comes.
func (n *Node) Wake() time.Duration {
	at := n.nextRequestAt
	if n.cfg.Self < n.cfg.Voters {
		at = min(at, max(n.retryAt, n.nextAttemptAt()))
	}
	return at
}

func (n *Node) handle(m *Message) {
	if m.From < 0 || m.From >= n.cfg.Members || m.To != n.cfg.Self || m.Life == 0 || len(m.Units) > n.cfg.Budgets {
		return
	}
	voter := m.From < n.cfg.Voters
	switch m.Kind {
	case Prepare, Propose:
		if voter && int(m.Ballot.By) == m.From && m.Ballot.Life == m.Life {
			n.handleProposal(m)
		}
	case Promise, Accepted:
		if voter && m.Ballot == n.ballot {
			n.handleVote(m)
		}
	case Nack:
		n.maxBallotNumber = max(n.maxBallotNumber, m.Ballot.N)
	case Ask:
		n.handleRequest(m)
	case Grant:
		n.handleGrant(m)
	case Redirect:
		if m.Leader >= 0 && m.Leader < n.cfg.Members && m.Leader != n.cfg.Self && n.unanswered > 0 {
			n.leader = m.Leader
		}
	}
}

// handleProposal is a voter's.
func (n *Node) handleProposal(m *Message) {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.startedAt+n.cfg.safeWait(n.cfg.Term) {
		return // it may have promised otherwise before it started
	}
	b := m.Ballot
	n.maxBallotNumber = max(n.maxBallotNumber, b.N)
	switch {
	case b.less(n.promised):
		n.send(Message{Kind: Nack, To: m.From, Ballot: n.promised})
	case m.Kind == Prepare:
		if n.promised == b {
			return // repeated
		}
		n.promised = b
		n.send(Message{Kind: Promise, To: m.From, Ballot: b, Open: n.now >= n.acceptedUntil || n.acceptedBallot.sameProcess(b)})
	default:
		n.promised, n.acceptedBallot, n.acceptedUntil = b, b, n.now+n.cfg.safeWait(n.cfg.Term)
		n.send(Message{Kind: Accepted, To: m.From, Ballot: b})
	}
}

// nextAttemptAt is from when on it is time to lead, or to lead on.
func (n *Node) nextAttemptAt() time.Duration {
	if n.now < n.leadUntil {
		return n.leadUntil - n.cfg.Term/2
	}
	return n.lastGrantAt + n.cfg.Term
}

// tryToLead begins an attempt at the lead where it is time.
func (n *Node) tryToLead() {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.nextAttemptAt() || n.now < n.retryAt {
		return
	}
	n.maxBallotNumber++
	n.ballot = Ballot{N: n.maxBallotNumber, By: uint16(n.cfg.Self), Life: n.cfg.Life}
	// The lead counts from here, before anyone has heard of it: voters count from later.
	n.attemptStart, n.phase, n.votes = n.now, Prepare, 0
	n.retryAt = n.now + n.cfg.Every
	if n.now >= n.leadUntil { // others may try too: not in step with them
		n.retryAt += time.Duration(float64(n.cfg.Term) * jitter(n.cfg.Life, n.maxBallotNumber))
	}
	for v := range n.cfg.Voters {
		n.send(Message{Kind: Prepare, To: v, Ballot: n.ballot})
	}
}

// handleVote takes in a voter's yes to the present attempt.
func (n *Node) handleVote(m *Message) {
	if n.phase == 0 || m.Kind == Promise && (n.phase != Prepare || !m.Open) || m.Kind == Accepted && n.phase != Propose {
		return
	}
	if n.votes |= 1 << m.From; bits.OnesCount64(n.votes) <= n.cfg.Voters/2 {
		return
	}
	n.votes = 0
	if n.phase == Prepare {
		n.phase = Propose
		for v := range n.cfg.Voters {
			n.send(Message{Kind: Propose, To: v, Ballot: n.ballot})
		}
		return
	}
	n.phase = 0
	if n.now >= n.attemptStart+n.cfg.Term {
		return // won too late
	}
	if n.members == nil {
		n.members = make([]memberState, n.cfg.Members)
	}
	// What it gave out under an earlier lead stays booked until it is surely over: members' clocks may be slower than its own.
	n.leadBallot, n.leadUntil, n.leader = n.ballot, n.attemptStart+n.cfg.Term, n.cfg.Self
}

// requestUnits asks for units where it is time.
func (n *Node) requestUnits() {
	if n.now < n.nextRequestAt {
		return
	}
	n.nextRequestAt = n.now + n.cfg.Every
	if n.now < n.leadUntil {
		n.leader = n.cfg.Self
	} else if n.leader == n.cfg.Self || n.unanswered >= 3 {
		n.leader = -1
	}
	to := n.leader
	if to < 0 { // any voter may know
		to = int(n.seq) % n.cfg.Voters
	}
	n.unanswered++
	n.seq++
	n.requests[n.seq%uint32(len(n.requests))] = sentRequest{n.seq, n.now}
	m := Message{Kind: Ask, To: to, Seq: n.seq, Units: append([]Units(nil), n.demand...)}
	if n.now < n.grantEnd {
		m.Ballot, m.Epoch = n.grant.Ballot, n.grant.Epoch
	}
	n.send(m)
}

// handleRequest answers a member.
func (n *Node) handleRequest(m *Message) {
	if n.now >= n.leadUntil {
		if leader := n.leader; m.From != n.cfg.Self {
			if leader == m.From {
				leader = -1
			}
			n.send(Message{Kind: Redirect, To: m.From, Leader: leader})
		}
		return
	}
	a := &n.members[m.From]
	a.incarnation, a.lastHeard, a.hasRequested, a.demand = m.Life, n.now, true, m.Units
	mine := m.Ballot.sameProcess(n.leadBallot)
	keep := a.outstanding[:0]
	for _, g := range a.outstanding {
		// Who holds to a later grant has dropped this one for good; a process that has ended may be a paused one.
		if n.now < g.until && !(mine && g.incarnation == m.Life && g.epoch < m.Epoch) {
			keep = append(keep, g)
		}
	}
	if a.outstanding = keep; len(a.outstanding) >= maxOutstanding {
		return
	}
	n.recomputeParts()
	n.epoch++
	ttl := n.leadUntil - n.now
	g := outstandingGrant{incarnation: m.Life, epoch: n.epoch, units: make([]Units, n.cfg.Budgets), until: n.now + n.cfg.safeWait(ttl)}
	for b := range g.units {
		g.units[b] = max(0, min(n.parts[b][m.From], n.pool()-n.inUseByOthers(b, m.From, m.Life)))
	}
	a.outstanding = append(a.outstanding, g)
	n.send(Message{Kind: Grant, To: m.From, Asker: m.Life, Seq: m.Seq, Ballot: n.leadBallot, Epoch: g.epoch, TTL: ttl, Units: g.units})
}

// inUseByOthers is what may be in use of a budget by all processes but one.
func (n *Node) inUseByOthers(budget, member int, life uint64) (sum Units) {
	for i := range n.members {
		sum += n.members[i].maxInUse(n.now, budget, i == member, life)
	}
	return sum
}

// maxInUse is the most that processes of a member may use of a budget: each holds to one grant, nobody knows which.
func (a *memberState) maxInUse(now time.Duration, budget int, except bool, life uint64) (sum Units) {
	for i, g := range a.outstanding {
		if now >= g.until || except && g.incarnation == life {
			continue
		}
		first := true
		for _, o := range a.outstanding[:i] {
			first = first && (o.incarnation != g.incarnation || now >= o.until)
		}
		if !first {
			continue // its process is counted
		}
		top := g.units[budget]
		for _, o := range a.outstanding[i+1:] {
			if o.incarnation == g.incarnation && now < o.until {
				top = max(top, o.units[budget])
			}
		}
		sum += top
	}
	return sum
}

// recomputeParts works out what each member should have, a few times in Every.
func (n *Node) recomputeParts() {
	if n.parts != nil && n.now < n.dividedAt+n.cfg.Every/4 {
		return
	}
	n.dividedAt = n.now
	if n.parts == nil {
		n.parts = make([][]Units, n.cfg.Budgets)
		for b := range n.parts {
			n.parts[b] = make([]Units, n.cfg.Members)
		}
	}
	var who []int
	for i := range n.members {
		if a := &n.members[i]; a.hasRequested && n.now < a.lastHeard+n.cfg.Term {
			who = append(who, i)
		}
	}
	want, had := make([]Units, len(who)), make([]Units, len(who))
	for b, parts := range n.parts {
		for k, i := range who {
			want[k], had[k] = 0, parts[i]
			if b < len(n.members[i].demand) {
				want[k] = max(0, min(n.members[i].demand[b], Whole))
			}
		}
		clear(parts)
		for k, x := range divide(n.pool(), want, had) {
			parts[who[k]] = x
		}
	}
}

// handleGrant takes in an answer to an ask.
func (n *Node) handleGrant(m *Message) {
	at := n.requests[m.Seq%uint32(len(n.requests))]
	if m.Asker != n.cfg.Life || at.seq != m.Seq || m.Seq == 0 || m.TTL <= 0 || m.TTL > n.cfg.Term {
		return
	}
	n.leader, n.unanswered, n.lastGrantAt, n.maxBallotNumber = m.From, 0, n.now, max(n.maxBallotNumber, m.Ballot.N)
	// It counts from when it was asked for, which is before it was given. One grant is held to, and none goes back to an earlier
	// one of the same leader, also when its own is over: the leader may have given that out anew.
	end := at.at + m.TTL
	if end <= n.now || m.Ballot.sameProcess(n.grant.Ballot) && m.Epoch <= n.grant.Epoch {
		return
	}
	n.grant, n.grantEnd = *m, end
	n.grantsTaken++
}
