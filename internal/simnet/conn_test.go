package simnet

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBytesArriveInOrderAfterTheLatency(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		n.SetLatency(caller, server, 10*time.Millisecond, 20*time.Millisecond)
		near, far := pair(t, n)
		start := time.Now()
		write(t, near, "one ")
		write(t, near, "two")
		requireRead(t, far, "one two")
		require.GreaterOrEqual(t, time.Since(start), 10*time.Millisecond)
		require.LessOrEqual(t, time.Since(start), 20*time.Millisecond)
		write(t, far, "back")
		requireRead(t, near, "back")
		require.Equal(t, int64(7), near.Sent())
		require.Equal(t, near.LocalAddr().String(), far.RemoteAddr().String())
		require.Equal(t, port, near.RemoteAddr().String())
	})
}

func TestHalfClosedConnectionCarriesTheOtherDirection(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		write(t, near, "ask")
		require.NoError(t, near.CloseWrite())
		whole, err := io.ReadAll(far)
		require.NoError(t, err)
		require.Equal(t, "ask", string(whole))
		write(t, far, "answer")
		requireRead(t, near, "answer")
		_, err = near.Write([]byte("more"))
		require.ErrorIs(t, err, syscall.EPIPE)
	})
}

func TestClosingWithUnreadBytesResets(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		write(t, near, "unread")
		time.Sleep(DefaultLatency)
		synctest.Wait()
		require.NoError(t, far.Close())
		_, err := read(near)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestBytesForAClosedEndCauseAReset(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		require.NoError(t, far.Close())
		require.ErrorIs(t, far.Close(), net.ErrClosed)
		_, err := read(near)
		require.ErrorIs(t, err, io.EOF)
		write(t, near, "too late")
		time.Sleep(2 * DefaultLatency)
		synctest.Wait()
		_, err = near.Write([]byte("more"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = read(far)
		require.ErrorIs(t, err, net.ErrClosed)
	})
}

func TestBytesBeforeAResetAreRead(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		write(t, near, "last words")
		near.Abort()
		requireRead(t, far, "last words")
		_, err := read(far)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestDeadlinesEndWaitingCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, _ := pair(t, n)
		start := time.Now()
		require.NoError(t, near.SetDeadline(start.Add(time.Second)))
		_, err := read(near)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(start))
		_, err = near.Write([]byte("x"))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, near.SetDeadline(time.Time{}))
		write(t, near, "x")
	})
}

func TestADeadlineThatIsSetWhileACallWaitsEndsIt(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, _ := pair(t, n)
		ended := make(chan error, 1)
		go func() {
			_, err := read(near)
			ended <- err
		}()
		synctest.Wait()
		require.NoError(t, near.SetReadDeadline(time.Now().Add(-time.Second)))
		require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	})
}

func TestAWriterWaitsForItsReader(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		require.NoError(t, near.SetWriteDeadline(time.Now().Add(time.Second)))
		count, err := near.Write([]byte(strings.Repeat("x", 2*Window)))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, Window, count)
		requireRead(t, far, strings.Repeat("x", Window))
	})
}

func TestDialWithoutListenerIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		_, err := n.Dial(context.Background(), caller, port)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		l := listen(t, n)
		_, err = n.Listen(port)
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		require.NoError(t, l.Close())
		require.ErrorIs(t, l.Close(), net.ErrClosed)
		_, err = l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = n.Dial(context.Background(), caller, "nowhere")
		require.ErrorIs(t, err, ErrAddress)
	})
}

func TestClosingListenerResetsPendingConnections(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		l := listen(t, n)
		near, err := n.Dialer(caller)(context.Background(), "tcp", port)
		require.NoError(t, err)
		require.NoError(t, l.Close())
		_, err = read(near)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestAFreePortIsTaken(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		first, err := n.Listen(server + ":0")
		require.NoError(t, err)
		second, err := n.Listen(server + ":0")
		require.NoError(t, err)
		require.NotEqual(t, first.Addr().String(), second.Addr().String())
	})
}

func TestAListenersDeadlineEndsAccept(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		l := listen(t, n)
		require.NoError(t, l.SetDeadline(time.Now().Add(time.Second)))
		start := time.Now()
		_, err := l.Accept()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(start))
		require.NoError(t, l.SetDeadline(time.Time{}))
		join(t, n, l)
	})
}
