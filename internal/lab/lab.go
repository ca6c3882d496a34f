package lab

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/scenario"
	"gaugeslip/internal/sites"
	"gaugeslip/policy"
)

// epoch is the lab's start on the dispatchers' clock, which is Unix time.
const epoch = 1_700_000_000 * time.Second

const (
	probeTimeout = 500 * time.Millisecond
	probeWork    = 75 * time.Microsecond
	shakeWork    = time.Millisecond
	failFast     = 10 * time.Millisecond // until a host fails a job that it fails at once
	served       = 700 * time.Millisecond
	killAfter    = 3700 * time.Millisecond // of SIGTERM
	startsIn     = 100 * time.Millisecond
	noticeLeast  = 1700 * time.Millisecond // until the front notices that a dispatcher is gone
	noticeMost   = 3900 * time.Millisecond
	dealtAfter   = 1400 * time.Millisecond // of its start a dispatcher is dealt out again
	window       = 5 * time.Second         // of the report
)

// order is what a client wants done; it may take some tries.
type order struct {
	key         uint64 // of what it concerns
	class, room int
	size, hint  time.Duration
	first       time.Duration
	tries       int
	over        bool
	worth       float64
	wait        *dispatch.Wait // nil: it is fresh
	sent        time.Duration  // its last send
	ran         bool           // to its end, somewhere
}

// try is one request of a client.
type try struct {
	id       uint64
	order    *order
	node     int
	life     int
	deadline time.Duration
	answered bool
}

// send is one upstream request.
type send struct {
	id   uint64
	key  dispatch.Key
	try  *try
	node int
	life int
	host int
	over bool // its dispatcher has heard its outcome
	gone bool // it does not reach its host, or nothing comes back
}

// node is one dispatcher.
type node struct {
	chain     *dispatch.Chain
	life      int  // rises with each start
	up, dealt bool // it runs; the front sends clients there
	stopping  time.Duration
	open      map[uint64]*try
	inbox     []dispatch.Message
	dirty     bool
	wakeAt    time.Duration
	watching  bool
	room      int
	known     []dispatch.Host // as it last had it
	idle      []uint16        // connections by host
	steps     int
}

// Lab is one run of a scenario.
type Lab struct {
	sc     *Scenario
	seed   uint64
	now    time.Duration
	cal    calendar
	nodes  []*node
	hosts  []*fleet.Host
	byAdr  map[string]int
	list   []dispatch.Host
	seq    uint64 // the list's version
	wake   []time.Duration
	dirty  []int
	sends  map[uint64]*send
	next   uint64
	orders uint64
	lost   float64 // share of sends that are lost on the way; troubles set it
	reset  float64 // share that is reset
	heavy  map[int]Trouble
	hit    [][]int // by trouble, the hosts that it meets
	late   time.Duration
	down   bool      // the list's service is
	surge  float64   // of the load, against the scenario's
	secs   []tally   // by the second in which it was asked for
	rooms  [][]tally // likewise, by the room of who asked
	cut    []int     // by room: the troubles that leave it no way to others
	deaf   []int     // by room: those that leave it no way to discovery

	arrivals, sizes, chance *rand.Rand
	hints                   distuv.LogNormal
	check                   *check.Checker
	digest                  *xxhash.Digest
	record                  [32]byte
	rep                     Report
	work                    Work // in seconds
	cls                     []classTally
	events                  uint64
	wall                    time.Duration
	ideal                   []lane // not nil: no dispatcher decides
}

type tally struct{ asked, inTime float64 }

type classTally struct {
	tally
	jobs, served int
}

// New prepares a run; check false leaves the rules unchecked, for speed.
func New(sc *Scenario, seed uint64, checked bool) (*Lab, error) {
	l := &Lab{sc: sc, seed: seed, now: epoch, surge: 1, byAdr: map[string]int{}, sends: map[uint64]*send{}, heavy: map[int]Trouble{},
		arrivals: rand.New(rand.NewPCG(seed, 1)), sizes: rand.New(rand.NewPCG(seed, 2)),
		chance: rand.New(rand.NewPCG(seed, 3)), digest: xxhash.New(), cls: make([]classTally, len(sc.Classes)), late: sc.World.listLate}
	l.hints = distuv.LogNormal{Sigma: sc.Clients.HintSigma, Src: l.sizes}
	w := sc.World
	if checked {
		rules := check.Rules{AnswerGrace: 58 * time.Millisecond, DrainGrace: 3050 * time.Millisecond,
			TipMultiple: w.Tip, OverloadFor: w.overloadFor, Slack: 0.1}
		if o := sc.Overload; o != nil {
			rules.Repeats = o.lim.Repeats
		}
		l.check = check.New(rules)
	}
	p := fleet.Params{Queue: w.Queue, ColdFrom: w.ColdFrom, WarmUp: w.warmUp, TipMultiple: w.Tip, OverloadFor: w.overloadFor,
		ReportEvery: w.reportEvery, Progress: w.progress, ProbeWork: probeWork, MaxConns: w.MaxConns,
		HandshakeOf: shakeWork}
	for kind, hs := range sc.Hosts {
		for range hs.Count {
			i := len(l.hosts)
			name := fmt.Sprintf("s-%08x", uint32(i+1)*2654435761)
			h := fleet.NewHost(name, kind, i%sc.Rooms, hs.Lanes, hs.Speed, p, l.chance.Float64)
			if w.StartCold {
				h.Kill(epoch)
				h.Start(epoch)
			}
			l.hosts = append(l.hosts, h)
			addr := fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255)
			l.byAdr[addr] = i
			l.list = append(l.list, dispatch.Host{Name: name, Addr: addr, Zone: h.Room, Kind: kind, Scale: float64(hs.Lanes) * hs.Speed,
				Born: h.Born()})
		}
	}
	l.wake = make([]time.Duration, len(l.hosts))
	l.seq = 1
	for i := range sc.Dispatchers {
		l.nodes = append(l.nodes, &node{room: i % sc.Rooms, known: slices.Clone(l.list), idle: make([]uint16, len(l.hosts))})
		if err := l.start(i); err != nil {
			return nil, err
		}
		l.nodes[i].dealt = true
	}
	l.hit = make([][]int, len(sc.Troubles))
	l.cut, l.deaf = make([]int, sc.Rooms), make([]int, sc.Rooms)
	for i, t := range sc.Troubles {
		l.cal.push(event{at: epoch + t.at, kind: begins, a: int32(i)})
		l.cal.push(event{at: epoch + t.at + t.length, kind: ends, a: int32(i)})
	}
	for room := range sc.Rooms {
		l.nextArrival(room)
	}
	l.secs = make([]tally, int(sc.length/time.Second)+1)
	for range sc.Rooms {
		l.rooms = append(l.rooms, make([]tally, len(l.secs)))
	}
	return l, nil
}

// start begins a dispatcher's life.
func (l *Lab) start(i int) error {
	n := l.nodes[i]
	core, err := dispatch.New(l.sc.config(i), l.seed<<16+uint64(i)<<8+uint64(n.life))
	if err != nil {
		return err
	}
	var gate *dispatch.WaitingGate
	if w := l.sc.Waiting; w != nil {
		gate = dispatch.NewWaitingGate(w.lim, l.sc.config(i))
	}
	var shed *dispatch.ShedGate
	if o := l.sc.Overload; o != nil && o.lim.Shed {
		if shed, err = dispatch.NewShedGate(o.lim, l.sc.config(i)); err != nil {
			return err
		}
	}
	n.chain, n.up, n.watching, n.open, n.inbox, n.wakeAt = dispatch.NewChain(core, dispatch.Gates{Waiting: gate, Shed: shed, Sites: l.sitesGate(i)}), true, false, map[uint64]*try{}, nil, 0
	n.stopping = 0
	clear(n.idle)
	l.tell(i, dispatch.Listed{Version: 0, Whole: true, Stale: true, Hosts: slices.Clone(n.known)})
	return nil
}

// sitesGate is a dispatcher's; nil: the scenario has none.
func (l *Lab) sitesGate(i int) *dispatch.SitesGate {
	if !l.sc.Sites {
		return nil
	}
	var order []int
	for k := range l.sc.Classes {
		order = append(order, k)
	}
	return dispatch.NewSitesGate(sites.Defaults(), l.sc.config(i), nil, order, 0)
}

// tell puts a message into a dispatcher's inbox.
func (l *Lab) tell(i int, m dispatch.Message) {
	n := l.nodes[i]
	if n.inbox = append(n.inbox, m); !n.dirty {
		n.dirty = true
		l.dirty = append(l.dirty, i)
	}
}

// Run plays the day until its end and until all is answered, or until ctx ends.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	_, err := l.Advance(ctx, l.sc.length+24*time.Hour)
	return l.Report(), err
}

// Advance plays the day up to a time since its begin. True: all is over. When ctx ends so does it.
func (l *Lab) Advance(ctx context.Context, to time.Duration) (over bool, err error) {
	began := time.Now()
	defer func() { l.wall += time.Since(began) }()
	until := epoch + l.sc.length
	longest := time.Duration(0)
	for _, k := range l.sc.Classes {
		longest = max(longest, k.Wait)
	}
	until += 2 * longest
	if w := l.sc.Waiting; w != nil {
		until += w.delay + 2*w.lim.DefaultDue
	}
	for n := 0; len(l.cal.list) > 0 || len(l.dirty) > 0; n++ {
		if n&0xffff == 0 && ctx.Err() != nil {
			return true, ctx.Err()
		}
		if len(l.dirty) > 0 && (len(l.cal.list) == 0 || l.cal.list[0].at > l.now) {
			l.stepAll()
			continue
		}
		if l.cal.list[0].at > until {
			return true, nil
		}
		if l.cal.list[0].at > epoch+to {
			return false, nil
		}
		e := l.cal.pop()
		l.now = e.at
		l.events++
		l.note(e.kind, uint64(uint32(e.a))<<32|uint64(uint32(e.b)))
		if err := l.do(&e); err != nil {
			return true, err
		}
	}
	return true, nil
}

// note adds to the digest.
func (l *Lab) note(kind eventKind, what uint64) {
	binary.LittleEndian.PutUint64(l.record[:], uint64(l.now))
	binary.LittleEndian.PutUint64(l.record[8:], uint64(kind))
	binary.LittleEndian.PutUint64(l.record[16:], what)
	l.digest.Write(l.record[:24])
}

func (l *Lab) see(e check.Event) {
	if l.check != nil {
		e.At = l.now
		l.check.See(e)
	}
}

func (l *Lab) do(e *event) error {
	switch e.kind {
	case arrives:
		l.arrive(int(e.a))
	case tries:
		l.try(e.try)
	case reaches:
		l.reach(e.send)
	case hostActs:
		if l.wake[e.a] == e.at {
			l.wake[e.a] = 0
			l.act(int(e.a))
		}
	case toNode:
		if n := l.nodes[e.a]; n.up && n.life == int(e.b) && (e.send == nil || !l.apart(n.room, l.hosts[e.send.host].Room)) {
			l.deliver(int(e.a), e)
		}
	case comesBack:
		if s := e.send; s.gone || !l.apart(l.nodes[s.node].room, l.hosts[s.host].Room) { // else it is never heard
			l.outcome(s, policy.Result(e.a))
		}
	case givesUp:
		l.outcome(e.send, policy.TimedOut)
	case wakes:
		if n := l.nodes[e.a]; n.up && n.life == int(e.b) && n.wakeAt == e.at {
			n.wakeAt = 0
			if !n.dirty {
				n.dirty = true
				l.dirty = append(l.dirty, int(e.a))
			}
		}
	case probes:
		l.probe(int(e.a), int(e.b), e)
	case begins, ends:
		l.trouble(int(e.a), e.kind == begins)
	case lists:
		l.publish(int(e.a), policy.State(e.b))
	case stops:
		n := l.nodes[e.a]
		n.stopping = l.now
		l.cal.push(event{at: l.now + 300*time.Millisecond, kind: dies, a: e.a, b: -1})
		l.cal.push(event{at: l.now + killAfter, kind: dies, a: e.a, b: int32(n.life)})
	case dies:
		if n := l.nodes[e.a]; e.b < 0 { // clients are dealt to others
			n.dealt = n.dealt && e.b == -2 && n.up // it is back before the front has noticed
			return nil
		}
		l.die(int(e.a))
	case returns:
		l.nodes[e.a].life++
		l.cal.push(event{at: l.now + dealtAfter, kind: readies, a: e.a})
		return l.start(int(e.a))
	case readies:
		l.nodes[e.a].dealt = true
	}
	return nil
}

// stepAll lets all dispatchers that have news, or wanted to wake, decide.
func (l *Lab) stepAll() {
	list := l.dirty
	l.dirty = nil
	for _, i := range list {
		n := l.nodes[i]
		n.dirty = false
		if !n.up {
			continue
		}
		in := n.inbox
		n.inbox = nil
		n.steps++
		for _, c := range n.chain.Step(l.now, in) {
			l.carry(i, c)
		}
		if n.inbox == nil {
			n.inbox = in[:0]
		}
		if at, ok := n.chain.Wake(); ok && (n.wakeAt == 0 || at < n.wakeAt) {
			n.wakeAt = max(at, l.now+1)
			l.cal.push(event{at: n.wakeAt, kind: wakes, a: int32(i), b: int32(n.life)})
		}
	}
}

// delay is one way between rooms.
func (l *Lab) delay(a, b int) time.Duration {
	if a == b {
		return l.sc.delay / 10
	}
	return l.sc.delay
}

// nextArrival plans the next client of a room: a Poisson process, in bursts where the scenario says so.
func (l *Lab) nextArrival(room int) {
	rate := l.sc.rate() * l.sc.shareOf(room) * l.surge
	if b := l.sc.Clients.Burst; b > 1 {
		if int((l.now-epoch)/time.Second)%10 == 9 {
			rate *= b
		} else {
			rate *= (10 - b) / 9
		}
	}
	at := l.now + time.Duration(l.arrivals.ExpFloat64()/max(rate, 1e-9)*1e9)
	if at < epoch+l.sc.length {
		l.cal.push(event{at: at, kind: arrives, a: int32(room)})
	}
}

func (l *Lab) arrive(room int) {
	l.nextArrival(room)
	o := l.draw(room)
	o.worth = l.sc.Classes[o.class].Worth * o.size.Seconds()
	k := &l.cls[o.class]
	k.asked += o.worth
	k.jobs++
	l.book(o, o.worth, 0)
	l.attempt(o, l.now)
	if w := l.sc.Waiting; w != nil && l.sizes.Float64() < w.Part {
		o := l.draw(room)
		o.wait = &dispatch.Wait{Detached: true, NotBefore: time.Duration(l.sizes.Float64() * float64(w.delay))}
		l.rep.Waiting++
		l.attempt(o, l.now)
	}
}

// draw makes an order.
func (l *Lab) draw(room int) *order {
	k := scenario.Choose(l.sc.Classes, l.arrivals.Float64())
	size := l.sc.Classes[k].Size(l.sizes)
	l.orders++
	o := &order{key: l.orders, class: k, room: room, first: l.now, size: time.Duration(size)}
	o.hint = time.Duration(size * l.hints.Rand())
	if t, ok := l.heavy[k]; ok && l.chance.Float64() < t.Share {
		o.size = time.Duration(float64(o.size) * t.Times)
	}
	o.size, o.hint = max(o.size, time.Millisecond), max(o.hint, time.Millisecond)
	return o
}

// attempt sends a client's next try through the front to a dispatcher of its room, or of any where none is there.
func (l *Lab) attempt(o *order, at time.Duration) {
	l.next++
	l.cal.push(event{at: at, kind: tries, try: &try{id: l.next, order: o}})
}

func (l *Lab) try(t *try) {
	o := t.order
	o.tries++
	c := &l.sc.Classes[o.class]
	if l.ideal != nil {
		l.assign(o)
		return
	}
	var there []int
	for _, same := range []bool{true, false} {
		for i, n := range l.nodes {
			if n.dealt && (n.room == o.room || !same) {
				there = append(there, i)
			}
		}
		if len(there) > 0 {
			break
		}
	}
	left := o.first + c.Wait - l.now
	if len(there) == 0 || left <= 0 {
		if o.wait != nil {
			l.rep.WaitingLost++
			return
		}
		l.rep.Unreached++
		l.again(o, 0, true)
		return
	}
	t.node = there[l.arrivals.IntN(len(there))]
	n := l.nodes[t.node]
	if !n.up { // the front has not noticed yet
		l.rep.Unreached++
		l.again(o, 0, true)
		return
	}
	t.life, t.deadline = n.life, l.now+left
	m := dispatch.Arrived{Job: t.id, Class: o.class, Tenant: -1, At: l.now, Budget: left, Size: o.hint, Slots: 1,
		Retry: o.tries > 1, Key: o.key, Keyed: !l.sc.Clients.Keyless}
	if l.sc.Clients.Keyless {
		m.Key = t.id
	}
	if l.sc.Waiting != nil {
		m.Name, m.Wait = strconv.FormatUint(t.id, 16), o.wait
	}
	if o.wait != nil { // twice its due time once it may run, and then it runs
		t.deadline += o.wait.NotBefore + 2*l.sc.Waiting.lim.DefaultDue
	}
	n.open[t.id] = t
	l.see(check.Event{Kind: check.Taken, Job: t.id, Node: t.node, Unsafe: c.Once, Deadline: t.deadline})
	l.tell(t.node, m)
}

// again has a client try once more, where it does so.
func (l *Lab) again(o *order, advice time.Duration, harmless bool) {
	cl := l.sc.Clients
	c := &l.sc.Classes[o.class]
	if o.over || o.wait != nil || o.tries > cl.Retries || cl.After == "" || cl.After == "none" || c.Once && !harmless {
		return
	}
	at := l.now + time.Millisecond
	if cl.After == "wait" {
		at = l.now + max(advice, time.Second)
	}
	if at < o.first+c.Wait {
		l.rep.Retries++
		l.attempt(o, at)
	}
}

// carry does what a dispatcher says.
func (l *Lab) carry(i int, c dispatch.Command) {
	n := l.nodes[i]
	switch c := c.(type) {
	case dispatch.Send:
		l.send(i, c)
	case dispatch.CancelSend:
		if s := l.sends[sendID(c.Key)]; s != nil && s.node == i {
			l.hosts[s.host].Drop(l.now, s.id)
			l.plan(s.host)
			l.outcome(s, policy.Cancelled)
		}
	case dispatch.LocalReply:
		t := n.open[c.Job]
		if t == nil {
			return
		}
		answer := check.Failed
		if c.Refused {
			answer = check.Refused
		}
		switch {
		case t.order.wait != nil:
			l.rep.WaitingLost++
		case c.Refused:
			l.rep.Refused++
		default:
			l.rep.Failed++
		}
		l.answer(t, answer)
		l.again(t.order, c.RetryAfter, c.Refused)
	case dispatch.Probe:
		h := l.byAdr[c.Addr]
		l.rep.Probes++
		l.cal.push(event{at: l.now + l.delay(n.room, l.hosts[h].Room), kind: probes, a: int32(i), b: int32(h),
			msg: dispatch.Probed{Worker: c.Worker, Took: l.now}})
	case dispatch.Watch:
		if l.down || l.deaf[n.room] > 0 {
			l.later(i, 250*time.Millisecond, dispatch.ListLost{})
			return
		}
		n.watching = true
		l.later(i, 2*l.sc.delay+time.Millisecond, dispatch.Listed{Version: l.seq, Whole: true, Hosts: slices.Clone(l.list)})
	}
}

// later delivers a message to a dispatcher after a while, if it still lives.
func (l *Lab) later(i int, after time.Duration, m dispatch.Message) {
	l.cal.push(event{at: l.now + after, kind: toNode, a: int32(i), b: int32(l.nodes[i].life), msg: m})
}

// deliver hands a message over, with what is known only when it comes.
func (l *Lab) deliver(i int, e *event) {
	n := l.nodes[i]
	switch m := e.msg.(type) {
	case dispatch.Listed:
		if m.Whole {
			n.known = slices.Clone(m.Hosts)
		}
		for _, h := range m.Hosts {
			k := check.Untold
			if h.State != policy.Ready {
				k = check.Told
			}
			l.see(check.Event{Kind: k, Node: i, Host: l.byAdr[h.Addr]})
			if h.Born == l.hosts[l.byAdr[h.Addr]].Born() {
				l.see(check.Event{Kind: check.Knows, Node: i, Host: l.byAdr[h.Addr]})
			}
			if !m.Whole {
				for j := range n.known {
					if n.known[j].Name == h.Name {
						n.known[j] = h
					}
				}
			}
		}
	case dispatch.ListLost:
		n.watching = false
	}
	l.tell(i, e.msg)
}

// sendID names a send: a try has few.
func sendID(k dispatch.Key) uint64 { return k.Job<<8 | uint64(k.Attempt&255) }

func (l *Lab) send(i int, c dispatch.Send) {
	n := l.nodes[i]
	t := n.open[c.Job]
	h := l.byAdr[c.Addr]
	s := &send{id: sendID(c.Key), key: c.Key, try: t, node: i, life: n.life, host: h}
	l.sends[s.id] = s
	l.see(check.Event{Kind: check.Sent, Job: c.Job, Attempt: c.Attempt, Node: i, Host: h})
	l.rep.Sends++
	t.order.sent = l.now
	if l.hosts[h].Room != n.room {
		l.rep.Crossed++
	}
	way := l.delay(n.room, l.hosts[h].Room)
	apart := l.apart(n.room, l.hosts[h].Room)
	if n.idle[h] > 0 {
		n.idle[h]--
	} else if apart { // it never comes up
		s.gone = true
		l.back(s, l.sc.config(i).ConnectTimeout, policy.ConnectFailed)
		return
	} else {
		l.rep.Handshakes++
		way *= 3 // there and back before it can be written
		if l.hosts[h].Up() && !l.hosts[h].Connect(l.now) {
			s.gone = true
			l.back(s, way, policy.ConnectFailed)
			return
		}
	}
	if !apart {
		l.cal.push(event{at: l.now + way, kind: reaches, send: s})
	}
	l.cal.push(event{at: max(c.Until, l.now), kind: givesUp, send: s})
}

// back brings an outcome to the dispatcher after a while.
func (l *Lab) back(s *send, after time.Duration, r policy.Result) {
	l.cal.push(event{at: l.now + after, kind: comesBack, a: int32(r), send: s})
}

// outcome tells the one outcome of a send. A later one counts for nothing.
func (l *Lab) outcome(s *send, r policy.Result) {
	if s.over {
		return
	}
	s.over = true
	n := l.nodes[s.node]
	if n.life != s.life || !n.up {
		return
	}
	switch {
	case r.NeverRan():
		l.see(check.Event{Kind: check.NeverRan, Job: s.key.Job, Attempt: s.key.Attempt})
		fallthrough
	case r == policy.OK, r == policy.AppError:
		n.idle[s.host]++
	default:
		l.hosts[s.host].Disconnect()
	}
	if r == policy.OK {
		l.answer(s.try, check.Served)
	}
	l.tell(s.node, dispatch.Ended{Key: s.key, Result: r})
}

// reach brings a send to its host.
func (l *Lab) reach(s *send) {
	h := l.hosts[s.host]
	way := l.delay(l.nodes[s.node].room, h.Room)
	switch {
	case l.lost > 0 && l.chance.Float64() < l.lost:
		s.gone = true
		return
	case l.reset > 0 && l.chance.Float64() < l.reset:
		s.gone = true
		l.back(s, way, policy.ConnectionLost)
		return
	}
	work := s.try.order.size
	if h.Up() && h.Cold(l.now) {
		l.see(check.Event{Kind: check.Worked, Job: s.key.Job, Attempt: s.key.Attempt, Node: s.node, Host: s.host, Work: work, Capacity: h.Capacity(l.now)})
	}
	was := h.Toppled()
	v := h.Take(l.now, s.id, work, 1)
	if h.Toppled() && !was {
		l.rep.Toppled++
		l.change(s.host, policy.Gone)
	}
	switch v {
	case fleet.Full:
		l.back(s, way, policy.Full)
	case fleet.Broken:
		l.see(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: s.host})
		l.back(s, way+failFast, policy.AppError)
	case fleet.Down:
		l.back(s, way, policy.ConnectFailed)
	}
	l.act(s.host)
}

// act lets a host tell what it has to, and plans when it will have more.
func (l *Lab) act(i int) {
	h := l.hosts[i]
	for _, n := range h.Advance(l.now) {
		s := l.sends[n.Job]
		if s == nil {
			continue
		}
		l.note(hostActs, n.Job<<3|uint64(n.Kind))
		way := l.delay(l.nodes[s.node].room, h.Room)
		if n.Kind == fleet.Started {
			l.see(check.Event{Kind: check.Ran, Job: s.key.Job, Attempt: s.key.Attempt, Host: i})
		}
		switch n.Kind {
		case fleet.Started:
			l.cal.push(event{at: l.now + way, kind: toNode, a: int32(s.node), b: int32(s.life), send: s,
				msg: dispatch.Started{Key: s.key}})
			continue
		case fleet.Progressed:
			l.cal.push(event{at: l.now + way, kind: toNode, a: int32(s.node), b: int32(s.life), send: s,
				msg: dispatch.Progress{Key: s.key, Share: n.Share}})
			continue
		case fleet.Done:
			l.did(s, way)
			l.back(s, way, policy.OK)
		case fleet.Returned:
			l.back(s, way, policy.Full)
		case fleet.Lost:
			l.back(s, way, policy.ConnectionLost)
		}
		delete(l.sends, n.Job)
	}
	l.plan(i)
}

// did books work that has run to its end, by what becomes of it. Its news takes so long to its dispatcher.
func (l *Lab) did(s *send, way time.Duration) {
	o, w := s.try.order, &l.work
	sum := &w.InTime
	switch {
	case o.ran:
		sum = &w.Repeated
	case s.try.answered || s.over:
		sum = &w.Abandoned
	case l.now+way > l.due(o):
		sum = &w.Late
	}
	*sum += o.size.Seconds()
	if o.ran = o.ran || sum != &w.Abandoned; l.hosts[s.host].Room != l.nodes[s.node].room {
		w.Crossed += o.size.Seconds()
	}
}

// book adds to the tallies of the second in which an order was asked for, of all and of its room.
func (l *Lab) book(o *order, asked, inTime float64) {
	at := min(int((o.first-epoch)/time.Second), len(l.secs)-1)
	for _, t := range []*tally{&l.secs[at], &l.rooms[o.room][at]} {
		t.asked, t.inTime = t.asked+asked, t.inTime+inTime
	}
}

// apart tells whether two rooms have no way to one another.
func (l *Lab) apart(a, b int) bool { return a != b && l.cut[a]+l.cut[b] > 0 }

// due is until when an order is worth anything.
func (l *Lab) due(o *order) time.Duration {
	return o.first + l.sc.Classes[o.class].Within(o.size)
}

func (l *Lab) plan(i int) {
	if at, ok := l.hosts[i].Next(); ok {
		at = max(at, l.now)
		if l.wake[i] == 0 || at < l.wake[i] {
			l.wake[i] = at
			l.cal.push(event{at: at, kind: hostActs, a: int32(i)})
		}
	}
}

func (l *Lab) probe(i, host int, e *event) {
	h := l.hosts[host]
	m := e.msg.(dispatch.Probed)
	sent := m.Took
	if l.apart(l.nodes[i].room, h.Room) {
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.later(i, max(0, sent+probeTimeout-l.now), m)
		return
	}
	load, heard := h.Probe(l.now)
	way := l.delay(l.nodes[i].room, h.Room)
	switch {
	case heard:
		m.Load = &policy.Load{FreeSlots: load.FreeSlots, Queue: load.Queue, InFlight: load.InFlight, Busy: -1}
		m.Took = l.now + way - sent
		l.later(i, way, m)
	case h.Up(): // silent
		m.Result, m.Took = policy.TimedOut, probeTimeout
		l.later(i, max(0, sent+probeTimeout-l.now), m)
	default:
		m.Result, m.Took = policy.ConnectFailed, l.now+way-sent
		l.later(i, way, m)
	}
	l.plan(host)
}

// answer gives a try its one answer.
func (l *Lab) answer(t *try, a check.Answer) {
	if t == nil || t.answered {
		return
	}
	t.answered = true
	n := l.nodes[t.node]
	if n.life == t.life {
		delete(n.open, t.id)
	}
	l.see(check.Event{Kind: check.Answered, Job: t.id, Answer: a})
	l.note(tries, t.id<<2|uint64(a))
	if a != check.Served || t.order.over {
		return
	}
	o := t.order
	o.over = true
	if o.wait != nil {
		l.rep.WaitingServed++
		waited := o.sent - o.first - o.wait.NotBefore
		l.rep.LongestWait = max(l.rep.LongestWait, waited.Seconds()/l.sc.Waiting.lim.DefaultDue.Seconds())
		return
	}
	k := &l.cls[o.class]
	k.served++
	l.rep.Served++
	l.rep.latency(o.class, l.now-o.first)
	if l.now <= l.due(o) {
		k.inTime += o.worth
		l.book(o, 0, o.worth)
		l.rep.InTime++
	}
}

// die kills a dispatcher, which starts again at once.
func (l *Lab) die(i int) {
	l.fell(i)
	l.cal.push(event{at: l.now + startsIn, kind: returns, a: int32(i)})
}

// fell ends a dispatcher's life: what it held is lost, and its clients notice.
func (l *Lab) fell(i int) {
	n := l.nodes[i]
	n.up, n.dealt = false, false
	l.see(check.Event{Kind: check.Killed, Node: i})
	ids := make([]uint64, 0, len(n.open))
	for id := range n.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := n.open[id]
		t.answered = true
		if t.order.wait != nil { // it lives in memory alone
			l.rep.WaitingLost++
			continue
		}
		l.rep.Cut++
		l.again(t.order, 0, false)
	}
	clear(n.open)
}

// site takes a room, or gives it back: its dispatchers, which the front goes on dealing out until it notices, its ways to other
// rooms, its way to discovery. Its hosts are trouble's.
func (l *Lab) site(t *Trouble, on bool) {
	room, by := t.Room-1, map[bool]int{true: 1, false: -1}[on]
	if t.loses("links") {
		l.cut[room] += by
	}
	if t.loses("discovery") {
		l.deaf[room] += by
	}
	for i, n := range l.nodes {
		switch {
		case n.room != room:
		case t.loses("dispatchers") && on && n.up:
			l.fell(i)
			n.dealt = true
			noticed := noticeLeast + time.Duration(l.chance.Int64N(int64(noticeMost-noticeLeast)))
			l.cal.push(event{at: l.now + noticed, kind: dies, a: int32(i), b: -2})
		case t.loses("dispatchers") && !on && !n.up:
			l.cal.push(event{at: l.now + startsIn, kind: returns, a: int32(i)})
		case t.loses("discovery") && on && n.up && n.watching:
			l.later(i, l.sc.delay, dispatch.ListLost{})
		}
	}
}

// change has the list tell of a host after a while.
func (l *Lab) change(host int, s policy.State) {
	l.cal.push(event{at: l.now + l.late, kind: lists, a: int32(host), b: int32(s)})
}

// publish puts what is true of a host into the list, and tells those who watch.
func (l *Lab) publish(host int, s policy.State) {
	l.seq++
	e := &l.list[host]
	e.State, e.Born = s, l.hosts[host].Born()
	if l.down {
		return
	}
	for i, n := range l.nodes {
		if n.up && n.watching && l.deaf[n.room] == 0 {
			l.later(i, l.sc.delay, dispatch.Listed{Version: l.seq, Hosts: []dispatch.Host{*e}})
		}
	}
}

// restart starts a host anew, cold; the list tells of it late.
func (l *Lab) restart(h int) {
	l.hosts[h].Start(l.now)
	l.see(check.Event{Kind: check.Reborn, Host: h})
	l.change(h, policy.Ready)
}

// trouble begins or ends one.
func (l *Lab) trouble(i int, on bool) {
	t := l.sc.Troubles[i]
	if on && t.Room > 0 {
		l.hit[i] = l.hit[i][:0]
		for h := range l.hosts {
			if l.hosts[h].Room == t.Room-1 {
				l.hit[i] = append(l.hit[i], h)
			}
		}
	} else if on && t.Part > 0 && t.Kind != "heavy" && t.Kind != "restart" {
		l.hit[i] = l.chance.Perm(len(l.hosts))[:t.partOf(len(l.hosts))]
		slices.Sort(l.hit[i])
	}
	share := map[bool]float64{true: max(t.Share, 0.001), false: 0}[on]
	for _, h := range l.hit[i] {
		host := l.hosts[h]
		switch t.Kind {
		case "site":
			switch {
			case !t.loses("hosts"):
			case on:
				host.Vanish(l.now)
			default:
				host.Kill(l.now)
				l.restart(h)
			}
		case "vanish":
			if on {
				host.Vanish(l.now)
			} else {
				host.Kill(l.now)
				l.restart(h)
			}
		case "errors":
			host.Fail(share)
		case "kill":
			if on {
				host.Kill(l.now)
				l.change(h, policy.Gone)
			} else {
				l.restart(h)
			}
		case "drain":
			if on {
				host.Drain(l.now)
				l.change(h, policy.Draining)
			} else {
				host.Kill(l.now)
				l.restart(h)
			}
		}
		if on && l.ideal != nil && !host.Reachable() {
			l.bereave(host)
		}
		l.act(h)
	}
	switch t.Kind {
	case "site":
		l.site(&t, on)
	case "heavy":
		if delete(l.heavy, l.sc.class(t.Class)); on {
			l.heavy[l.sc.class(t.Class)] = t
		}
	case "surge":
		if on {
			l.surge *= t.Times
		} else {
			l.surge /= t.Times
		}
	case "silence":
		l.lost = share
	case "reset":
		l.reset = share
	case "stale_list":
		if l.late = l.sc.World.listLate; on {
			l.late += t.length
		}
	case "discovery":
		l.down = on
		for i, n := range l.nodes {
			if on && n.up && n.watching {
				l.later(i, l.sc.delay, dispatch.ListLost{})
			}
		}
	case "restart":
		if on { // one after the other, spread over its length
			n := len(l.nodes)
			if t.Part > 0 {
				n = t.partOf(n)
			}
			for k := range n {
				l.cal.push(event{at: l.now + t.length*time.Duration(k)/time.Duration(n), kind: stops, a: int32(k)})
			}
		}
	}
}
