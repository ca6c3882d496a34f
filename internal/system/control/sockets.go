package control

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/network"
)

func (n *Node) listen() error {
	server, err := network.ListenForPeers(n.network, n.self().Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	n.server = server
	n.members = membership.New(n.client, membership.Options{
		Self:  peersampling.Peer{Address: n.self().Address, Role: RoleName, Zone: n.settings.Zone, Incarnation: uint64(n.clock().UnixNano())},
		Seeds: n.settings.SeedInternalAddresses(), RandomSeed: rand.Uint64(), Clock: n.now,
	})
	receiver := transport.NewReceiver(n.received)
	for name, service := range map[string]any{chainService: receiver, membership.ServiceName: n.members.Service(),
		internalapi.Service: &Service{node: n}} {
		if err := server.Register(name, service); err != nil {
			return fmt.Errorf("register %s: %w", name, err)
		}
	}
	return n.listenForOperator()
}

func (n *Node) listenForOperator() error {
	listener, err := network.Listen(n.network, n.settings.Bind.ControlPlane, network.ListenTCP)
	if err != nil {
		return fmt.Errorf("listen for the operator: %w", err)
	}
	api := newOperatorAPI(n.settings.Limits.MemoryMb)
	api.replace, api.read, api.figures = n.replaceAnywhere, n.readAnywhere, n.serveFigures
	n.operator = operatorServer(api.handler())
	bounded := network.LimitListener(listener, mostOperators)
	go func() { _ = n.operator.Serve(bounded) }()
	return nil
}

// The bounds of the operator's API on its callers.
const (
	operatorHeaderTime = 5 * time.Second
	operatorIdleTime   = 30 * time.Second
	// operatorReadTime is how long a whole order may take to arrive: the largest at 4 Mbit/s.
	operatorReadTime = 20 * time.Second
	// operatorWriteTime bounds the work and the answer, from the end of the header on.
	operatorWriteTime = 45 * time.Second
	// mostOperators bounds the connections to the operator's API: they come out of the descriptors that are kept from the workers' connections.
	mostOperators = 256
)

func operatorServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTime, ReadTimeout: operatorReadTime,
		WriteTimeout: operatorWriteTime, IdleTimeout: operatorIdleTime}
}

func (n *Node) received(messages []*replica.Message) {
	if len(messages) > 0 {
		n.client.MarkReachable(messages[0].From.Address) // all of them are of one sender
	}
	n.loop.postUrgent(func() {
		for _, message := range messages {
			n.engine.step(replica.Receive{Message: message})
		}
	})
}

// contacts are the replicas that this one knows of: the seeds and, among the peers, those that call themselves replicas.
func (n *Node) contacts() []string {
	addresses := n.settings.SeedInternalAddresses()
	for _, peer := range n.members.Peers() {
		if peer.Role == RoleName && !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == n.self().Address })
}

// spread gives a value to the epidemic.
func (n *Node) spread(key gossip.Key, version uint64, data []byte) {
	members := n.members
	go func() {
		if err := members.Set(gossip.Value{Key: key, Version: gossip.Version{Major: version}, Data: data}); err != nil {
			n.logger.Error("value not spread", "key", key, "error", err)
		}
	}()
}
