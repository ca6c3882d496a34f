package rig

import (
	"fmt"
	"net"
	"strconv"

	"gaugeslip/internal/freeport"
)

// ip returns a loopback address of dispatcher i: part 1 is its own address, 2 and up are those of its links.
func ip(i, part int) string { return fmt.Sprintf("127.0.%d.%d", 10+i, part) }

// reserve reserves a port at an address until the rig closes.
func (r *rig) reserve(ip string) (string, error) {
	port, err := freeport.Reserve()
	if err != nil {
		return "", fmt.Errorf("rig: %w", err)
	}
	r.reserved = append(r.reserved, port)
	return net.JoinHostPort(ip, strconv.Itoa(port.Port())), nil
}

// releasePorts releases all reserved ports.
func (r *rig) releasePorts() {
	for _, port := range r.reserved {
		_ = port.Close() // an error on close has no remedy
	}
}
