package membership_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/transport"
)

// start runs a node on the loopback interface.
func start(seeds []string) (*membership.Node, *transport.Server, *transport.Client) {
	server, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	client := transport.NewClient(transport.Options{})
	node := membership.New(client, membership.Options{
		Self:     peersampling.Peer{Address: server.Addr(), Incarnation: uint64(time.Now().UnixNano())},
		Seeds:    seeds,
		Interval: 10 * time.Millisecond,
	})
	if err := server.Register(membership.ServiceName, node.Service()); err != nil {
		panic(err)
	}
	go func() { _ = server.Serve() }()
	node.Start()
	return node, server, client
}

// A value that one process sets reaches another process that knows only a seed.
func Example() {
	first, firstServer, firstClient := start(nil)
	second, secondServer, secondClient := start([]string{firstServer.Addr()})
	received := make(chan gossip.Value, 1)
	second.Subscribe(func(value gossip.Value) { received <- value })

	_ = first.Set(gossip.Value{Key: "config", Version: gossip.Version{Major: 1}, Data: []byte("one")})
	value := <-received
	fmt.Println(value.Key, value.Version.Major, string(value.Data))

	first.Stop()
	second.Stop()
	_, _ = firstClient.Close(), secondClient.Close()
	_, _ = firstServer.Close(), secondServer.Close()
	// Output: config 1 one
}
