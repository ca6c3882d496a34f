// Package loop runs the one goroutine that owns the core and its decision module. Socket code reaches it only through
// a queue; each Step takes a batch of the queued messages.
package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
)

const (
	queueLen  = 4096 // messages waiting for the loop; a full queue blocks the sockets' goroutines
	urgentLen = 64   // the operators' messages, which have priority over all others
	batchLen  = 1024
)

// Upstream is the part of the upstream side that the loop uses.
type Upstream interface {
	Do(ctx context.Context, q *upstream.Request, w upstream.Watcher)
	Probe(ctx context.Context, addr string) upstream.Outcome
}

// envelope is an entry of the queue.
type envelope struct {
	msg         dispatch.Message
	ticket      *Ticket                   // of a JobArrived
	queryReply  chan dispatch.QueryResult // of a JobQuery
	cordonReply chan bool                 // of a SetCordon
	idle        chan struct{}             // closed when no job without a connection is pending, see Idle
	count       chan struct{}             // closed when the hosts have been counted, see Workers
	watch       uint64                    // number of the watch that sent the message; 0: none
	source      cluster.Source            // a new source instead of a message
}

// cancelFuncs end an upstream request: cancel at any time, unsend only before its last byte is written.
type cancelFuncs struct{ cancel, unsend context.CancelFunc }

// Loop owns the core. Run is its goroutine.
type Loop struct {
	core          *dispatch.Chain
	set           *settings.Settings
	upstream      Upstream
	source        cluster.Source
	clock         Clock
	queue         chan envelope
	urgent        chan envelope
	nextJob       atomic.Uint64
	nextQuery     atomic.Uint64
	openRequests  atomic.Int64
	knownHosts    atomic.Int64 // listed hosts at the last count
	excludedHosts atomic.Int64 // excluded ones of those
	nextCordon    atomic.Uint64
	ids           idTable
	stopped       chan struct{}
	work          sync.WaitGroup

	// Owned by Run.
	tickets         map[uint64]*Ticket
	detached        map[uint64]*detachedJob
	queryReplies    map[uint64]chan dispatch.QueryResult
	cordonReplies   map[uint64]chan bool
	idleWaiters     []chan struct{}
	attempts        map[dispatch.Key]cancelFuncs
	cancelWatch     context.CancelFunc // ends the current watch; nil: there is none
	watchNumber     uint64             // number of watches started, which is the last one's number
	watchNeeded     bool               // the source is not watched yet
	initialMessages []dispatch.Message // for a core that replaces one that panicked
}

// New returns a loop around a core.
func New(core *dispatch.Chain, set *settings.Settings, up Upstream, source cluster.Source, clock Clock) *Loop {
	return &Loop{core: core, set: set, upstream: up, source: source, clock: clock,
		queue: make(chan envelope, queueLen), urgent: make(chan envelope, urgentLen), cordonReplies: map[uint64]chan bool{}, ids: idTable{expiry: map[string]time.Time{}}, stopped: make(chan struct{}),
		queryReplies: map[uint64]chan dispatch.QueryResult{}, detached: map[uint64]*detachedJob{}, tickets: map[uint64]*Ticket{}, attempts: map[dispatch.Key]cancelFuncs{}}
}

// Post queues a message. It blocks while the queue is full.
func (l *Loop) Post(m dispatch.Message) { l.post(envelope{msg: m}) }

func (l *Loop) post(e envelope) {
	select {
	case l.queue <- e:
	case <-l.stopped:
	}
}

// Clock returns the loop's clock.
func (l *Loop) Clock() Clock { return l.clock }

// Stopped is closed when Run has ended: no more answers will arrive.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }
