package emulator

import (
	"time"

	"gaugeslip/internal/fleet"
)

// SightKind says what a host saw.
type SightKind uint8

// The kinds. Each carries At, Host and, where somebody came, From; those of a job its id.
const (
	Took   SightKind = iota // a job has come whole (Verdict, Work; Capacity of a host that is cold)
	Ran                     // it begins to run
	Done                    // it has run to its end (Work)
	Lost                    // it was lost with its process
	Left                    // whoever sent it waits for it no longer
	Probed                  // its load was asked for
	Opened                  // a connection came up
	Fell                    // it fell over
)

// Sight is one thing that a host saw. From is the IP address of whoever came.
type Sight struct {
	Kind     SightKind
	At       time.Duration // on the fleet's clock
	Host     int
	From     string
	Job      string
	Work     time.Duration
	Capacity float64 // in standard lanes, of a cold host; 0: it is warm
	Verdict  fleet.Verdict
}
