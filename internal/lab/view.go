package lab

import "time"

// HostView is the present state of a host.
type HostView struct {
	Name                 string
	Lanes, Busy, Waiting int
	State                string // "" if the host works normally
}

// View is the present state of a run, for display.
type View struct {
	At            time.Duration // since the start of the run
	Hosts         []HostView
	Open          []int // open jobs by dispatcher; -1: the dispatcher is down
	Service       float64
	Served        int
	Refused       int
	Failed        int
	BrokenRules   int
	LastFiveSecs  float64 // service in the last complete window of 5 s; -1: none
	FleetsLanes   int
	FleetsBusy    int
	FleetsWaiting int
}

// View returns the present state of the run.
func (l *Lab) View() *View {
	r := l.Report()
	v := &View{At: l.now - epoch, Service: r.Service, Served: r.Served, Refused: r.Refused, Failed: r.Failed,
		BrokenRules: r.Broken(), LastFiveSecs: -1}
	if k := int(v.At/reportWindow) - 1; k >= 0 && k < len(r.Windows) {
		v.LastFiveSecs = r.Windows[k]
	}
	for _, h := range l.hosts {
		x := HostView{Name: h.Name, Lanes: h.Lanes, Busy: h.Busy(), Waiting: h.Waiting()}
		switch {
		case h.Toppled():
			x.State = "fell over"
		case !h.Up():
			x.State = "down"
		case !h.Reachable():
			x.State = "silent"
		case h.Draining():
			x.State = "draining"
		case h.Failing():
			x.State = "failing"
		case h.Cold(l.now):
			x.State = "cold"
		}
		v.FleetsLanes, v.FleetsBusy, v.FleetsWaiting = v.FleetsLanes+x.Lanes, v.FleetsBusy+x.Busy, v.FleetsWaiting+x.Waiting
		v.Hosts = append(v.Hosts, x)
	}
	for _, n := range l.nodes {
		if !n.up {
			v.Open = append(v.Open, -1)
			continue
		}
		v.Open = append(v.Open, len(n.openTries))
	}
	return v
}
