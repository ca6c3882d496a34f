package transport_test

import (
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/transport"
)

// Doubler is a service that others call.
type Doubler struct{}

// Double answers with twice what it was given.
func (Doubler) Double(number int, twice *int) error {
	*twice = 2 * number
	return nil
}

// A process calls another's service; the error tells what is certain when there is no answer.
func Example() {
	server, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	if err := server.Register("Doubler", Doubler{}); err != nil {
		panic(err)
	}
	go func() { _ = server.Serve() }()

	client := transport.NewClient(transport.Options{})
	defer client.Close()
	var twice int
	err = client.Call(server.Addr(), "Doubler.Double", 21, &twice, 5*time.Second)
	fmt.Println(twice, err)

	// A client without a connection is refused at once. One that still keeps a connection may learn only from the missing answer that its
	// peer has gone; it is told then that the call is in doubt.
	_ = server.Close()
	fresh := transport.NewClient(transport.Options{})
	defer fresh.Close()
	err = fresh.Call(server.Addr(), "Doubler.Double", 21, &twice, 5*time.Second)
	fmt.Println("surely not sent:", errors.Is(err, transport.ErrNotSent))
	// Output:
	// 42 <nil>
	// surely not sent: true
}
