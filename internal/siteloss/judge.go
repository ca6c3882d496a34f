// Package siteloss tells what one dispatcher knows of each site (a server room with its game workers) from its own evidence, and what
// is planned for the loss of one. It is free of I/O, clocks and goroutines.
//
// A dispatcher sees of a site only whether its hosts answer. That none of a site answers has three explanations: the site is lost,
// the way there is cut, or the dispatcher itself is cut off. The first two are the same to whoever is on this side of them; the
// last is not, and is told apart by looking at all sites: see Judge.
package siteloss

import (
	"fmt"
	"time"
)

// State is what is held of a site.
type State uint8

// The states.
const (
	Serving   State = iota
	Suspect         // most of its hosts that were asked do not answer
	Lost            // none does, while other sites do
	CutOff          // none of any other site does, or none at all: it is this dispatcher that has no way there
	Returning       // the first of its hosts answer again: they are cold, and may go again
)

var stateNames = [...]string{"serving", "suspect", "lost", "cut off from here", "returning"}

func (s State) String() string { return stateNames[s] }

// Settings are what a Judge goes by.
type Settings struct {
	Sites  int // numbered from 0
	Own    int // the dispatcher's; -1: none
	WarmUp time.Duration
}

// What is judged by. A site is noticed Settle after the second of its hosts did not answer, at the latest; a dispatcher that asks
// few hosts learns as much later as it asks later.
const (
	answerMaxAge   = 4 * time.Second // of a host's last word
	Settle         = 700 * time.Millisecond
	minSilentHosts = 2 // hosts that do not answer, where a site has so many
	maxReturnHold  = time.Minute
)

// hostStatus is the last word of one.
type hostStatus struct {
	site     int
	answered bool // it answered
	at       time.Duration
	known    bool
}

// siteStatus is what is held of one.
type siteStatus struct {
	state      State
	since      time.Duration
	badSince   time.Duration // when it began to look bad; 0: it does not
	returnHold time.Duration // a return is held back for so long: doubled by each that failed
	reason     string
}

// Judge judges sites. The zero value is of no use, see New.
type Judge struct {
	settings   Settings
	hosts      map[uint32]*hostStatus
	sites      []siteStatus
	hostCounts []int // hosts listed, by site
}

// Change is a site's new state, with its ground in words.
type Change struct {
	Site   int
	From   State
	To     State
	Ground string
}

// New makes a Judge that holds all sites to serve.
func New(set Settings) *Judge {
	return &Judge{settings: set, hosts: map[uint32]*hostStatus{}, sites: make([]siteStatus, set.Sites), hostCounts: make([]int, set.Sites)}
}

// Listed takes in that a host of a site is on the list, or (gone) no more.
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

// Heard takes in that a host has answered, or has not where it should have: it was silent, or nobody took the connection.
func (j *Judge) Heard(now time.Duration, id uint32, answered bool) {
	if h := j.hosts[id]; h != nil {
		h.answered, h.at, h.known = answered, now, true
	}
}

// State is that of a site; Ground says why, in words.
func (j *Judge) State(n int) State { return j.sites[n].state }

// Ground: see State.
func (j *Judge) Ground(n int) string { return j.sites[n].reason }

// Step judges all sites at a time, and gives what has changed.
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
	dark, lit, remote := 0, 0, 0 // other sites without and with an answer, and all of which there is a word
	for n := range j.sites {
		if n == j.settings.Own || silent[n]+heard[n] == 0 {
			continue
		}
		if remote++; heard[n] > 0 {
			lit++
		} else if silent[n] >= min(minSilentHosts, j.hostCounts[n]) {
			dark++
		}
	}
	ownLit := j.settings.Own >= 0 && heard[j.settings.Own] > 0
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
			case lit == 0 && dark >= 2 && n != j.settings.Own: // one place, not each of them: this one
				to, ground = CutOff, ground+fmt.Sprintf(", as of %d other sites", dark-1)
			case n == j.settings.Own && lit == 0 && dark > 0:
				to, ground = CutOff, ground+", nor does any other site"
			case lit > 0 || ownLit && n != j.settings.Own:
				to = Lost
			default: // nothing else to compare with
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
