package simnet

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	longestPause = 20 * time.Millisecond
	settling     = time.Minute
)

// trouble is one change of the network, applied after a pause.
type trouble struct {
	After time.Duration
	Kind  string
}

func (tr trouble) apply(n *Network) {
	switch tr.Kind {
	case "cut out":
		n.Cut(caller, server)
	case "cut back":
		n.Cut(server, caller)
	case "heal":
		n.Heal(caller, server)
	case "freeze":
		n.Freeze(server)
	case "thaw":
		n.Thaw(server)
	case "stop":
		n.Stop(caller)
	case "resume":
		n.Resume(caller)
	case "reset":
		n.Reset(caller, server)
	case "slow":
		n.SetLatency(caller, server, 0, longestPause)
	}
}

var (
	harmless = []string{"cut out", "cut back", "heal", "freeze", "thaw", "stop", "resume", "slow"}
	harmful  = append([]string{"reset"}, harmless...)
)

func drawTroubles(t *rapid.T, kinds []string) []trouble {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) trouble {
		return trouble{
			After: time.Duration(rapid.Int64Range(0, int64(longestPause)).Draw(t, "after")),
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		}
	}), 0, 12).Draw(t, "troubles")
}

// flow records the bytes written and the bytes read in one direction.
type flow struct {
	wrote, got strings.Builder
	readErr    error
	writeErr   error
}

func (f *flow) write(to *Conn, name string, parts []int) {
	for at, size := range parts {
		part := strings.Repeat(fmt.Sprintf("%s%d.", name, at), size)
		count, err := to.Write([]byte(part))
		f.wrote.WriteString(part[:count])
		if err != nil {
			f.writeErr = err
			return
		}
		time.Sleep(time.Duration(size) * time.Microsecond)
	}
	f.writeErr = to.CloseWrite()
}

func (f *flow) read(from *Conn) { _, f.readErr = io.Copy(&f.got, from) }

// converse writes and reads at both ends concurrently while the troubles are applied, and ends all troubles at the end.
func converse(t *testing.T, seed uint64, parts []int, troubles []trouble) (out, back *flow) {
	synctest.Test(t, func(t *testing.T) {
		n := New(seed)
		near, far := pair(t, n)
		out, back = &flow{}, &flow{}
		var group sync.WaitGroup
		group.Go(func() { out.write(near, "out", parts) })
		group.Go(func() { back.write(far, "back", parts) })
		group.Go(func() { out.read(far) })
		group.Go(func() { back.read(near) })
		for _, tr := range troubles {
			time.Sleep(tr.After)
			tr.apply(n)
		}
		time.Sleep(settling)
		n.HealAll()
		n.Thaw(server)
		n.Resume(caller)
		group.Wait()
	})
	return out, back
}

func drawParts(t *rapid.T) []int {
	return rapid.SliceOfN(rapid.IntRange(1, Window/4), 0, 6).Draw(t, "parts")
}

func TestWithoutResetsEverythingArrives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, parts := rapid.Uint64().Draw(rt, "seed"), drawParts(rt)
		out, back := converse(t, seed, parts, drawTroubles(rt, harmless))
		for _, f := range []*flow{out, back} {
			require.NoError(rt, f.readErr)
			require.NoError(rt, f.writeErr)
			require.True(rt, f.wrote.String() == f.got.String(), "got %d bytes of %d", f.got.Len(), f.wrote.Len())
		}
	})
}

func TestReadBytesAreAPrefixOfWrittenBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, parts := rapid.Uint64().Draw(rt, "seed"), drawParts(rt)
		out, back := converse(t, seed, parts, drawTroubles(rt, harmful))
		for _, f := range []*flow{out, back} {
			require.True(rt, strings.HasPrefix(f.wrote.String(), f.got.String()), "got %d bytes of %d", f.got.Len(), f.wrote.Len())
			if f.readErr == nil {
				require.Equal(rt, f.wrote.Len(), f.got.Len(), "an end of the stream came before its bytes")
			}
		}
	})
}

func TestASeedRepeatsItsLatencies(t *testing.T) {
	arrivals := func(seed uint64) (times []time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			n := New(seed)
			l := listen(t, n)
			start := time.Now()
			for range 10 {
				near, far := join(t, n, l)
				write(t, near, "x")
				requireRead(t, far, "x")
				times = append(times, time.Since(start))
			}
		})
		return times
	}
	require.Equal(t, arrivals(1), arrivals(1))
	require.NotEqual(t, arrivals(1), arrivals(2))
}

func TestAConnectionServesOutsideABubbleToo(t *testing.T) {
	n := New(seed)
	l := listen(t, n)
	go func() {
		far, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(far, far)
		}
	}()
	near, err := n.Dial(context.Background(), caller, port)
	require.NoError(t, err)
	write(t, near, "echo")
	requireRead(t, near, "echo")
	require.NoError(t, near.Close())
}
