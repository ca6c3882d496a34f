package rig

import (
	"fmt"
	"net"
)

// ip is an address of dispatcher i's own: 1 is its own, 2 and up are its links'.
func ip(i, part int) string { return fmt.Sprintf("127.0.%d.%d", 10+i, part) }

// freePort finds a port that is free at an address.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("rig: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
