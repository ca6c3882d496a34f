package transport

import (
	"context"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/simnet"
)

// newTestLink returns a link whose goroutine does not run yet, and the other end of its connection.
func newTestLink(t *testing.T) (*link, *simnet.Conn) {
	network := simnet.New(1)
	_, err := network.Listen(serverAddr)
	require.NoError(t, err)
	conn, err := network.Dial(context.Background(), callerHost, serverAddr)
	require.NoError(t, err)
	return newLink(conn), conn.(*simnet.Conn).Peer()
}

// A process was suspended while a call was pending. If this lasted longer than maxPendingTime, it must not send the call after it resumes,
// because the caller got ErrUnknown long before.
func TestStalePendingBytesAreNotWritten(t *testing.T) {
	for _, frozen := range []time.Duration{maxPendingTime, maxPendingTime + time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l, far := newTestLink(t)
			_, err := l.Write([]byte("call"))
			require.NoError(t, err)
			time.Sleep(frozen)
			go l.run()
			l.flush()
			synctest.Wait()
			if frozen == maxPendingTime {
				require.NoError(t, l.closeCause())
				got := make([]byte, 4)
				_, err := io.ReadFull(far, got)
				require.NoError(t, err)
				l.close(ErrClosed)
				return
			}
			require.ErrorIs(t, l.closeCause(), errStale)
			require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Minute)))
			count, err := far.Read(make([]byte, 4))
			require.Zero(t, count)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		})
	}
}

// The pending time of bytes that are added after a write starts when they are added.
func TestPendingTimeRestartsAfterWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, far := newTestLink(t)
		go l.run()
		for range 3 {
			time.Sleep(2 * maxPendingTime)
			_, err := l.Write([]byte("call"))
			require.NoError(t, err)
			l.flush()
			_, err = io.ReadFull(far, make([]byte, 4))
			require.NoError(t, err)
		}
		require.NoError(t, l.closeCause())
		l.close(ErrClosed)
	})
}
