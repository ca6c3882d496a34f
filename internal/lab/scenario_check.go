package lab

import (
	"time"

	"gaugeslip/internal/overload"
	"gaugeslip/internal/scenario"
	"gaugeslip/internal/waiting"
)

var troubleKinds = map[string]bool{"vanish": true, "errors": true, "heavy": true, "kill": true, "silence": true, "reset": true,
	"stale_list": true, "discovery": true, "drain": true, "restart": true,
	"surge": true, "site": true}

func (s *Scenario) check() error {
	c := &scenario.Checker{}
	s.length = c.Time(s.Range, "length", s.Length, 0)
	s.delay = c.Time(s.Range, "delay", s.Delay, 500*time.Microsecond)
	s.Rooms = max(s.Rooms, 1)
	c.Want(s.length > 0 && s.length <= 24*time.Hour, s.Range, "length", "more than 0 and at most 24h")
	c.Want(s.Load > 0 && s.Load <= 100, s.Range, "load", "more than 0 and at most 100")
	c.Want(s.Dispatchers > 0 && s.Dispatchers <= 1000, s.Range, "dispatchers", "1 to 1000")
	c.Hosts(s.Hosts, s.Range, 100_000)
	c.Classes(s.Classes, s.Range)
	if s.Clients == nil {
		s.Clients = &Clients{}
	}
	cl := s.Clients
	c.Want(cl.After == "" || cl.After == "none" || cl.After == "now" || cl.After == "wait", cl.Range, "after",
		`%q is none of "none", "now", "wait"`, cl.After)
	c.Want(cl.Retries >= 0 && cl.Retries <= 10, cl.Range, "retries", "0 to 10")
	c.Want(cl.HintSigma >= 0 && cl.HintSigma <= 3, cl.Range, "hint_sigma", "0 to 3")
	if s.World == nil {
		s.World = &World{}
	}
	w := s.World
	w.warmUp = c.Time(w.Range, "warm_up", w.WarmUp, 24*time.Second)
	w.overloadFor = c.Time(w.Range, "overload_for", w.OverloadFor, 2*time.Second)
	w.reportEvery = c.Time(w.Range, "report_every", w.ReportEvery, 150*time.Millisecond)
	w.progress = c.Time(w.Range, "progress", w.Progress, time.Second)
	w.listLate = c.Time(w.Range, "list_late", w.ListLate, time.Second)
	if w.Queue == 0 {
		w.Queue = 16
	}
	if w.ColdFrom == 0 {
		w.ColdFrom = 0.12
	}
	if w.Tip == 0 {
		w.Tip = 3
	}
	c.Want(w.ColdFrom > 0 && w.ColdFrom <= 1, w.Range, "cold_from", "more than 0 and at most 1")
	c.Want(w.Queue > 0, w.Range, "queue", "more than 0")
	if x := s.Overload; x != nil {
		x.lim = overload.Defaults()
		x.lim.Questions, x.lim.KeepLanes, x.lim.Margin, x.lim.Repeats = x.Questions, x.KeepLanes, x.Margin, x.Repeats
		if x.lim.Shed, x.lim.Order = x.Shed, x.Order; x.Floor != 0 {
			x.lim.Floor = x.Floor
		}
		if err := x.lim.Check(); err != nil {
			c.Want(false, x.Range, "overload", "%v", err)
		}
	}
	if x := s.Waiting; x != nil {
		x.lim = waiting.Defaults()
		x.lim.MaxJobs, x.lim.MaxKept, x.lim.MaxBytes, x.lim.ClientShare = 10_000_000, 100_000, 1<<40, 1
		x.lim.DefaultDue = c.Time(x.Range, "due", x.Due, 0)
		if x.delay = c.Time(x.Range, "delay", x.Delay, 0); x.Share != 0 {
			x.lim.Share = x.Share
		}
		c.Want(x.Part > 0 && x.Part <= 10, x.Range, "part", "more than 0 and at most 10")
		if err := x.lim.Check(); err != nil {
			c.Want(false, x.Range, "waiting", "%v", err)
		}
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		t.at = c.Time(t.Range, "at", t.At, 0)
		t.length = c.Time(t.Range, "for", t.For, 10*time.Second)
		c.Want(troubleKinds[t.Kind], t.Range, "trouble", "unknown kind %q", t.Kind)
		c.Want(t.at < s.length, t.Range, "at", "after the end of the scenario")
		c.Want(t.Part >= 0 && t.Part <= 1, t.Range, "part", "0 to 1")
		c.Want(t.Room >= 0 && t.Room <= s.Rooms, t.Range, "room", "1 to the number of rooms")
		c.Want(t.Share >= 0 && t.Share <= 1, t.Range, "share", "0 to 1")
		if t.Kind == "heavy" {
			c.Want(s.class(t.Class) >= 0, t.Range, "class", "%q is not a class", t.Class)
			c.Want(t.Times > 0, t.Range, "times", "more than 0")
		}
		if t.Kind == "site" {
			c.Want(t.Room > 0, t.Range, "room", "required for a trouble of kind site")
			c.Losses(t.Range, t.Loses)
		}
		if t.Kind == "surge" {
			c.Want(t.Times > 0 && t.Times <= 100, t.Range, "times", "more than 0 and at most 100")
		}
	}
	if e := s.Expect; e != nil {
		e.recover = c.Time(e.Range, "recover", e.Recover, 0)
	}
	return c.Err
}

// lastSurgeEnd returns the time from the start to the end of the last surge, or 0 if there is none.
func (s *Scenario) lastSurgeEnd() (at time.Duration) {
	for _, t := range s.Troubles {
		if t.Kind == "surge" {
			at = max(at, t.at+t.length)
		}
	}
	return at
}
