package siteloss

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// testSites is a Judge for a dispatcher in site 0, with six hosts per site, and the present time.
type testSites struct {
	*Judge
	now time.Duration
}

func newTestSites(sites int) *testSites {
	s := &testSites{Judge: New(Settings{Sites: sites, Own: 0, WarmUp: 10 * time.Second}), now: time.Hour}
	for id := range uint32(6 * sites) {
		s.Listed(id, int(id)%sites, false)
	}
	return s
}

// run advances the time while every host is asked once per 300 ms, and returns the changes. The hosts of
// silentSites do not answer.
func (s *testSites) run(length time.Duration, silentSites ...int) (all []Change) {
	for end := s.now + length; s.now < end; s.now += 50 * ms {
		for id, h := range s.hosts {
			if (s.now/(50*ms)+time.Duration(id))%6 == 0 {
				answered := true
				for _, d := range silentSites {
					answered = answered && h.site != d
				}
				s.Heard(s.now, id, answered)
			}
		}
		all = append(all, s.Step(s.now)...)
	}
	return all
}

// states returns the states of all sites.
func (s *testSites) states() (all []State) {
	for n := range s.sites {
		all = append(all, s.State(n))
	}
	return all
}

// Judge distinguishes a lost site from a dispatcher that is cut off within 1.5 s of the first silence. A dispatcher that is cut off
// considers no site lost, and its own site stays Serving while its hosts answer.
func TestLostOrCutOff(t *testing.T) {
	for _, c := range []struct {
		sites       int
		silentSites []int
		want        []State
	}{
		{3, nil, []State{Serving, Serving, Serving}},
		{3, []int{2}, []State{Serving, Serving, Lost}},
		{3, []int{1, 2}, []State{Serving, CutOff, CutOff}},
		{3, []int{0, 1, 2}, []State{CutOff, CutOff, CutOff}},
		{3, []int{0}, []State{Lost, Serving, Serving}},
		{3, []int{0, 2}, []State{Lost, Serving, Lost}}, // two sites at once
		{2, []int{1}, []State{Serving, Lost}},          // with one other site, only the own site is left to compare with
		{4, []int{2, 3}, []State{Serving, Serving, Lost, Lost}},
	} {
		s := newTestSites(c.sites)
		require.Empty(t, s.run(3*time.Second))
		s.run(1500*ms, c.silentSites...)
		assert.Equal(t, c.want, s.states(), "%+v", c)
		s.run(5*time.Second, c.silentSites...)
		assert.Equal(t, c.want, s.states(), "%+v, later", c)
	}
}

// A site of which most hosts are silent is suspect and not lost. A single silent host does not change the site's state.
func TestHalfOfASite(t *testing.T) {
	s := newTestSites(3)
	half := func(silent uint32, length time.Duration) {
		for end := s.now + length; s.now < end; s.now += 100 * ms {
			for id, h := range s.hosts {
				s.Heard(s.now, id, h.site != 2 || id/3 >= silent)
			}
			s.Step(s.now)
		}
	}
	half(1, 3*time.Second)
	assert.Equal(t, Serving, s.State(2))
	half(4, 3*time.Second)
	assert.Equal(t, Suspect, s.State(2))
	assert.Contains(t, s.Ground(2), "4 of its hosts do not answer, 2 do")
	half(0, 3*time.Second)
	assert.Equal(t, Serving, s.State(2))
}

// A site is Returning for its warm-up. Each failed return makes the next one take longer, up to a limit.
func TestReturnAndFlap(t *testing.T) {
	s := newTestSites(3)
	s.run(2*time.Second, 2)
	require.Equal(t, Lost, s.State(2))
	s.run(time.Second)
	require.Equal(t, Returning, s.State(2))
	s.run(8 * time.Second)
	assert.Equal(t, Returning, s.State(2))
	s.run(3 * time.Second)
	assert.Equal(t, Serving, s.State(2))
	before := time.Duration(0)
	for range 6 {
		s.run(6*time.Second, 2)
		s.run(time.Second)
		require.Equal(t, Returning, s.State(2))
		from := s.now
		s.run(2*time.Second, 2) // fails during its return
		s.run(6*time.Second, 2)
		assert.Equal(t, Lost, s.State(2))
		assert.GreaterOrEqual(t, s.sites[2].returnHold, min(2*before, maxReturnHold), from)
		before = s.sites[2].returnHold
	}
	assert.Equal(t, maxReturnHold, before)
	s.run(12 * time.Second)
	assert.Equal(t, Returning, s.State(2), "held back beyond its warm-up")
}

// For any results in any order, a dispatcher whose own site answers keeps that site Serving. Hosts that are on no list are ignored.
func TestNeverAllLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSites(3)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(10, 900).Draw(t, "later")) * ms
			s.Heard(s.now, uint32(rapid.IntRange(0, 40).Draw(t, "host")), rapid.Bool().Draw(t, "answered"))
			for _, own := range []uint32{0, 3, 6} {
				s.Heard(s.now, own, true)
			}
			s.Step(s.now)
			if s.State(0) != Serving {
				t.Fatalf("the own site is %v", s.State(0))
			}
		}
	})
}

func fleet(load float64) *Fleet {
	return &Fleet{Sites: []Site{{"a", 20, 40, 40 * load * 1.4}, {"b", 20, 40, 40 * load * 0.8}, {"c", 20, 40, 40 * load * 0.8}},
		Classes: []Class{{"sale", 0.78, 0.25}, {"plot", 0.22, 0.25}}, Usable: 1, ColdFrom: 0.12, WarmUp: 24 * time.Second}
}

// Sites take no more than their spare capacity, taken and refused work add up to the whole, a site's own clients come first, classes
// are refused from the last on, and no floor is cut while work above the floors is served.
func TestPlanSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Usable: rapid.Float64Range(0.5, 1).Draw(t, "usable"), ColdFrom: 0.12, WarmUp: 24 * time.Second}
		total := 0.0
		for range rapid.IntRange(2, 6).Draw(t, "sites") {
			s := Site{Capacity: rapid.Float64Range(0, 100).Draw(t, "capacity"), Load: rapid.Float64Range(0, 100).Draw(t, "load")}
			total += s.Load
			f.Sites = append(f.Sites, s)
		}
		x := rapid.Float64Range(0, 1).Draw(t, "share")
		f.Classes = []Class{{"a", x, rapid.Float64Range(0, 1).Draw(t, "f")}, {"b", 1 - x, rapid.Float64Range(0, 1).Draw(t, "g")}}
		require.NoError(t, f.Check())
		for i, l := range f.Plan() {
			takes, unserved, own := 0.0, 0.0, 0.0
			for _, s := range l.Spills {
				require.LessOrEqual(t, s.Takes, s.Spare+1e-6)
				takes += s.Takes
			}
			for k, s := range f.Sites {
				if k != i {
					own += max(0, s.Load-s.Capacity*f.Usable)
				}
			}
			require.InDelta(t, f.Sites[i].Load+own, takes+l.Refused, 1e-6)
			for k, c := range l.Kept {
				unserved += (1 - c.Served) * total * f.Classes[k].Share
				require.LessOrEqual(t, c.Served, 1+1e-9)
			}
			require.InDelta(t, l.Refused, unserved, 1e-6)
			if a, b := l.Kept[0], l.Kept[1]; a.Served < 1-1e-9 && f.Classes[1].Share > 1e-6 {
				require.LessOrEqual(t, b.Served, f.Classes[1].Floor+1e-6, "the last class is refused first")
			}
		}
	})
}

func TestPlan(t *testing.T) {
	f := fleet(0.6)
	all := f.Plan()
	require.Len(t, all, 3)
	assert.Zero(t, all[2].Refused)
	assert.InDelta(t, 0.9, all[2].Load, 1e-9)
	assert.InDelta(t, 80/72., all[2].RefusesAt, 1e-9)
	assert.InDelta(t, 6.4*19.2/27.2, all[2].Spills[0].Takes, 1e-9)
	assert.Equal(t, 24*time.Second, all[2].Returns)
	f = fleet(0.75)
	l := f.Plan()[2]
	assert.InDelta(t, 10, l.Refused, 1e-9) // 90 asked for, 80 left: 8 of the lost site's, and 2 of the 42 that site a's own clients want
	assert.InDelta(t, 1.0, l.Kept[0].Served, 1e-9)
	assert.InDelta(t, 0.12, f.Back(0), 1e-9)
	assert.InDelta(t, 0.56, f.Back(12*time.Second), 1e-9)
	assert.Equal(t, 1.0, f.Back(time.Minute))
	f = &Fleet{Sites: []Site{{"a", 1, 1, 5e-23}, {"b", 1, 1, 5e-23}}, Classes: []Class{{"x", 2e-302, 1}, {"y", 1, 1}}, Usable: 1, ColdFrom: 1}
	require.NoError(t, f.Check())
	assert.Equal(t, []Kept{{"x", 1}, {"y", 1}}, f.Plan()[0].Kept, "shares whose product underflows to 0")
	f.Sites = f.Sites[:1]
	assert.ErrorContains(t, f.Check(), "sites: ")
}
