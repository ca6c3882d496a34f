package peersampling_test

import (
	"fmt"

	"gaugeslip/coord/peersampling"
)

// Two processes, of which one knows the other as its seed, learn of each other by a shuffle.
func Example() {
	a := peersampling.New(peersampling.Peer{Address: "10.0.0.1:7660", Incarnation: 1}, []string{"10.0.0.2:7660"}, 12, 1)
	b := peersampling.New(peersampling.Peer{Address: "10.0.0.2:7660", Incarnation: 1}, nil, 12, 2)

	to, request, ok := a.Shuffle() // in a program, the request goes over the network
	fmt.Println(to, ok)
	a.HandleReply(to, b.HandleRequest(request))

	fmt.Println(a.Peers()[0].Address, b.Peers()[0].Address)
	// Output:
	// 10.0.0.2:7660 true
	// 10.0.0.2:7660 10.0.0.1:7660
}
