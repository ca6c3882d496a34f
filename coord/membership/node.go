package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/peersampling"
)

// Node takes part in the protocol on behalf of one process. Its methods are safe for concurrent use.
type Node struct {
	options    Options
	caller     Caller
	tasks      tasks
	spawn      func(func())
	deliveries deliveries

	mu       sync.Mutex
	random   *rand.Rand
	sampler  *peersampling.Sampler
	store    *gossip.Store
	rotation rotation
	rounds   uint64
	// freeRounds counts the rounds in which neither a shuffle nor an exchange with a preferred peer was started.
	freeRounds uint64
	// lastPreferred is when an exchange with a preferred peer was last started. It is valid only if preferredAsked is set.
	lastPreferred  time.Duration
	preferredAsked bool
	// activeExchanges counts the exchanges in progress.
	activeExchanges int

	stop    context.CancelFunc
	stopped chan struct{}
}

// New returns a node that does not run yet. Its service should be registered before Start.
func New(caller Caller, options Options) *Node {
	options = options.withDefaults()
	random := rand.New(rand.NewPCG(options.RandomSeed, options.Self.Incarnation))
	n := &Node{
		options:  options,
		caller:   caller,
		random:   random,
		sampler:  peersampling.New(options.Self, options.Seeds, options.ViewSize, random.Uint64()),
		store:    gossip.NewStore(),
		rotation: newRotation(random.IntN(1 << 16)),
	}
	n.spawn = n.tasks.spawn
	return n
}

// Service returns the net/rpc service that other nodes call.
func (n *Node) Service() *Service { return &Service{node: n} }

// Start starts the rounds. It must be called at most once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.stopped = make(chan struct{})
	go n.run(ctx)
}

// Stop ends the rounds and waits for the calls in progress, which end at their timeouts at the latest. The service keeps answering.
func (n *Node) Stop() {
	if n.stop != nil {
		n.stop()
		<-n.stopped
	}
	n.tasks.close()
}

func (n *Node) run(ctx context.Context) {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(n.Round())
		}
	}
}

// Peers returns the current sample of live processes, in no particular order.
func (n *Node) Peers() []peersampling.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sampler.Peers()
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sampler.SetSeeds(seeds)
}

// Get returns the newest known value of a key.
func (n *Node) Get(key gossip.Key) (gossip.Value, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Get(key)
}

// Set adds a value of this process and spreads it if it is newer than the known one. Its data must not be modified afterwards. The error
// wraps gossip.ErrTooLong.
func (n *Node) Set(value gossip.Value) error {
	n.mu.Lock()
	newer, err := n.store.Set(value)
	var learned []gossip.Value
	if newer {
		learned = []gossip.Value{value}
	}
	targets := n.queueLearned(learned, n.options.Self.Address)
	n.mu.Unlock()

	n.spread(learned, targets)
	return err
}

// Subscribe registers a function that is called with each value known now, and with each newer value that is learned or set later. The
// calls are sequential and in the order in which values are learned, so the versions of a key only increase. The function should be short
// and may call the node.
func (n *Node) Subscribe(subscriber func(gossip.Value)) {
	n.mu.Lock()
	n.deliveries.subscribe(subscriber, n.store.Values())
	n.mu.Unlock()
	n.deliveries.run()
}
