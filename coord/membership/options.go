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

// Caller calls methods of other processes' services. It gives up after the timeout and may be used by many at once. Where it
// returns an error, the reply isn't read.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// Options say how a node takes part. Zero values stand for the defaults.
type Options struct {
	// Self is how others see this process. Its Incarnation must be greater than in each earlier life at the address.
	Self peersampling.Peer
	// Seeds are the addresses that are called while nobody else is known, and now and then after that.
	Seeds []string
	// ViewSize is the number of peers kept (peersampling.DefaultSize by default).
	ViewSize int
	// RandomSeed drives every choice.
	RandomSeed uint64
	// Interval is the mean time between two rounds; each is up to a quarter shorter or longer.
	Interval time.Duration
	// CallTimeout bounds a call; time to transfer values of known length comes on top.
	CallTimeout time.Duration
	// Preferred returns the addresses of which one, in turn, is asked at least once a PreferredInterval; by default none. It is
	// called by each round and must be safe for concurrent use. The own address may be among them.
	Preferred         func() []string
	PreferredInterval time.Duration
	// Clock is a steady clock; by default the time since New.
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
