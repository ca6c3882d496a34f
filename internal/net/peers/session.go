package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/pause"
)

const (
	bindInterval   = 200 * time.Millisecond // between attempts while another process holds the address
	gossipInterval = 500 * time.Millisecond // between exchanges with a random member
	memberInterval = time.Second            // between calls to another member, in turn
)

// session holds what exists while this process listens at its member's address.
type session struct {
	peers        *Peers
	server       *transport.Server
	client       *transport.Client
	prober       *prober
	node         *membership.Node
	sender       *sender
	cancelProbes context.CancelFunc // of suspects
	served       sync.WaitGroup
}

// servicePrefix keeps fleets with different settings apart: their members do not find one another's services.
func (p *Peers) servicePrefix() string {
	return fmt.Sprintf("gaugeslip/%d/%d/", len(p.cfg.Members), p.cfg.Voters)
}

// memberPrefix is the prefix of a member's services. Another member at the same address does not answer to it.
func (p *Peers) memberPrefix(member int) string { return p.servicePrefix() + name(member) + "/" }

// bind listens at the address as soon as no other process does. Both results are nil if ctx has ended.
func (p *Peers) bind(ctx context.Context) (*session, error) {
	for said := false; ; said = true {
		server, err := transport.Listen(p.cfg.Listen)
		if err == nil {
			return p.newSession(server)
		}
		if !said {
			slog.Warn("peer address is in use by another process: no budget share is owned until it is free", "listen", p.cfg.Listen, "error", err)
		}
		if pause.For(ctx, bindInterval) != nil {
			return nil, nil
		}
	}
}

// newSession creates a session that does not serve yet.
func (p *Peers) newSession(server *transport.Server) (*session, error) {
	s := &session{peers: p, server: server, client: transport.NewClient(transport.Options{MaxConnections: len(p.cfg.Members)})}
	s.prober = &prober{peers: p, client: s.client}
	s.prober.ctx, s.cancelProbes = context.WithCancel(context.Background())
	s.node = membership.New(s.prober, p.membership())
	talk := p.servicePrefix() + talkService
	s.sender = transport.NewSender[[]byte](s.client, talk+".Receive", transport.SenderOptions{AnswerTimeout: answerTimeout})
	for service, answers := range map[string]any{
		p.memberPrefix(p.cfg.Self) + membership.ServiceName: s.node.Service(),
		p.memberPrefix(p.cfg.Self) + presenceService:        &Presence{prober: s.prober},
		talk: transport.NewReceiver(p.deliver),
	} {
		if err := server.Register(service, answers); err != nil {
			s.close()
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	return s, nil
}

// membership returns the options of this process for the gossip, in which members are addressed by their names.
func (p *Peers) membership() membership.Options {
	var others []string
	for i := range p.cfg.Members {
		if i != p.cfg.Self {
			others = append(others, name(i))
		}
	}
	return membership.Options{
		Self:              peersampling.Peer{Address: name(p.cfg.Self), Incarnation: incarnation()},
		Seeds:             others,
		RandomSeed:        rand.Uint64(),
		Interval:          gossipInterval,
		CallTimeout:       callTimeout,
		Preferred:         func() []string { return others },
		PreferredInterval: memberInterval,
	}
}

// incarnation numbers the processes that use this member's address by the time of their start. If the clock has gone
// back, the process refutes what is said about the earlier one.
func incarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// start serves requests and joins the gossip.
func (s *session) start() {
	s.served.Go(func() {
		if err := s.server.Serve(); err != nil {
			slog.Error("peer server stopped: no more messages from other dispatchers are received", "error", err)
		}
	})
	p := s.peers
	var own gossip.Version
	p.locked(func() {
		p.gossip = s.setValue
		own = p.roster.join(incarnation())
	})
	s.node.Subscribe(p.onValue)
	p.announce(p.cfg.Self, own)
	s.node.Start()
}

// setValue passes a value to the gossip. The value has no data, so it cannot be too long.
func (s *session) setValue(value gossip.Value) { _ = s.node.Set(value) }

// stop announces that this process leaves, which takes at most the time of one call, and frees the address.
func (s *session) stop() {
	p := s.peers
	var last gossip.Version
	p.locked(func() { last = p.roster.leave() })
	p.announce(p.cfg.Self, last)
	s.node.Stop()
	p.locked(func() { p.gossip = nil })
	s.close()
}

// close ends all connections and frees the address.
func (s *session) close() {
	s.peers.locked(s.cancelProbes) // no probe starts after this
	_ = s.sender.Close()
	_ = s.client.Close()
	s.peers.probes.Wait()
	_ = s.server.Close()
	s.served.Wait()
}
