package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/siteloss"
	"gaugeslip/policy"
)

// The gate changes no command, tells of a lost room in one line, and gives a plan of the listed hosts and the load it sees.
func TestSitesGate(t *testing.T) {
	cfg := bare(t).cfg
	cfg.Zones, cfg.Zone, cfg.Replicas, cfg.WarmUp, cfg.ColdFrom = 3, 0, 6, 10*time.Second, 0.1
	core, err := New(cfg, 1)
	require.NoError(t, err)
	plain, err := New(cfg, 1)
	require.NoError(t, err)
	order := []int{1, 0}
	g := NewSitesGate(siteloss.Defaults(), cfg, []string{"a", "b", "c"}, order, 0.25)
	c := NewChain(core, Gates{Sites: g})
	now := 1000 * time.Second
	var lines []string
	step := func(in ...Message) {
		var got []Command
		for _, x := range c.Step(now, in) {
			if l, ok := x.(Log); ok && l.Warn {
				lines = append(lines, l.Text)
				continue
			}
			got = append(got, x)
		}
		assert.Equal(t, fmt.Sprint(plain.Step(now, in)), fmt.Sprint(got), "at %v", now)
	}
	assert.Nil(t, g.Fleet())
	var all []Host
	for i := range 12 {
		all = append(all, Host{Name: fmt.Sprintf("s-%08x", i+1), Addr: fmt.Sprint("h", i), Zone: i % 3, Scale: 2})
	}
	step(HostList{Whole: true, Hosts: all})
	job := uint64(0)
	for range 100 {
		now += 50 * time.Millisecond
		job++
		step(JobArrived{Job: job, Class: int(job % 2), Tenant: -1, At: now, Budget: time.Second, Size: 100 * time.Millisecond, Slots: 1})
		for i, h := range all {
			r := policy.OK
			if h.Zone == 2 && job > 40 {
				r = []policy.Result{policy.TimedOut, policy.ConnectFailed}[i%2]
			}
			if i%6 == int(job%6) {
				step(ProbeEnded{Worker: WorkerID(h.Name), Result: r})
			}
		}
	}
	assert.Equal(t, siteloss.Lost, g.State(2))
	assert.Equal(t, siteloss.Serving, g.State(1))
	require.Len(t, lines, 2, "%q", lines)
	assert.Contains(t, lines[1], "site c: lost, was suspect: ")
	f := g.Fleet()
	require.NotNil(t, f)
	require.NoError(t, f.Check())
	assert.Equal(t, 8.0, f.Sites[1].Capacity)
	assert.Equal(t, cfg.Classes[1].Name, f.Classes[0].Name)
	assert.InDelta(t, 2*0.787, f.Sites[0].Load, 0.3, "2 s of work a second by each dispatcher, 1 - 1/e^0.5 of it seen; two of six are there")
	assert.Equal(t, siteloss.Serving, g.Recreate().(*SitesGate).State(2))
}
