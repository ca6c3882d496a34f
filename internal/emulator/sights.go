package emulator

import (
	"time"

	"gaugeslip/internal/fleet"
)

// SightKind is the kind of an event at a host.
type SightKind uint8

// Kinds of sights. Each sets At and Host; those with a client also From, and those of a job its id.
const (
	Took   SightKind = iota // a job was received completely (Verdict, Work; Capacity of a cold host)
	Ran                     // a job started to run
	Done                    // a job has completed (Work)
	Lost                    // a job was lost when the host's process ended
	Left                    // the client of a job disconnected before its end
	Probed                  // a probe arrived
	Opened                  // a connection was opened
	Fell                    // the host toppled under its load
)

// Sight is one event observed at a host. From is the IP address of the client.
type Sight struct {
	Kind     SightKind
	At       time.Duration // on the fleet's clock
	Host     int
	From     string
	Job      string
	Work     time.Duration
	Capacity float64 // of a cold host, in standard lanes; 0 for a warm host
	Verdict  fleet.Verdict
}
