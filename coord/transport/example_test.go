package transport_test

import (
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/transport"
)

// Doubler is a service that other processes call.
type Doubler struct{}

// Double sets twice to two times the number.
func (Doubler) Double(number int, twice *int) error {
	*twice = 2 * number
	return nil
}

// A process calls a service of another process. If there is no answer, the error states whether the call may have been executed.
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

	// A client without a connection gets a refusal at once and returns ErrNotSent. A client that still keeps a connection may detect the
	// end of its peer only by the missing answer; it then returns ErrUnknown.
	_ = server.Close()
	fresh := transport.NewClient(transport.Options{})
	defer fresh.Close()
	err = fresh.Call(server.Addr(), "Doubler.Double", 21, &twice, 5*time.Second)
	fmt.Println("surely not sent:", errors.Is(err, transport.ErrNotSent))
	// Output:
	// 42 <nil>
	// surely not sent: true
}
