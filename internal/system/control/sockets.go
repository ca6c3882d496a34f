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
	receiver := transport.NewReceiver(n.receiveMessages)
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
	api.replace, api.read, api.metrics = n.replaceOrForward, n.readOrForward, n.serveMetrics
	n.operator = operatorServer(api.handler())
	bounded := network.LimitListener(listener, maxOperatorConnections)
	go func() { _ = n.operator.Serve(bounded) }()
	return nil
}

// Limits on the callers of the operators' API.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorIdleTimeout   = 30 * time.Second
	// operatorReadTimeout is how long a whole request may take to arrive. The largest one needs it at 4 Mbit/s.
	operatorReadTimeout = 20 * time.Second
	// operatorWriteTimeout bounds the handling and the answer, from the end of the header on.
	operatorWriteTimeout = 45 * time.Second
	// maxOperatorConnections bounds the connections to the operators' API. They use descriptors that are reserved, see reservedDescriptors.
	maxOperatorConnections = 256
)

func operatorServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout,
		WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout}
}

func (n *Node) receiveMessages(messages []*replica.Message) {
	if len(messages) > 0 {
		n.client.MarkReachable(messages[0].From.Address) // all messages of a batch come from one sender
	}
	n.loop.postUrgent(func() {
		for _, message := range messages {
			n.engine.step(replica.Receive{Message: message})
		}
	})
}

// contacts returns the addresses of the known replicas: the seeds and the members with the role RoleName, without this replica.
func (n *Node) contacts() []string {
	addresses := n.settings.SeedInternalAddresses()
	for _, peer := range n.members.Peers() {
		if peer.Role == RoleName && !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == n.self().Address })
}

// gossip publishes a value by gossip.
func (n *Node) gossip(key gossip.Key, version uint64, data []byte) {
	members := n.members
	go func() {
		if err := members.Set(gossip.Value{Key: key, Version: gossip.Version{Major: version}, Data: data}); err != nil {
			n.logger.Error("gossip of a value failed", "key", key, "error", err)
		}
	}()
}
