package peers

import (
	"context"
	"time"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/budget"
)

const (
	inboxSize  = 4096                  // messages; what does not fit is dropped, like any that is lost
	stepsApart = 10 * time.Millisecond // steps are not taken more often
	// answerTimeout is how long a connection may say nothing while messages are out; messages behind it are lost.
	answerTimeout = 500 * time.Millisecond
	// talkService is what the receiver of the messages of internal/budget is registered as.
	talkService = "Talk"
)

// sender carries encoded messages of internal/budget.
type sender = transport.Sender[[]byte]

// deliver takes in messages. It must not block.
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

// divide runs the member of internal/budget until ctx ends.
func (p *Peers) divide(ctx context.Context, to *sender) {
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
		p.set(func() { p.leader, p.leading = node.Leader(), node.IsLeader(now) })
		timer.Reset(max(node.Wake()-p.cfg.Now(), stepsApart))
	}
}

// drain adds what has come in beside the first message.
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

// send sends a message; one that is lost the protocol bears.
func (p *Peers) send(to *sender, m *budget.Message) {
	p.sent.Add(1)
	to.Send(p.cfg.Members[m.To], budget.Append(nil, m))
}
