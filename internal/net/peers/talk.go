package peers

import (
	"context"
	"time"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/budget"
)

const (
	inboxSize       = 4096                  // messages; further ones are dropped, like any lost message
	minStepInterval = 10 * time.Millisecond // between steps of the budget protocol
	// answerTimeout is how long a connection may stay silent while messages await their answers. After that, the
	// messages queued behind them are lost.
	answerTimeout = 500 * time.Millisecond
	// talkService is the name under which the receiver of internal/budget messages is registered.
	talkService = "Talk"
)

// sender sends encoded messages of internal/budget.
type sender = transport.Sender[[]byte]

// deliver puts received messages into the inbox. It must not block.
func (p *Peers) deliver(messages [][]byte) {
	for _, text := range messages {
		m, err := budget.Read(text)
		if err != nil || m.To != p.cfg.Self {
			p.dropped.Add(1)
			continue
		}
		select {
		case p.inbox <- m:
			p.heard.Add(1)
		default:
			p.dropped.Add(1)
		}
	}
}

// runBudget runs this member of internal/budget until ctx ends.
func (p *Peers) runBudget(ctx context.Context, to *sender) {
	accounts := p.cfg.Ledger.Accounts()
	every, term := budget.Timing(len(p.cfg.Members))
	node := budget.NewNode(budget.Config{Self: p.cfg.Self, Members: len(p.cfg.Members), Voters: p.cfg.Voters, Budgets: accounts,
		Floor: p.cfg.Floor, LeaseTime: term, RequestInterval: every, Drift: p.cfg.Drift, Incarnation: p.cfg.Life}, p.cfg.Now())
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
			in = p.drain(append(in, m))
		case <-timer.C:
		}
		now := p.cfg.Now()
		p.cfg.Ledger.ExtraDemand(now, p.cfg.Floor, want)
		node.SetDemand(want)
		out := node.Step(now, in)
		if s := node.Share(0); first || s.Epoch != epoch {
			first, epoch = false, s.Epoch
			for b := range accounts {
				p.cfg.Ledger.SetShare(now, b, node.Share(b))
			}
		}
		for i := range out {
			p.send(to, &out[i])
		}
		p.locked(func() { p.leader, p.leading = node.Leader(), node.IsLeader(now) })
		timer.Reset(max(node.Wake()-p.cfg.Now(), minStepInterval))
	}
}

// drain appends all further messages of the inbox.
func (p *Peers) drain(in []budget.Message) []budget.Message {
	for len(in) < inboxSize {
		select {
		case m := <-p.inbox:
			in = append(in, m)
		default:
			return in
		}
	}
	return in
}

// send sends a message. The protocol tolerates its loss.
func (p *Peers) send(to *sender, m *budget.Message) {
	p.sent.Add(1)
	to.Send(p.cfg.Members[m.To], budget.Append(nil, m))
}
