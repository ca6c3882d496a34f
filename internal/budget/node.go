package budget

import (
	"math"
	"math/bits"
	"time"
)

// Ballot identifies an attempt to become leader. Ballots are ordered by N, then Proposer, then Incarnation. A process never uses one
// twice.
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

// sameProcess reports whether two ballots are of the same process.
func (b Ballot) sameProcess(o Ballot) bool {
	return b.Proposer == o.Proposer && b.Incarnation == o.Incarnation
}

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages, with the fields that they use besides From, To and Incarnation.
const (
	Prepare  Kind = iota + 1 // Ballot: a candidate asks to lead
	Promise                  // Ballot, Open: no lower ballot will be accepted; Open: no other process holds the leader lease
	Nack                     // Ballot: a higher ballot was promised
	Propose                  // Ballot: a candidate claims the leader lease
	Accepted                 // Ballot
	Request                  // Seq, Units wanted beyond the floor; Ballot and Epoch of the present grant
	Grant                    // Seq and Requester as in the request, Ballot, Epoch, TTL, Units
	Redirect                 // Leader: where to send requests; -1: not known
	kindEnd
)

// Message is exchanged between members.
type Message struct {
	Kind        Kind
	From, To    int
	Incarnation uint64 // of the sending process
	Requester   uint64 // Grant: incarnation that sent the request
	Ballot      Ballot
	Open        bool
	Seq         uint32
	Epoch       uint32
	TTL         time.Duration
	Leader      int
	Units       []Units // by budget
}

// Config is the configuration of a Node. All members of a fleet use the same, except for Self and Incarnation.
type Config struct {
	Self, Members   int
	Voters          int // the members with lower numbers elect the leader: one, or better three or five
	Budgets         int
	Floor           Units         // permanent units of each member, of each budget
	LeaseTime       time.Duration // of the leader lease, and the longest of a grant
	RequestInterval time.Duration // between two requests of a member
	Drift           float64       // largest deviation of any clock from real time, as a share
	Incarnation     uint64        // differs for each start of a process; not 0
}

// Timing returns RequestInterval and LeaseTime for a number of members. The leader gets a request from each of them once per interval.
func Timing(members int) (every, term time.Duration) {
	every = min(max(time.Duration(members)*time.Millisecond, 200*time.Millisecond), time.Second)
	return every, 5 * every
}

// safeWait returns the time to wait by this process's clock until a time d measured by any other clock has surely passed.
func (c *Config) safeWait(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+c.Drift)/(1-c.Drift))) + 1
}

// Node is one member. It requests units beyond its floor from the leader. It may vote for leaders, and may become leader.
//
// The leader is elected by a lease from a majority of voters, without stable storage (after Trencseni, Gazso, Reinhardt: PaxosLease,
// 2012): a voter that has just started is silent until all promises of its previous incarnation are surely over. A grant ends, by the
// clock of the member that has it, before the leader lease under which it was given can pass to another process. A new leader may
// therefore assume that no grants are outstanding, and needs no state of the previous one.
//
// It is not safe for concurrent use. Time must not go back.
type Node struct {
	cfg          Config
	startedAt    time.Duration
	now          time.Duration
	outbox       []Message
	selfMessages []Message // addressed to this node

	// State of a voter.
	promised       Ballot
	acceptedBallot Ballot        // of the leader lease that was accepted last
	acceptedUntil  time.Duration // when that lease has surely ended

	// State of a leader or candidate.
	maxBallotNumber uint32 // the highest ballot number seen
	ballot          Ballot // of the present attempt
	attemptStart    time.Duration
	phase           Kind // Prepare, Propose, or 0: no attempt in progress
	votes           uint64
	retryAt         time.Duration
	leadBallot      Ballot
	leadUntil       time.Duration
	epoch           uint32
	members         []memberState // by number of the member
	parts           [][]Units
	dividedAt       time.Duration

	// State of a member.
	seq           uint32
	requests      [8]sentRequest // the last requests, by sequence number
	nextRequestAt time.Duration
	leader        int // where to send requests; -1: not known
	unanswered    int // requests in a row without a grant
	lastGrantAt   time.Duration
	grant         Message // the present grant
	grantEnd      time.Duration
	demand        []Units
	grantsTaken   uint32
}

type sentRequest struct {
	seq uint32
	at  time.Duration
}

// memberState is a member as the leader knows it.
type memberState struct {
	incarnation  uint64
	lastHeard    time.Duration
	hasRequested bool
	demand       []Units
	outstanding  []outstandingGrant // grants that may still be used
}

// outstandingGrant is a grant that may still be used.
type outstandingGrant struct {
	incarnation uint64
	epoch       uint32
	units       []Units
	until       time.Duration // when it has surely ended
}

// maxOutstanding is the number of grants that may be outstanding for one member. A member that never confirms gets no more.
const maxOutstanding = 8

// NewNode returns a member that starts at a time.
func NewNode(c Config, now time.Duration) *Node {
	n := &Node{cfg: c, startedAt: now, now: now, leader: -1, lastGrantAt: now, demand: make([]Units, c.Budgets),
		nextRequestAt: now + time.Duration(float64(c.RequestInterval)*jitter(c.Incarnation, 0))}
	n.retryAt = now + c.LeaseTime
	return n
}

// jitter returns a number from 0 to 1 that differs between processes and rounds.
func jitter(incarnation uint64, round uint32) float64 {
	x := (incarnation + uint64(round)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// SetDemand sets the units of each budget that the member could use beyond its floor.
func (n *Node) SetDemand(units []Units) { copy(n.demand, units) }

// Share returns what the process may use of a budget.
func (n *Node) Share(budget int) Share {
	s := Share{Floor: n.cfg.Floor, Epoch: n.grantsTaken}
	if budget < len(n.grant.Units) {
		s.Extra, s.Until = n.grant.Units[budget], n.grantEnd
	}
	return s
}

// IsLeader reports whether this member is the leader at a time.
func (n *Node) IsLeader(now time.Duration) bool { return now < n.leadUntil }

// Leader returns the member that this one takes for the leader; -1: not known.
func (n *Node) Leader() int { return n.leader }

func (n *Node) pool() Units { return Whole - n.cfg.Floor*Units(n.cfg.Members) }

// send queues a message.
func (n *Node) send(m Message) {
	if m.From, m.Incarnation = n.cfg.Self, n.cfg.Incarnation; m.To == n.cfg.Self {
		n.selfMessages = append(n.selfMessages, m)
	} else {
		n.outbox = append(n.outbox, m)
	}
}

// Step processes the messages received up to now and returns the messages to send. Invalid messages are dropped. The result is valid
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

// deliverToSelf processes the messages that the node has sent to itself.
func (n *Node) deliverToSelf() {
	for len(n.selfMessages) > 0 {
		m := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handle(&m)
	}
}

// Wake returns the time at which the next Step is due if no message arrives before.
func (n *Node) Wake() time.Duration {
	at := n.nextRequestAt
	if n.cfg.Self < n.cfg.Voters {
		at = min(at, max(n.retryAt, n.nextAttemptAt()))
	}
	return at
}

func (n *Node) handle(m *Message) {
	if m.From < 0 || m.From >= n.cfg.Members || m.To != n.cfg.Self || m.Incarnation == 0 || len(m.Units) > n.cfg.Budgets {
		return
	}
	voter := m.From < n.cfg.Voters
	switch m.Kind {
	case Prepare, Propose:
		if voter && int(m.Ballot.Proposer) == m.From && m.Ballot.Incarnation == m.Incarnation {
			n.handleProposal(m)
		}
	case Promise, Accepted:
		if voter && m.Ballot == n.ballot {
			n.handleVote(m)
		}
	case Nack:
		n.maxBallotNumber = max(n.maxBallotNumber, m.Ballot.N)
	case Request:
		n.handleRequest(m)
	case Grant:
		n.handleGrant(m)
	case Redirect:
		if m.Leader >= 0 && m.Leader < n.cfg.Members && m.Leader != n.cfg.Self && n.unanswered > 0 {
			n.leader = m.Leader
		}
	}
}

// handleProposal answers a candidate, if this member is a voter.
func (n *Node) handleProposal(m *Message) {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.startedAt+n.cfg.safeWait(n.cfg.LeaseTime) {
		return // an earlier incarnation may have promised something else
	}
	b := m.Ballot
	n.maxBallotNumber = max(n.maxBallotNumber, b.N)
	switch {
	case b.less(n.promised):
		n.send(Message{Kind: Nack, To: m.From, Ballot: n.promised})
	case m.Kind == Prepare:
		if n.promised == b {
			return // a repeated message
		}
		n.promised = b
		n.send(Message{Kind: Promise, To: m.From, Ballot: b, Open: n.now >= n.acceptedUntil || n.acceptedBallot.sameProcess(b)})
	default:
		n.promised, n.acceptedBallot, n.acceptedUntil = b, b, n.now+n.cfg.safeWait(n.cfg.LeaseTime)
		n.send(Message{Kind: Accepted, To: m.From, Ballot: b})
	}
}

// nextAttemptAt returns when to start an election, or to renew the leader lease.
func (n *Node) nextAttemptAt() time.Duration {
	if n.now < n.leadUntil {
		return n.leadUntil - n.cfg.LeaseTime/2
	}
	return n.lastGrantAt + n.cfg.LeaseTime
}

// tryToLead starts an attempt to become or remain leader, if it is time.
func (n *Node) tryToLead() {
	if n.cfg.Self >= n.cfg.Voters || n.now < n.nextAttemptAt() || n.now < n.retryAt {
		return
	}
	n.maxBallotNumber++
	n.ballot = Ballot{N: n.maxBallotNumber, Proposer: uint16(n.cfg.Self), Incarnation: n.cfg.Incarnation}
	// The lease counts from here, before any voter has the message: voters count from later.
	n.attemptStart, n.phase, n.votes = n.now, Prepare, 0
	n.retryAt = n.now + n.cfg.RequestInterval
	if n.now >= n.leadUntil { // random delay, since other voters may try at the same time
		n.retryAt += time.Duration(float64(n.cfg.LeaseTime) * jitter(n.cfg.Incarnation, n.maxBallotNumber))
	}
	for v := range n.cfg.Voters {
		n.send(Message{Kind: Prepare, To: v, Ballot: n.ballot})
	}
}

// handleVote processes a voter's agreement to the present attempt.
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
	if n.now >= n.attemptStart+n.cfg.LeaseTime {
		return // the attempt took too long
	}
	if n.members == nil {
		n.members = make([]memberState, n.cfg.Members)
	}
	// Grants under an earlier lease stay recorded until they have surely ended: members' clocks may be slower than this one's.
	n.leadBallot, n.leadUntil, n.leader = n.ballot, n.attemptStart+n.cfg.LeaseTime, n.cfg.Self
}

// requestUnits sends a request for units, if it is time.
func (n *Node) requestUnits() {
	if n.now < n.nextRequestAt {
		return
	}
	n.nextRequestAt = n.now + n.cfg.RequestInterval
	if n.now < n.leadUntil {
		n.leader = n.cfg.Self
	} else if n.leader == n.cfg.Self || n.unanswered >= 3 {
		n.leader = -1
	}
	to := n.leader
	if to < 0 { // any voter may know the leader
		to = int(n.seq) % n.cfg.Voters
	}
	n.unanswered++
	n.seq++
	n.requests[n.seq%uint32(len(n.requests))] = sentRequest{n.seq, n.now}
	m := Message{Kind: Request, To: to, Seq: n.seq, Units: append([]Units(nil), n.demand...)}
	if n.now < n.grantEnd {
		m.Ballot, m.Epoch = n.grant.Ballot, n.grant.Epoch
	}
	n.send(m)
}

// handleRequest answers a member's request.
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
	a.incarnation, a.lastHeard, a.hasRequested, a.demand = m.Incarnation, n.now, true, m.Units
	ownLease := m.Ballot.sameProcess(n.leadBallot)
	keep := a.outstanding[:0]
	for _, g := range a.outstanding {
		// A process that has a later grant never uses this one again. A process that seems to have ended may only be paused.
		if n.now < g.until && !(ownLease && g.incarnation == m.Incarnation && g.epoch < m.Epoch) {
			keep = append(keep, g)
		}
	}
	if a.outstanding = keep; len(a.outstanding) >= maxOutstanding {
		return
	}
	n.recomputeParts()
	n.epoch++
	ttl := n.leadUntil - n.now
	g := outstandingGrant{incarnation: m.Incarnation, epoch: n.epoch, units: make([]Units, n.cfg.Budgets), until: n.now + n.cfg.safeWait(ttl)}
	for b := range g.units {
		g.units[b] = max(0, min(n.parts[b][m.From], n.pool()-n.inUseByOthers(b, m.From, m.Incarnation)))
	}
	a.outstanding = append(a.outstanding, g)
	n.send(Message{Kind: Grant, To: m.From, Requester: m.Incarnation, Seq: m.Seq, Ballot: n.leadBallot, Epoch: g.epoch, TTL: ttl, Units: g.units})
}

// inUseByOthers returns the units of a budget that all processes but one may use.
func (n *Node) inUseByOthers(budget, member int, incarnation uint64) (sum Units) {
	for i := range n.members {
		sum += n.members[i].maxInUse(n.now, budget, i == member, incarnation)
	}
	return sum
}

// maxInUse returns the most units of a budget that processes of a member may use. Each process uses one of its grants, but which one
// is not known.
func (a *memberState) maxInUse(now time.Duration, budget int, excluded bool, incarnation uint64) (sum Units) {
	for i, g := range a.outstanding {
		if now >= g.until || excluded && g.incarnation == incarnation {
			continue
		}
		first := true
		for _, o := range a.outstanding[:i] {
			first = first && (o.incarnation != g.incarnation || now >= o.until)
		}
		if !first {
			continue // this process has been counted
		}
		largest := g.units[budget]
		for _, o := range a.outstanding[i+1:] {
			if o.incarnation == g.incarnation && now < o.until {
				largest = max(largest, o.units[budget])
			}
		}
		sum += largest
	}
	return sum
}

// recomputeParts computes the part of each member, at most four times in a RequestInterval.
func (n *Node) recomputeParts() {
	if n.parts != nil && n.now < n.dividedAt+n.cfg.RequestInterval/4 {
		return
	}
	n.dividedAt = n.now
	if n.parts == nil {
		n.parts = make([][]Units, n.cfg.Budgets)
		for b := range n.parts {
			n.parts[b] = make([]Units, n.cfg.Members)
		}
	}
	var active []int
	for i := range n.members {
		if a := &n.members[i]; a.hasRequested && n.now < a.lastHeard+n.cfg.LeaseTime {
			active = append(active, i)
		}
	}
	want, current := make([]Units, len(active)), make([]Units, len(active))
	for b, parts := range n.parts {
		for k, i := range active {
			want[k], current[k] = 0, parts[i]
			if b < len(n.members[i].demand) {
				want[k] = max(0, min(n.members[i].demand[b], Whole))
			}
		}
		clear(parts)
		for k, x := range divide(n.pool(), want, current) {
			parts[active[k]] = x
		}
	}
}

// handleGrant processes the answer to a request.
func (n *Node) handleGrant(m *Message) {
	at := n.requests[m.Seq%uint32(len(n.requests))]
	if m.Requester != n.cfg.Incarnation || at.seq != m.Seq || m.Seq == 0 || m.TTL <= 0 || m.TTL > n.cfg.LeaseTime {
		return
	}
	n.leader, n.unanswered, n.lastGrantAt, n.maxBallotNumber = m.From, 0, n.now, max(n.maxBallotNumber, m.Ballot.N)
	// The grant counts from when it was requested, which is before it was given. A member never goes back to an earlier grant of the
	// same leader, even if its present one has ended: the leader may have given those units to others.
	end := at.at + m.TTL
	if end <= n.now || m.Ballot.sameProcess(n.grant.Ballot) && m.Epoch <= n.grant.Epoch {
		return
	}
	n.grant, n.grantEnd = *m, end
	n.grantsTaken++
}
