package dataplane

import (
	"time"

	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/network"
)

// Options are the dispatcher's figures. The zero value of each field stands for its default.
type Options struct {
	// FirstTry bounds the first call to a replica on behalf of a client.
	FirstTry time.Duration
	// LaterTry bounds each call after that.
	LaterTry time.Duration
	// CountPatience bounds how long a count of jobs is asked for before the last known one is told.
	CountPatience time.Duration
	// FirstPause is the pause after a call that came to nothing; it doubles up to LongestPause.
	FirstPause, LongestPause time.Duration
	// PollInterval is the time between two looks at the core, give or take a quarter.
	PollInterval time.Duration
	// PollTimeout bounds each call of such a look.
	PollTimeout time.Duration
	// PokeGap is the least time between two looks that failed calls ask for.
	PokeGap time.Duration
	// ContactLife is how long after the last sign of a serving core it counts as within reach.
	ContactLife time.Duration
	// HeadLife is the same for the head, which is looked at less often.
	HeadLife time.Duration
	// StaleContact is how long after the configuration was last known to be the newest an unknown route may be due to one that was missed.
	StaleContact time.Duration
	// DefaultWait is how long a client waits when neither it nor its route says.
	DefaultWait time.Duration
	// DrainDelay is how long a dispatcher that is to end goes on accepting: the platform has to miss two looks, a second apart.
	DrainDelay time.Duration
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
	defaultFirstTry      = 700 * time.Millisecond
	defaultLaterTry      = time.Second
	defaultCountPatience = time.Second
	defaultFirstPause    = 50 * time.Millisecond
	defaultLongestPause  = 200 * time.Millisecond
	defaultPollInterval  = 500 * time.Millisecond
	defaultPollTimeout   = 400 * time.Millisecond
	defaultPokeGap       = 50 * time.Millisecond
	defaultContactLife   = 2500 * time.Millisecond
	defaultHeadLife      = 3500 * time.Millisecond
	defaultStaleContact  = 1500 * time.Millisecond
	defaultWait          = 3 * time.Second
	defaultDrainDelay    = 2200 * time.Millisecond
	defaultBodyMemory    = 16 << 20
)

func (o Options) withDefaults() Options {
	orDefault(&o.FirstTry, defaultFirstTry)
	orDefault(&o.LaterTry, defaultLaterTry)
	orDefault(&o.CountPatience, defaultCountPatience)
	orDefault(&o.FirstPause, defaultFirstPause)
	orDefault(&o.LongestPause, defaultLongestPause)
	orDefault(&o.PollInterval, defaultPollInterval)
	orDefault(&o.PollTimeout, defaultPollTimeout)
	orDefault(&o.PokeGap, defaultPokeGap)
	orDefault(&o.ContactLife, defaultContactLife)
	orDefault(&o.HeadLife, defaultHeadLife)
	orDefault(&o.StaleContact, defaultStaleContact)
	orDefault(&o.DefaultWait, defaultWait)
	orDefault(&o.DrainDelay, defaultDrainDelay)
	orDefault(&o.BodyMemory, defaultBodyMemory)
	return o
}

func orDefault[T time.Duration | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
