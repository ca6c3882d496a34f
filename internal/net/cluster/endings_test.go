package cluster

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/nettest"
)

// trickle sends a text byte by byte, one chunk each, until the other side closes the connection.
func trickle(c *nettest.Call, text string) {
	for {
		for i := range len(text) {
			if _, err := c.Conn.Write([]byte("1\r\n" + text[i:i+1] + "\r\n")); err != nil {
				return
			}
			time.Sleep(time.Millisecond) // sets the rate; the test waits for nothing here
		}
	}
}

// A watch that receives single bytes, so that no read waits long, must time out like a silent one. Guards against a
// deadline for each read instead of one for each list.
func TestTricklingWatchTimesOut(t *testing.T) {
	for name, begin := range map[string]string{"from the head on": "", "after a list": nettest.Chunks(line),
		"within a list": nettest.Chunks(line, `{"seq":44,`)} {
		t.Run(name, func(t *testing.T) {
			type end struct {
				got []dispatch.HostList
				err error
			}
			ended := make(chan end, 1)
			go func() {
				_, got, err := watch(t, 200*time.Millisecond, func(c *nettest.Call) {
					if begin == "" {
						for c.WriteText("HTTP/1.1 200 OK\r\n"); ; time.Sleep(time.Millisecond) {
							if _, err := c.Conn.Write([]byte("X: y\r\n")); err != nil {
								return
							}
						}
					}
					c.WriteText(begin)
					trickle(c, `"more":[1,2,3],`)
				})
				ended <- end{got, err}
			}()
			e := nettest.Wait(t, ended)
			assert.True(t, errors.Is(e.err, os.ErrDeadlineExceeded), "%v", e.err)
			assert.Len(t, e.got, min(1, len(begin)), "complete lists are passed on")
		})
	}
}

// Lists may be indented, also on a watch and both whole and as changes, and a name may contain what looks like an end.
// Guards against parsing each line as an object.
func TestIndentedLists(t *testing.T) {
	const odd = `{"seq":44,"whole":false,"hosts":[{"host":"}]\"{","dial":"127.0.0.1:1","health":"in_service"}]}`
	indent := func(s string) string {
		return strings.NewReplacer("{\"", "{\n  \"", ",\"", ",\n  \"", ":[", ": [\n", "}", "\n}").Replace(s)
	}
	_, got, err := watch(t, nettest.Timeout, func(c *nettest.Call) {
		c.WriteText(nettest.Chunks(strings.Split(indent(line), "\n")...) + nettest.Chunk(""))
		c.WriteText(nettest.Chunk(strings.ReplaceAll(odd, `,"whole"`, ",\r\n\t\"whole\"")) + nettest.Chunk(`{"seq":45,"whole":true}`))
		c.Conn.Close()
	})
	require.Error(t, err)
	require.Len(t, got, 3)
	assert.Equal(t, want, got[0])
	assert.Equal(t, `}]"{`, got[1].Hosts[0].Name)
	assert.Equal(t, uint64(45), got[2].Version)
}
