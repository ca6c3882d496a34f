// Package peers connects the dispatchers of a fleet, where an installation allows it. It runs membership by
// coord/membership and, over the same connections, carries the messages of internal/budget. Every member has a number
// and an address in the settings, and only the process that listens at the address is the member. Members are called at
// the addresses in the caller's own settings, never at addresses that others report, since the route to a member may
// differ for each caller.
//
// The state of membership is for display only. No decision about budgets depends on it.
package peers

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/internal/budget"
)

// Config configures Peers.
type Config struct {
	Limits
	Self   int
	Floor  budget.Units
	Ledger *budget.Ledger
	Now    func() time.Duration // monotonic
	Life   uint64               // different for each start of a process
}

// Peers is this process's member of the fleet.
type Peers struct {
	cfg   Config
	inbox chan budget.Message

	sent, heard, dropped atomic.Uint64

	probes sync.WaitGroup // of suspects

	mu       sync.Mutex
	bound    bool
	roster   roster
	suspects map[int]bool
	gossip   func(gossip.Value) // nil: this process has not joined the gossip
	leader   int
	leading  bool
}

// New creates the member. It owns no budget share until Run listens at the address.
func New(c Config) *Peers {
	return &Peers{
		cfg:      c,
		inbox:    make(chan budget.Message, inboxSize),
		roster:   newRoster(c.Self, len(c.Members)),
		suspects: map[int]bool{},
		leader:   -1,
	}
}

// Run takes part until ctx ends; when it returns, the member owns no share any more. While another process, an earlier
// one of the same member, holds the address, Run waits.
func (p *Peers) Run(ctx context.Context) error {
	s, err := p.bind(ctx)
	if err != nil || s == nil {
		return err
	}
	defer s.stop()
	defer p.releaseShares() // before another process can listen at the address
	p.locked(func() { p.bound = true })
	slog.Info("joined the other dispatchers", "listen", p.cfg.Listen, "number", p.cfg.Self, "members", len(p.cfg.Members))
	s.start()
	p.runBudget(ctx, s.sender)
	return nil
}

func (p *Peers) releaseShares() {
	for b := range p.cfg.Ledger.Accounts() {
		p.cfg.Ledger.SetShare(p.cfg.Now(), b, budget.Share{})
	}
	p.locked(func() { p.bound = false })
}

// announce gossips a version about a member.
func (p *Peers) announce(member int, version gossip.Version) {
	p.mu.Lock()
	tell := p.gossip
	p.mu.Unlock()
	if tell != nil {
		tell(gossip.Value{Key: gossip.Key(name(member)), Version: version})
	}
}

// onValue handles a gossiped version about any member, this one included.
func (p *Peers) onValue(value gossip.Value) {
	member := number(string(value.Key), len(p.cfg.Members))
	if member < 0 {
		return
	}
	if member == p.cfg.Self {
		p.refute(value.Version)
		return
	}
	p.mu.Lock()
	changed := p.roster.learn(member, value.Version)
	state := p.roster.state(member)
	p.mu.Unlock()
	if changed {
		slog.Info("dispatcher "+state, "number", member)
	}
}

// refute answers what others say about this process, if necessary.
func (p *Peers) refute(version gossip.Version) {
	p.mu.Lock()
	own, wanted := p.roster.refute(version)
	p.mu.Unlock()
	if wanted {
		p.announce(p.cfg.Self, own)
	}
}

func (p *Peers) locked(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}
