package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closeRecorder is a connection that signals when it is closed.
type closeRecorder struct {
	net.Conn
	closed chan struct{}
}

func (c *closeRecorder) Close() error {
	close(c.closed)
	return nil
}

func newCloseRecorder() *closeRecorder { return &closeRecorder{closed: make(chan struct{})} }

// lossyDialer loses the first attempts. It answers each later attempt after a delay.
type lossyDialer struct {
	lost     int
	attempts atomic.Int32
	delay    time.Duration
	conns    []*closeRecorder
	refusal  error
}

func (l *lossyDialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if int(l.attempts.Add(1)) <= l.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.delay):
	}
	if l.refusal != nil {
		return nil, l.refusal
	}
	conn := newCloseRecorder()
	l.conns = append(l.conns, conn)
	return conn, nil
}

// dialFor dials for at most the timeout and returns how long that took.
func dialFor(timeout time.Duration, dial dialFunc) (conn net.Conn, took time.Duration, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err = dialRepeatedly(ctx, dial, "10.0.0.1:1", nil)
	return conn, time.Since(began), err
}

func TestLostDialAttemptIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &lossyDialer{lost: 2, delay: time.Millisecond}
		conn, took, err := dialFor(maxDialTime, dialer.dial)
		require.NoError(t, err)
		assert.Same(t, dialer.conns[0], conn)
		assert.Equal(t, 2*redialInterval+time.Millisecond, took)
		synctest.Wait()
	})
}

func TestSlowDialAttemptContinuesBesideLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &lossyDialer{delay: 3 * redialInterval}
		conn, took, err := dialFor(maxDialTime, dialer.dial)
		require.NoError(t, err)
		assert.Equal(t, 3*redialInterval, took, "the first attempt must continue while later ones run")
		assert.NotNil(t, conn)
		synctest.Wait()
		assert.Len(t, dialer.conns, 1, "the other attempts must end with the first one")
	})
}

func TestLateConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := newCloseRecorder()
		first := true
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !first {
				return newCloseRecorder(), nil
			}
			first = false
			<-ctx.Done()
			return late, nil // this connection is established at the same time as the other one
		}
		conn, _, err := dialFor(maxDialTime, dial)
		require.NoError(t, err)
		assert.NotSame(t, late, conn)
		<-late.closed
	})
}

func TestRefusalEndsDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		_, took, err := dialFor(maxDialTime, (&lossyDialer{lost: 1, refusal: refused}).dial)
		require.ErrorIs(t, err, refused)
		assert.Equal(t, redialInterval, took)
		synctest.Wait()
	})
}

func TestDialEndsAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &lossyDialer{lost: 1000}
		_, took, err := dialFor(maxDialTime, dialer.dial)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, maxDialTime, took)
		assert.LessOrEqual(t, int(dialer.attempts.Load()), maxDialAttempts)
		synctest.Wait()
	})
}

// An address that is reported as reachable is dialed at once, even while earlier attempts are pending.
func TestReachableAddressIsDialedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		dialer := &lossyDialer{lost: 1, delay: time.Millisecond, refusal: refused}
		client := NewClient(Options{Dial: dialer.dial})
		began := time.Now()
		time.AfterFunc(redialInterval/4, func() { client.MarkReachable("10.0.0.1:1") })
		_, err := client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		assert.Equal(t, redialInterval/4+time.Millisecond, time.Since(began))
		client.MarkReachable("10.0.0.1:1")
		client.MarkReachable("10.0.0.2:1")
		require.NoError(t, client.Close())
	})
}

// A refused dial starts a back-off, which ends when the address is reported as reachable. A dial that timed out starts no back-off.
func TestReachableReportEndsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		dialer := &lossyDialer{refusal: refused}
		client := NewClient(Options{Dial: dialer.dial})
		_, err := client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		_, err = client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, errBackOff)
		client.MarkReachable("10.0.0.1:1")
		_, err = client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		require.NoError(t, client.Close())

		silent := NewClient(Options{Dial: (&lossyDialer{lost: 1000}).dial})
		for range 2 {
			_, err = silent.acquire("10.0.0.1:1", maxDialTime)
			require.ErrorIs(t, err, ErrNotSent)
			require.NotErrorIs(t, err, errBackOff)
		}
		require.NoError(t, silent.Close())
	})
}
