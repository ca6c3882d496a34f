package main

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/net/nettest"
)

// inherited is a listening socket that the test holds as the platform does, and its descriptor for a child.
func inherited(t *testing.T) (*net.TCPListener, string) {
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener), ln.Addr().String()
}

// Where the platform keeps the clients' socket, the address is taken: the program serves on the descriptor that it is
// handed and does not try to bind the address once more.
func TestServesOnAnInheritedListener(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	ln, addr := inherited(t)
	f, err := ln.File()
	require.NoError(t, err)
	defer f.Close()
	known := list(1, true, entry("s-0000000a", host.Addr, "in_service", 0))
	launch(t, launching{settings: nettest.SettingsJSON, known: known, discovery: discovery.Addr, listen: addr,
		env: []string{"NODE_INHERITED_FD=3"}, files: []*os.File{f}})
	c := nettest.Dial(t, addr) // the kernel's queue holds it until the program accepts
	c.Post("/plot-load/7", "t1", "X-Expires-In-Ms: 15000\r\n", "body")
	resp, body := c.Answer()
	assert.Equal(t, "200 body", fmt.Sprint(resp.StatusCode, " ", body))
}
