package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"gaugeslip/internal/check"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/siteloss"
)

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
				StartedAt: h.Born()})
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
	l.tell(i, dispatch.HostList{Version: 0, Whole: true, Stale: true, Hosts: slices.Clone(n.known)})
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
	return dispatch.NewSitesGate(siteloss.Defaults(), l.sc.config(i), nil, order, 0)
}

// tell puts a message into a dispatcher's inbox.
func (l *Lab) tell(i int, m dispatch.Message) {
	n := l.nodes[i]
	if n.inbox = append(n.inbox, m); !n.dirty {
		n.dirty = true
		l.dirty = append(l.dirty, i)
	}
}
