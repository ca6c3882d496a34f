package transport_test

import (
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/transport"
)

// Barn is a service that others call.
type Barn struct{}

// Weigh answers with twice what it was given.
func (Barn) Weigh(sacks int, weight *int) error {
	*weight = 2 * sacks
	return nil
}

// A process calls another's service; the error tells what is certain when there is no answer.
func Example() {
	server, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	if err := server.Register("Barn", Barn{}); err != nil {
		panic(err)
	}
	go func() { _ = server.Serve() }()

	client := transport.NewClient(transport.Options{})
	defer client.Close()
	var weight int
	err = client.Call(server.Addr(), "Barn.Weigh", 21, &weight, 5*time.Second)
	fmt.Println(weight, err)

	_ = server.Close()
	err = client.Call(server.Addr(), "Barn.Weigh", 21, &weight, 5*time.Second)
	fmt.Println("surely not sent:", errors.Is(err, transport.ErrNotSent))
	// Output:
	// 42 <nil>
	// surely not sent: true
}
