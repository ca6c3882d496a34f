// Package siteloss derives the state of each site (a server room with its game workers) from the evidence of one dispatcher, and
// plans for the loss of a site. It uses no I/O, clocks or goroutines.
//
// A dispatcher sees only whether the hosts of a site answer. If none of them answers, there are three explanations: the site is
// lost, the network path to it is cut, or the dispatcher itself is cut off. The first two look the same from the dispatcher's side.
// Judge recognizes the last one by comparing all sites.
package siteloss

import (
	"fmt"
	"time"
)

// State is the judged state of a site.
type State uint8

// The states.
const (
	Serving   State = iota
	Suspect         // most of its recently asked hosts do not answer
	Lost            // no host answers, while other sites do
	CutOff          // no host of any other site answers, or none at all: this dispatcher is cut off
	Returning       // the first hosts answer again: they are cold, and may fail again
)

var stateNames = [...]string{"serving", "suspect", "lost", "cut off from here", "returning"}

func (s State) String() string { return stateNames[s] }

// Settings are the parameters of a Judge.
type Settings struct {
	Sites  int // numbered from 0
	Own    int // site of the dispatcher; -1: none
	WarmUp time.Duration
}

// Parameters of the judgment. The loss of a site is noticed at most Settle after the second of its hosts did not answer. A
// dispatcher that asks hosts less often notices it correspondingly later.
const (
	answerMaxAge   = 4 * time.Second // an older result of a host is ignored
	Settle         = 700 * time.Millisecond
	minSilentHosts = 2 // silent hosts needed for a judgment; fewer if the site has fewer hosts
	maxReturnHold  = time.Minute
)

// hostStatus is the last result of a host.
type hostStatus struct {
	site     int
	answered bool // whether the host answered
	at       time.Duration
	known    bool
}

// siteStatus is the judged status of a site.
type siteStatus struct {
	state      State
	since      time.Duration
	badSince   time.Duration // start of the present silence; 0: not silent
	returnHold time.Duration // extra time before a return is complete; each failed return doubles it
	reason     string
}

// Judge derives the states of sites. Use New to create one.
type Judge struct {
	settings   Settings
	hosts      map[uint32]*hostStatus
	sites      []siteStatus
	hostCounts []int // hosts listed, by site
}

// Change is a change of a site's state, with its reason as text.
type Change struct {
	Site   int
	From   State
	To     State
	Ground string
}

// New returns a Judge in which all sites are Serving.
func New(set Settings) *Judge {
	return &Judge{settings: set, hosts: map[uint32]*hostStatus{}, sites: make([]siteStatus, set.Sites), hostCounts: make([]int, set.Sites)}
}

// Listed records that a host of a site is on the list, or, with gone set, that it was removed.
func (j *Judge) Listed(id uint32, at int, gone bool) {
	h := j.hosts[id]
	if h != nil && (gone || h.site != at) {
		j.hostCounts[h.site]--
		delete(j.hosts, id)
		h = nil
	}
	if !gone && h == nil && at >= 0 && at < j.settings.Sites {
		j.hosts[id] = &hostStatus{site: at}
		j.hostCounts[at]++
	}
}

// Heard records whether a host has answered. It has not if it stayed silent or did not accept the connection.
func (j *Judge) Heard(now time.Duration, id uint32, answered bool) {
	if h := j.hosts[id]; h != nil {
		h.answered, h.at, h.known = answered, now, true
	}
}

// State returns the state of a site.
func (j *Judge) State(n int) State { return j.sites[n].state }

// Ground returns the reason for the state of a site, as text.
func (j *Judge) Ground(n int) string { return j.sites[n].reason }

// Step derives the states of all sites at the given time and returns the changes.
func (j *Judge) Step(now time.Duration) (all []Change) {
	silent, heard := make([]int, j.settings.Sites), make([]int, j.settings.Sites)
	for _, h := range j.hosts {
		switch {
		case !h.known || now-h.at > answerMaxAge:
		case h.answered:
			heard[h.site]++
		default:
			silent[h.site]++
		}
	}
	silentSites, answeringSites, judgedSites := 0, 0, 0 // other sites without and with an answer, and all with a recent result
	for n := range j.sites {
		if n == j.settings.Own || silent[n]+heard[n] == 0 {
			continue
		}
		if judgedSites++; heard[n] > 0 {
			answeringSites++
		} else if silent[n] >= min(minSilentHosts, j.hostCounts[n]) {
			silentSites++
		}
	}
	ownAnswers := j.settings.Own >= 0 && heard[j.settings.Own] > 0
	for n := range j.sites {
		s := &j.sites[n]
		bad := silent[n] >= min(minSilentHosts, max(j.hostCounts[n], 1)) && silent[n] > heard[n]
		if bad && s.badSince == 0 {
			s.badSince = now
		} else if !bad {
			s.badSince = 0
		}
		to, ground := s.state, ""
		switch {
		case bad && heard[n] == 0 && now-s.badSince >= Settle:
			ground = fmt.Sprintf("%d of its %d hosts do not answer, none does", silent[n], j.hostCounts[n])
			switch {
			case answeringSites == 0 && silentSites >= 2 && n != j.settings.Own: // this dispatcher is probably cut off, not every other site
				to, ground = CutOff, ground+fmt.Sprintf(", as of %d other sites", silentSites-1)
			case n == j.settings.Own && answeringSites == 0 && silentSites > 0:
				to, ground = CutOff, ground+", nor does any other site"
			case answeringSites > 0 || ownAnswers && n != j.settings.Own:
				to = Lost
			default: // no other site to compare with
				to = Suspect
			}
		case bad && s.state == Serving:
			to, ground = Suspect, fmt.Sprintf("%d of its hosts do not answer, %d do", silent[n], heard[n])
		case bad && s.state == Returning:
			s.returnHold = min(max(2*s.returnHold, 4*time.Second), maxReturnHold)
			to, ground = Suspect, fmt.Sprintf("fell silent while it returned: its next return is held back for %v", s.returnHold)
		case heard[n] > 0 && s.state == Suspect && !bad:
			to, ground = Serving, fmt.Sprintf("%d of its hosts answer", heard[n])
		case heard[n] > 0 && s.state == CutOff:
			to, ground = Serving, fmt.Sprintf("%d of its hosts answer", heard[n])
		case heard[n] > 0 && s.state == Lost:
			to, ground = Returning, fmt.Sprintf("%d of its hosts answer", heard[n])
		case s.state == Returning && now-s.since >= j.settings.WarmUp+s.returnHold:
			to, ground = Serving, "warm"
			s.returnHold = 0
		}
		if to != s.state {
			all = append(all, Change{n, s.state, to, ground})
			s.state, s.since, s.reason = to, now, ground
		}
	}
	return all
}
