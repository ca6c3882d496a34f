// Package loop runs the one goroutine that owns the core and its decision module. Socket code reaches it
// through a queue only; what has come in is drained into one Step.
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
	queueLen  = 4096 // messages waiting for the loop; a full queue makes the sockets wait
	urgentLen = 64   // the operators' messages, which come before all others
	batchLen  = 1024
)

// Upstream is what the loop needs of the upstream side.
type Upstream interface {
	Do(ctx context.Context, q *upstream.Request, w upstream.Watcher)
	Probe(ctx context.Context, addr string) upstream.Outcome
}

// envelope is what waits in the queue.
type envelope struct {
	msg         dispatch.Message
	ticket      *Ticket                   // of a new job
	queryReply  chan dispatch.QueryResult // of an Asked
	cordonReply chan bool                 // of a Hand
	idle        chan struct{}             // to be closed when nothing without a connection is out
	count       chan struct{}             // to be closed when the hosts are counted anew
	watch       uint64                    // the number of the watch that the message comes from; 0: from none
	source      cluster.Source            // a new source in place of a message
}

// cancelFuncs end an upstream request: cancel at any time, unsend only where its last byte has not been written.
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
	knownHosts    atomic.Int64 // hosts listed, as last counted
	excludedHosts atomic.Int64 // of those, the ones kept away from
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
	cancelWatch     context.CancelFunc // ends the watch that is on; nil: none is
	watchNumber     uint64             // watches begun; the last one's number
	watchNeeded     bool               // to a source that is not watched yet
	initialMessages []dispatch.Message // for a core that took the place of one that panicked
}

// New makes a loop round a core.
func New(core *dispatch.Chain, set *settings.Settings, up Upstream, source cluster.Source, clock Clock) *Loop {
	return &Loop{core: core, set: set, upstream: up, source: source, clock: clock,
		queue: make(chan envelope, queueLen), urgent: make(chan envelope, urgentLen), cordonReplies: map[uint64]chan bool{}, ids: idTable{expiry: map[string]time.Time{}}, stopped: make(chan struct{}),
		queryReplies: map[uint64]chan dispatch.QueryResult{}, detached: map[uint64]*detachedJob{}, tickets: map[uint64]*Ticket{}, attempts: map[dispatch.Key]cancelFuncs{}}
}

// Post puts a message in the queue.
func (l *Loop) Post(m dispatch.Message) { l.post(envelope{msg: m}) }

func (l *Loop) post(e envelope) {
	select {
	case l.queue <- e:
	case <-l.stopped:
	}
}

// Clock is the loop's clock.
func (l *Loop) Clock() Clock { return l.clock }

// Stopped is closed when Run has ended: no answer comes any more.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }
