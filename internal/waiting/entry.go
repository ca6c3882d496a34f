package waiting

import (
	"time"
)

const (
	maxPredecessors = 16                    // predecessors of one job
	maxQueries      = 1024                  // questions that wait for an end at once
	maxTickWork     = 2048                  // entries that one Tick touches: what is left goes on at once in the next
	answerMargin    = 20 * time.Millisecond // before its client gives up an attached job has its answer
	maxWaitFactor   = 2                     // of its due time: then a ready job that has not gone out is refused
)

// flags of an entry.
const (
	attached   uint16 = 1 << iota // its client waits on its connection
	fresh                         // it went on at once
	indexed                       // its name is known
	mayHaveRun                    // a send may have run
	rejected                      // a host will not take it, now or later
	unsent                        // released, and not sent in this turn
	clientGone                    // nobody waits for it any more, but a send is still out
	accepted                      // accepted, to live on without its connection
	resultShed                    // there was a result, but no room to keep it
)

// entry is a job that is known. Its number is its place in Room.all.
type entry struct {
	name, result               string
	clientJobs                 *clientJobs // nil: it counts for nobody
	number                     uint64
	arrived, deadline, size    time.Duration // deadline 0: none
	ready                      time.Duration // before it is ready: its set time
	entered, sent              time.Duration // its last turn began; its last send
	dependants, next           uint32        // its first dependant; the next kept, or the next free
	bodyBytes, dueMS           uint32        // of its body; how long it may wait once it is ready
	class, tenant, slots       int16
	attempts, sendsOut, status uint16
	unmetPreds                 uint8 // earlier jobs that have not ended
	state                      State
	flags                      uint16
}

func (e *entry) due() time.Duration { return time.Duration(e.dueMS) * time.Millisecond }

func (e *entry) has(f uint16) bool { return e.flags&f != 0 }

// edge says that a job waits for the one in whose list it stands.
type edge struct {
	dependant uint32
	number    uint64 // of the dependant: its entry may hold another job by now
	next      uint32
}
