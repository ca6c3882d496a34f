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

// closeNoting is a connection that tells whether it was closed.
type closeNoting struct {
	net.Conn
	closed chan struct{}
}

func (c *closeNoting) Close() error {
	close(c.closed)
	return nil
}

func newCloseNoting() *closeNoting { return &closeNoting{closed: make(chan struct{})} }

// lossy is a dial whose first packets are lost; each packet after these is answered after a delay.
type lossy struct {
	lost    int
	asked   atomic.Int32
	delay   time.Duration
	made    []*closeNoting
	refusal error
}

func (l *lossy) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if int(l.asked.Add(1)) <= l.lost {
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
	conn := newCloseNoting()
	l.made = append(l.made, conn)
	return conn, nil
}

// dialFor dials for a time at most and tells how long that took.
func dialFor(most time.Duration, dial dialFunc) (conn net.Conn, took time.Duration, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	conn, err = dialRepeatedly(ctx, dial, "10.0.0.1:1", nil)
	return conn, time.Since(began), err
}

func TestALostOpeningPacketIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		way := &lossy{lost: 2, delay: time.Millisecond}
		conn, took, err := dialFor(maxDialTime, way.dial)
		require.NoError(t, err)
		assert.Same(t, way.made[0], conn)
		assert.Equal(t, 2*dialRepeat+time.Millisecond, took)
		synctest.Wait()
	})
}

func TestALongWayIsNotGivenUpForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		way := &lossy{delay: 3 * dialRepeat}
		conn, took, err := dialFor(maxDialTime, way.dial)
		require.NoError(t, err)
		assert.Equal(t, 3*dialRepeat, took, "the first attempt goes on beside the others")
		assert.NotNil(t, conn)
		synctest.Wait()
		assert.Len(t, way.made, 1, "the others end with the first")
	})
}

func TestConnectionsThatComeTooLateAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := newCloseNoting()
		first := true
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !first {
				return newCloseNoting(), nil
			}
			first = false
			<-ctx.Done()
			return late, nil // it was made just as the other one was
		}
		conn, _, err := dialFor(maxDialTime, dial)
		require.NoError(t, err)
		assert.NotSame(t, late, conn)
		<-late.closed
	})
}

func TestARefusalEndsTheDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		_, took, err := dialFor(maxDialTime, (&lossy{lost: 1, refusal: refused}).dial)
		require.ErrorIs(t, err, refused)
		assert.Equal(t, dialRepeat, took)
		synctest.Wait()
	})
}

func TestADialEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		way := &lossy{lost: 1000}
		_, took, err := dialFor(maxDialTime, way.dial)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, maxDialTime, took)
		assert.LessOrEqual(t, int(way.asked.Load()), mostAttempts)
		synctest.Wait()
	})
}

// An address that has shown to be there is dialed at once, whatever has become of the attempts before.
func TestAnAddressThatIsHeardOfIsDialedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		way := &lossy{lost: 1, delay: time.Millisecond, refusal: refused}
		client := NewClient(Options{Dial: way.dial})
		began := time.Now()
		time.AfterFunc(dialRepeat/4, func() { client.MarkReachable("10.0.0.1:1") })
		_, err := client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		assert.Equal(t, dialRepeat/4+time.Millisecond, time.Since(began))
		client.MarkReachable("10.0.0.1:1")
		client.MarkReachable("10.0.0.2:1")
		require.NoError(t, client.Close())
	})
}

// A refusal holds dials off for a while, unless the address is heard of meanwhile; a dial without an answer holds nothing off.
func TestTheBackOffEndsWithAWordFromTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		way := &lossy{refusal: refused}
		client := NewClient(Options{Dial: way.dial})
		_, err := client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		_, err = client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, errBackOff)
		client.MarkReachable("10.0.0.1:1")
		_, err = client.acquire("10.0.0.1:1", maxDialTime)
		require.ErrorIs(t, err, refused)
		require.NoError(t, client.Close())

		silent := NewClient(Options{Dial: (&lossy{lost: 1000}).dial})
		for range 2 {
			_, err = silent.acquire("10.0.0.1:1", maxDialTime)
			require.ErrorIs(t, err, ErrNotSent)
			require.NotErrorIs(t, err, errBackOff)
		}
		require.NoError(t, silent.Close())
	})
}
