package rig

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/freeport/freeporttest"
)

// echo starts a server that echoes lines and reports the addresses of its clients.
func echo(t *testing.T) (addr string, clients chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	clients = make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			clients <- host
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String(), clients
}

func openLink(t *testing.T) (*Link, net.Conn, *bufio.Reader, chan string) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	to, clients := echo(t)
	l, err := NewLink("127.0.0.1:0", to, "127.0.9.9", 1)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return l, c, bufio.NewReader(c), clients
}

// say sends a line and returns the answer, or "" if none arrives in time.
func say(c net.Conn, r *bufio.Reader, text string) (string, error) {
	c.SetDeadline(time.Now().Add(250 * time.Millisecond))
	if _, err := c.Write([]byte(text + "\n")); err != nil {
		return "", err
	}
	line, err := r.ReadString('\n')
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return "", nil
	}
	return line, err
}

func TestLinkForwardsFromItsSource(t *testing.T) {
	_, c, r, clients := openLink(t)
	got, err := say(c, r, "hello")
	require.NoError(t, err)
	assert.Equal(t, "hello\n", got)
	assert.Equal(t, "127.0.9.9", <-clients)
	c.(*net.TCPConn).CloseWrite() // a half-close goes through
	_, err = r.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// A silent link holds data in one or both directions and passes it on when the fault ends.
func TestLinkSilence(t *testing.T) {
	for _, direction := range []Direction{Forth, Back, Both} {
		l, c, r, _ := openLink(t)
		f := &Fault{Silent: direction}
		require.NoError(t, l.AddFault(f))
		got, err := say(c, r, "held")
		assert.Empty(t, got)
		assert.NoError(t, err)
		require.NoError(t, l.RemoveFault(f))
		c.SetDeadline(time.Now().Add(5 * time.Second))
		got, err = r.ReadString('\n')
		assert.NoError(t, err)
		assert.Equal(t, "held\n", got)
	}
}

func TestLinkResetAndHalfOpen(t *testing.T) {
	l, c, r, _ := openLink(t)
	_, err := say(c, r, "up")
	require.NoError(t, err)
	f := &Fault{Refuse: true}
	require.NoError(t, l.AddFault(f))
	_, err = net.Dial("tcp", l.Addr)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	got, err := say(c, r, "open ones stay")
	assert.NoError(t, err)
	assert.Equal(t, "open ones stay\n", got)
	require.NoError(t, l.RemoveFault(f))
	l.Reset()
	_, err = say(c, r, "gone")
	assert.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
	other, err := net.Dial("tcp", l.Addr)
	require.NoError(t, err)
	defer other.Close()
	or := bufio.NewReader(other)
	_, err = say(other, or, "up")
	require.NoError(t, err)
	l.HalfOpen()
	for range 2 {
		got, err = say(other, or, "into the void")
		assert.NoError(t, err)
		assert.Empty(t, got)
	}
}

// If there is no listener at the far end, the link resets the near end and reports a disturbance.
func TestLinkWithoutListener(t *testing.T) {
	to := freeporttest.Address(t)
	l, err := NewLink("127.0.0.1:0", to, "", 1)
	require.NoError(t, err)
	defer l.Close()
	before := time.Now()
	assert.False(t, l.DisturbedSince(before))
	c, err := net.Dial("tcp", l.Addr)
	if err == nil { // otherwise the reset arrived before the dial checked its connect
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
	}
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.True(t, l.DisturbedSince(before))
}

func TestLinkCutsAndDelays(t *testing.T) {
	l, c, r, _ := openLink(t)
	require.NoError(t, l.AddFault(&Fault{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond}))
	at := time.Now()
	_, err := say(c, r, "slow")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(at), 80*time.Millisecond) // in each direction
	require.NoError(t, l.AddFault(&Fault{Cut: Back, CutAt: 8}))
	c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Write([]byte("0123456789\n"))
	require.NoError(t, err)
	rest, err := io.ReadAll(r)
	assert.Error(t, err)
	assert.LessOrEqual(t, len(rest), 3) // five bytes passed before the cut
}

// A lossy link resets some connections in the middle of a message, and accepts new ones.
func TestLossyLink(t *testing.T) {
	l, c, r, _ := openLink(t)
	_, err := say(c, r, "sound")
	require.NoError(t, err)
	lossy := &Fault{LossProbability: 1}
	require.NoError(t, l.AddFault(lossy))
	c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Write([]byte("0123456789\n"))
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	assert.Error(t, err)
	require.NoError(t, l.RemoveFault(lossy))
	again, err := net.Dial("tcp", l.Addr)
	require.NoError(t, err)
	defer again.Close()
	_, err = say(again, bufio.NewReader(again), "sound again")
	require.NoError(t, err)
	assert.Equal(t, 0.3, mergeFaults([]*Fault{{LossProbability: 0.3}, {LossProbability: 0.1}}).LossProbability)
}
