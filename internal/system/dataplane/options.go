package dataplane

import (
	"time"

	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/network"
)

// Options configures a dispatcher. The zero value of each field stands for its default.
type Options struct {
	// FirstCallTimeout bounds the first call to a replica for a client request.
	FirstCallTimeout time.Duration
	// LaterCallTimeout bounds each later call for that request.
	LaterCallTimeout time.Duration
	// CountTimeout bounds how long the head is asked for a count of jobs before the last known one is used.
	CountTimeout time.Duration
	// FirstPause is the pause after the first call without a final reply. It doubles after each further call, up to MaxPause.
	FirstPause, MaxPause time.Duration
	// PollInterval is the time between two polls of the core, varied at random by up to a quarter.
	PollInterval time.Duration
	// PollTimeout bounds each call of a poll.
	PollTimeout time.Duration
	// MinPollGap is the shortest time between two polls, however often they are requested.
	MinPollGap time.Duration
	// CoreContactTimeout is how long after the last reply of a serving replica the core counts as reachable.
	CoreContactTimeout time.Duration
	// HeadContactTimeout is the same for the head, which is polled less often.
	HeadContactTimeout time.Duration
	// MaxConfigAge bounds the time since the configuration was last confirmed as the newest. Past it, an unknown route may belong
	// to a newer configuration that hasn't arrived here.
	MaxConfigAge time.Duration
	// DefaultWaitTime is how long a client waits if neither the client nor its route says.
	DefaultWaitTime time.Duration
	// DrainDelay is how long a draining dispatcher goes on accepting connections: the platform has to see two failed readiness
	// probes, a second apart.
	DrainDelay time.Duration
	// BodyMemory bounds the bytes used by the bodies of all requests together.
	BodyMemory int64
	// Logger receives requests that weren't served, a few per second. Nil disables this.
	Logger Logger
	// Invariants counts violated invariants. If it is nil, each violation panics.
	Invariants *invariant.Set
	// Network provides connections. Nil stands for the operating system's sockets.
	Network network.Network
}

const (
	defaultFirstCallTimeout   = 700 * time.Millisecond
	defaultLaterCallTimeout   = time.Second
	defaultCountTimeout       = time.Second
	defaultFirstPause         = 50 * time.Millisecond
	defaultMaxPause           = 200 * time.Millisecond
	defaultPollInterval       = 500 * time.Millisecond
	defaultPollTimeout        = 400 * time.Millisecond
	defaultMinPollGap         = 50 * time.Millisecond
	defaultCoreContactTimeout = 2500 * time.Millisecond
	defaultHeadContactTimeout = 3500 * time.Millisecond
	defaultMaxConfigAge       = 1500 * time.Millisecond
	defaultWaitTime           = 3 * time.Second
	defaultDrainDelay         = 2200 * time.Millisecond
	defaultBodyMemory         = 16 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.FirstCallTimeout, defaultFirstCallTimeout)
	setDefault(&o.LaterCallTimeout, defaultLaterCallTimeout)
	setDefault(&o.CountTimeout, defaultCountTimeout)
	setDefault(&o.FirstPause, defaultFirstPause)
	setDefault(&o.MaxPause, defaultMaxPause)
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.PollTimeout, defaultPollTimeout)
	setDefault(&o.MinPollGap, defaultMinPollGap)
	setDefault(&o.CoreContactTimeout, defaultCoreContactTimeout)
	setDefault(&o.HeadContactTimeout, defaultHeadContactTimeout)
	setDefault(&o.MaxConfigAge, defaultMaxConfigAge)
	setDefault(&o.DefaultWaitTime, defaultWaitTime)
	setDefault(&o.DrainDelay, defaultDrainDelay)
	setDefault(&o.BodyMemory, defaultBodyMemory)
	return o
}

func setDefault[T time.Duration | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
