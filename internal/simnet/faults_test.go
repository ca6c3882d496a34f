package simnet

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestACutHoldsOneWay(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		n.Cut(caller, server)
		write(t, near, "held")
		write(t, far, "passes")
		requireRead(t, near, "passes")
		quietFor(t, far, time.Hour)
		n.Heal(caller, server)
		requireRead(t, far, "held")
	})
}

func TestDialWaitsDuringACut(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		l := listen(t, n)
		n.CutBoth(caller, server)
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := n.Dial(short, caller, port)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		time.AfterFunc(time.Minute, n.HealAll)
		start := time.Now()
		join(t, n, l)
		require.GreaterOrEqual(t, time.Since(start), time.Minute)
	})
}

func TestRefuseResetsConnectionsAndRefusesDials(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		l := listen(t, n)
		near, far := join(t, n, l)
		write(t, near, "lost")
		n.Refuse(caller, server)
		for _, end := range []*Conn{near, far} {
			_, err := read(end)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}
		_, err := n.Dial(context.Background(), caller, port)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		n.Heal(caller, server)
		join(t, n, l)
	})
}

func TestAFrozenHostsConnectionsSurvive(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		n.Freeze(server)
		write(t, near, "in")
		write(t, far, "out")
		quietFor(t, near, time.Hour)
		quietFor(t, far, time.Hour)
		n.Thaw(server)
		requireRead(t, far, "in")
		requireRead(t, near, "out")
	})
}

func TestStoppedProcessStillAcceptsConnections(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		l := listen(t, n)
		near, far := join(t, n, l)
		n.Stop(server)
		_, err := n.Dial(context.Background(), caller, port)
		require.NoError(t, err)
		write(t, near, "kept")
		got := make(chan string)
		require.NoError(t, far.SetReadDeadline(time.Now().Add(2*time.Hour)))
		go func() {
			text, _ := read(far)
			got <- text
		}()
		time.Sleep(time.Hour)
		select {
		case text := <-got:
			t.Fatalf("a stopped process read %q", text)
		default:
		}
		n.Resume(server)
		require.Equal(t, "kept", <-got)
		_, err = l.Accept()
		require.NoError(t, err)
	})
}

func TestAKilledProcessResetsItsPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		near, far := pair(t, n)
		write(t, far, "before")
		n.Kill(server)
		requireRead(t, near, "before")
		_, err := read(near)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = n.Dial(context.Background(), caller, port)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		listen(t, n)
		require.Empty(t, n.Conns())
	})
}

func TestPlanEndsConnectionAtExactByte(t *testing.T) {
	for _, ending := range []Ending{Reset, Finish, Silence} {
		inBubble(t, func(t *testing.T, n *Network) {
			n.SetPlan(func(from, to string, nth int) Fate {
				require.Equal(t, []any{caller, server}, []any{from, to})
				if nth == 0 {
					return Fate{}
				}
				return Fate{Out: Limit{Bytes: 3, Then: ending}}
			})
			l := listen(t, n)
			near, far := join(t, n, l)
			write(t, near, "first whole")
			requireRead(t, far, "first whole")

			near, far = join(t, n, l)
			write(t, near, "second")
			requireRead(t, far, "sec")
			switch ending {
			case Reset:
				_, err := read(far)
				require.ErrorIs(t, err, syscall.ECONNRESET)
				_, err = read(near)
				require.ErrorIs(t, err, syscall.ECONNRESET)
			case Finish:
				_, err := read(far)
				require.ErrorIs(t, err, io.EOF)
				write(t, far, "still")
				requireRead(t, near, "still")
			case Silence:
				quietFor(t, far, time.Hour)
				require.NoError(t, near.Close())
				quietFor(t, far, time.Hour)
			}
		})
	}
}

func TestALimitOfNoBytesEndsTheConnectionAtItsStart(t *testing.T) {
	inBubble(t, func(t *testing.T, n *Network) {
		n.SetPlan(func(string, string, int) Fate { return Fate{Back: Limit{Then: Reset}} })
		near, far := pair(t, n)
		_, err := far.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		time.Sleep(DefaultLatency)
		synctest.Wait()
		_, err = near.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}
