package lab

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"gaugeslip/internal/scenario"
	"gaugeslip/internal/siteloss"
)

// Resize sets the number of hosts, in the present proportions of their kinds, and the number of dispatchers, the load and the length.
func (s *Scenario) Resize(hosts, dispatchers int, load float64, length time.Duration) error {
	total, left := scenario.Count(s.Hosts), hosts
	for i := range s.Hosts {
		n := hosts * s.Hosts[i].Count / total
		if i == len(s.Hosts)-1 {
			n = left
		}
		s.Hosts[i].Count = n
		left -= n
	}
	s.Dispatchers, s.Load, s.Length = dispatchers, load, length.String()
	return s.check()
}

// AtLoad changes only the load.
func (s *Scenario) AtLoad(load float64) error {
	s.Load = load
	return s.check()
}

// LossAt returns when the scenario's first loss of a room begins and ends.
func (s *Scenario) LossAt() (from, to time.Duration, err error) {
	for _, t := range s.Troubles {
		if t.Room > 0 {
			return t.at, t.at + t.length, nil
		}
	}
	return 0, 0, errors.New("no trouble in the scenario affects a room")
}

// SurgeInPlace replaces each loss of a room by a surge, which multiplies the load by times.
func (s *Scenario) SurgeInPlace(times float64) error {
	s.Troubles = slices.Clone(s.Troubles)
	for i := range s.Troubles {
		if t := &s.Troubles[i]; t.Room > 0 {
			t.Kind, t.Room, t.Times = "surge", 0, times
		}
	}
	return s.check()
}

// LoseRoom makes every trouble of a room affect the given room, counted from 1.
func (s *Scenario) LoseRoom(room int) error {
	s.Troubles = slices.Clone(s.Troubles)
	for i := range s.Troubles {
		if s.Troubles[i].Room > 0 {
			s.Troubles[i].Room = room
		}
	}
	return s.check()
}

// Fleet returns the input of a plan for the loss of a room, in which the share usable of the rooms' capacity can be used. Classes
// are in descending order of their worth.
func (s *Scenario) Fleet(usable float64) *siteloss.Fleet {
	f := &siteloss.Fleet{Usable: usable, ColdFrom: s.World.ColdFrom, WarmUp: s.World.warmUp}
	for room := range s.Rooms {
		f.Sites = append(f.Sites, siteloss.Site{Name: fmt.Sprintf("room-%d", room+1)})
	}
	i := 0
	for _, h := range s.Hosts {
		for range h.Count {
			x := &f.Sites[i%s.Rooms]
			x.Hosts++
			x.Capacity += float64(h.Lanes) * h.Speed
			i++
		}
	}
	work := s.rate() * scenario.MeanWork(s.Classes)
	for room := range f.Sites {
		f.Sites[room].Load = work * s.shareOf(room)
	}
	classes := slices.Clone(s.Classes)
	slices.SortStableFunc(classes, func(a, b scenario.Class) int { return cmp.Compare(b.Worth, a.Worth) })
	for _, c := range classes {
		one := c
		one.Part = 1
		f.Classes = append(f.Classes, siteloss.Class{Name: c.Name, Share: c.Part * scenario.MeanWork([]scenario.Class{one}) / scenario.MeanWork(s.Classes)})
	}
	return f
}
