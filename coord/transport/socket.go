package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A failed machine sends nothing. These constants bound how long a connection to it appears to be alive.
const (
	defaultUserTimeout = 2 * time.Second
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// setUserTimeout bounds how long sent bytes may remain unacknowledged by the other machine.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(timeout.Milliseconds())
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return failure
}

// newDialer returns a dialer that sets the user timeout and the keep-alive options. Package net sets TCP_NODELAY by itself.
func newDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, userTimeout)
		},
	}
}

// configureAccepted sets the user timeout of an accepted connection.
func configureAccepted(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, defaultUserTimeout)
}
