// Package peers lets dispatchers talk to one another where an installation allows it: membership by coord/membership, and over the
// same connections the messages of internal/budget. Every member has a number and an address in the settings; who does not hold
// that address is no member. Where a member is called is looked up by its name in the own settings, never in what others say, so
// that each way can be another for each member.
//
// Who is there is for the staff's eyes: nothing that is given out rests on it.
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

// Config is what Peers must keep to.
type Config struct {
	Limits
	Self   int
	Floor  budget.Units
	Ledger *budget.Ledger
	Now    func() time.Duration // monotonic
	Life   uint64               // another one for each start of a process
}

// Peers is this process's part in the talk.
type Peers struct {
	cfg   Config
	inbox chan budget.Message

	sent, heard, dropped atomic.Uint64

	looks sync.WaitGroup // at suspects

	mu       sync.Mutex
	bound    bool
	roster   roster
	suspects map[int]bool
	gossip   func(gossip.Value) // nil: this process takes no part
	leader   int
	leading  bool
}

// New makes it; nothing is owned until Run holds the address.
func New(c Config) *Peers {
	return &Peers{
		cfg:      c,
		inbox:    make(chan budget.Message, inboxSize),
		roster:   newRoster(c.Self, len(c.Members)),
		suspects: map[int]bool{},
		leader:   -1,
	}
}

// Run takes part until ctx ends, and owns nothing any more when it returns. While another process holds the address, which is this
// member's forerunner, it waits.
func (p *Peers) Run(ctx context.Context) error {
	s, err := p.bind(ctx)
	if err != nil || s == nil {
		return err
	}
	defer s.end()
	defer p.disown() // before anyone else can hold the address
	p.set(func() { p.bound = true })
	slog.Info("talk with the other dispatchers begins", "listen", p.cfg.Listen, "number", p.cfg.Self, "members", len(p.cfg.Members))
	s.begin()
	p.divide(ctx, s.sender)
	return nil
}

func (p *Peers) disown() {
	for b := range p.cfg.Ledger.Accounts() {
		p.cfg.Ledger.SetShare(p.cfg.Now(), b, budget.Share{})
	}
	p.set(func() { p.bound = false })
}

// say tells all members a word about one.
func (p *Peers) say(member int, word gossip.Version) {
	p.mu.Lock()
	tell := p.gossip
	p.mu.Unlock()
	if tell != nil {
		tell(gossip.Value{Key: gossip.Key(name(member)), Version: word})
	}
}

// learn takes in a word about a member, the own ones too.
func (p *Peers) learn(value gossip.Value) {
	member := number(string(value.Key), len(p.cfg.Members))
	if member < 0 {
		return
	}
	if member == p.cfg.Self {
		p.answer(value.Version)
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

// answer answers a word of others about this process.
func (p *Peers) answer(word gossip.Version) {
	p.mu.Lock()
	own, wanted := p.roster.refute(word)
	p.mu.Unlock()
	if wanted {
		p.say(p.cfg.Self, own)
	}
}

func (p *Peers) set(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}
