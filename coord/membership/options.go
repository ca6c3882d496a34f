package membership

import (
	"time"

	"gaugeslip/coord/peersampling"
)

// Defaults of Options.
const (
	DefaultInterval          = 250 * time.Millisecond
	DefaultCallTimeout       = 400 * time.Millisecond
	DefaultPreferredInterval = 500 * time.Millisecond
)

// Caller calls methods of the services of other processes. Call gives up after the timeout and must be safe for concurrent use. The reply
// is not read if Call returns an error.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// Options configure a node. A zero value selects the default.
type Options struct {
	// Self is the description of this process that others receive. Its Incarnation must be greater than that of every earlier process at
	// the address.
	Self peersampling.Peer
	// Seeds are addresses that are called while no peer is known, and occasionally after that.
	Seeds []string
	// ViewSize is the number of peers kept, peersampling.DefaultSize by default.
	ViewSize int
	// RandomSeed seeds all random choices.
	RandomSeed uint64
	// Interval is the mean time between two rounds. Each time is up to a quarter shorter or longer.
	Interval time.Duration
	// CallTimeout bounds a call. For values of known length, the transfer time is added.
	CallTimeout time.Duration
	// Preferred returns the addresses of peers of which one, in turn, is called at least once per PreferredInterval. By default there are
	// none. Each round calls it, and it must be safe for concurrent use. It may return the node's own address, which is ignored.
	Preferred         func() []string
	PreferredInterval time.Duration
	// Clock is a monotonic clock. By default it is the time since New.
	Clock func() time.Duration
}

func (o Options) withDefaults() Options {
	orDefault(&o.Interval, DefaultInterval)
	orDefault(&o.CallTimeout, DefaultCallTimeout)
	orDefault(&o.PreferredInterval, DefaultPreferredInterval)
	if o.Preferred == nil {
		o.Preferred = func() []string { return nil }
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	return o
}

func orDefault(setting *time.Duration, value time.Duration) {
	if *setting <= 0 {
		*setting = value
	}
}
