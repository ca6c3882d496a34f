package dataplane

import (
	"time"

	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/network"
)

// Options are the dispatcher's figures. The zero value of each field stands for its default.
type Options struct {
	// FirstCallTimeout bounds the first call to a replica on behalf of a client.
	FirstCallTimeout time.Duration
	// LaterCallTimeout bounds each call after that.
	LaterCallTimeout time.Duration
	// CountTimeout bounds how long a count of jobs is asked for before the last known one is told.
	CountTimeout time.Duration
	// FirstPause is the pause after a call that came to nothing; it doubles up to MaxPause.
	FirstPause, MaxPause time.Duration
	// PollInterval is the time between two looks at the core, give or take a quarter.
	PollInterval time.Duration
	// PollTimeout bounds each call of such a look.
	PollTimeout time.Duration
	// MinPollGap is the least time between two looks that failed calls ask for.
	MinPollGap time.Duration
	// CoreContactTimeout is how long after the last sign of a serving core it counts as within reach.
	CoreContactTimeout time.Duration
	// HeadContactTimeout is the same for the head, which is looked at less often.
	HeadContactTimeout time.Duration
	// MaxConfigAge is how long after the configuration was last known to be the newest an unknown route may be due to one that was missed.
	MaxConfigAge time.Duration
	// DefaultWaitTime is how long a client waits when neither it nor its route says.
	DefaultWaitTime time.Duration
	// Announce is how long a dispatcher that is to end goes on accepting: the platform has to miss two looks, a second apart.
	Announce time.Duration
	// BodyMemory is how many bytes the bodies of all requests may take together.
	BodyMemory int64
	// Logger is told of requests that weren't served, a few in a second; nil: nobody is.
	Logger Logger
	// Invariants counts violations of what must always hold; nil has each of them panic.
	Invariants *invariant.Set
	// Network is where connections come from; nil stands for the operating system's sockets.
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
	defaultAnnounce           = 2200 * time.Millisecond
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
	setDefault(&o.Announce, defaultAnnounce)
	setDefault(&o.BodyMemory, defaultBodyMemory)
	return o
}

func setDefault[T time.Duration | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
