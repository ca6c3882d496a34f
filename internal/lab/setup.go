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

// New prepares a run. If checked is false, the rules are not checked, which is faster.
func New(sc *Scenario, seed uint64, checked bool) (*Lab, error) {
	l := &Lab{scenario: sc, seed: seed, now: epoch, loadFactor: 1, hostByAddr: map[string]int{}, sends: map[uint64]*send{}, heavyTroubles: map[int]Trouble{},
		arrivals: rand.New(rand.NewPCG(seed, 1)), sizes: rand.New(rand.NewPCG(seed, 2)),
		chance: rand.New(rand.NewPCG(seed, 3)), digest: xxhash.New(), classTallies: make([]classTally, len(sc.Classes)), listDelay: sc.World.listLate}
	l.hints = distuv.LogNormal{Sigma: sc.Clients.HintSigma, Src: l.sizes}
	w := sc.World
	if checked {
		rules := check.Rules{AnswerGrace: 58 * time.Millisecond, DrainGrace: 3050 * time.Millisecond,
			TipMultiple: w.Tip, OverloadFor: w.overloadFor, Slack: 0.1}
		if o := sc.Overload; o != nil {
			rules.Repeats = o.lim.Repeats
		}
		l.checker = check.New(rules)
	}
	p := fleet.Params{Queue: w.Queue, ColdFrom: w.ColdFrom, WarmUp: w.warmUp, TipMultiple: w.Tip, OverloadFor: w.overloadFor,
		ReportEvery: w.reportEvery, Progress: w.progress, ProbeWork: probeWork, MaxConns: w.MaxConns,
		HandshakeOf: handshakeWork}
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
			l.hostByAddr[addr] = i
			l.hostList = append(l.hostList, dispatch.Host{Name: name, Addr: addr, Zone: h.Room, Kind: kind, Scale: float64(hs.Lanes) * hs.Speed,
				StartedAt: h.Born()})
		}
	}
	l.hostWake = make([]time.Duration, len(l.hosts))
	l.listVersion = 1
	for i := range sc.Dispatchers {
		l.nodes = append(l.nodes, &node{room: i % sc.Rooms, knownHosts: slices.Clone(l.hostList), idleConns: make([]uint16, len(l.hosts))})
		if err := l.startDispatcher(i); err != nil {
			return nil, err
		}
		l.nodes[i].receivesClients = true
	}
	l.affectedHosts = make([][]int, len(sc.Troubles))
	l.isolatedRooms, l.roomsWithoutDiscovery = make([]int, sc.Rooms), make([]int, sc.Rooms)
	for i, t := range sc.Troubles {
		l.queue.push(event{at: epoch + t.at, kind: troubleBegin, a: int32(i)})
		l.queue.push(event{at: epoch + t.at + t.length, kind: troubleEnd, a: int32(i)})
	}
	for room := range sc.Rooms {
		l.nextArrival(room)
	}
	l.perSecond = make([]tally, int(sc.length/time.Second)+1)
	for range sc.Rooms {
		l.perRoom = append(l.perRoom, make([]tally, len(l.perSecond)))
	}
	return l, nil
}

// startDispatcher starts a new incarnation of a dispatcher.
func (l *Lab) startDispatcher(i int) error {
	n := l.nodes[i]
	core, err := dispatch.New(l.scenario.config(i), l.seed<<16+uint64(i)<<8+uint64(n.incarnation))
	if err != nil {
		return err
	}
	var gate *dispatch.WaitingGate
	if w := l.scenario.Waiting; w != nil {
		gate = dispatch.NewWaitingGate(w.lim, l.scenario.config(i))
	}
	var shed *dispatch.ShedGate
	if o := l.scenario.Overload; o != nil && o.lim.Shed {
		if shed, err = dispatch.NewShedGate(o.lim, l.scenario.config(i)); err != nil {
			return err
		}
	}
	n.chain, n.up, n.watching, n.openTries, n.inbox, n.wakeAt = dispatch.NewChain(core, dispatch.Gates{Waiting: gate, Shed: shed, Sites: l.sitesGate(i)}), true, false, map[uint64]*try{}, nil, 0
	n.stoppingSince = 0
	clear(n.idleConns)
	l.enqueue(i, dispatch.HostList{Version: 0, Whole: true, Stale: true, Hosts: slices.Clone(n.knownHosts)})
	return nil
}

// sitesGate returns a new sites gate for a dispatcher, or nil if the scenario has none.
func (l *Lab) sitesGate(i int) *dispatch.SitesGate {
	if !l.scenario.Sites {
		return nil
	}
	var order []int
	for k := range l.scenario.Classes {
		order = append(order, k)
	}
	return dispatch.NewSitesGate(siteloss.Defaults(), l.scenario.config(i), nil, order, 0)
}

// enqueue adds a message to a dispatcher's inbox.
func (l *Lab) enqueue(i int, m dispatch.Message) {
	n := l.nodes[i]
	if n.inbox = append(n.inbox, m); !n.stepPending {
		n.stepPending = true
		l.pendingSteps = append(l.pendingSteps, i)
	}
}
